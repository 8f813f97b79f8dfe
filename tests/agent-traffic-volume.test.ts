import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { makeBusy, type BackgroundLoad } from './support/backgroundLoad';
import { configurationOf, proxiesOn, startedFleet, type FedFleet } from './support/largeConfiguration';

/** 7 Mbit/s, the link capacity of an edge machine. */
const linkBytesPerSecond = 875_000;
/** One zone of a fleet of 195 proxies, with three agents for its proxies. */
const zone = { edges: 39, agents: 3 } as const;
const elsewhere: BackgroundLoad = { proxies: 156, engines: 41, loadsPerSecond: 145, partsPerSecond: 215 };
const settleMicroseconds = 3_000_000;
/** Time until the failure of an agent is detected and its proxies use other agents. */
const failoverMicroseconds = 4_000_000;
/** Time after its confirmation within which a change is in force on each connected machine. */
const applyMicroseconds = 2_500_000;
const routes = 350;
const changePauseMicroseconds = 200_000;

const busyZone = async (seed: number): Promise<FedFleet> => {
  const fed = await startedFleet(seed, zone, linkBytesPerSecond);
  makeBusy(fed, elsewhere);
  await fed.world.runFor(settleMicroseconds);
  return fed;
};

const agentBytes = ({ fleet }: FedFleet): readonly number[] =>
  fleet.edges.filter((edge) => fleet.hasAgent(edge)).map(({ machine }) => fleet.network.bytesSentBy(machine));

describe('traffic from agents to the proxies of a large fleet', () => {
  test('uses less than half of the link of an agent under steady load', async () => {
    const fed = await busyZone(3);
    const before = agentBytes(fed);
    await fed.world.runFor(settleMicroseconds);
    const perSecond = agentBytes(fed).map(
      (bytes, index) => (bytes - (before[index] ?? 0)) / (settleMicroseconds / 1e6),
    );
    assert.ok(Math.max(...perSecond) < linkBytesPerSecond / 2, perSecond.map(Math.round).join(', '));
  });

  for (const seed of [4, 5])
    test(`delivers changes in quick succession in time after the loss of two of three agents, seed ${seed}`, async () => {
      const fed = await busyZone(seed);
      for (const index of [0, 1]) fed.fleet.edge(index).agentProcess.kill();
      await fed.world.runFor(failoverMicroseconds);
      for (const weights of ['w2', 'w3', 'w4']) {
        assert.ok((await fed.fleet.changeUntilAccepted('blueprint', configurationOf(routes, weights))) !== undefined);
        await fed.world.runFor(changePauseMicroseconds);
      }
      await fed.world.runFor(applyMicroseconds - changePauseMicroseconds);
      assert.equal(proxiesOn(fed, 'w4'), zone.edges);
    });
});
