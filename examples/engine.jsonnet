// A stand-in engine on the first address that examples/front.jsonnet names.
// gatetiller engine --config examples/engine.jsonnet
{
  name: 'node-1',
  listen: '127.0.0.1:9001',
  machine: { cores: 8, memory: '16GiB', priorities: true, key_window: '25s', when_short: 'swap' },
}
