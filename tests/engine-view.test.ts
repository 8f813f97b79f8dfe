import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Fence } from '../source/edge-proxy/fence/fence';
import { EngineView } from '../source/edge-proxy/placement/engineView';
import { EngineWork } from '../source/edge-proxy/placement/engineWork';
import { Made, weights } from '../source/measure/hollow/made';
import type { Clock } from '../source/shared/effects/clock/clock';
import { seededRandom } from '../source/shared/effects/random/random';
import { Freshness } from '../source/shared/freshness/freshness';
import { FactBook } from '../source/shared/news/facts';
import { WeightsClocks } from '../source/shared/weights/weightsClocks';

/** One proxy's view of the engines of one service, with the clock in the hand of the test. */
const setUp = (
  engines = 2,
): Readonly<{
  view: EngineView;
  facts: FactBook;
  freshness: Freshness;
  clock: Clock;
  now: () => number;
  pass: (microseconds: number) => void;
  inFlight: () => number;
}> => {
  let now = 1_000_000;
  const clock: Clock = { nowMicroseconds: () => now, steadyMicroseconds: () => now, after: () => () => undefined };
  const facts = new FactBook();
  Made.fill(facts, Made.facts(1, engines, seededRandom(1)));
  const freshness = new Freshness(clock, undefined, 'listed');
  Made.give(freshness, clock, 'blueprint', JSON.stringify(Made.blueprint(1, 1, 1)));
  Made.give(freshness, clock, 'engines', JSON.stringify(Made.list(engines, 1)));
  const view = new EngineView(
    Made.daemon(1),
    freshness,
    facts,
    new Fence(freshness, clock, Infinity),
    clock,
    new EngineWork(clock, { latelyMicroseconds: 3_000_000 }),
  );
  const inFlight = (): number =>
    view.candidates(Made.service(1)).find(({ name }) => name === Made.engine(1))?.inFlight ?? -1;
  return { view, facts, freshness, clock, inFlight, now: () => now, pass: (microseconds) => (now += microseconds) };
};

/** A send that the engine turns away for want of room. */
const turnedAway = (view: EngineView): void => {
  view.began(Made.engine(1));
  view.saidFull(Made.engine(1));
  view.ended(Made.engine(1));
};

test('an engine that said it is full stays full when the send that was told so ends: that makes no room', () => {
  const { view, inFlight, pass } = setUp();
  assert.equal(inFlight(), 0);
  turnedAway(view);
  pass(2_000);
  assert.equal(inFlight(), Made.engineFact(1).capacity);
});

test('an engine that said it is full has room again when an order that ran there ends', () => {
  const { view, inFlight, pass } = setUp();
  view.began(Made.engine(1));
  turnedAway(view);
  assert.equal(inFlight(), Made.engineFact(1).capacity);
  pass(2_000);
  view.ended(Made.engine(1));
  assert.equal(inFlight(), 0);
});

test('the word that an engine is full ends with fresher news of it, and with time', () => {
  for (const end of ['news', 'time'] as const) {
    const { view, facts, inFlight, pass } = setUp();
    turnedAway(view);
    if (end === 'news') facts.put({ key: `engine/${Made.engine(1)}`, version: [1, 2], value: Made.engineFact(1) });
    pass(end === 'news' ? 2_000 : 400_000);
    assert.equal(inFlight(), 0, end);
  }
});

test('an ejected engine is no candidate, but an order placed there before may still go', () => {
  const { view } = setUp(4);
  const names = (): readonly string[] => view.candidates(Made.service(1)).map(({ name }) => name);
  for (const engine of [1, 2, 3, 4])
    for (let count = 0; count < 6; count += 1) view.outliers.answered(Made.engine(engine), 'good');
  assert.equal(names().length, 4);
  for (let count = 0; count < 4; count += 1) view.outliers.answered(Made.engine(2), 'failed');
  view.review();
  assert.ok(!names().includes(Made.engine(2)));
  const { bootEpoch } = Made.engineFact(2);
  assert.ok(view.isAble(Made.service(1), { name: Made.engine(2), bootEpoch, weights }));
  assert.equal(view.capacity(Made.service(1)), 3 * Made.engineFact(1).capacity);
});

