/** Guards against all agents fetching a new configuration from one control node, whose link would then be the bottleneck. */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { configurationOf, startedFleet } from './support/largeConfiguration';

/** 7 Mbit/s: the capacity of a machine's link. */
const linkBytesPerSecond = 875_000;
const agents = 15;
const routes = 350;
const warmUpMicroseconds = 4_000_000;

describe('agents that fetch a new configuration from the control nodes', () => {
  test('are spread over the control nodes', async () => {
    const fed = await startedFleet(3, { edges: agents, agents }, linkBytesPerSecond);
    const { fleet, world } = fed;
    await world.runFor(warmUpMicroseconds);
    const sent = (): readonly number[] => fleet.controlNodes.map(({ machine }) => fleet.network.bytesSentBy(machine));
    assert.ok((await fleet.changeUntilAccepted('blueprint', configurationOf(routes, 'w2'))) !== undefined);
    // Counted from here on, so that the leader's traffic to the other control nodes is left out.
    const before = sent();
    await world.runFor(1_000_000);
    const bytes = sent().map((count, index) => count - (before[index] ?? 0));
    const total = bytes.reduce((sum, count) => sum + count, 0);
    assert.ok(Math.max(...bytes) < total / 2, bytes.join(', '));
  });
});
