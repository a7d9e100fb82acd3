// What was agreed for charge-back: teams with their names, rules by date, prices by date and kind of engine.
// gatetiller report show --ledger office-1.ledger --settlement examples/settlement.jsonnet --month 2026-11
{
  zone: 'Asia/Tokyo',
  currency: 'JPY',
  decimals: 2,

  teams: {
    billing: { names: [{ name: 'Billing' }, { from: '2026-11-16', name: 'Member accounts' }] },  // renamed
    fields: { name: 'Field service' },
    planning: { name: 'Planning' },  // split off from field service on 10 November
    others: { name: 'Everyone else' },
  },
  // The first rule that fits the request at its arrival decides. Patterns have `*`.
  rules: [
    { team: 'planning', from: '2026-11-10', tenant: 'fields', tags: ['plan*'] },
    { team: 'fields', tenant: 'fields' },
    { team: 'billing', source: 'meter-load*' },
    { team: 'billing', tenant: 'east' },
    { team: 'others' },
  ],
  // The first price that fits. GB: 10^9 bytes. At most nine decimals: amounts are exact.
  prices: [
    { kind: 'std', until: '2026-11-15', core_second: '0.012', gb_second_used: '0.0004', gb_spilled: '0.15' },
    { core_second: '0.0135', gb_second_used: '0.0004', gb_spilled: '0.15' },
  ],
}
