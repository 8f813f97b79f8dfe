import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { AgentDefaults } from '../source/edge-agent/edgeAgent';
import { World } from '../source/fleet-simulator/world/world';
import { HeldFleet, weightsWithinMicroseconds } from './support/heldFleet';

const agents = 15;
const engines = 8;
/** What a busy machine or a full link adds to the way from one agent to another. */
const delayMicroseconds = 20_000;
/** While weights change, their age decides: new ones are to stand everywhere within this time. */
const lookedAtMicroseconds = weightsWithinMicroseconds;

const delayAll = ({ agents: all, keepers }: HeldFleet): void => {
  for (const from of all)
    for (const to of all) if (from !== to) keepers.network.slowDown(from.machine, to.machine, delayMicroseconds);
};

/** By how much later than it is an agent believes it to be since the weights were named; undefined: it does not know. */
const errorOf = (fleet: HeldFleet, index: number, agoMicroseconds: number): number | undefined => {
  const { agent, process } = fleet.agent(index);
  const since = agent.freshness.weightsSince('pool')?.sinceMicroseconds;
  return typeof since === 'number' ? process.clock.nowMicroseconds() - since - agoMicroseconds : undefined;
};

describe('regression: each exchange of news makes the weights of now older', () => {
  for (const seed of [1, 2])
    test(`what agents know of their age is wrong by no more than one ask may take, seed ${seed}`, async () => {
      const world = new World(seed);
      const fleet = new HeldFleet(world, agents);
      const names = fleet.addEngines(engines);
      await fleet.start();
      await world.runUntil(() => fleet.settled(names), 20_000_000);
      delayAll(fleet);
      const asked = world.nowMicroseconds;
      await fleet.name('w2');
      await world.runFor(lookedAtMicroseconds);
      const errors = fleet.agents.map((_, index) => errorOf(fleet, index, world.nowMicroseconds - asked));
      const known = errors.flatMap((error) => error ?? []);
      assert.equal(known.length, agents);
      assert.ok(Math.max(...known) <= AgentDefaults.newsAskMicroseconds, errors.join(', '));
    });
});
