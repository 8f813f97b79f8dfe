import assert from 'node:assert/strict';
import { test } from 'node:test';
import { StalenessGuard } from '../source/edge-proxy/identification/stalenessGuard';
import { EngineView } from '../source/edge-proxy/placement/engineView';
import { EngineWork } from '../source/edge-proxy/placement/engineWork';
import { Made, weights } from '../source/measure/hollow/made';
import type { Clock } from '../source/shared/effects/clock/clock';
import { seededRandom } from '../source/shared/effects/random/random';
import { Freshness } from '../source/shared/freshness/freshness';
import { GossipStore } from '../source/shared/gossip/gossipStore';
import { WeightsDeadlines } from '../source/shared/weights/weightsDeadlines';

/** One proxy's view of the engines of one service, with a clock that the test advances. */
const setUp = (
  engines = 2,
): Readonly<{
  view: EngineView;
  facts: GossipStore;
  freshness: Freshness;
  clock: Clock;
  now: () => number;
  advance: (microseconds: number) => void;
  inFlight: () => number;
}> => {
  let now = 1_000_000;
  const clock: Clock = { nowMicroseconds: () => now, steadyMicroseconds: () => now, after: () => () => undefined };
  const facts = new GossipStore();
  Made.fill(facts, Made.facts(1, engines, seededRandom(1)));
  const freshness = new Freshness(clock, undefined, 'listed');
  Made.give(freshness, clock, 'blueprint', JSON.stringify(Made.blueprint(1, 1, 1)));
  Made.give(freshness, clock, 'engines', JSON.stringify(Made.list(engines, 1)));
  const view = new EngineView(
    Made.daemon(1),
    freshness,
    facts,
    new StalenessGuard(freshness, clock, Infinity),
    clock,
    new EngineWork(clock, { recentMicroseconds: 3_000_000 }),
  );
  const inFlight = (): number =>
    view.candidates(Made.service(1)).find(({ name }) => name === Made.engine(1))?.inFlight ?? -1;
  return { view, facts, freshness, clock, inFlight, now: () => now, advance: (microseconds) => (now += microseconds) };
};

/** A send that the engine refuses because it is full. */
const refuseAsFull = (view: EngineView): void => {
  view.recordSendStart(Made.engine(1));
  view.markFull(Made.engine(1));
  view.ended(Made.engine(1));
};

test('an engine that reported itself full stays full when the refused send ends, because that frees no capacity', () => {
  const { view, inFlight, advance } = setUp();
  assert.equal(inFlight(), 0);
  refuseAsFull(view);
  advance(2_000);
  assert.equal(inFlight(), Made.engineFact(1).capacity);
});

test('an engine that reported itself full has capacity again when a request that ran there ends', () => {
  const { view, inFlight, advance } = setUp();
  view.recordSendStart(Made.engine(1));
  refuseAsFull(view);
  assert.equal(inFlight(), Made.engineFact(1).capacity);
  advance(2_000);
  view.ended(Made.engine(1));
  assert.equal(inFlight(), 0);
});

test('a report that an engine is full ends with a newer report on it, and with time', () => {
  for (const end of ['news', 'time'] as const) {
    const { view, facts, inFlight, advance } = setUp();
    refuseAsFull(view);
    if (end === 'news') facts.put({ key: `engine/${Made.engine(1)}`, version: [1, 2], value: Made.engineFact(1) });
    advance(end === 'news' ? 2_000 : 400_000);
    assert.equal(inFlight(), 0, end);
  }
});

test('an ejected engine is no candidate, but a request placed there before may still be sent', () => {
  const { view } = setUp(4);
  const names = (): readonly string[] => view.candidates(Made.service(1)).map(({ name }) => name);
  for (const engine of [1, 2, 3, 4])
    for (let count = 0; count < 6; count += 1) view.outliers.recordAnswer(Made.engine(engine), 'good');
  assert.equal(names().length, 4);
  for (let count = 0; count < 4; count += 1) view.outliers.recordAnswer(Made.engine(2), 'failed');
  view.detectOutliers();
  assert.ok(!names().includes(Made.engine(2)));
  const { bootEpoch } = Made.engineFact(2);
  assert.ok(view.isUsable(Made.service(1), { name: Made.engine(2), bootEpoch, weights }));
  assert.equal(view.capacity(Made.service(1)), 3 * Made.engineFact(1).capacity);
});

