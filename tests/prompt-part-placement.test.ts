import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { RequestScheduler } from '../source/edge-agent/scheduler/requestScheduler';
import { TrafficShares } from '../source/edge-proxy/identification/trafficShares';
import {
  PlacementCosts,
  PlacementCostSettings,
  type PlacementOffer,
} from '../source/edge-proxy/placement/placementCosts';
import { ReservedEngines, ReservedEngineSettings } from '../source/edge-proxy/placement/reservedEngines';
import { WeightsRollout } from '../source/shared/weights/weightsRollout';
import { EngineWork } from '../source/edge-proxy/placement/engineWork';
import { PrefillSpeeds } from '../source/edge-proxy/placement/prefillSpeeds';
import { ServerSentEventBuffer } from '../source/edge-proxy/attempts/serverSentEventBuffer';
import { World } from '../source/fleet-simulator/world/world';
import type { Route } from '../source/shared/configuration/types';
import {
  SchedulerMessages,
  type SchedulerOffer,
  type SchedulerDecision,
} from '../source/shared/scheduler/schedulerMessages';
import { PromptParts } from '../source/shared/directory/promptParts';
import { seededRandom } from '../source/shared/effects/random/random';
import { timerlessClock } from './support/timerlessClock';
import { pool } from './support/pool';

const eventText = fc.record({ id: fc.nat(999), data: fc.stringMatching(/^[a-z ]{0,20}$/) });

test('events are split only at event boundaries, however the bytes are chunked, and none is lost', () => {
  fc.assert(
    fc.property(
      fc.array(eventText, { minLength: 1, maxLength: 8 }),
      fc.array(fc.integer({ min: 1, max: 9 }), { minLength: 1, maxLength: 40 }),
      fc.constantFrom('\n', '\r\n'),
      (events, sizes, line) => {
        const texts = events.map(({ id, data }) => `id: ${id}${line}data: ${data}${line}${line}`);
        const bytes = Buffer.from(texts.join(''));
        const whole = new ServerSentEventBuffer();
        const passed: Buffer[] = [];
        let at = 0;
        for (let turn = 0; at < bytes.length; turn += 1) {
          const size = sizes[turn % sizes.length] ?? 1;
          const piece = whole.append(bytes.subarray(at, at + size));
          at += size;
          if (piece === undefined) continue;
          passed.push(piece);
          const text = Buffer.concat(passed).toString();
          assert.ok(text.endsWith(line + line), 'ends at an event boundary');
          assert.equal(whole.lastId, String(events[text.split('id: ').length - 2]?.id));
        }
        assert.equal(whole.flush(), undefined);
        assert.equal(Buffer.concat(passed).toString(), bytes.toString());
      },
    ),
    { seed: 3, numRuns: 300 },
  );
});

test('an incomplete event is buffered, and its id is not the last id', () => {
  const whole = new ServerSentEventBuffer();
  assert.equal(whole.append(Buffer.from('id: 1\ndata: a\n\nid: 2\ndata: b\n'))?.toString(), 'id: 1\ndata: a\n\n');
  assert.equal(whole.lastId, '1');
  assert.equal(whole.flush()?.toString(), 'id: 2\ndata: b\n');
});

test('an event that exceeds the buffer is passed on, and the stream cannot be resumed after it', () => {
  const whole = new ServerSentEventBuffer();
  assert.equal(whole.append(Buffer.from('id: 1\ndata: a\n\n'))?.length, 15);
  let passed = 0;
  for (let turn = 0; turn < 20; turn += 1) passed += whole.append(Buffer.alloc(100_000, 0x61))?.length ?? 0;
  assert.ok(passed > 1_000_000);
  assert.equal(whole.lastId, undefined);
});

