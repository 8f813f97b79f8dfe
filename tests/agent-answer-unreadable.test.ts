/** Guards against a proxy that exits on an uncaught error when the answer of an agent cannot be parsed. */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { EdgeProxy, ProxyDefaults } from '../source/edge-proxy/edgeProxy';
import { World } from '../source/fleet-simulator/world/world';
import type { BackEndSender } from '../source/shared/back-end/protocol';
import type { Transport } from '../source/shared/effects/transport/transport';

const fleet = 'fleet-a';
const unreadable = { kind: 'newsBack', fleet, statements: [], pulses: [], revisions: {}, shards: [null] };
const observedMicroseconds = 1_000_000;

/** Errors that were not caught while a proxy received such answers. */
const uncaughtErrors = async (): Promise<readonly unknown[]> => {
  const world = new World(1);
  const uncaught: unknown[] = [];
  const recordError = (error: unknown): void => void uncaught.push(error);
  const transport: Transport = {
    ask: () => Promise.resolve({ kind: 'answered', message: unreadable }),
    listen: () => Promise.reject(new Error('a proxy does not listen')),
    close: () => Promise.resolve(),
  };
  const settings = { ...ProxyDefaults, name: 'edge-1', zone: 'a', agentAddress: '10.0.0.1:1', isOnlyFleet: true };
  const proxy = new EdgeProxy({ clock: world.clock, random: world.random, transport }, {} as BackEndSender, settings);
  process.on('unhandledRejection', recordError);
  try {
    proxy.start();
    await world.runFor(observedMicroseconds);
    await proxy.stop();
    await new Promise((resolve) => setImmediate(resolve));
  } finally {
    process.off('unhandledRejection', recordError);
  }
  return uncaught;
};

describe('an agent whose answer cannot be parsed', () => {
  test('causes no uncaught error, which would end the proxy', async () => {
    assert.deepEqual(await uncaughtErrors(), []);
  });
});
