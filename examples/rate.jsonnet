// 570 statements a second through two fronts, with the classes' mix of a billing day: look-ups, reports and loads.
// gatetiller lab day examples/rate.jsonnet --folder records/rate            a quiet minute
// examples/rate-bad.jsonnet is the same with troubles.
local g = import 'gatetiller.libsonnet';
function(troubles=false) {
  seed: 1,
  length: '60s',
  settle: '26s',
  fronts: 2,
  front: {
    zone: 'office',
    classes: {
      lookup: g.class('750ms', '4s') { aim_stretch: 1.5 },
      report: g.class('1.5s', '20s') { aim_stretch: 2.5, threads: 3, value: 15, late_share: 0.4 },
      load: g.class('3s', '25s', 'by_key') {
        aim_stretch: 3, threads: 2, value: 15, late_share: 0.5, key_scope: 'all', window: '25s', holds_group: true,
      },
    },
    tenants: { east: g.tenant(0.63), fields: g.tenant(0.22), roofs: g.tenant(0.15) },
    kinds: { std: g.kind(64, '128GiB') },
    facts: g.front('').facts { reports: 'answers', priorities: true, when_short: 'swap' },
    rules: g.front('').rules { attempts: 6, warm_up: '5s' },
    retry_hint: '2s',
    routes: [g.route(c, { source: c + '*' }) for c in ['lookup', 'report', 'load']],
    times: { long_poll: '1s', abandoned_after: '10s' },
  },
  engines: {
    node: {
      count: 8, zone: 'office', kind: 'std',
      machine: {
        cores: 64, memory: '128GiB', priorities: true, key_window: '25s', when_short: 'swap', cold_share: 0.3, warm_up: '5s',
        fall_factor: 3, fall_for: '1.5s', warm_groups: 40,
      },
    },
  },
  traffic: {
    rate: 570,
    classes: {
      lookup: { share: 80, work: '120ms', cv: 1, memory: '100MiB' },
      report: { share: 15, work: '3.3s', cv: 0.8, threads: 3, io: 0.5, memory: '500MiB', rows: 100, groups: 200 },
      load: { share: 5, work: '4s', cv: 0.6, threads: 2, io: 0.5, memory: '330MiB', load: true, keyed: true, rows: 1, groups: 200 },
    },
    tenants: { east: 63, fields: 22, roofs: 15 },
    lost_polls: 0.01,
  },
  troubles: if !troubles then [] else [
    { name: 'slow', at: '5s', length: '15s', part: 0.12, size: 4 },
    { name: 'burst', at: '8s', length: '5s', size: 1.4 },
    { name: 'crash', at: '12s', length: '8s', part: 0.12 },
    { name: 'fast_errors', at: '15s', length: '12s', part: 0.12, size: 0.6 },
    { name: 'hang', at: '18s', length: '10s', part: 0.12 },
    { name: 'answer_lost', at: '22s', length: '12s', part: 0.5, size: 0.1, how: 'reset' },
    { name: 'balancer_roll', at: '28s', length: '6s', part: 1, size: 0.5, extra: 0.8 },
    { name: 'discovery_down', at: '34s', length: '8s' },
    { name: 'deploy', at: '36s', length: '14s', part: 0.4, size: 0.12, extra: 3 },
    { name: 'balancer_stall', at: '44s', length: '8s', part: 0.5, size: 600, extra: 3 },
  ],
}
