import assert from 'node:assert/strict';
import fc from 'fast-check';
import { describe, test } from 'node:test';
import { DemandPublisher } from '../source/edge-proxy/demand/demandPublisher';
import { RequestScheduler } from '../source/edge-agent/scheduler/requestScheduler';
import { DemandSettings, DemandView } from '../source/edge-proxy/demand/demandView';
import { LinkSpeeds } from '../source/edge-proxy/cache-imports/linkSpeeds';
import { PartImportSettings, PartImports } from '../source/edge-proxy/cache-imports/partImports';
import type { ProxyRequest, ResolvedRequest } from '../source/edge-proxy/pipeline/request';
import { PlacementCostSettings } from '../source/edge-proxy/placement/placementCosts';
import type { SchedulerClient } from '../source/edge-proxy/placement/schedulerClient';
import type { EngineView } from '../source/edge-proxy/placement/engineView';
import { ReservedEngines, ReservedEngineSettings } from '../source/edge-proxy/placement/reservedEngines';
import { PromptKeys } from '../source/edge-proxy/placement/placementPolicies';
import { PrefillSpeeds } from '../source/edge-proxy/placement/prefillSpeeds';
import { CostPlacer } from '../source/edge-proxy/placement/costPlacer';
import { CopyPlacement } from '../source/shared/demand/copyPlacement';
import { HeavyHitters } from '../source/shared/demand/heavyHitters';
import { DemandLimits, PrefixDemand, type DemandEntry, type RankedPrefix } from '../source/shared/demand/prefixDemand';
import {
  SchedulerMessages,
  type SchedulerOffer,
  type SchedulerRequest,
} from '../source/shared/scheduler/schedulerMessages';
import type { LookupResult } from '../source/shared/directory/lookup';
import { seededRandom } from '../source/shared/effects/random/random';
import { Metrics } from '../source/shared/metrics/metrics';
import { GossipStore } from '../source/shared/gossip/gossipStore';
import { GossipKeys, type MemberState } from '../source/shared/gossip/entryTypes';
import { timerlessClock } from './support/timerlessClock';
import { pool } from './support/pool';

const name = fc.constantFrom(...'abcdefghijkl');
const halfLife = 1_000_000;
const stream = fc.array(fc.record({ name, pause: fc.nat(300_000) }), { minLength: 1, maxLength: 200 });

describe('sketch of the most frequent prefixes', () => {
  test('counts lie within their bounds, memory is bounded, and no frequent prefix is missing', () => {
    fc.assert(
      fc.property(stream, fc.integer({ min: 1, max: 8 }), (seen, counters) => {
        const sketch = new HeavyHitters(counters, halfLife);
        const exact = new Map<string, number>();
        let now = 0;
        for (const { name: seenName, pause } of seen) {
          now += pause;
          for (const [known, count] of exact) exact.set(known, count * 2 ** (-pause / halfLife));
          exact.set(seenName, (exact.get(seenName) ?? 0) + 1);
          sketch.record(seenName, now);
        }
        const total = [...exact.values()].reduce((sum, count) => sum + count, 0);
        const tolerance = total * 1e-9;
        assert.ok(sketch.size <= counters);
        assert.ok(Math.abs(sketch.total(now) - total) < tolerance);
        for (const [known, count] of exact) {
          const [least, most] = sketch.bounds(known, now);
          assert.ok(least <= count + tolerance && count <= most + tolerance, `${known}: ${least} ${count} ${most}`);
          assert.ok(
            most - least <= total / counters + tolerance,
            'the error of a counter is at most its share of the total',
          );
          if (count > total / counters + tolerance)
            assert.ok(
              sketch.top(counters, now).some((hitter) => hitter.name === known),
              'a frequent prefix is among the top',
            );
        }
        const top = sketch.top(3, now).map(({ count }) => count);
        assert.deepEqual(
          [...top].sort((left, right) => right - left),
          top,
        );
      }),
      { seed: 11, numRuns: 400 },
    );
  });

  test('counts halve with each half-life, also after a long time', () => {
    const sketch = new HeavyHitters(4, halfLife);
    for (let turn = 0; turn < 8; turn += 1) sketch.record('a', 0);
    assert.equal(sketch.total(halfLife), 4);
    assert.deepEqual(sketch.top(1, 3 * halfLife), [{ name: 'a', count: 1 }]);
    for (let turn = 1; turn <= 500; turn += 1) sketch.record('b', turn * halfLife);
    assert.ok(Math.abs(sketch.total(500 * halfLife) - 2) < 1e-6);
    assert.deepEqual(
      sketch.top(4, 500 * halfLife).map(({ name: kept }) => kept),
      ['b'],
      'a prefix that has decayed occupies no counter',
    );
  });

  test('of equal counts the most recently requested prefix ranks first', () => {
    const sketch = new HeavyHitters(4, 1e15);
    for (const [index, seen] of ['b', 'c', 'a'].entries()) sketch.record(seen, index);
    assert.deepEqual(
      sketch.top(3, 3).map(({ name: kept }) => kept),
      ['a', 'c', 'b'],
    );
  });
});