test('the key of a part differs by isolated tenant, weights and model', () => {
  const names = [
    PromptParts.salt(pool, '1', 'shared'),
    PromptParts.salt(pool, '2', 'shared'),
    PromptParts.salt(pool, '1', 'walled/a'),
    PromptParts.salt(pool, '1', 'walled/b'),
    PromptParts.salt({ ...pool, model: 'n' }, '1', 'shared'),
  ];
  assert.equal(new Set(names).size, names.length);
  assert.equal(PromptParts.salt({ ...pool }, '1', 'shared'), names[0]);
});

test('a part that is being prefilled counts as cached until its request fails or the engine restarts', () => {
  const clock = timerlessClock();
  const work = new EngineWork(clock, { recentMicroseconds: 1000 });
  const names = ['s/a', 's/b', 's/own'];
  work.recordSendStart('e', 'boot1', { order: 'o', tokensToPrefill: 900, tokens: 1000, fills: ['s/a', 's/b'] });
  assert.equal(work.matched('e', 'boot1', names, 0), 2);
  assert.equal(work.matched('e', 'boot2', names, 0), 0, 'another boot epoch of the engine');
  assert.equal(work.matched('other', 'boot1', names, 0), 0);
  assert.deepEqual(work.of('e'), { pendingPrefillTokens: 900, tokens: 1000 });
  work.begun('e', 'o');
  assert.deepEqual(work.of('e'), { pendingPrefillTokens: 0, tokens: 1000 });
  work.ended('e', 'o');
  assert.equal(work.matched('e', 'boot1', names, 0), 2, 'prefilled recently');
  clock.now = 1001;
  assert.equal(work.matched('e', 'boot1', names, 0), 0, 'expired: cache events would show it by now');
  work.recordSendStart('e', 'boot1', { order: 'p', tokensToPrefill: 900, tokens: 1000, fills: ['s/a'] });
  work.ended('e', 'p');
  assert.equal(work.matched('e', 'boot1', names, 0), 0, 'failed before the prefill finished');
  work.recordSendStart('e', 'boot1', { order: 'q', tokensToPrefill: 1, tokens: 1, fills: ['s/a'] });
  work.recordSendStart('e', 'boot2', { order: 'r', tokensToPrefill: 1, tokens: 1, fills: [] });
  assert.equal(work.matched('e', 'boot2', names, 0), 0, 'fenced');
});

const offer = (name: string, change: Partial<PlacementOffer> = {}): PlacementOffer => ({
  name,
  address: `${name}:1`,
  bootEpoch: 'b',
  weights: '1',
  capacity: 10,
  inFlight: 0,
  zone: 'z',
  work: { pendingPrefillTokens: 0, tokens: 0 },
  matched: 0,
  tokensToPrefill: 10_000,
  importDelayMicroseconds: 0,
  tokensPerMillisecond: 50,
  keptTokens: 100_000,
  isReserved: false,
  ...change,
});
const demand = {
  tokens: 12_000,
  parts: [{ physical: 's/a', logical: 'a', name: 's/a', size: 9000 }],
  zone: 'z',
  isShort: false,
};
const choose = (offers: readonly PlacementOffer[], seed = 1): string | undefined =>
  PlacementCosts.choose(offers, demand, seededRandom(seed), PlacementCostSettings.usual)?.name;

test('a request goes where its parts are cached, unless that engine has a long prefill queue, many requests or full memory', () => {
  const keeps = { matched: 1, tokensToPrefill: 1000 };
  assert.equal(choose([offer('a'), offer('b', keeps), offer('c')]), 'b');
  assert.equal(choose([offer('a'), offer('b', { ...keeps, work: { pendingPrefillTokens: 40_000, tokens: 0 } })]), 'a');
  assert.equal(choose([offer('a'), offer('b', { ...keeps, inFlight: 30 })]), 'a');
  assert.equal(choose([offer('a'), offer('b', { ...keeps, work: { pendingPrefillTokens: 0, tokens: 140_000 } })]), 'a');
  assert.equal(choose([]), undefined);
});

