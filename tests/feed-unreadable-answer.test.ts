/** An agent's answer that cannot be read must not end the proxy. */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { EdgeProxy, ProxyDefaults } from '../source/edge-proxy/edgeProxy';
import { World } from '../source/fleet-simulator/world/world';
import type { BackEndSender } from '../source/shared/back-end/protocol';
import type { Transport } from '../source/shared/effects/transport/transport';

const fleet = 'fleet-a';
const unreadable = { kind: 'newsBack', fleet, statements: [], pulses: [], revisions: {}, shards: [null] };
const watchedMicroseconds = 1_000_000;

/** Errors that nobody caught while a proxy was fed so. */
const uncaughtErrors = async (): Promise<readonly unknown[]> => {
  const world = new World(1);
  const uncaught: unknown[] = [];
  const note = (error: unknown): void => void uncaught.push(error);
  const transport: Transport = {
    ask: () => Promise.resolve({ kind: 'answered', message: unreadable }),
    listen: () => Promise.reject(new Error('a proxy does not listen')),
    close: () => Promise.resolve(),
  };
  const settings = { ...ProxyDefaults, name: 'edge-1', zone: 'a', agentAddress: '10.0.0.1:1', isOnlyFleet: true };
  const proxy = new EdgeProxy({ clock: world.clock, random: world.random, transport }, {} as BackEndSender, settings);
  process.on('unhandledRejection', note);
  try {
    proxy.start();
    await world.runFor(watchedMicroseconds);
    await proxy.stop();
    await new Promise((resolve) => setImmediate(resolve));
  } finally {
    process.off('unhandledRejection', note);
  }
  return uncaught;
};

describe('an agent whose answer cannot be read', () => {
  test('no error goes uncaught, which would end the proxy', async () => {
    assert.deepEqual(await uncaughtErrors(), []);
  });
});
