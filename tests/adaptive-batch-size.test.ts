import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import fc from 'fast-check';
import { ShardPositions, ShardIndex, type ShardHead } from '../source/shared/directory/shardIndex';
import {
  AdaptiveBatchSize,
  AdaptiveBatchSizes,
  entryBatchSettings,
} from '../source/shared/flow-control/adaptiveBatchSize';

const limitMicroseconds = 500_000;

describe('adaptive batch size of the requests to one daemon', () => {
  test('doubles after a fast answer, halves after a slow one, falls to the minimum after a timeout', () => {
    const pace = new AdaptiveBatchSize();
    assert.equal(pace.amount, entryBatchSettings.initialAmount);
    for (let turn = 0; turn < 9; turn += 1) pace.recordAnswer(5_000, limitMicroseconds);
    assert.equal(pace.amount, entryBatchSettings.maxAmount);
    pace.recordAnswer(150_000, limitMicroseconds);
    assert.equal(pace.amount, entryBatchSettings.maxAmount, 'neither fast nor slow');
    pace.recordAnswer(400_000, limitMicroseconds);
    assert.equal(pace.amount, entryBatchSettings.maxAmount / 2);
    pace.recordTimeout();
    assert.equal(pace.amount, entryBatchSettings.minAmount);
    pace.recordAnswer(400_000, limitMicroseconds);
    assert.equal(pace.amount, entryBatchSettings.minAmount);
  });

  test('each address has its own, and the least recently used address is dropped', () => {
    const paces = new AdaptiveBatchSizes(2);
    paces.of('a').recordTimeout();
    paces.of('b');
    assert.equal(paces.of('a').amount, entryBatchSettings.minAmount);
    paces.of('c');
    paces.of('b');
    assert.equal(paces.of('a').amount, entryBatchSettings.initialAmount);
  });
});

const head: ShardHead = { holder: 'h', term: 1, epoch: 1, bootEpoch: 'b', weights: 'w', version: 0 };
const keyOf = (name: number, size: number) => ({ physical: `p${name}`, logical: `l${name}`, name: `n${name}`, size });

type Step = Readonly<{ kind: 'put' | 'remove' | 'pull' | 'relay'; name: number; size: number; maxBlocks: number }>;
const stepOf = fc.record({
  kind: fc.constantFrom<Step['kind']>('put', 'put', 'put', 'remove', 'pull', 'relay'),
  name: fc.nat(11),
  size: fc.nat(2),
  maxBlocks: fc.integer({ min: 1, max: 4 }),
});

const entriesOf = (shard: ShardIndex): readonly string[] =>
  shard
    .entries()
    .map(({ physical, size }) => `${physical}/${String(size)}`)
    .sort();

/** One request and its answer. */
const pull = (from: ShardIndex, to: ShardIndex, maxBlocks: number): void => {
  const change = from.changesSince(ShardPositions.of(to.present), maxBlocks);
  if (change !== undefined) to.apply(change);
};

const pullAll = (from: ShardIndex, to: ShardIndex, maxBlocks: number): void => {
  for (let asked = 0; asked < 60; asked += 1) pull(from, to, maxBlocks);
};

describe('an index that is replicated in parts', () => {
  test('follower and relay end with exactly the blocks of the controller, whatever changes meanwhile and whichever source is asked', () => {
    fc.assert(
      fc.property(fc.array(stepOf, { maxLength: 80 }), fc.integer({ min: 1, max: 4 }), (steps, maxBlocks) => {
        const controller = new ShardIndex(head);
        const relay = new ShardIndex({ ...head, version: -1 });
        const follower = new ShardIndex({ ...head, version: -1 });
        for (const step of steps) {
          if (step.kind === 'put') controller.put(keyOf(step.name, step.size));
          else if (step.kind === 'remove') controller.remove(`p${step.name}`);
          else if (step.kind === 'relay') pull(controller, relay, step.maxBlocks);
          else pull(step.size === 0 ? relay : controller, follower, step.maxBlocks);
        }
        pullAll(controller, relay, maxBlocks);
        pullAll(relay, follower, maxBlocks);
        assert.deepEqual(entriesOf(relay), entriesOf(controller));
        assert.deepEqual(entriesOf(follower), entriesOf(controller));
        assert.equal(follower.present.framedAt, undefined);
      }),
      { numRuns: 2_000, seed: 29 },
    );
  });

  test('a snapshot of many blocks arrives in parts, and its last part removes what was removed since the first', () => {
    const controller = new ShardIndex(head);
    for (let name = 0; name < 100; name += 1) controller.put(keyOf(name, 1));
    const other = new ShardIndex({ ...head, epoch: 0 });
    pull(controller, other, 40);
    assert.equal(other.size, 40);
    assert.ok(other.present.framedAt !== undefined);
    assert.equal(other.changesSince(undefined), undefined, 'an incomplete snapshot is not passed on');
    controller.remove('p3');
    controller.remove('p90');
    for (const expected of [80, 98]) {
      pull(controller, other, 40);
      assert.equal(other.size, expected);
    }
    assert.deepEqual(entriesOf(other), entriesOf(controller));
  });
});
