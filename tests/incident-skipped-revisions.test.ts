/** What users saw: after changes in quick succession single proxies went on with an old configuration for seconds. */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { blueprintOf, keepTalking, proxiesOn, startedFleet, type FedFleet } from './support/largeConfiguration';

/** 7 Mbit/s: what an edge machine's link carries. */
const linkBytesPerSecond = 875_000;
const proxyCount = 39;
const routeCount = 1_830;
/** Within this time of its confirmation a change is in force on each machine in touch. */
const applyMicroseconds = 2_500_000;
const settledMicroseconds = 4_000_000;
const partitionMicroseconds = 1_500_000;

/** As in a fleet of 63 proxies and 56 engines: some 80 kB a second to each proxy. */
const loadTraffic = { facts: 63, periodMicroseconds: 350_000, bytes: 200 };
const engineTraffic = { facts: 56, periodMicroseconds: 150_000, bytes: 200 };

const changeWeights = async ({ fleet }: FedFleet, weights: string): Promise<void> =>
  assert.ok((await fleet.take('blueprint', blueprintOf(routeCount, weights))) !== undefined);

/** Cuts all agents but the first one off from it and from the control nodes; what is returned mends it. */
const partitionAgents = ({ fleet }: FedFleet): (() => void) => {
  const [first, ...others] = fleet.edges.filter((edge) => fleet.hasAgent(edge)).map(({ machine }) => machine);
  const far = [...fleet.keepers.map(({ machine }) => machine), first ?? ''];
  const mends = others.flatMap((agent) =>
    far.flatMap((machine) => [fleet.network.cut(agent, machine), fleet.network.cut(machine, agent)]),
  );
  return () => mends.forEach((mend) => mend());
};

describe('incident: agents that skip a revision which some proxies apply', () => {
  for (const seed of [1, 2, 3, 4, 5, 6, 7, 8])
    test(`the agent that had it is lost: the newest revision reaches all proxies in time, seed ${seed}`, async () => {
      const fed = await startedFleet(seed, { edges: proxyCount, agents: 3 }, linkBytesPerSecond);
      await changeWeights(fed, 'w2');
      await fed.world.runFor(settledMicroseconds);
      keepTalking(fed, loadTraffic);
      keepTalking(fed, engineTraffic);
      await fed.world.runFor(settledMicroseconds);
      const mend = partitionAgents(fed);
      await changeWeights(fed, 'w3');
      await fed.world.runFor(partitionMicroseconds);
      mend();
      fed.fleet.edge(0).agentProcess.kill();
      await changeWeights(fed, 'w4');
      await changeWeights(fed, 'w5');
      await fed.world.runFor(applyMicroseconds);
      assert.equal(proxiesOn(fed, 'w5'), proxyCount);
    });
});
