/**
 * Guards against a confirmed change of the configuration taking effect too late in an overloaded fleet whose control nodes were unreachable
 * for 5 s.
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { SimProcessor } from '../source/fleet-simulator/world/simProcessor';
import { configurationOf, proxiesOn, startedFleet, type FedFleet } from './support/largeConfiguration';

/** 7 Mbit/s, the capacity of an edge machine's link. */
const linkBytesPerSecond = 875_000;
const proxyCount = 39;
const routes = 350;
/** A change is in force within this time of its confirmation on each machine that is in contact. */
const applyMicroseconds = 2_500_000;
const settledMicroseconds = 4_000_000;
const outageMicroseconds = 5_000_000;

/** From now on each message and timer takes the machines with an agent this long to process. */
const slowAgents = ({ world, fleet }: FedFleet, actMicroseconds: number): void => {
  for (const edge of fleet.edges.filter((one) => fleet.hasAgent(one))) {
    const processor = new SimProcessor(world, actMicroseconds);
    edge.agentProcess.processor = processor;
    edge.proxyProcess.processor = processor;
  }
};

const controlNodesStop = async ({ world, fleet }: FedFleet, microseconds: number): Promise<void> => {
  for (const { process } of fleet.controlNodes) process.freeze();
  await world.runFor(microseconds);
  for (const { process } of fleet.controlNodes) process.unfreeze();
};

const confirmed = async ({ fleet }: FedFleet, weights: string): Promise<void> =>
  assert.ok((await fleet.changeUntilAccepted('blueprint', configurationOf(routes, weights))) !== undefined);

describe('incident: agents that are busy feeding proxies while the control nodes are away', () => {
  for (const seed of [3, 4])
    for (const [label, outage] of [
      ['no outage', 0],
      ['an outage of 5 s', outageMicroseconds],
    ] as const)
      for (const actMicroseconds of [6_000, 10_000, 12_000])
        test(`${actMicroseconds / 1000} ms an act, ${label}: changes confirmed in quick succession reach all proxies in time, seed ${seed}`, async () => {
          const fed = await startedFleet(seed, { edges: proxyCount, agents: 3 }, linkBytesPerSecond);
          await confirmed(fed, 'w2');
          await fed.world.runFor(settledMicroseconds);
          slowAgents(fed, actMicroseconds);
          await fed.world.runFor(settledMicroseconds);
          await controlNodesStop(fed, outage);
          for (const weights of ['w3', 'w4', 'w5']) await confirmed(fed, weights);
          await fed.world.runFor(applyMicroseconds);
          assert.equal(proxiesOn(fed, 'w5'), proxyCount);
        });
});
