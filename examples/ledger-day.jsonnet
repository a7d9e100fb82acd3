// A bad day with ledgers: fronts are killed twenty times on top of its troubles, and afterwards every query that
// the engines logged is settled against the fronts' ledgers.
// gatetiller lab day examples/ledger-day.jsonnet --folder records/ledger-day
(import 'day.jsonnet') + { ledger: true, kills: 20 }
