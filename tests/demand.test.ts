import assert from 'node:assert/strict';
import fc from 'fast-check';
import { describe, test } from 'node:test';
import { DemandTeller } from '../source/edge-proxy/demand/demandTeller';
import { WorkDesk } from '../source/edge-agent/desk/workDesk';
import { DemandSettings, DemandView } from '../source/edge-proxy/demand/demandView';
import { LinkSpeeds } from '../source/edge-proxy/fetch/linkSpeeds';
import { MoveSettings, PartMoves } from '../source/edge-proxy/fetch/partMoves';
import type { ProxyRequest, ResolvedRequest } from '../source/edge-proxy/pipeline/request';
import { PlacementCostSettings } from '../source/edge-proxy/placement/placementCosts';
import type { SchedulerClient } from '../source/edge-proxy/placement/schedulerClient';
import type { EngineView } from '../source/edge-proxy/placement/engineView';
import { ReservedEngines, ReservedEngineSettings } from '../source/edge-proxy/placement/reservedEngines';
import { PromptKeys } from '../source/edge-proxy/placement/placementPolicies';
import { PrefillSpeeds } from '../source/edge-proxy/placement/prefillSpeeds';
import { CostPlacer } from '../source/edge-proxy/placement/costPlacer';
import { CopyPlaces } from '../source/shared/demand/copyPlaces';
import { HeavyHitters } from '../source/shared/demand/heavyHitters';
import { DemandLimits, PrefixDemand, type DemandFact, type Wanted } from '../source/shared/demand/prefixDemand';
import { DeskMessages, type DeskOffer, type DeskOrder } from '../source/shared/desk/messages';
import type { LookUp } from '../source/shared/directory/lookup';
import { seededRandom } from '../source/shared/effects/random/random';
import { Metrics } from '../source/shared/metrics/metrics';
import { FactBook } from '../source/shared/news/facts';
import { FactKeys, type MemberState } from '../source/shared/news/factTypes';
import { handClock } from './support/handClock';
import { pool } from './support/pool';

const name = fc.constantFrom(...'abcdefghijkl');
const halfLife = 1_000_000;
const stream = fc.array(fc.record({ name, pause: fc.nat(300_000) }), { minLength: 1, maxLength: 200 });

