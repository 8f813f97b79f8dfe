/** Which control nodes send a new configuration to the agents. */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { blueprintOf, startedFleet } from './support/largeConfiguration';

/** 7 Mbit/s: what a machine's link carries. */
const linkBytesPerSecond = 875_000;
const agents = 15;
const routes = 350;
const settledMicroseconds = 4_000_000;

describe('agents that fetch a new configuration from the control nodes', () => {
  test('they do not all fetch it from the same one', async () => {
    const fed = await startedFleet(3, { edges: agents, agents }, linkBytesPerSecond);
    const { fleet, world } = fed;
    await world.runFor(settledMicroseconds);
    const sent = (): readonly number[] => fleet.keepers.map(({ machine }) => fleet.network.bytesFrom(machine));
    assert.ok((await fleet.take('blueprint', blueprintOf(routes, 'w2'))) !== undefined);
    // From here on: what the leader sent to the other control nodes does not count.
    const before = sent();
    await world.runFor(1_000_000);
    const bytes = sent().map((count, index) => count - (before[index] ?? 0));
    const total = bytes.reduce((sum, count) => sum + count, 0);
    assert.ok(Math.max(...bytes) < total / 2, bytes.join(', '));
  });
});
