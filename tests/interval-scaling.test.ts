import assert from 'node:assert/strict';
import fc from 'fast-check';
import { test } from 'node:test';
import { World } from '../source/fleet-simulator/world/world';
import { IntervalScaling } from '../source/shared/flow-control/intervalScaling';
import { LongPollFleet, type LongPollAgent } from './support/longPollFleet';

test('intervals grow with the fleet up to their bound, and stay unscaled in small fleets', () => {
  const size = fc.integer({ min: 1, max: 2000 });
  fc.assert(
    fc.property(size, size, fc.integer({ min: 1, max: 4 }), (one, two, maxFactor) => {
      const [few, many] = [
        IntervalScaling.of(Math.min(one, two), maxFactor),
        IntervalScaling.of(Math.max(one, two), maxFactor),
      ];
      assert.ok(few >= 1 && few <= many && many <= maxFactor);
    }),
    { seed: 8 },
  );
  assert.equal(IntervalScaling.of(9, 3), 1);
  assert.equal(IntervalScaling.of(24, 3), 1);
  assert.equal(IntervalScaling.of(60, 2.5), 2.5);
});

test('in a large fleet a daemon sends fewer messages, and a new document or a draining engine is still known as soon', async () => {
  const run = async (agents: number) => {
    const fleet = new LongPollFleet(new World(11), agents);
    const names = fleet.addEngines(6);
    await fleet.start();
    assert.ok(await fleet.world.runUntil(() => fleet.hasAllLeaseHolders(names), 15_000_000), `${agents} settle`);
    await fleet.world.runFor(4_000_000);
    const { network } = fleet.controlFleet;
    const [messages, from] = [network.messages, fleet.world.clock.nowMicroseconds()];
    await fleet.world.runFor(4_000_000);
    const each = ((network.messages - messages) * 1_000_000) / (fleet.world.clock.nowMicroseconds() - from) / agents;
    const until = async (what: string, known: (agent: LongPollAgent) => boolean): Promise<number> => {
      const begun = fleet.world.clock.nowMicroseconds();
      assert.ok(await fleet.world.runUntil(() => fleet.agents.every(known), 6_000_000), what);
      return fleet.world.clock.nowMicroseconds() - begun;
    };
    await fleet.configureWeights('w2');
    const change = await until('the change of the configuration', ({ agent }) => {
      const pool = agent.freshness.blueprint?.services['pool'];
      return pool?.kind === 'pool' && pool.weights === 'w2';
    });
    await fleet.world.runFor(3_000_000);
    fleet.engines.get('engine-3').state = 'draining';
    const draining = await until(
      'the draining engine',
      ({ agent }) => agent.freshness.engines?.engines['engine-3']?.state === 'draining',
    );
    return { each, change, draining };
  };
  const [small, large] = [await run(12), await run(60)];
  assert.ok(large.each < small.each * 0.6, `${large.each} messages a second instead of ${small.each}`);
  assert.ok(large.change < 1_200_000, `a change after ${large.change}`);
  assert.ok(large.draining < 1_500_000, `a draining engine after ${large.draining}`);
});
