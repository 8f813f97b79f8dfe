/**
 * Guards against a confirmed change taking effect too late, and against work that continues under old weights for longer than allowed, in a
 * fleet that otherwise works: every machine in contact, control nodes stable, requests served.
 *
 * Agents run on three machines of a zone and feed all proxies there. When two of them are lost, the configuration with many routes goes to
 * all proxies of the zone through one agent's slow link. A proxy waits half a second for a gossip answer. An answer with the whole
 * configuration takes longer when many are under way; it is discarded on arrival and requested again, so the link stays full of answers
 * that nobody waits for, and most proxies never learn the change. Nothing is guaranteed for proxies that are out of contact, so they
 * continue with what they know.
 *
 * Seen before the fix, with 30 proxies, one agent with a link of 7 Mbit/s and 1,480 routes (32 kB compressed), where 1 MB is enough for
 * all and takes the link 1.1 s: 15 of 30 proxies had the change after 3 s, all of them only after 7.5 s and 7.2 MB; the next change, of
 * weights only, had reached 26 of 30 after 7.5 s. With 42 proxies, 15 had the first change after 7.5 s, and none had the second.
 *
 * The index of cached prompts was sent in the same answers, up to 5,000 entries in each, which has the same effect without the loss of an
 * agent: 30 proxies, three agents and 750 more entries for each engine, as after new weights or with a new engine controller. From then
 * on no proxy's configuration was confirmed any more until the end of the test, while 124 MB were sent over the links.
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { configurationOf, proxiesOn, startedFleet, type FedFleet } from './support/largeConfiguration';

/** 7 Mbit/s, the capacity of an edge machine's link. */
const linkBytesPerSecond = 875_000;
const manyRoutes = 1_480;
/** A change is in force within this time of its confirmation on each machine that is in contact. */
const applyMicroseconds = 2_500_000;
/** Time until lost agents are detected and other agents feed their proxies. */
const movedMicroseconds = 4_000_000;

const confirmed = async ({ world, fleet }: FedFleet, routes: number, weights: string): Promise<void> => {
  assert.ok((await fleet.changeUntilAccepted('blueprint', configurationOf(routes, weights))) !== undefined);
  await world.runFor(applyMicroseconds);
};

/** After this time without confirmation the configuration may have changed. */
const confirmedMicroseconds = 1_500_000;

const loseAgents = async ({ world, fleet }: FedFleet, count: number): Promise<void> => {
  for (let index = 0; index < count; index += 1) fleet.edge(index).agentProcess.kill();
  await world.runFor(movedMicroseconds);
};

/** Time until a large index has reached all proxies over the links of three agents. */
const settledMicroseconds = 12_000_000;

/** Time until agents that started early have handed engine leases over to the intended agents, which read their engines' index again. */
const leasesSettledMicroseconds = 14_000_000;

/** Adds entries to the index of every engine at once, as after new weights. */
const growIndex = ({ fleet }: FedFleet, entries: number): void => {
  for (const { agent } of fleet.edges.filter((edge) => fleet.hasAgent(edge)))
    for (const { name } of agent.leaseManager
      .activeControllers()
      .filter(({ name: engine }) => engine.startsWith('engine-')))
      for (let index = 0; index < entries; index += 1) {
        const physical = `${name}-${index}-0123456789abcdef`;
        agent.shards.get(name)?.put({ physical, logical: physical, name: physical, size: 512 });
      }
};

const unconfirmedProxies = ({ fleet }: FedFleet): readonly string[] =>
  fleet.edges
    .filter(({ proxy }) => proxy.freshness.ageMicroseconds() > confirmedMicroseconds)
    .map(({ name, proxy }) => `${name}: ${proxy.freshness.ageMicroseconds()}`);

describe('incident: proxies that are fed by few agents over slow links', () => {
  for (const seed of [3, 4])
    test(`two of three agents are lost: a large configuration and new weights reach all proxies in time, seed ${seed}`, async () => {
      const fed = await startedFleet(seed, { edges: 30, agents: 3 }, linkBytesPerSecond);
      await loseAgents(fed, 2);
      await confirmed(fed, manyRoutes, 'w2');
      assert.equal(proxiesOn(fed, 'w2'), 30, 'the large configuration');
      await confirmed(fed, manyRoutes, 'w3');
      assert.equal(proxiesOn(fed, 'w3'), 30, 'new weights alone');
    });

  for (const entries of [750, 2_000])
    test(`the index grows by ${entries} entries an engine: every proxy's configuration stays confirmed`, async () => {
      const fed = await startedFleet(3, { edges: 30, agents: 3 }, linkBytesPerSecond);
      growIndex(fed, entries);
      await fed.world.runFor(applyMicroseconds);
      assert.deepEqual(unconfirmedProxies(fed), []);
    });

  test('all proxies restart while the index is large: they are ready in time and receive all of it', async () => {
    const fed = await startedFleet(3, { edges: 30, agents: 3 }, linkBytesPerSecond);
    await fed.world.runFor(leasesSettledMicroseconds);
    growIndex(fed, 750);
    await fed.world.runFor(settledMicroseconds);
    for (const edge of fed.fleet.edges) {
      edge.proxyProcess.kill();
      fed.fleet.startProxy(edge);
    }
    await fed.world.runFor(applyMicroseconds);
    assert.deepEqual(unconfirmedProxies(fed), []);
    assert.ok(fed.fleet.edges.every(({ proxy }) => proxy.isReady()));
    await fed.world.runFor(settledMicroseconds);
    const agents = fed.fleet.edges.filter((edge) => fed.fleet.hasAgent(edge));
    const whole = Math.max(...agents.map(({ agent }) => agent.shards.size));
    const known = fed.fleet.edges.map(({ proxy }) => proxy.indexSize());
    assert.equal(whole, 750 * fed.fleet.engineNames.length, 'all entries of the engines');
    assert.equal(Math.min(...known), whole, 'the smallest index of a proxy');
  });

  test('changes in quick succession: earlier changes do not delay the last one', async () => {
    const fed = await startedFleet(5, { edges: 30, agents: 3 }, linkBytesPerSecond);
    await loseAgents(fed, 1);
    for (let change = 2; change <= 9; change += 1) {
      assert.ok(
        (await fed.fleet.changeUntilAccepted('blueprint', configurationOf(manyRoutes, `w${change}`))) !== undefined,
      );
      await fed.world.runFor(330_000);
    }
    await fed.world.runFor(applyMicroseconds - 330_000);
    assert.equal(proxiesOn(fed, 'w9'), 30);
  });
});
