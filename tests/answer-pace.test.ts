import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import fc from 'fast-check';
import { ShardMarks, ShardNews, type ShardHead } from '../source/shared/directory/shardNews';
import { AnswerPace, AnswerPaces, entryPace } from '../source/shared/pace/answerPace';

const limit = 500_000;

describe('how much is asked of one daemon at a time', () => {
  test('more after a fast answer, less after a slow one, least after silence', () => {
    const pace = new AnswerPace();
    assert.equal(pace.amount, entryPace.first);
    for (let turn = 0; turn < 9; turn += 1) pace.answered(5_000, limit);
    assert.equal(pace.amount, entryPace.most);
    pace.answered(150_000, limit);
    assert.equal(pace.amount, entryPace.most, 'neither fast nor slow');
    pace.answered(400_000, limit);
    assert.equal(pace.amount, entryPace.most / 2);
    pace.silent();
    assert.equal(pace.amount, entryPace.least);
    pace.answered(400_000, limit);
    assert.equal(pace.amount, entryPace.least);
  });

  test('each address has its own, and those that were not asked for longest are forgotten', () => {
    const paces = new AnswerPaces(2);
    paces.of('a').silent();
    paces.of('b');
    assert.equal(paces.of('a').amount, entryPace.least);
    paces.of('c');
    paces.of('b');
    assert.equal(paces.of('a').amount, entryPace.first);
  });
});

const head: ShardHead = { holder: 'h', term: 1, epoch: 1, bootEpoch: 'b', weights: 'w', version: 0 };
const keyOf = (name: number, size: number) => ({ physical: `p${name}`, logical: `l${name}`, name: `n${name}`, size });

type Step = Readonly<{ kind: 'put' | 'remove' | 'pull' | 'relay'; name: number; size: number; most: number }>;
const stepOf = fc.record({
  kind: fc.constantFrom<Step['kind']>('put', 'put', 'put', 'remove', 'pull', 'relay'),
  name: fc.nat(11),
  size: fc.nat(2),
  most: fc.integer({ min: 1, max: 4 }),
});

const entriesOf = (shard: ShardNews): readonly string[] =>
  shard
    .entries()
    .map(({ physical, size }) => `${physical}/${String(size)}`)
    .sort();

/** One ask and its answer. */
const pull = (from: ShardNews, to: ShardNews, most: number): void => {
  const change = from.since(ShardMarks.of(to.present), most);
  if (change !== undefined) to.apply(change);
};

const pullAll = (from: ShardNews, to: ShardNews, most: number): void => {
  for (let asked = 0; asked < 60; asked += 1) pull(from, to, most);
};

describe('an index that is followed in parts', () => {
  test('whatever happens meanwhile, and whoever is asked, all that is kept arrives and nothing that is gone stays', () => {
    fc.assert(
      fc.property(fc.array(stepOf, { maxLength: 80 }), fc.integer({ min: 1, max: 4 }), (steps, most) => {
        const steward = new ShardNews(head);
        const relay = new ShardNews({ ...head, version: -1 });
        const follower = new ShardNews({ ...head, version: -1 });
        for (const step of steps) {
          if (step.kind === 'put') steward.put(keyOf(step.name, step.size));
          else if (step.kind === 'remove') steward.remove(`p${step.name}`);
          else if (step.kind === 'relay') pull(steward, relay, step.most);
          else pull(step.size === 0 ? relay : steward, follower, step.most);
        }
        pullAll(steward, relay, most);
        pullAll(relay, follower, most);
        assert.deepEqual(entriesOf(relay), entriesOf(steward));
        assert.deepEqual(entriesOf(follower), entriesOf(steward));
        assert.equal(follower.present.framedAt, undefined);
      }),
      { numRuns: 2_000, seed: 29 },
    );
  });

  test('a frame of many blocks comes in parts, with what was removed since it began taken back', () => {
    const steward = new ShardNews(head);
    for (let name = 0; name < 100; name += 1) steward.put(keyOf(name, 1));
    const other = new ShardNews({ ...head, epoch: 0 });
    pull(steward, other, 40);
    assert.equal(other.size, 40);
    assert.ok(other.present.framedAt !== undefined);
    assert.equal(other.since(undefined), undefined, 'what is only partly here is not passed on');
    steward.remove('p3');
    steward.remove('p90');
    for (const expected of [80, 98]) {
      pull(steward, other, 40);
      assert.equal(other.size, expected);
    }
    assert.deepEqual(entriesOf(other), entriesOf(steward));
  });
});
