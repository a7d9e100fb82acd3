// Three minutes at 570 statements a second with ledgers: ten kinds of trouble, once a minute, and 200 kills of a
// front at moments drawn. Afterwards every logged query is settled against the ledgers.
// gatetiller lab day examples/ledger-rate.jsonnet --folder records/ledger-rate
local day = (import 'rate.jsonnet')(troubles=true);
local seconds(text) = std.parseInt(std.rstripChars(text, 's'));
day + {
  length: '180s',
  ledger: true,
  kills: 200,
  troubles: [t { at: '%ds' % (seconds(t.at) + 60 * minute) } for minute in [0, 1, 2] for t in day.troubles],
}