test('proxies choose the same engine for a part that is cached nowhere, and different engines for different parts', () => {
  const offers = ['a', 'b', 'c', 'd', 'e'].map((name) => offer(name));
  const chosen = Array.from({ length: 20 }, (_, seed) => choose(offers, seed));
  assert.equal(new Set(chosen).size, 1);
  const spread = Array.from({ length: 40 }, (_, index) => {
    const parts = [{ physical: `s/${index}`, logical: '', name: `s/${index}`, size: 9000 }];
    return PlacementCosts.choose(offers, { ...demand, parts }, seededRandom(1), PlacementCostSettings.usual)?.name;
  });
  assert.equal(new Set(spread).size, offers.length);
});

test('at equal cost an engine in the same zone is chosen', () => {
  const short = { ...demand, parts: [], isShort: true };
  const of = (offers: readonly PlacementOffer[]): string | undefined =>
    PlacementCosts.choose(offers, short, seededRandom(1), PlacementCostSettings.usual)?.name;
  assert.equal(of([offer('a', { zone: 'y' }), offer('b')]), 'b');
  assert.equal(of([offer('b', { zone: 'y' }), offer('a')]), 'a');
});

test('at similar cost the engine with an idle connection is chosen, but not behind a queue', () => {
  const short = { ...demand, parts: [], isShort: true, tokens: 300 };
  const fresh = { needsConnection: true };
  assert.equal(
    PlacementCosts.choose([offer('a', fresh), offer('b')], short, seededRandom(1), PlacementCostSettings.usual)?.name,
    'b',
  );
  const busy = offer('b', { inFlight: 9 });
  assert.equal(
    PlacementCosts.choose([offer('a', fresh), busy], short, seededRandom(1), PlacementCostSettings.usual)?.name,
    'a',
  );
});

test('short requests use the reserved engines and long ones the others, until these have no capacity', () => {
  const lane = offer('a', { isReserved: true });
  const short = { ...demand, parts: [], isShort: true, tokens: 300 };
  const of = (offers: readonly PlacementOffer[]): string | undefined =>
    PlacementCosts.choose(offers, short, seededRandom(1), PlacementCostSettings.usual)?.name;
  assert.equal(of([lane, offer('b')]), 'a');
  assert.equal(of([offer('a', { isReserved: true, inFlight: 40 }), offer('b')]), 'b');
  assert.equal(choose([lane, offer('b')]), 'b');
  assert.equal(choose([lane, offer('b', { work: { pendingPrefillTokens: 60_000, tokens: 0 } })]), 'a');
});

test('engines are reserved in proportion to the work of short requests, the same ones at every proxy', () => {
  const engines = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];
  const reservedAfter = (
    short: number,
    long: number,
    headroomPerMille = ReservedEngineSettings.usual.headroomPerMille,
  ): ReadonlySet<string> => {
    const lanes = new ReservedEngines(timerlessClock(), { ...ReservedEngineSettings.usual, headroomPerMille });
    for (let turn = 0; turn < short; turn += 1) lanes.recordPlacement('s', 5000, 10, 20, true);
    for (let turn = 0; turn < long; turn += 1) lanes.recordPlacement('s', 200_000, 10, 20, false);
    return lanes.of('s', engines);
  };
  assert.equal(reservedAfter(100, 0).size, 0, 'only short requests');
  assert.equal(reservedAfter(0, 10).size, 0);
  assert.deepEqual([...reservedAfter(200, 10)], [...reservedAfter(210, 11)]);
  assert.ok(reservedAfter(400, 1).size > reservedAfter(20, 10).size);
  assert.equal(reservedAfter(10_000, 1, 1500).size, engines.length - 1, 'one engine always remains for long requests');
  assert.equal(reservedAfter(1, 1000).size, 1);
});

