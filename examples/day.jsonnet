// A bad day: two fronts, eight engines, twelve kinds of trouble in half a minute.
// gatetiller lab day examples/day.jsonnet --folder records/day
local g = import 'gatetiller.libsonnet';
local front = g.front('any') {
  zone: 'office',
  classes: {
    lookup: g.class('750ms', '4s') { aim_stretch: 1.5 },
    report: g.class('1.5s', '10s') { aim_stretch: 2.5, threads: 3, value: 15, late_share: 0.4 },
    load: g.class('3s', '12s', 'by_key') {
      aim_stretch: 3, threads: 2, value: 15, late_share: 0.5, key_scope: 'all', window: '25s', holds_group: true,
    },
    ledger: g.class('1.5s', '8s', 'once') { aim_stretch: 2, value: 5, late_share: 0.5 },
    feed: g.class('1s', '8s') { aim_stretch: 2, value: 2, late_share: 0.5, in_turn: true, kinds: ['std'] },
  },
  tenants: {
    east: g.tenant(0.6) { quota_per_s: 60 },
    fields: g.tenant(0.25) { quota_per_s: 25 },
    others: g.tenant(0.15) { quota_per_s: 15 },
  },
  kinds: { std: g.kind(8, '16GiB'), small: g.kind(4, '8GiB') },
  facts+: { reports: 'answers', priorities: true, when_short: 'trim', note_period: '500ms' },
  rules+: {
    attempts: 5, turn_gap: '300ms', drain_grace: '2s', warm_up: '5s',
    further_attempts: { free: 10, per_request: 0.3, span: '10s' },
  },
  worth: { over_share: 0.05 },
  routes: [g.route(c, { source: c + '*' }) for c in ['lookup', 'report', 'load', 'ledger', 'feed']],
  times: { long_poll: '500ms', abandoned_after: '3s' },
};
local machine = {
  cores: 8, memory: '16GiB', priorities: true, key_window: '25s', when_short: 'trim', cold_share: 0.3, warm_up: '5s',
  fall_factor: 3, fall_for: '1.5s', bad_plans: 0.01,
};
{
  seed: 1,
  length: '30s',
  settle: '15s',
  fronts: 2,
  front: front { name:: null, listen:: null },
  engines: {
    big: { count: 6, zone: 'office', kind: 'std', machine: machine },
    small: { count: 2, zone: 'annex', kind: 'small', machine: machine { cores: 4, memory: '8GiB' } },
  },
  traffic: {
    rate: 60,
    classes: {
      lookup: { share: 70, work: '120ms', cv: 1, memory: '64MiB' },
      report: { share: 10, work: '1.5s', cv: 0.8, threads: 3, io: 0.5, memory: '800MiB', rows: 200 },
      load: { share: 4, work: '2s', cv: 0.6, threads: 2, io: 0.5, memory: '500MiB', load: true, keyed: true, rows: 1 },
      ledger: { share: 8, work: '150ms', cv: 0.7, rows: 1 },
      feed: { share: 8, work: '60ms', cv: 0.7, rows: 1, keyed: true, keys: 6 },
    },
    tenants: { east: 60, fields: 25, others: 15 },
    leave: 0.01, abandon: 0.01, lost_polls: 0.05,
  },
  troubles: [
    { name: 'slow', at: '2s', length: '6s', part: 0.15, size: 5 },
    { name: 'crash', at: '4s', length: '4s', part: 0.15 },
    { name: 'fast_errors', at: '6s', length: '5s', part: 0.12, size: 0.7 },
    { name: 'hang', at: '8s', length: '5s', part: 0.12 },
    { name: 'balancer_roll', at: '10s', length: '4s', part: 1, size: 0.5, extra: 0.8 },
    { name: 'burst', at: '12s', length: '4s', size: 2 },
    { name: 'discovery_down', at: '14s', length: '4s' },
    { name: 'list_lies', at: '19s', length: '5s', part: 0.2 },
    { name: 'deploy', at: '15s', length: '8s', part: 0.4, size: 0.12, extra: 2.5 },
    { name: 'answer_lost', at: '18s', length: '6s', part: 0.5, size: 0.2, how: 'reset' },
    { name: 'balancer_stall', at: '21s', length: '5s', part: 0.5, size: 600, extra: 2 },
    { name: 'give_up', at: '24s', length: '4s', size: 0.5, extra: 0.4, how: 'leave' },
  ],
}
