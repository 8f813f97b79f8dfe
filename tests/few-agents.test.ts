import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { AttachedProxies } from '../source/edge-agent/proxies/attachedProxies';
import { AgentSelector, type KnownAgent } from '../source/edge-proxy/agent-subscription/agentSelector';
import { ProxyFacts, type ProxyLoad } from '../source/edge-proxy/agent-subscription/proxyFacts';
import { SeedSelector } from '../source/edge-proxy/agent-subscription/seedSelector';
import { checkInvariants } from '../source/fleet-simulator/invariants/invariantCheckers';
import { RequestKinds, type SimEdge, type SimFleet } from '../source/fleet-simulator/machines/simFleet';
import type { World } from '../source/fleet-simulator/world/world';
import { FleetName } from '../source/shared/fleet/fleetName';
import { GossipStore } from '../source/shared/gossip/gossipStore';
import { GossipKeys, type LoadEntry } from '../source/shared/gossip/entryTypes';
import { timerlessClock } from './support/timerlessClock';
import { startedFleet, type FedFleet } from './support/largeConfiguration';

const noLoad: ProxyLoad = { engines: {}, classes: {}, waiting: {}, tenants: {} };
const feeder = (name: string, zone: string): KnownAgent => ({ name, zone, address: `${name}:1` });

describe('selection of the agent that supplies a proxy', () => {
  const setUp = (known: readonly KnownAgent[]) => {
    const clock = timerlessClock();
    const feeders = new AgentSelector({ name: 'p', zone: 'a', agentAddress: 'p:1' }, clock, () => known);
    return { clock, feeders };
  };

  test('the agent of the same machine first, then those of the zone, then others; a silent one is skipped for a while', () => {
    const { clock, feeders } = setUp([feeder('far', 'b'), feeder('near', 'a')]);
    assert.deepEqual(feeders.targets(false), ['p:1']);
    feeders.recordFailure('p:1');
    assert.deepEqual(feeders.targets(false), ['near:1']);
    feeders.recordAnswer('near:1');
    assert.equal(feeders.address, 'near:1');
    assert.equal(feeders.agent, 'near');
    clock.now += 600_000;
    assert.deepEqual(
      feeders.targets(false),
      ['p:1', 'near:1'],
      'the agent of the same machine is retried, and the current one is asked as well',
    );
    feeders.recordFailure('p:1');
    feeders.recordFailure('near:1');
    assert.deepEqual(feeders.targets(false), ['far:1']);
    feeders.recordAnswer('far:1');
    clock.now += 700_000;
    assert.deepEqual(
      feeders.targets(false),
      ['near:1', 'far:1'],
      'the agent of the same machine is skipped longer each time',
    );
    feeders.recordAnswer('near:1');
    assert.equal(feeders.address, 'near:1', 'back to the nearer one');
    clock.now += 10_000_000;
    feeders.recordAnswer('p:1');
    assert.equal(feeders.address, 'p:1');
    feeders.recordAnswer('near:1');
    assert.equal(feeders.address, 'p:1', 'an agent of lower preference does not take over');
  });

  test('if all agents are silent, the one skipped longest is asked, and seeds are needed', () => {
    const { clock, feeders } = setUp([feeder('near', 'a')]);
    assert.ok(feeders.needsSeed, 'no agent has answered yet');
    feeders.recordAnswer('p:1');
    assert.ok(!feeders.needsSeed);
    feeders.recordFailure('p:1');
    clock.now += 1_000;
    feeders.recordFailure('near:1');
    assert.ok(feeders.needsSeed);
    assert.deepEqual(feeders.targets(false), ['p:1']);
  });

  test('a second agent is asked in parallel if the data of the first is old', () => {
    const { feeders } = setUp([feeder('near', 'a')]);
    assert.deepEqual(feeders.targets(true), ['p:1', 'near:1']);
  });

  test('the proxies of a zone are distributed over its agents', () => {
    const known = ['x', 'y', 'z'].map((name) => feeder(name, 'a'));
    const chosen = Array.from({ length: 60 }, (_, number) => {
      const feeders = new AgentSelector(
        { name: `p${number}`, zone: 'a', agentAddress: 'none:1' },
        timerlessClock(),
        () => known,
      );
      feeders.recordFailure('none:1');
      return feeders.targets(false)[0];
    });
    for (const { address } of known) {
      const count = chosen.filter((one) => one === address).length;
      assert.ok(count >= 10 && count <= 30, `${address}: ${count} of 60`);
    }
  });

  test('seeds are asked one after another, and two that agree determine the fleet', () => {
    const clock = timerlessClock();
    const fleet = new FleetName();
    const contacts = new SeedSelector(clock, fleet, { seeds: ['s1', 's2', 's3'], isOnlyFleet: false });
    const first = contacts.next();
    assert.equal(contacts.next(), undefined, 'not again at once');
    clock.now += 200_000;
    assert.notEqual(contacts.next(), first);
    contacts.recordAnswer('s1', 'f');
    assert.equal(fleet.name, '');
    contacts.recordAnswer('s2', 'g');
    assert.equal(fleet.name, '');
    contacts.recordAnswer('s3', 'f');
    assert.equal(fleet.name, 'f');
    const only = new FleetName();
    new SeedSelector(clock, only, { seeds: ['s1'], isOnlyFleet: true }).recordAnswer('s1', 'f');
    assert.equal(only.name, 'f');
  });
});