test('proxies that each see few long requests reserve the same engines, by the mix of all proxies', () => {
  const engines = Array.from({ length: 42 }, (_, index) => `engine-${index}`);
  const orders = fc.array(fc.tuple(fc.integer({ min: 0, max: 60 }), fc.integer({ min: 0, max: 6 })), {
    minLength: 2,
    maxLength: 40,
  });
  fc.assert(
    fc.property(orders, (seen) => {
      const proxies = seen.map(([short, long]) => {
        const lanes = new ReservedEngines(timerlessClock(), ReservedEngineSettings.usual);
        for (let turn = 0; turn < short; turn += 1) lanes.recordPlacement('s', 10_000, 0, 20, true);
        for (let turn = 0; turn < long; turn += 1) lanes.recordPlacement('s', 200_000, 0, 20, false);
        return lanes;
      });
      const sum = (excluded: number): readonly [number, number] =>
        proxies.reduce<readonly [number, number]>(
          ([short, long], lanes, index) => {
            const sent = index === excluded ? undefined : lanes.mixes()['s'];
            return [short + (sent?.[0] ?? 0), long + (sent?.[1] ?? 0)];
          },
          [0, 0],
        );
      const kept = proxies.map((lanes, index) => [...lanes.of('s', engines, sum(index))].join(' '));
      assert.equal(new Set(kept).size, 1);
    }),
    { seed: 9, numRuns: 100 },
  );
});

test('engines of the current and the next round count as changing soon until they have changed', () => {
  const names = Array.from({ length: 42 }, (_, index) => `engine-${index}`);
  const order = WeightsRollout.order('s', 'w2', names);
  const width = WeightsRollout.roundSize(names.length);
  fc.assert(
    fc.property(fc.uniqueArray(fc.nat(41)), (places) => {
      const changed = new Set(places.map((place) => order[place]));
      const soon = WeightsRollout.upcomingEngines(order, (name) => changed.has(name));
      assert.ok(soon.every((name) => !changed.has(name)) && soon.length <= 2 * width);
      const first = order.find((name) => !changed.has(name));
      assert.equal(first === undefined, soon.length === 0);
      if (first !== undefined) assert.ok(soon.includes(first));
    }),
    { seed: 10 },
  );
  assert.deepEqual(
    WeightsRollout.upcomingEngines(order, () => false),
    order.slice(0, 2 * width),
  );
});

test('requests avoid an engine that changes its weights soon, unless the others cost much more', () => {
  const short = { tokens: 200, parts: [], zone: 'z', isShort: true };
  const choose = (...offers: readonly PlacementOffer[]): string | undefined =>
    PlacementCosts.choose(offers, short, seededRandom(1), PlacementCostSettings.usual)?.name;
  assert.equal(choose(offer('a', { changesSoon: true }), offer('b', { inFlight: 5 })), 'b');
  assert.equal(choose(offer('a', { changesSoon: true }), offer('b', { inFlight: 90 })), 'a');
  const lanes = [offer('a', { changesSoon: true, isReserved: true }), offer('b')] as const;
  assert.equal(choose(...lanes), 'a', 'a short request does not leave the reserved engines for it');
});

test('short requests spread over engines of slightly different load among many proxies, but not among few', () => {
  const short = { tokens: 200, parts: [], zone: 'z', isShort: true };
  const chosen = (proxies: number, inFlight: number): number => {
    const random = seededRandom(3);
    const offers = [offer('a'), offer('b', { inFlight })];
    return Array.from({ length: 400 }, () =>
      PlacementCosts.choose(offers, short, random, PlacementCostSettings.usual, proxies),
    ).filter((found) => found?.name === 'b').length;
  };
  assert.equal(chosen(1, 3), 0);
  assert.equal(chosen(9, 3), 0);
  assert.ok(chosen(73, 3) > 80, `${chosen(73, 3)} of 400`);
  assert.equal(chosen(73, 12), 0, 'none goes to an engine with much more load');
});

test('among many proxies the engine with the least known load does not get all short requests', () => {
  const short = { tokens: 200, parts: [], zone: 'z', isShort: true };
  const random = seededRandom(5);
  const offers = Array.from({ length: 12 }, (_, index) =>
    offer(`e${index}`, { isReserved: true, inFlight: index === 0 ? 0 : 14 }),
  );
  const share = (proxies: number): number =>
    Array.from({ length: 1200 }, () =>
      PlacementCosts.choose(offers, short, random, PlacementCostSettings.usual, proxies),
    ).filter((found) => found?.name === 'e0').length / 1200;
  assert.equal(share(9), 1, 'few proxies know the current load of each other');
  for (const proxies of [63, 195]) assert.ok(share(proxies) < 0.25, `${proxies} proxies: ${share(proxies)}`);
});