const fact = fc.record({
  agent: fc.constantFrom('p', 'q', 'r'),
  total: fc.nat(500),
  prefixes: fc.uniqueArray(fc.tuple(name, fc.nat(50)), { selector: ([first]) => first, maxLength: 12 }),
});

describe('ranking of the demand of the fleet', () => {
  test('the same facts lead to the same ranking, in whatever order they arrive', () => {
    fc.assert(
      fc.property(fc.array(fact, { maxLength: 6 }), fc.infiniteStream(fc.nat(1000)), (facts, draws) => {
        const shuffled = facts
          .map((item) => ({ item, draw: draws.next().value as number }))
          .sort((left, right) => left.draw - right.draw)
          .map(({ item }) => item);
        const ranked = PrefixDemand.rank(facts);
        assert.deepEqual(PrefixDemand.rank(shuffled), ranked);
        assert.equal(new Set(ranked.map(({ name: wanted }) => wanted)).size, ranked.length);
        for (const [index, { count, sharePerMille }] of ranked.entries()) {
          assert.ok(count > 0 && sharePerMille >= 0 && sharePerMille <= 1000);
          const before = ranked[index - 1];
          assert.ok(before === undefined || before.count >= count);
        }
      }),
      { seed: 12, numRuns: 300 },
    );
  });

  test('equal counts are ranked by name, and the ranking is bounded', () => {
    const prefixes = Array.from({ length: 16 }, (_, index) => [`n${String(99 - index)}`, 1] as const);
    assert.equal(PrefixDemand.rank([{ agent: 'p', total: 16, prefixes }])[0]?.name, 'n84');
    const facts = Array.from({ length: 20 }, (_, agent): DemandEntry => ({
      agent: String(agent),
      total: 16,
      prefixes: Array.from({ length: 16 }, (__, index) => [`${agent}/${index}`, 1] as const),
    }));
    assert.equal(PrefixDemand.rank(facts).length, DemandLimits.maxRankedPrefixes);
  });

  test('rejects malformed facts', () => {
    fc.assert(
      fc.property(fc.jsonValue(), (value) => {
        assert.equal(PrefixDemand.isEntry(value), false);
      }),
      { seed: 13, numRuns: 300 },
    );
    const good: DemandEntry = { agent: 'p', total: 3, prefixes: [['a', 2]] };
    assert.ok(PrefixDemand.isEntry(good));
    for (const wrong of [
      { total: -1 },
      { total: 0.5 },
      { prefixes: [['a']] },
      { prefixes: [['', 1]] },
      { prefixes: [['x'.repeat(33), 1]] },
      { prefixes: Array.from({ length: 33 }, (_, index) => [String(index), 1]) },
    ])
      assert.equal(PrefixDemand.isEntry({ ...good, ...wrong }), false);
  });
});