describe('gossip entries of a proxy', () => {
  const setUp = () => {
    const clock = timerlessClock();
    const proxyBook = new GossipStore();
    const agents = { name: 'a1' };
    const proxy = new ProxyFacts(
      'p',
      proxyBook,
      clock,
      () => 1,
      () => agents.name,
    );
    const agentOf = (name: string) => {
      const facts = new GossipStore();
      return {
        facts,
        followers: new AttachedProxies(facts, clock, { name, forgetMicroseconds: 60_000_000 }, () => true),
      };
    };
    return { clock, proxyBook, agents, proxy, a1: agentOf('a1'), a2: agentOf('a2') };
  };
  const loadIn = (facts: GossipStore): LoadEntry | undefined => facts.value<LoadEntry>(GossipKeys.load('p'));
  const copy = (from: GossipStore, to: GossipStore): void => {
    for (const fact of from.withPrefix('')) to.put(fact);
  };

  test('an agent marks a proxy without requests as silent, and the proxy refutes it', () => {
    const { clock, proxyBook, proxy, a1 } = setUp();
    proxy.publishLoad({ ...noLoad, engines: { e1: 2 } });
    a1.followers.recordRequest('p', proxy.ownFacts());
    assert.deepEqual(loadIn(a1.facts)?.engines, { e1: 2 });
    clock.now += 1_400_000;
    a1.followers.updatePresence();
    assert.equal(loadIn(a1.facts)?.isSilent, undefined);
    clock.now += 200_000;
    a1.followers.updatePresence();
    assert.equal(loadIn(a1.facts)?.isSilent, true);
    assert.deepEqual(loadIn(a1.facts)?.engines, {});
    copy(a1.facts, proxyBook);
    proxy.publishLoad({ ...noLoad, engines: { e1: 2 } });
    a1.followers.recordRequest('p', proxy.ownFacts());
    assert.equal(loadIn(a1.facts)?.isSilent, undefined);
    assert.deepEqual(loadIn(a1.facts)?.engines, { e1: 2 });
  });

  test('a proxy that moved to another agent is not marked silent by the previous one', () => {
    const { clock, agents, proxy, a1, a2 } = setUp();
    proxy.publishLoad(noLoad);
    a1.followers.recordRequest('p', proxy.ownFacts());
    agents.name = 'a2';
    proxy.publishLoad(noLoad);
    a2.followers.recordRequest('p', proxy.ownFacts());
    copy(a2.facts, a1.facts);
    clock.now += 5_000_000;
    a1.followers.updatePresence();
    assert.equal(loadIn(a1.facts)?.isSilent, undefined);
    a2.followers.updatePresence();
    assert.equal(loadIn(a2.facts)?.isSilent, true, 'the later agent is responsible for it');
  });

  test('a restarted proxy continues with versions above those of its previous run', () => {
    const { clock, proxyBook, proxy, a1 } = setUp();
    for (let count = 1; count <= 5; count += 1) {
      clock.now += 1_000_000;
      proxy.publishLoad({ ...noLoad, engines: { e1: count } });
    }
    a1.followers.recordRequest('p', proxy.ownFacts());
    const restartedBook = new GossipStore();
    const restarted = new ProxyFacts(
      'p',
      restartedBook,
      clock,
      () => 1,
      () => 'a1',
    );
    restarted.publishLoad(noLoad);
    a1.followers.recordRequest('p', restarted.ownFacts());
    assert.deepEqual(loadIn(a1.facts)?.engines, { e1: 5 }, 'an older version does not count');
    copy(a1.facts, restartedBook);
    restarted.publishLoad(noLoad);
    a1.followers.recordRequest('p', restarted.ownFacts());
    assert.deepEqual(loadIn(a1.facts)?.engines, {});
    assert.ok(proxyBook.size > 0);
  });

  test('the entries of a proxy long gone are removed, and a proxy can only write its own entries', () => {
    const { clock, proxy, a1 } = setUp();
    proxy.publishLoad(noLoad);
    a1.followers.recordRequest('p', proxy.ownFacts());
    a1.followers.recordRequest('p', [{ key: GossipKeys.load('q'), version: [9, 9], value: {} }]);
    assert.equal(a1.facts.get(GossipKeys.load('q')), undefined);
    clock.now += 2_000_000;
    a1.followers.updatePresence();
    a1.followers.updatePresence();
    clock.now += 59_000_000;
    a1.followers.updatePresence();
    assert.ok(loadIn(a1.facts) !== undefined);
    clock.now += 2_000_000;
    a1.followers.updatePresence();
    assert.equal(loadIn(a1.facts), undefined);
  });

  test('in a large fleet a load is updated less often', () => {
    const clock = timerlessClock();
    const book = new GossipStore();
    const proxy = new ProxyFacts(
      'p',
      book,
      clock,
      () => 64,
      () => 'a',
    );
    proxy.publishLoad(noLoad);
    clock.now += 300_000;
    proxy.publishLoad({ ...noLoad, engines: { e: 1 } });
    assert.deepEqual(loadIn(book)?.engines, {});
    clock.now += 100_000;
    proxy.publishLoad({ ...noLoad, engines: { e: 1 } });
    assert.deepEqual(loadIn(book)?.engines, { e: 1 });
  });
});

