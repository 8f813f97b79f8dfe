/**
 * Guards against proxies that keep an old configuration for seconds after changes in quick succession: agents skip a revision that
 * some proxies have applied, and the only agent that had it is lost.
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { configurationOf, generateGossip, proxiesOn, startedFleet, type FedFleet } from './support/largeConfiguration';

/** Bandwidth of an edge machine's link: 7 Mbit/s. */
const linkBytesPerSecond = 875_000;
const proxyCount = 39;
const routeCount = 1_830;
/** Time limit from the confirmation of a change until each connected machine applies it. */
const applyMicroseconds = 2_500_000;
const settledMicroseconds = 4_000_000;
const partitionMicroseconds = 1_500_000;

/** Traffic of a fleet of 63 proxies and 56 engines: about 80 kB/s to each proxy. */
const loadTraffic = { facts: 63, periodMicroseconds: 350_000, bytes: 200 };
const engineTraffic = { facts: 56, periodMicroseconds: 150_000, bytes: 200 };

const changeWeights = async ({ fleet }: FedFleet, weights: string): Promise<void> =>
  assert.ok((await fleet.changeUntilAccepted('blueprint', configurationOf(routeCount, weights))) !== undefined);

/** Partitions all agents but the first from it and from the control nodes; the result heals the partition. */
const partitionAgents = ({ fleet }: FedFleet): (() => void) => {
  const [first, ...others] = fleet.edges.filter((edge) => fleet.hasAgent(edge)).map(({ machine }) => machine);
  const far = [...fleet.controlNodes.map(({ machine }) => machine), first ?? ''];
  const heals = others.flatMap((agent) =>
    far.flatMap((machine) => [fleet.network.cutLink(agent, machine), fleet.network.cutLink(machine, agent)]),
  );
  return () => heals.forEach((heal) => heal());
};

describe('agents skip a revision that some proxies have applied (incident)', () => {
  for (const seed of [1, 2, 3, 4, 5, 6, 7, 8])
    test(`the newest revision reaches all proxies in time after the agent with the skipped one is lost, seed ${seed}`, async () => {
      const fed = await startedFleet(seed, { edges: proxyCount, agents: 3 }, linkBytesPerSecond);
      await changeWeights(fed, 'w2');
      await fed.world.runFor(settledMicroseconds);
      generateGossip(fed, loadTraffic);
      generateGossip(fed, engineTraffic);
      await fed.world.runFor(settledMicroseconds);
      const heal = partitionAgents(fed);
      await changeWeights(fed, 'w3');
      await fed.world.runFor(partitionMicroseconds);
      heal();
      fed.fleet.edge(0).agentProcess.kill();
      await changeWeights(fed, 'w4');
      await changeWeights(fed, 'w5');
      await fed.world.runFor(applyMicroseconds);
      assert.equal(proxiesOn(fed, 'w5'), proxyCount);
    });
});
