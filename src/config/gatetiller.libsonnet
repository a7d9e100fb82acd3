// Built into the program: import 'gatetiller.libsonnet'. Constructors with the usual values; every one of them can be
// set over with { ... }. Times and sizes are texts with their unit.
{
  // A class of statements. aim: wanted within this, plus aim_stretch times its work over its threads.
  class(aim, deadline, effect='repeatable'):: {
    aim: aim,
    deadline: deadline,
    effect: effect,
  },

  tenant(share):: { share: share },

  kind(cores, memory):: { cores: cores, memory: memory },

  engine(address, kind='std', zone='here'):: { address: address, kind: kind, zone: zone },

  // Statements of this source or tag prefix are of this class.
  route(class, match={}):: { class: class, match: match, tenant_from: 'user', key_from: 'tag:key=', group_from: 'tag:group=' },

  front(name):: {
    name: name,
    listen: ['127.0.0.1:0'],
    zone: 'here',
    facts: {
      grants: true,
      priorities: false,
      when_short: 'queue',
      cost_in_answers: true,
      note_period: '1s',
      reports: 'none',
      cancel: true,
      largest_share: 0.4,
    },
    rules: {
      attempts: 4,
      answer_grace: '20ms',
      drain_grace: '2s',
      cold_share: 0.3,
      warm_up: '15s',
      overload_factor: 3,
      overload_for: '1.5s',
    },
    retry_hint: '2s',
  },
}