test('an engine that its agent cannot reach is no candidate unless it has answered requests since; a draining one never is', () => {
  const { view, facts, advance } = setUp();
  const isCandidate = (): boolean => view.candidates(Made.service(1)).some(({ name }) => name === Made.engine(1));
  const report = (sequence: number, reachable: boolean, accepting: boolean): void => {
    const value = { ...Made.engineFact(1), reachable, accepting };
    facts.put({ key: `engine/${Made.engine(1)}`, version: [1, sequence], value });
  };
  report(2, false, false);
  assert.equal(isCandidate(), false);
  advance(2_000);
  view.outliers.recordAnswer(Made.engine(1), 'good');
  advance(2_000);
  assert.equal(isCandidate(), true);
  advance(1_500_000);
  assert.equal(isCandidate(), false, 'no candidate for longer without answers');
  view.outliers.recordAnswer(Made.engine(1), 'good');
  report(3, true, false);
  advance(2_000);
  assert.equal(isCandidate(), false, 'reachable, but not accepting');
  report(4, true, true);
  assert.equal(isCandidate(), true);
});

test('engines on previous weights stop being candidates at the cutoff, without any update', () => {
  const { view, freshness, clock, now, advance } = setUp(2);
  const isUsable = (): boolean =>
    view.isUsable(Made.service(1), { name: Made.engine(1), bootEpoch: Made.engineFact(1).bootEpoch, weights });
  assert.equal(isUsable(), true);
  const next = JSON.parse(JSON.stringify(Made.blueprint(1, 1, 1))) as { services: Record<string, { weights: string }> };
  for (const service of Object.values(next.services)) service.weights = 'w2';
  Made.give(freshness, clock, 'blueprint', JSON.stringify(next), 2);
  freshness.applyStatement(
    {
      key: 'blueprint',
      revision: 2,
      digest: freshness.applied('blueprint')?.digest ?? '',
      ageMicroseconds: 0,
      weights: { [Made.service(1)]: { weights: 'w2', previous: weights, ageMicroseconds: 1_000_000 } },
    },
    now(),
  );
  assert.equal(isUsable(), true, 'until the cutoff');
  assert.deepEqual(
    view.candidates(Made.service(1)).map(({ changesSoon }) => changesSoon),
    [true, true],
    'both change in the next two rounds',
  );
  assert.equal(view.candidates(Made.service(1)).length, 2);
  advance(WeightsDeadlines.cutMicroseconds - 1_000_000 - 100);
  assert.equal(isUsable(), true, 'just before the cutoff');
  advance(2_000);
  assert.equal(isUsable(), false);
  assert.equal(view.candidates(Made.service(1)).length, 0);
  assert.equal(view.capacity(Made.service(1)), 0);
});

test('free capacity follows own requests and load updates at once, and agrees with the candidates', () => {
  const { view, facts } = setUp(2);
  const service = Made.service(1);
  const totalCapacity = 2 * Made.engineFact(1).capacity;
  const assertFree = (free: number): void => {
    assert.equal(view.free(service), free);
    const counted = view
      .candidates(service)
      .reduce((sum, { capacity, inFlight }) => sum + Math.max(0, capacity - inFlight), 0);
    assert.equal(counted, free);
    assert.equal(view.capacity(service), totalCapacity);
  };
  assertFree(totalCapacity);
  view.recordSendStart(Made.engine(1));
  assertFree(totalCapacity - 1);
  facts.put({ key: 'member/other', version: [1, 0], value: { ...Made.member(2), name: 'other' } });
  const load = { agent: 'other', engines: { [Made.engine(2)]: 5 }, classes: {}, waiting: {}, tenants: {} };
  facts.put({ key: 'load/other', version: [1, 1], value: load });
  assertFree(totalCapacity - 6);
  facts.put({ key: 'member/other', version: [1, 3], value: { ...Made.member(2), name: 'other', state: 'left' } });
  assertFree(totalCapacity - 1);
  view.ended(Made.engine(1));
  assertFree(totalCapacity);
  refuseAsFull(view);
  assertFree(totalCapacity - Made.engineFact(1).capacity);
});