test('among many proxies an engine with far more load than the others gets no short request', () => {
  const short = { tokens: 200, parts: [], zone: 'z', isShort: true };
  const random = seededRandom(6);
  const offers = Array.from({ length: 12 }, (_, index) =>
    offer(`e${index}`, { isReserved: true, inFlight: index === 0 ? 60 : 3 }),
  );
  const chosen = Array.from({ length: 1200 }, () =>
    PlacementCosts.choose(offers, short, random, PlacementCostSettings.usual, 195),
  );
  assert.equal(chosen.filter((found) => found?.name === 'e0').length, 0);
});

test('a mix decays until it is no longer sent', () => {
  const clock = timerlessClock();
  const lanes = new ReservedEngines(clock, ReservedEngineSettings.usual);
  lanes.recordPlacement('s', 200_000, 0, 20, false);
  assert.deepEqual(lanes.mixes(), { s: [0, 20] });
  clock.now = 60_000_000;
  assert.deepEqual(lanes.mixes(), {});
});

const startScheduler = (): Readonly<{ clock: ReturnType<typeof timerlessClock>; desk: RequestScheduler }> => {
  const clock = timerlessClock();
  return { clock, desk: new RequestScheduler(clock) };
};
const offers = (names: string, read = 200_000, rest = 50_000, move = 20_000): readonly SchedulerOffer[] =>
  [...names].map((name): SchedulerOffer => [name, 0, read, rest, move]);

test('the scheduler gives long requests to idle engines, one after the other', () => {
  const { clock, desk: scheduler } = startScheduler();
  const given = ['p', 'q', 'r'].map(
    (prefix) => scheduler.reserve({ order: prefix, prefix, offers: offers('abc') }).engine,
  );
  assert.equal(new Set(given).size, 3);
  clock.now = 150_000;
  scheduler.done(given[1] ?? '', 'q', true);
  assert.equal(scheduler.reserve({ order: 's', prefix: 's', offers: offers('abc') }).engine, given[1]);
});

test('a prefix that is being prefilled is not prefilled twice, and can be imported afterwards', () => {
  const { clock, desk: scheduler } = startScheduler();
  const first = scheduler.reserve({ order: 'o', prefix: 'p', offers: offers('ab') });
  assert.deepEqual(first, { engine: 'a', joined: false, keeper: '' });
  assert.deepEqual(scheduler.reserve({ order: 'x', prefix: 'p', offers: offers('ab') }), {
    engine: 'a',
    joined: true,
    keeper: '',
    waitMicroseconds: 375_000,
  });
  scheduler.done('a', 'o', true);
  clock.now = 1000;
  for (const order of ['y', 'z']) scheduler.reserve({ order, prefix: '', offers: offers('a', 900_000, 900_000) });
  assert.deepEqual(scheduler.reserve({ order: 'w', prefix: 'p', offers: offers('ab') }), {
    engine: 'b',
    joined: false,
    keeper: 'a',
  });
});