test('an engine that its steward does not hear is lost, unless its answers are good since; draining ones stay out', () => {
  const { view, facts, pass } = setUp();
  const has = (): boolean => view.candidates(Made.service(1)).some(({ name }) => name === Made.engine(1));
  const say = (sequence: number, reachable: boolean, accepting: boolean): void => {
    const value = { ...Made.engineFact(1), reachable, accepting };
    facts.put({ key: `engine/${Made.engine(1)}`, version: [1, sequence], value });
  };
  say(2, false, false);
  assert.equal(has(), false);
  pass(2_000);
  view.outliers.answered(Made.engine(1), 'good');
  pass(2_000);
  assert.equal(has(), true);
  pass(1_500_000);
  assert.equal(has(), false, 'not for ever');
  view.outliers.answered(Made.engine(1), 'good');
  say(3, true, false);
  pass(2_000);
  assert.equal(has(), false, 'heard, and not accepting');
  say(4, true, true);
  assert.equal(has(), true);
});

test('engines on weights whose time is over are candidates no more, though no news comes', () => {
  const { view, freshness, clock, now, pass } = setUp(2);
  const able = (): boolean =>
    view.isAble(Made.service(1), { name: Made.engine(1), bootEpoch: Made.engineFact(1).bootEpoch, weights });
  assert.equal(able(), true);
  const next = JSON.parse(JSON.stringify(Made.blueprint(1, 1, 1))) as { services: Record<string, { weights: string }> };
  for (const service of Object.values(next.services)) service.weights = 'w2';
  Made.give(freshness, clock, 'blueprint', JSON.stringify(next), 2);
  freshness.hear(
    {
      key: 'blueprint',
      revision: 2,
      digest: freshness.applied('blueprint')?.digest ?? '',
      ageMicroseconds: 0,
      weights: { [Made.service(1)]: { weights: 'w2', previous: weights, ageMicroseconds: 1_000_000 } },
    },
    now(),
  );
  assert.equal(able(), true, 'for a while');
  assert.deepEqual(
    view.candidates(Made.service(1)).map(({ changesSoon }) => changesSoon),
    [true, true],
    'both are in the next two rounds',
  );
  assert.equal(view.candidates(Made.service(1)).length, 2);
  pass(WeightsClocks.cutMicroseconds - 1_000_000 - 100);
  assert.equal(able(), true, 'up to the last moment');
  pass(2_000);
  assert.equal(able(), false);
  assert.equal(view.candidates(Made.service(1)).length, 0);
  assert.equal(view.capacity(Made.service(1)), 0);
});

test('free places follow own orders and the news of others at once, candidates say the same', () => {
  const { view, facts } = setUp(2);
  const service = Made.service(1);
  const places = 2 * Made.engineFact(1).capacity;
  const agree = (free: number): void => {
    assert.equal(view.free(service), free);
    const counted = view
      .candidates(service)
      .reduce((sum, { capacity, inFlight }) => sum + Math.max(0, capacity - inFlight), 0);
    assert.equal(counted, free);
    assert.equal(view.capacity(service), places);
  };
  agree(places);
  view.began(Made.engine(1));
  agree(places - 1);
  facts.put({ key: 'member/other', version: [1, 0], value: { ...Made.member(2), name: 'other' } });
  const load = { agent: 'other', engines: { [Made.engine(2)]: 5 }, classes: {}, waiting: {}, tenants: {} };
  facts.put({ key: 'load/other', version: [1, 1], value: load });
  agree(places - 6);
  facts.put({ key: 'member/other', version: [1, 3], value: { ...Made.member(2), name: 'other', state: 'left' } });
  agree(places - 1);
  view.ended(Made.engine(1));
  agree(places);
  turnedAway(view);
  agree(places - Made.engineFact(1).capacity);
});
