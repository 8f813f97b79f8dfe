/**
 * Guards against a proxy whose configuration gets stale although its agent answers: the agent answers the first message at once, but the
 * answer to the request for facts that follows is lost, and the next round must not wait for it.
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { EdgeProxy, ProxyDefaults } from '../source/edge-proxy/edgeProxy';
import { World } from '../source/fleet-simulator/world/world';
import type { BackEndSender } from '../source/shared/back-end/protocol';
import { Clocks } from '../source/shared/effects/clock/clock';
import type { RequestOutcome, Message, Transport } from '../source/shared/effects/transport/transport';

const fleet = 'fleet-a';
const latencyMicroseconds = 20_000;
const observedMicroseconds = 10_000_000;
/** At this interval a configuration that may be 1.5 s old stays confirmed, whatever age the agent reports. */
const maxIntervalMicroseconds = 1_000_000;

const gossipAnswerTo = (message: Message): Message => ({
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

const gossipRequestTimes = async (world: World): Promise<readonly number[]> => {
  const times: number[] = [];
  const ask = async (_address: string, message: Message, limitMicroseconds: number): Promise<RequestOutcome> => {
    if (message.kind === 'news') {
      times.push(world.nowMicroseconds);
      await Clocks.wait(world.clock, latencyMicroseconds);
      return { kind: 'answered', message: gossipAnswerTo(message) };
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
  await world.runFor(observedMicroseconds);
  await proxy.stop();
  return times;
};

describe('an agent that answers at once, but whose answer to the second request is lost', () => {
  test('is asked again in time for the configuration to stay confirmed', async () => {
    const times = await gossipRequestTimes(new World(1));
    const intervals = times.slice(1).map((time, index) => time - (times[index] ?? 0));
    assert.ok(Math.max(...intervals) < maxIntervalMicroseconds, intervals.join(', '));
  });
});