describe('the sketch of the most frequent prefixes', () => {
  test('counts lie between their bounds, memory is bounded, and what is frequent is never missing', () => {
    fc.assert(
      fc.property(stream, fc.integer({ min: 1, max: 8 }), (seen, counters) => {
        const sketch = new HeavyHitters(counters, halfLife);
        const exact = new Map<string, number>();
        let now = 0;
        for (const { name: seenName, pause } of seen) {
          now += pause;
          for (const [known, count] of exact) exact.set(known, count * 2 ** (-pause / halfLife));
          exact.set(seenName, (exact.get(seenName) ?? 0) + 1);
          sketch.saw(seenName, now);
        }
        const total = [...exact.values()].reduce((sum, count) => sum + count, 0);
        const little = total * 1e-9;
        assert.ok(sketch.size <= counters);
        assert.ok(Math.abs(sketch.total(now) - total) < little);
        for (const [known, count] of exact) {
          const [least, most] = sketch.bounds(known, now);
          assert.ok(least <= count + little && count <= most + little, `${known}: ${least} ${count} ${most}`);
          assert.ok(most - least <= total / counters + little, 'no counter is wrong by more than its part');
          if (count > total / counters + little)
            assert.ok(
              sketch.top(counters, now).some((hitter) => hitter.name === known),
              'it is among the top',
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

  test('counts fade by half in their time, for however long it goes on', () => {
    const sketch = new HeavyHitters(4, halfLife);
    for (let turn = 0; turn < 8; turn += 1) sketch.saw('a', 0);
    assert.equal(sketch.total(halfLife), 4);
    assert.deepEqual(sketch.top(1, 3 * halfLife), [{ name: 'a', count: 1 }]);
    for (let turn = 1; turn <= 500; turn += 1) sketch.saw('b', turn * halfLife);
    assert.ok(Math.abs(sketch.total(500 * halfLife) - 2) < 1e-6);
    assert.deepEqual(
      sketch.top(4, 500 * halfLife).map(({ name: kept }) => kept),
      ['b'],
      'what faded away holds no counter',
    );
  });

  test('among equals the one asked for last goes first', () => {
    const sketch = new HeavyHitters(4, 1e15);
    for (const [index, seen] of ['b', 'c', 'a'].entries()) sketch.saw(seen, index);
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

describe('the order that all agree on', () => {
  test('the same facts lead to the same order, in whatever order they came', () => {
    fc.assert(
      fc.property(fc.array(fact, { maxLength: 6 }), fc.infiniteStream(fc.nat(1000)), (facts, draws) => {
        const shuffled = facts
          .map((item) => ({ item, draw: draws.next().value as number }))
          .sort((left, right) => left.draw - right.draw)
          .map(({ item }) => item);
        const ranked = PrefixDemand.ranked(facts);
        assert.deepEqual(PrefixDemand.ranked(shuffled), ranked);
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

  test('equal counts go by name, and the order is bounded', () => {
    const prefixes = Array.from({ length: 16 }, (_, index) => [`n${String(99 - index)}`, 1] as const);
    assert.equal(PrefixDemand.ranked([{ agent: 'p', total: 16, prefixes }])[0]?.name, 'n84');
    const facts = Array.from({ length: 20 }, (_, agent): DemandFact => ({
      agent: String(agent),
      total: 16,
      prefixes: Array.from({ length: 16 }, (__, index) => [`${agent}/${index}`, 1] as const),
    }));
    assert.equal(PrefixDemand.ranked(facts).length, DemandLimits.ranked);
  });

  test('nonsense is no fact', () => {
    fc.assert(
      fc.property(fc.jsonValue(), (value) => {
        assert.equal(PrefixDemand.isFact(value), false);
      }),
      { seed: 13, numRuns: 300 },
    );
    const good: DemandFact = { agent: 'p', total: 3, prefixes: [['a', 2]] };
    assert.ok(PrefixDemand.isFact(good));
    for (const wrong of [
      { total: -1 },
      { total: 0.5 },
      { prefixes: [['a']] },
      { prefixes: [['', 1]] },
      { prefixes: [['x'.repeat(33), 1]] },
      { prefixes: Array.from({ length: 33 }, (_, index) => [String(index), 1]) },
    ])
      assert.equal(PrefixDemand.isFact({ ...good, ...wrong }), false);
  });
});

const places = { copiesPerMille: 1500, mostCopies: 4 };
const wantedList = fc
  .uniqueArray(fc.tuple(name, fc.nat(400)), { selector: ([first]) => first, minLength: 1, maxLength: 12 })
  .map((items): readonly Wanted[] =>
    items.map(([wanted, sharePerMille]) => ({ name: wanted, count: sharePerMille + 1, sharePerMille })),
  );
const engineNames = fc.uniqueArray(
  fc.integer({ min: 0, max: 99 }).map((number) => `e${number}`),
  { minLength: 1, maxLength: 20 },
);

describe('where copies belong', () => {
  test('each prefix has one place at least, as many as its share asks for, and no engine more than its part', () => {
    fc.assert(
      fc.property(wantedList, engineNames, (wanted, engines) => {
        const given = CopyPlaces.assign(wanted, engines, places);
        const taken = new Map<string, number>();
        let all = 0;
        for (const { name: prefix, sharePerMille } of wanted) {
          const own = given.get(prefix) ?? [];
          assert.equal(own.length, CopyPlaces.copies(sharePerMille, engines.length, places));
          assert.ok(own.length >= 1 && own.length <= Math.min(4, engines.length));
          assert.equal(new Set(own).size, own.length, 'on different engines');
          for (const engine of own) taken.set(engine, (taken.get(engine) ?? 0) + 1);
          all += own.length;
        }
        for (const [engine, count] of taken) {
          assert.ok(engines.includes(engine));
          assert.ok(count <= Math.ceil(all / engines.length) + 4, 'none is heaped up');
        }
        assert.deepEqual(CopyPlaces.assign(wanted, [...engines], places), given);
      }),
      { seed: 14, numRuns: 300 },
    );
  });

  test('as many prefixes as engines, wanted alike, get an engine each', () => {
    const engines = ['e1', 'e2', 'e3', 'e4', 'e5'];
    const wanted = ['a', 'b', 'c', 'd', 'e'].map((prefix): Wanted => ({ name: prefix, count: 9, sharePerMille: 100 }));
    const given = CopyPlaces.assign(wanted, engines, places);
    assert.equal(new Set([...given.values()].flat()).size, 5);
  });

  test('an engine that goes moves few of the places on the others', () => {
    const engines = Array.from({ length: 10 }, (_, index) => `e${index}`);
    const wanted = Array.from({ length: 40 }, (_, index): Wanted => ({
      name: `p${index}`,
      count: 40 - index,
      sharePerMille: 20,
    }));
    const before = CopyPlaces.assign(wanted, engines, places);
    const after = CopyPlaces.assign(wanted, engines.slice(1), places);
    const moved = wanted.filter(
      ({ name: prefix }) => before.get(prefix)?.[0] !== 'e0' && before.get(prefix)?.[0] !== after.get(prefix)?.[0],
    );
    assert.ok(moved.length <= 14, `${moved.length} of 40`);
  });
});

const member = (facts: FactBook, agent: string, state: MemberState = 'alive', version = 1): void => {
  facts.put({ key: FactKeys.member(agent), version: [version, 0], value: { name: agent, state } });
};
const say = (facts: FactBook, agent: string, prefixes: DemandFact['prefixes'], version = 1): void => {
  const value: DemandFact = { agent, total: prefixes.reduce((sum, [, count]) => sum + count, 0), prefixes };
  facts.put({ key: FactKeys.demand(agent), version: [1, version], value });
};
const engines = ['e3', 'e1', 'e2'];

describe('what a proxy knows of the demand', () => {
  test('proxies that hold the same facts name the same places, whatever each was asked for itself', () => {
    const views = [1, 2].map((which) => {
      const facts = new FactBook();
      const clock = handClock();
      const view = new DemandView(facts, clock, DemandSettings.usual);
      if (which === 1) view.saw('mine alone');
      for (const agent of which === 1 ? ['p', 'q'] : ['q', 'p']) {
        member(facts, agent);
        say(
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
    assert.deepEqual(one?.wanted(), two?.wanted());
    assert.deepEqual(
      one?.wanted().map(({ name: prefix }) => prefix),
      ['a', 'b', 'c'],
    );
    for (const prefix of ['a', 'b', 'c', 'unknown'])
      assert.deepEqual(one?.places(prefix, engines), two?.places(prefix, [...engines].reverse()), prefix);
    assert.equal(one?.places('a', engines).length, 3, 'most of the demand');
    assert.equal(one?.places('unknown', engines).length, 1);
    assert.ok(one?.isWanted('b') === true && !one.isWanted('c') && !one.isWanted('unknown'));
  });

  test('what a daemon told counts while it is there', () => {
    const facts = new FactBook();
    const clock = handClock();
    const view = new DemandView(facts, clock, DemandSettings.usual);
    const later = (): void => void (clock.now += 1_000_000);
    say(facts, 'p', [['a', 9]]);
    assert.deepEqual(view.wanted(), [], 'nobody knows that daemon');
    member(facts, 'p');
    assert.deepEqual(view.wanted(), [], 'it is not worked out with every word');
    later();
    assert.equal(view.wanted().length, 1);
    member(facts, 'p', 'gone', 2);
    later();
    assert.deepEqual(view.wanted(), []);
    facts.put({ key: FactKeys.demand('q'), version: [1, 1], value: 'nonsense' });
    member(facts, 'q');
    later();
    assert.deepEqual(view.wanted(), []);
  });

  test('the agent is told once a second', () => {
    const clock = handClock();
    const view = new DemandView(new FactBook(), clock, DemandSettings.usual);
    view.saw('a');
    assert.deepEqual(view.telling(), { demand: { total: 1, prefixes: [['a', 1]] } });
    assert.deepEqual(view.telling(), {});
    clock.now = 1_000_000;
    view.saw('a');
    assert.deepEqual(view.telling().demand?.prefixes, [['a', 2]]);
  });

  test('switched off it counts nothing, tells nothing and knows nothing', () => {
    const facts = new FactBook();
    member(facts, 'p');
    say(facts, 'p', [['a', 9]]);
    const view = new DemandView(facts, handClock(), DemandSettings.off(DemandSettings.usual));
    view.saw('a');
    assert.deepEqual(view.telling(), {});
    assert.deepEqual(view.wanted(), []);
    assert.ok(!view.isWanted('a'));
  });
});

const teller = (daemons = 9): Readonly<{ clock: ReturnType<typeof handClock>; facts: FactBook; one: DemandTeller }> => {
  const clock = handClock();
  const facts = new FactBook();
  const one = new DemandTeller(
    'p',
    facts,
    clock,
    () => 1,
    () => daemons,
  );
  return { clock, facts, one };
};
const told = (facts: FactBook): DemandFact | undefined => facts.value(FactKeys.demand('p'));

describe('what an agent tells the fleet of it', () => {
  test('seldom, and only what has changed', () => {
    const { clock, facts, one } = teller();
    one.hear({ total: 10, prefixes: [['a', 5]] });
    assert.equal(told(facts)?.total, 10);
    const { changes } = facts;
    clock.now = 500_000;
    one.hear({ total: 30, prefixes: [['b', 9]] });
    assert.equal(facts.changes, changes, 'it has just said something');
    clock.now = 3_000_000;
    one.hear({ total: 11, prefixes: [['a', 6]] });
    assert.equal(facts.changes, changes, 'about the same');
    one.hear({ total: 11, prefixes: [['a', 8]] });
    assert.deepEqual(told(facts)?.prefixes, [['a', 8]]);
    clock.now = 6_000_000;
    one.clear();
    assert.deepEqual(told(facts), { agent: 'p', total: 0, prefixes: [] });
    clock.now = 9_000_000;
    const after = facts.changes;
    one.clear();
    assert.equal(facts.changes, after, 'and once is enough');
  });

  test('a large fleet tells less each, and less often, so that all together say about as much', () => {
    const prefixes = Array.from({ length: 16 }, (_, index) => [`n${index}`, 20 - index] as const);
    const { clock, facts, one } = teller(73);
    one.hear({ total: 100, prefixes });
    assert.equal(told(facts)?.prefixes.length, 4);
    clock.now = 5_000_000;
    one.hear({ total: 900, prefixes: [] });
    assert.equal(told(facts)?.total, 100);
    clock.now = 10_000_000;
    one.hear({ total: 900, prefixes: [] });
    assert.equal(told(facts)?.total, 900);
  });

  test('nonsense of a proxy is told to nobody', () => {
    const { facts, one } = teller();
    for (const said of [undefined, null, 'x', {}, { total: 1 }, { total: 1, prefixes: [['a', -1]] }]) one.hear(said);
    assert.equal(told(facts), undefined);
  });
});

const prefixOrder = (prefix: string, own: string): ProxyRequest => ({
  id: 'o',
  method: 'POST',
  path: '/',
  key: '',
  contentType: '',
  body: '',
  arrivedMicroseconds: 0,
  parts: [
    { name: prefix, size: 13_000 },
    { name: own, size: 3_000 },
  ],
  promptTokens: 16_000,
});

/** Three engines of one pool, `keepers` of which keep the prefix; `waits`: tokens that each reads already. */
const placed = async (
  keepers: readonly string[],
  belongs: readonly string[],
  { isOn = true, waits = {} }: { isOn?: boolean; waits?: Readonly<Record<string, number>> } = {},
): Promise<Readonly<{ engine: string | undefined; offers: readonly DeskOffer[]; counted: Metrics }>> => {
  const clock = handClock();
  const order = prefixOrder('rules', 'own');
  const shape = { linkBytesPerSecond: 137_500_000_000, tokenBytes: 163_840, keptTokens: 150_000 };
  const service = { ...pool, shape };
  const resolved = { service, trustDomain: 'shared', mapping: { service: 'pool' } } as unknown as ResolvedRequest;
  const keys = new PromptKeys(resolved, order);
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
    places: () => belongs,
  } as unknown as DemandView;
  const offers: DeskOffer[] = [];
  const desk = {
    reserve: (asked: DeskOrder) => {
      offers.push(...asked.offers);
      return Promise.resolve(undefined);
    },
  } as unknown as SchedulerClient;
  const counted = new Metrics();
  const placer = new CostPlacer(
    view,
    new PartMoves(view, new LinkSpeeds(1000, 64), MoveSettings.usual),
    new PrefillSpeeds(),
    seededRandom(1),
    'z',
    new ReservedEngines(clock, ReservedEngineSettings.usual),
    desk,
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
  const found = keepers.map((holder) => ({ holder, matched: 1, bootEpoch: 'b', epoch: 1 }));
  const lookUp = (): LookUp => (found.length === 0 ? { kind: 'miss', reason: 'absent' } : { kind: 'prefixHit', found });
  const chosen = await placer.place(candidates, order, resolved, keys, lookUp);
  return { engine: chosen?.engine, offers, counted };
};

describe('where an order goes', () => {
  test('an engine that keeps its prefix goes before one more copy, for longer where none belongs', async () => {
    const busy = { waits: { e1: 5_000 } };
    assert.equal((await placed(['e1'], ['e1'])).engine, 'e1');
    assert.notEqual((await placed(['e1'], ['e1'], { ...busy, isOn: false })).engine, 'e1', 'nobody counts');
    assert.equal((await placed(['e1'], ['e1'], busy)).engine, 'e1', 'the copy costs more than the wait');
    assert.equal((await placed(['e1'], ['e1', 'e3'], busy)).engine, 'e3', 'a copy belongs there');
    assert.notEqual((await placed(['e1'], ['e1'], { waits: { e1: 50_000 } })).engine, 'e1', 'no wait is for ever');
  });

  test('where nobody keeps it the first place reads it, and no copy costs anything', async () => {
    for (const first of ['e1', 'e2', 'e3']) {
      const { engine, offers } = await placed([], [first]);
      assert.equal(engine, first);
      assert.ok(offers.length === 3 && offers.every(({ length }) => length === 5));
    }
  });

  test('the desk hears of it with each offer, and keeps to it', async () => {
    const { offers, counted } = await placed(['e1'], ['e1', 'e3'], { waits: { e3: 1_000 } });
    const copies = Object.fromEntries(offers.map(([engine, , , , , copy]) => [engine, copy]));
    assert.equal(copies['e1'], undefined);
    assert.equal(copies['e2'], 130_000);
    assert.ok((copies['e3'] ?? 0) < 0);
    assert.equal(counted.value('postdrum_prefix_copies_total', { copy: 'kept' }), 1);
    assert.ok(DeskMessages.isOrder({ order: 'o', prefix: 'p', offers }));
    const desk = new WorkDesk(handClock());
    const offer = (engine: string, copy: number): DeskOffer => [engine, 0, 250_000, 50_000, 20_000, copy];
    assert.equal(desk.reserve({ order: 'x', prefix: 'p', offers: [offer('a', 100_000), offer('b', 0)] }).engine, 'b');
    desk.done('b', 'x', true);
    const joined = desk.reserve({ order: 'y', prefix: 'p', offers: [offer('a', 0), offer('b', 100_000)] });
    assert.equal(joined.engine, 'b', 'it has just been read there, which the asker may not know');
  });

  test('weights change, and the name that a prefix is counted under does not', () => {
    const one = new PromptKeys(
      { service: { ...pool, weights: '1' }, trustDomain: 'shared' } as unknown as ResolvedRequest,
      prefixOrder('rules', 'own1'),
    );
    const two = new PromptKeys(
      { service: { ...pool, weights: '2' }, trustDomain: 'shared' } as unknown as ResolvedRequest,
      prefixOrder('rules', 'own2'),
    );
    const walled = new PromptKeys(
      { service: pool, trustDomain: 'walled/a' } as unknown as ResolvedRequest,
      prefixOrder('rules', 'own1'),
    );
    assert.equal(one.prefix(), two.prefix());
    assert.notEqual(one.prefix(), walled.prefix());
    assert.match(one.prefix(), /^[0-9a-f]{12}$/);
    const short = new PromptKeys({ service: pool, trustDomain: 'shared' } as unknown as ResolvedRequest, {
      ...prefixOrder('rules', 'own1'),
      parts: [
        { name: 'rules', size: 90 },
        { name: 'own', size: 300 },
      ],
    });
    assert.equal(short.prefix(), '', 'too short to be worth it');
  });
});
