/** A proxy whose agent answers at once, while the facts that it then asks for are lost on their way. */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { EdgeProxy, ProxyDefaults } from '../source/edge-proxy/edgeProxy';
import { World } from '../source/fleet-simulator/world/world';
import type { BackEndSender } from '../source/shared/back-end/protocol';
import { Clocks } from '../source/shared/effects/clock/clock';
import type { Answer, Message, Transport } from '../source/shared/effects/transport/transport';

const fleet = 'fleet-a';
const wayMicroseconds = 20_000;
const watchedMicroseconds = 10_000_000;
/** Asks so far apart keep a configuration confirmed that may be 1.5 s old, whatever age the agent tells. */
const mostPauseMicroseconds = 1_000_000;

const newsOf = (message: Message): Message => ({
  kind: 'newsBack',
  fleet,
  statements: [],
  pulses: [],
  marks: {},
  revisions: {},
  bodies: [],
  shards: [],
  digest: { member: { 'edge-2': [1, 1] } },
  ...(message['follows'] === undefined ? {} : { follow: { book: 'book', change: 1 } }),
});

const newsAsks = async (world: World): Promise<readonly number[]> => {
  const times: number[] = [];
  const ask = async (_address: string, message: Message, limitMicroseconds: number): Promise<Answer> => {
    if (message.kind === 'news') {
      times.push(world.nowMicroseconds);
      await Clocks.wait(world.clock, wayMicroseconds);
      return { kind: 'answered', message: newsOf(message) };
    }
    await Clocks.wait(world.clock, limitMicroseconds);
    return { kind: 'silent', reason: 'limit passed' };
  };
  const transport: Transport = {
    ask,
    listen: () => Promise.reject(new Error('a proxy does not listen')),
    close: () => Promise.resolve(),
  };
  const settings = { ...ProxyDefaults, name: 'edge-1', zone: 'a', agentAddress: '10.0.0.1:1', isOnlyFleet: true };
  const proxy = new EdgeProxy({ clock: world.clock, random: world.random, transport }, {} as BackEndSender, settings);
  proxy.start();
  await world.runFor(watchedMicroseconds);
  await proxy.stop();
  return times;
};

describe('an agent that answers at once, and whose second answer does not come', () => {
  test('it is asked again in time for its word on the configuration', async () => {
    const times = await newsAsks(new World(1));
    const pauses = times.slice(1).map((time, index) => time - (times[index] ?? 0));
    assert.ok(Math.max(...pauses) < mostPauseMicroseconds, pauses.join(', '));
  });
});