test('a request waits while another one prefills the shared prefix, but no longer than that should take', async () => {
  const world = new World(1);
  const scheduler = new RequestScheduler(world.clock);
  const reserve = (order: string, prefix = 'p'): SchedulerDecision =>
    scheduler.reserve({ order, prefix, offers: offers('ab') });
  const ended: string[] = [];
  const waits = (name: string, prefix = 'p'): void => void scheduler.read(prefix).then(() => ended.push(name));
  assert.equal(reserve('o').waitMicroseconds, undefined, 'the first request prefills');
  const joined = reserve('x');
  assert.ok(joined.joined && (joined.waitMicroseconds ?? 0) >= 200_000, JSON.stringify(joined));
  waits('x');
  await world.runFor(150_000);
  assert.deepEqual(ended, []);
  scheduler.done('a', 'o', true);
  await world.runFor(1_000);
  assert.deepEqual(ended, ['x'], 'continues as soon as the parts are cached');
  assert.equal(reserve('y').waitMicroseconds, undefined, 'no request waits after that');
  reserve('q', 'q');
  waits('late', 'q');
  waits('nobody reads this', 'r');
  await world.runFor(1_000);
  assert.deepEqual(ended, ['x', 'nobody reads this']);
  await world.runFor(2_000_000);
  assert.deepEqual(ended, ['x', 'nobody reads this', 'late'], 'a prefill without a report delays no request further');
  const again = reserve('s', 's');
  waits('failed', 's');
  scheduler.done(again.engine, 's', false);
  await world.runFor(1_000);
  assert.equal(ended.at(-1), 'failed', 'a failed prefill delays no request either');
  reserve('t', 't');
  waits('gone', 't');
  scheduler.retainEngines([]);
  await world.runFor(1_000);
  assert.equal(ended.at(-1), 'gone');
});

test('a failed prefill leaves its prefix to the next request, and entries without updates expire', () => {
  const { clock, desk: scheduler } = startScheduler();
  scheduler.reserve({ order: 'o', prefix: 'p', offers: offers('a') });
  scheduler.done('a', 'o', false);
  assert.equal(scheduler.reserve({ order: 'x', prefix: 'p', offers: offers('b') }).keeper, '');
  assert.ok(scheduler.waitMicroseconds('b') > 0);
  clock.now = 60_000_000;
  assert.equal(scheduler.waitMicroseconds('b'), 0);
  assert.equal(scheduler.reserve({ order: 'y', prefix: 'p', offers: offers('c') }).joined, false);
  scheduler.retainEngines(['d']);
  assert.equal(scheduler.waitMicroseconds('c'), 0);
});

test('arbitrary JSON is neither a valid scheduler request nor a valid scheduler answer', () => {
  fc.assert(
    fc.property(fc.jsonValue(), (value) => {
      assert.equal(SchedulerMessages.isRequest(value), false);
      assert.equal(SchedulerMessages.isDecision(value), false);
    }),
    { seed: 5, numRuns: 300 },
  );
  assert.ok(SchedulerMessages.isRequest({ order: 'o', prefix: '', offers: offers('a') }));
  assert.ok(!SchedulerMessages.isRequest({ order: 'o', prefix: '', offers: [['a', 0, 0, 0, Number.NaN]] }));
});

test('prefill speeds follow the measurements, and short prompts are not measured', () => {
  const speeds = new PrefillSpeeds();
  const start = speeds.of('e');
  speeds.addMeasurement('e', 100, 1_000_000);
  assert.equal(speeds.of('e'), start);
  for (let turn = 0; turn < 50; turn += 1) speeds.addMeasurement('e', 20_000, 1_000_000);
  assert.ok(Math.abs(speeds.of('e') - 20) < 1);
  assert.ok(speeds.of('unknown') < start, 'an unmeasured engine gets the average of the others');
});

test('a request always gets the same service, and all requests together match the traffic shares', () => {
  const mapping: Route = {
    path: '/p/',
    model: '',
    service: 'a',
    class: 'c',
    resumable: false,
    shares: [
      { service: 'a', weight: 70 },
      { service: 'b', weight: 0 },
      { service: 'c', weight: 30 },
    ],
  };
  const counts: Record<string, number> = {};
  for (let index = 0; index < 4000; index += 1) {
    const service = TrafficShares.pickService(mapping, `order-${index}`);
    assert.equal(TrafficShares.pickService(mapping, `order-${index}`), service);
    counts[service] = (counts[service] ?? 0) + 1;
  }
  assert.equal(counts['b'], undefined);
  assert.ok(Math.abs((counts['a'] ?? 0) - 2800) < 150, JSON.stringify(counts));
});
