import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { AgentDefaults } from '../source/edge-agent/edgeAgent';
import { World } from '../source/fleet-simulator/world/world';
import { LongPollFleet, weightsWithinMicroseconds } from './support/longPollFleet';

const agents = 15;
const engines = 8;
/** The delay that a busy machine or a full link adds between two agents. */
const delayMicroseconds = 20_000;
/** The ages matter during a weights change, which must be complete within this time. */
const observedMicroseconds = weightsWithinMicroseconds;

const delayAll = ({ agents: all, controlFleet: keepers }: LongPollFleet): void => {
  for (const from of all)
    for (const to of all) if (from !== to) keepers.network.slowDown(from.machine, to.machine, delayMicroseconds);
};

/** By how much an agent overestimates the age of the weights; undefined if it does not know the age. */
const ageErrorOf = (fleet: LongPollFleet, index: number, trueAgeMicroseconds: number): number | undefined => {
  const { agent, process } = fleet.agent(index);
  const since = agent.freshness.weightsSince('pool')?.sinceMicroseconds;
  return typeof since === 'number' ? process.clock.nowMicroseconds() - since - trueAgeMicroseconds : undefined;
};

describe('regression: each gossip exchange adds to the age of the present weights', () => {
  for (const seed of [1, 2])
    test(`the age known to agents is wrong by at most one request timeout, seed ${seed}`, async () => {
      const world = new World(seed);
      const fleet = new LongPollFleet(world, agents);
      const names = fleet.addEngines(engines);
      await fleet.start();
      await world.runUntil(() => fleet.hasAllLeaseHolders(names), 20_000_000);
      delayAll(fleet);
      const changedMicroseconds = world.nowMicroseconds;
      await fleet.configureWeights('w2');
      await world.runFor(observedMicroseconds);
      const errors = fleet.agents.map((_, index) =>
        ageErrorOf(fleet, index, world.nowMicroseconds - changedMicroseconds),
      );
      const known = errors.flatMap((error) => error ?? []);
      assert.equal(known.length, agents);
      assert.ok(Math.max(...known) <= AgentDefaults.newsAskMicroseconds, errors.join(', '));
    });
});
