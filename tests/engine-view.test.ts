import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Fence } from '../source/edge-proxy/fence/fence';
import { EngineView } from '../source/edge-proxy/placement/engineView';
import { EngineWork } from '../source/edge-proxy/placement/engineWork';
import { Made } from '../source/measure/hollow/made';
import type { Clock } from '../source/shared/effects/clock/clock';
import { seededRandom } from '../source/shared/effects/random/random';
import { Freshness } from '../source/shared/freshness/freshness';
import { FactBook } from '../source/shared/news/facts';

/** One proxy's view of the engines of one service, with the clock in the hand of the test. */
const setUp = (
  engines = 2,
): Readonly<{
  view: EngineView;
  facts: FactBook;
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
  return { view, facts, inFlight, pass: (microseconds) => (now += microseconds) };
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
  assert.ok(view.able(Made.service(1)).some(({ name }) => name === Made.engine(2)));
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