const fewAgents = { edges: 8, agents: 3 };

const started = (seed: number): Promise<FedFleet> => startedFleet(seed, fewAgents, Infinity);
const callAll = async (world: World, fleet: SimFleet): Promise<void> => {
  const calls = fleet.edges.map((edge) =>
    fleet.clients.send(fleet.handle(edge), RequestKinds.short, 'open1', 'key-open1-a'),
  );
  assert.ok(await world.runUntil(() => calls.every(({ isFinished: over }) => over), 30_000_000));
  for (const call of calls) assert.equal(call.status, 200, call.nonce);
};
const isSupplied = ({ proxy }: SimEdge): boolean => proxy.freshness.ageMicroseconds() < 900_000;

describe('a fleet with agents on few of its machines', () => {
  test('every proxy is supplied, counted by all, and serves requests', async () => {
    const { world, fleet } = await started(5);
    for (const { name, proxy } of fleet.edges) {
      assert.ok(proxy.fresh(), name);
      assert.equal(proxy.knownDaemons(), fewAgents.edges, `${name} counts all proxies`);
    }
    await callAll(world, fleet);
    assert.deepEqual(checkInvariants(fleet).violations, []);
  });

  for (const how of ['killed', 'frozen'] as const)
    test(`an agent that is ${how}: its proxies are supplied by another one within a second`, async () => {
      const { world, fleet } = await started(6);
      const { agentProcess } = fleet.edge(0);
      if (how === 'killed') agentProcess.kill();
      else agentProcess.freeze();
      const worst = new Map<string, number>();
      for (let step = 0; step < 60; step += 1) {
        await world.runFor(50_000);
        for (const { name, proxy } of fleet.edges)
          worst.set(name, Math.max(worst.get(name) ?? 0, proxy.freshness.ageMicroseconds()));
      }
      for (const [name, age] of worst) assert.ok(age < 1_400_000, `${name}: ${age}`);
      await callAll(world, fleet);
      assert.deepEqual(checkInvariants(fleet).violations, []);
    });

  test('a restarted proxy and a new one find an agent through the seeds', async () => {
    const { world, fleet } = await started(7);
    const edge = fleet.edge(6);
    edge.proxyProcess.kill();
    fleet.startProxy(edge);
    assert.ok(await world.runUntil(() => edge.proxy.fresh() && edge.proxy.isReady(), 1_500_000));
    await world.runFor(1_000_000);
    assert.equal(edge.proxy.knownDaemons(), fewAgents.edges);
    await callAll(world, fleet);
  });

  test('after the loss of all agents at once, proxies are supplied again when agents are back', async () => {
    const { world, fleet } = await started(8);
    for (const edge of fleet.edges) edge.agentProcess.kill();
    await world.runFor(4_000_000);
    for (const edge of fleet.edges) fleet.startAgent(edge);
    assert.ok(await world.runUntil(() => fleet.edges.every(isSupplied), 4_000_000));
    await world.runFor(1_500_000);
    await callAll(world, fleet);
    assert.deepEqual(checkInvariants(fleet).violations, []);
  });

  test('a proxy that is gone is no longer counted as present', async () => {
    const { world, fleet } = await started(9);
    const [gone, agents] = [fleet.edge(7), fleet.edges.filter((edge) => fleet.hasAgent(edge))];
    gone.proxyProcess.kill();
    const isKnown = (): boolean =>
      agents.every(({ agent }) => agent.facts.value<LoadEntry>(GossipKeys.load(gone.name))?.isSilent === true);
    assert.ok(await world.runUntil(isKnown, 4_000_000));
  });
});