const places = { copiesPerMille: 1500, mostCopies: 4 };
const wantedList = fc
  .uniqueArray(fc.tuple(name, fc.nat(400)), { selector: ([first]) => first, minLength: 1, maxLength: 12 })
  .map((items): readonly RankedPrefix[] =>
    items.map(([wanted, sharePerMille]) => ({ name: wanted, count: sharePerMille + 1, sharePerMille })),
  );
const engineNames = fc.uniqueArray(
  fc.integer({ min: 0, max: 99 }).map((number) => `e${number}`),
  { minLength: 1, maxLength: 20 },
);

describe('assignment of copies to engines', () => {
  test('each prefix has at least one engine, as many as its share of the demand requires, and no engine has too many prefixes', () => {
    fc.assert(
      fc.property(wantedList, engineNames, (wanted, engines) => {
        const given = CopyPlacement.assign(wanted, engines, places);
        const taken = new Map<string, number>();
        let all = 0;
        for (const { name: prefix, sharePerMille } of wanted) {
          const own = given.get(prefix) ?? [];
          assert.equal(own.length, CopyPlacement.copyCount(sharePerMille, engines.length, places));
          assert.ok(own.length >= 1 && own.length <= Math.min(4, engines.length));
          assert.equal(new Set(own).size, own.length, 'all copies are on different engines');
          for (const engine of own) taken.set(engine, (taken.get(engine) ?? 0) + 1);
          all += own.length;
        }
        for (const [engine, count] of taken) {
          assert.ok(engines.includes(engine));
          assert.ok(count <= Math.ceil(all / engines.length) + 4, 'no engine has too many copies');
        }
        assert.deepEqual(CopyPlacement.assign(wanted, [...engines], places), given);
      }),
      { seed: 14, numRuns: 300 },
    );
  });

  test('as many prefixes as engines, with equal demand, get one engine each', () => {
    const engines = ['e1', 'e2', 'e3', 'e4', 'e5'];
    const wanted = ['a', 'b', 'c', 'd', 'e'].map((prefix): RankedPrefix => ({
      name: prefix,
      count: 9,
      sharePerMille: 100,
    }));
    const given = CopyPlacement.assign(wanted, engines, places);
    assert.equal(new Set([...given.values()].flat()).size, 5);
  });

  test('removing an engine moves few of the copies on the other engines', () => {
    const engines = Array.from({ length: 10 }, (_, index) => `e${index}`);
    const wanted = Array.from({ length: 40 }, (_, index): RankedPrefix => ({
      name: `p${index}`,
      count: 40 - index,
      sharePerMille: 20,
    }));
    const before = CopyPlacement.assign(wanted, engines, places);
    const after = CopyPlacement.assign(wanted, engines.slice(1), places);
    const moved = wanted.filter(
      ({ name: prefix }) => before.get(prefix)?.[0] !== 'e0' && before.get(prefix)?.[0] !== after.get(prefix)?.[0],
    );
    assert.ok(moved.length <= 14, `${moved.length} of 40`);
  });
});

const member = (facts: GossipStore, agent: string, state: MemberState = 'alive', version = 1): void => {
  facts.put({ key: GossipKeys.member(agent), version: [version, 0], value: { name: agent, state } });
};
const publishDemand = (facts: GossipStore, agent: string, prefixes: DemandEntry['prefixes'], version = 1): void => {
  const value: DemandEntry = { agent, total: prefixes.reduce((sum, [, count]) => sum + count, 0), prefixes };
  facts.put({ key: GossipKeys.demand(agent), version: [1, version], value });
};
const engines = ['e3', 'e1', 'e2'];

