// A front for two engines: short look-ups, reports, and loads that carry a key.
// gatetiller serve --config examples/front.jsonnet
local g = import 'gatetiller.libsonnet';

g.front('office-1') {
  listen: ['127.0.0.1:8080'],
  zone: 'office',
  fronts: 1,

  classes: {
    lookup: g.class('750ms', '4s') { aim_stretch: 1.5 },
    report: g.class('1.5s', '20s') { aim_stretch: 2.5, threads: 3, value: 15, late_share: 0.4 },
    load: g.class('3s', '25s', 'by_key') {
      aim_stretch: 3, threads: 2, value: 15, late_share: 0.5, key_scope: 'all', window: '25s', holds_group: true,
    },
  },
  tenants: {
    east: g.tenant(0.6) { quota_per_s: 50 },
    fields: g.tenant(0.25) { quota_per_s: 20 },
    others: g.tenant(0.15) { quota_per_s: 10 },  // the last one: whoever isn't named
  },
  kinds: { std: g.kind(8, '16GiB') },
  engines: {
    ['node-%d' % n]: g.engine('127.0.0.1:%d' % (9000 + n), zone='office')
    for n in [1, 2]
  },
  facts+: { reports: 'answers', priorities: true, when_short: 'swap' },
  rules+: { attempts: 6 },
  worth: { over_share: 0.05 },
  routes: [
    g.route('load', { source: 'meter-load*' }),
    g.route('report', { tags: ['report'] }),
    g.route('lookup'),
  ],
}