describe('the demand as a proxy sees it', () => {
  test('proxies with the same facts assign the same engines, whatever requests each has received itself', () => {
    const views = [1, 2].map((which) => {
      const facts = new GossipStore();
      const clock = timerlessClock();
      const view = new DemandView(facts, clock, DemandSettings.usual);
      if (which === 1) view.countRequest('only here');
      for (const agent of which === 1 ? ['p', 'q'] : ['q', 'p']) {
        member(facts, agent);
        publishDemand(
          facts,
          agent,
          agent === 'p'
            ? [
                ['a', 30],
                ['b', 5],
              ]
            : [
                ['b', 5],
                ['c', 1],
              ],
        );
      }
      return view;
    });
    const [one, two] = views;
    assert.deepEqual(one?.ranking(), two?.ranking());
    assert.deepEqual(
      one?.ranking().map(({ name: prefix }) => prefix),
      ['a', 'b', 'c'],
    );
    for (const prefix of ['a', 'b', 'c', 'unknown'])
      assert.deepEqual(one?.places(prefix, engines), two?.places(prefix, [...engines].reverse()), prefix);
    assert.equal(one?.places('a', engines).length, 3, 'the prefix has most of the demand');
    assert.equal(one?.places('unknown', engines).length, 1);
    assert.ok(one?.isWanted('b') === true && !one.isWanted('c') && !one.isWanted('unknown'));
  });

  test('the demand published by a daemon counts while the daemon is present', () => {
    const facts = new GossipStore();
    const clock = timerlessClock();
    const view = new DemandView(facts, clock, DemandSettings.usual);
    const later = (): void => void (clock.now += 1_000_000);
    publishDemand(facts, 'p', [['a', 9]]);
    assert.deepEqual(view.ranking(), [], 'the daemon is not a known member');
    member(facts, 'p');
    assert.deepEqual(view.ranking(), [], 'the ranking is not computed again with every fact');
    later();
    assert.equal(view.ranking().length, 1);
    member(facts, 'p', 'gone', 2);
    later();
    assert.deepEqual(view.ranking(), []);
    facts.put({ key: GossipKeys.demand('q'), version: [1, 1], value: 'nonsense' });
    member(facts, 'q');
    later();
    assert.deepEqual(view.ranking(), []);
  });

  test('publishes once a second', () => {
    const clock = timerlessClock();
    const view = new DemandView(new GossipStore(), clock, DemandSettings.usual);
    view.countRequest('a');
    assert.deepEqual(view.countsToPublish(), { demand: { total: 1, prefixes: [['a', 1]] } });
    assert.deepEqual(view.countsToPublish(), {});
    clock.now = 1_000_000;
    view.countRequest('a');
    assert.deepEqual(view.countsToPublish().demand?.prefixes, [['a', 2]]);
  });

  test('counts, publishes and ranks nothing if switched off', () => {
    const facts = new GossipStore();
    member(facts, 'p');
    publishDemand(facts, 'p', [['a', 9]]);
    const view = new DemandView(facts, timerlessClock(), DemandSettings.off(DemandSettings.usual));
    view.countRequest('a');
    assert.deepEqual(view.countsToPublish(), {});
    assert.deepEqual(view.ranking(), []);
    assert.ok(!view.isWanted('a'));
  });
});

const publisher = (
  daemons = 9,
): Readonly<{ clock: ReturnType<typeof timerlessClock>; facts: GossipStore; one: DemandPublisher }> => {
  const clock = timerlessClock();
  const facts = new GossipStore();
  const one = new DemandPublisher(
    'p',
    facts,
    clock,
    () => 1,
    () => daemons,
  );
  return { clock, facts, one };
};
const published = (facts: GossipStore): DemandEntry | undefined => facts.value(GossipKeys.demand('p'));

describe('publication of the demand of a proxy', () => {
  test('publishes rarely, and only changes', () => {
    const { clock, facts, one } = publisher();
    one.publish({ total: 10, prefixes: [['a', 5]] });
    assert.equal(published(facts)?.total, 10);
    const { changes } = facts;
    clock.now = 500_000;
    one.publish({ total: 30, prefixes: [['b', 9]] });
    assert.equal(facts.changes, changes, 'it has published a moment ago');
    clock.now = 3_000_000;
    one.publish({ total: 11, prefixes: [['a', 6]] });
    assert.equal(facts.changes, changes, 'the counts are about the same');
    one.publish({ total: 11, prefixes: [['a', 8]] });
    assert.deepEqual(published(facts)?.prefixes, [['a', 8]]);
    clock.now = 6_000_000;
    one.publishNone();
    assert.deepEqual(published(facts), { agent: 'p', total: 0, prefixes: [] });
    clock.now = 9_000_000;
    const after = facts.changes;
    one.publishNone();
    assert.equal(facts.changes, after, 'the empty demand is published only once');
  });

  test('each proxy of a large fleet publishes fewer entries less often, so that the total stays about the same', () => {
    const prefixes = Array.from({ length: 16 }, (_, index) => [`n${index}`, 20 - index] as const);
    const { clock, facts, one } = publisher(73);
    one.publish({ total: 100, prefixes });
    assert.equal(published(facts)?.prefixes.length, 4);
    clock.now = 5_000_000;
    one.publish({ total: 900, prefixes: [] });
    assert.equal(published(facts)?.total, 100);
    clock.now = 10_000_000;
    one.publish({ total: 900, prefixes: [] });
    assert.equal(published(facts)?.total, 900);
  });

  test('does not publish malformed demand', () => {
    const { facts, one } = publisher();
    for (const malformed of [undefined, null, 'x', {}, { total: 1 }, { total: 1, prefixes: [['a', -1]] }])
      one.publish(malformed);
    assert.equal(published(facts), undefined);
  });
});

const requestWithPrefix = (prefix: string, suffix: string): ProxyRequest => ({
  id: 'o',
  method: 'POST',
  path: '/',
  key: '',
  contentType: '',
  body: '',
  arrivedMicroseconds: 0,
  parts: [
    { name: prefix, size: 13_000 },
    { name: suffix, size: 3_000 },
  ],
  promptTokens: 16_000,
});

/** Places a request in a pool of three engines, of which `holders` cache the prefix; `waits`: tokens that each engine must prefill first. */
const placed = async (
  holders: readonly string[],
  copyEngines: readonly string[],
  { isOn = true, waits = {} }: { isOn?: boolean; waits?: Readonly<Record<string, number>> } = {},
): Promise<Readonly<{ engine: string | undefined; offers: readonly SchedulerOffer[]; counted: Metrics }>> => {
  const clock = timerlessClock();
  const request = requestWithPrefix('rules', 'own');
  const shape = { linkBytesPerSecond: 137_500_000_000, tokenBytes: 163_840, keptTokens: 150_000 };
  const service = { ...pool, shape };
  const resolved = { service, trustDomain: 'shared', mapping: { service: 'pool' } } as unknown as ResolvedRequest;
  const keys = new PromptKeys(resolved, request);
  const view = {
    addressOf: (holder: string) => `${holder}:1`,
    zoneOf: () => 'z',
    storeShape: () => undefined,
    others: { mix: () => [0, 0] },
    proxies: () => 1,
    work: { matched: (_engine: string, _boot: string, _names: readonly string[], kept: number) => kept },
  } as unknown as EngineView;
  const demandView = {
    settings: { ...DemandSettings.usual, isOn },
    places: () => copyEngines,
  } as unknown as DemandView;
  const offers: SchedulerOffer[] = [];
  const scheduler = {
    reserve: (asked: SchedulerRequest) => {
      offers.push(...asked.offers);
      return Promise.resolve(undefined);
    },
  } as unknown as SchedulerClient;
  const counted = new Metrics();
  const placer = new CostPlacer(
    view,
    new PartImports(view, new LinkSpeeds(1000, 64), PartImportSettings.usual),
    new PrefillSpeeds(),
    seededRandom(1),
    'z',
    new ReservedEngines(clock, ReservedEngineSettings.usual),
    scheduler,
    PlacementCostSettings.usual,
    demandView,
    counted,
  );
  const candidates = ['e1', 'e2', 'e3'].map((engine) => ({
    name: engine,
    address: `${engine}:1`,
    bootEpoch: 'b',
    weights: '1',
    capacity: 24,
    inFlight: 0,
    zone: 'z',
    work: { pendingPrefillTokens: waits[engine] ?? 0, tokens: 0 },
  }));
  const found = holders.map((holder) => ({ holder, matched: 1, bootEpoch: 'b', epoch: 1 }));
  const lookUp = (): LookupResult =>
    found.length === 0 ? { kind: 'miss', reason: 'absent' } : { kind: 'prefixHit', found };
  const chosen = await placer.place(candidates, request, resolved, keys, lookUp);
  return { engine: chosen?.engine, offers, counted };
};

describe('placement of a request with a shared prefix', () => {
  test('prefers an engine that caches the prefix to one more copy, more strongly if the copy is not assigned', async () => {
    const busy = { waits: { e1: 5_000 } };
    assert.equal((await placed(['e1'], ['e1'])).engine, 'e1');
    assert.notEqual((await placed(['e1'], ['e1'], { ...busy, isOn: false })).engine, 'e1', 'demand is switched off');
    assert.equal((await placed(['e1'], ['e1'], busy)).engine, 'e1', 'the copy costs more than the wait');
    assert.equal((await placed(['e1'], ['e1', 'e3'], busy)).engine, 'e3', 'a copy is assigned to e3');
    assert.notEqual(
      (await placed(['e1'], ['e1'], { waits: { e1: 50_000 } })).engine,
      'e1',
      'a long wait outweighs a copy',
    );
  });

  test('if no engine caches the prefix, the first assigned engine prefills it, at no cost for a copy', async () => {
    for (const first of ['e1', 'e2', 'e3']) {
      const { engine, offers } = await placed([], [first]);
      assert.equal(engine, first);
      assert.ok(offers.length === 3 && offers.every(({ length }) => length === 5));
    }
  });

  test('each offer to the scheduler has the cost of a copy, which the scheduler takes into account', async () => {
    const { offers, counted } = await placed(['e1'], ['e1', 'e3'], { waits: { e3: 1_000 } });
    const copies = Object.fromEntries(offers.map(([engine, , , , , copy]) => [engine, copy]));
    assert.equal(copies['e1'], undefined);
    assert.equal(copies['e2'], 130_000);
    assert.ok((copies['e3'] ?? 0) < 0);
    assert.equal(counted.value('postdrum_prefix_copies_total', { copy: 'kept' }), 1);
    assert.ok(SchedulerMessages.isRequest({ order: 'o', prefix: 'p', offers }));
    const scheduler = new RequestScheduler(timerlessClock());
    const offer = (engine: string, copy: number): SchedulerOffer => [engine, 0, 250_000, 50_000, 20_000, copy];
    assert.equal(
      scheduler.reserve({ order: 'x', prefix: 'p', offers: [offer('a', 100_000), offer('b', 0)] }).engine,
      'b',
    );
    scheduler.done('b', 'x', true);
    const joined = scheduler.reserve({ order: 'y', prefix: 'p', offers: [offer('a', 0), offer('b', 100_000)] });
    assert.equal(joined.engine, 'b', 'b has just prefilled the prefix, which the requesting proxy may not know');
  });

  test('the name that a prefix is counted under does not depend on the weights', () => {
    const one = new PromptKeys(
      { service: { ...pool, weights: '1' }, trustDomain: 'shared' } as unknown as ResolvedRequest,
      requestWithPrefix('rules', 'own1'),
    );
    const two = new PromptKeys(
      { service: { ...pool, weights: '2' }, trustDomain: 'shared' } as unknown as ResolvedRequest,
      requestWithPrefix('rules', 'own2'),
    );
    const walled = new PromptKeys(
      { service: pool, trustDomain: 'walled/a' } as unknown as ResolvedRequest,
      requestWithPrefix('rules', 'own1'),
    );
    assert.equal(one.prefix(), two.prefix());
    assert.notEqual(one.prefix(), walled.prefix());
    assert.match(one.prefix(), /^[0-9a-f]{12}$/);
    const short = new PromptKeys({ service: pool, trustDomain: 'shared' } as unknown as ResolvedRequest, {
      ...requestWithPrefix('rules', 'own1'),
      parts: [
        { name: 'rules', size: 90 },
        { name: 'own', size: 300 },
      ],
    });
    assert.equal(short.prefix(), '', 'the prefix is too short to be counted');
  });
});
