import assert from 'node:assert/strict';
import fc from 'fast-check';
import { test } from 'node:test';
import type { KvEvent } from '../source/shared/back-end/protocol';
import { DerivedNameIndex } from '../source/shared/directory/derivedNameIndex';
import type { NamedKey } from '../source/shared/directory/hashChain';
import { ShardDirectory, ShardLimits } from '../source/shared/directory/shardDirectory';
import { ShardCatalog } from '../source/shared/directory/shardCatalog';

const setUpNames = (
  entries = 1000,
  leastSize = 0,
): Readonly<{ names: DerivedNameIndex; announced: Map<string, number> }> => {
  const announced = new Map<string, number>();
  const names = new DerivedNameIndex(
    { maxEntries: entries, minSize: leastSize },
    ({ physical, size }: NamedKey) => void announced.set(physical, size ?? 0),
    (physical) => void announced.delete(physical),
  );
  return { names, announced };
};
const stored = (sequence: number, key: string, size: number): KvEvent => ({ sequence, kind: 'stored', key, size });
const evicted = (sequence: number, key: string, size = 0): KvEvent => ({ sequence, kind: 'evicted', key, size });

test('an event of the cache holder creates an entry with its size; a truncated part keeps its remaining size', () => {
  const { names, announced } = setUpNames();
  names.applyEvent(stored(1, 's/a', 800));
  names.applyEvent(evicted(2, 's/a', 128));
  assert.deepEqual([...announced], [['s/a', 128]]);
  names.applyEvent(evicted(3, 's/a'));
  assert.equal(announced.size, 0);
});

test('late, duplicate and reordered events lead to the same state as ordered ones', () => {
  const history = fc.array(
    fc.record({ key: fc.constantFrom('s/a', 's/b', 't/a'), size: fc.constantFrom(0, 0, 128, 800) }),
    { maxLength: 30 },
  );
  fc.assert(
    fc.property(history, fc.infiniteStream(fc.nat()), (steps, positions) => {
      const events = steps.map(({ key, size }, index) =>
        size === 0 ? evicted(index + 1, key) : stored(index + 1, key, size),
      );
      const ordered = setUpNames();
      for (const event of events) ordered.names.applyEvent(event);
      const reordered = setUpNames();
      const duplicated = [...events, ...events]
        .map((event) => ({ event, place: positions.next().value }))
        .sort((left, right) => left.place - right.place);
      for (const { event } of duplicated) reordered.names.applyEvent(event);
      assert.deepEqual([...reordered.announced].sort(), [...ordered.announced].sort());
    }),
    { seed: 7, numRuns: 300 },
  );
});

test('the list of the cache holder repairs lost events, and does not undo events after it', () => {
  const { names, announced } = setUpNames();
  names.applyEvent(stored(1, 's/lost-removal', 800));
  names.applyEvent(stored(9, 's/after', 700));
  names.applyEvent(stored(3, 's/kept', 600));
  names.applyListing({ bootEpoch: 'b', sequence: 5, keys: ['s/kept', 's/lost-event'], sizes: [600, 500] });
  assert.deepEqual([...announced].sort(), [
    ['s/after', 700],
    ['s/kept', 600],
    ['s/lost-event', 500],
  ]);
  names.applyEvent(stored(2, 's/lost-removal', 800));
  assert.ok(!announced.has('s/lost-removal'), 'a late event from before the list is ignored');
});

test('memory is bounded, and small parts and unused salts are not announced', () => {
  const { names, announced } = setUpNames(10, 512);
  for (let part = 0; part < 50; part += 1) names.applyEvent(stored(part + 1, `s/${part}`, part % 2 === 0 ? 600 : 100));
  assert.equal(names.size, 10);
  assert.deepEqual([...announced.keys()].sort(), ['s/40', 's/42', 's/44', 's/46', 's/48']);
  names.publishOnly((name) => name === 's/44');
  assert.deepEqual([...announced.keys()], ['s/44']);
  names.publishOnly(() => true);
  assert.equal(announced.size, 5, 'a salt that is used again is announced again');
});

const shardOf = (): ShardDirectory => new ShardDirectory('e', 1, ShardLimits.usual, true, () => 0, 'derived');

test('a shard of derived names needs a full list after lost events, but not after a gap in the sequence numbers', () => {
  const shard = shardOf();
  shard.observe('b1', 'w1');
  assert.equal(shard.applyEvents({ bootEpoch: 'b1', events: [stored(3, 's/a', 800)], last: 9, lost: false }), true);
  assert.equal(shard.after, 9);
  assert.equal(shard.applyEvents({ bootEpoch: 'b1', events: [stored(40, 's/b', 800)], last: 40, lost: true }), false);
  assert.equal(
    shard.applyEvents({ bootEpoch: 'b0', events: [stored(41, 's/c', 800)], last: 41 }),
    false,
    'another boot',
  );
  assert.deepEqual(
    shard.index.entries().map(({ name }) => name),
    ['s/a', 's/b'],
  );
});

test('a restart empties a shard and restarts its sequence; other weights only raise its epoch', () => {
  const shard = shardOf();
  shard.observe('b1', 'w1');
  shard.applyEvents({ bootEpoch: 'b1', events: [stored(1, 's/a', 800)], last: 1 });
  const { epoch } = shard;
  assert.equal(shard.observe('b1', 'w2'), true);
  assert.deepEqual([shard.epoch, shard.index.size, shard.after], [epoch + 1, 1, 1]);
  assert.equal(shard.observe('b2', 'w2'), true);
  assert.deepEqual([shard.epoch, shard.index.size, shard.after], [epoch + 2, 0, undefined]);
});

test('sizes are replicated with a shard, in snapshots and in changes', () => {
  const shard = shardOf();
  const from = new ShardCatalog();
  from.set('e', shard.index);
  const to = new ShardCatalog();
  const pass = (): void => {
    for (const change of from.changesSince(to.marks(), 1000)) to.apply(change);
  };
  shard.observe('b1', 'w1');
  shard.applyEvents({ bootEpoch: 'b1', events: [stored(1, 's/a', 800)], last: 1 });
  pass();
  shard.applyEvents({ bootEpoch: 'b1', events: [stored(2, 's/a', 128), stored(3, 's/b', 500)], last: 3 });
  pass();
  assert.deepEqual(
    to
      .get('e')
      ?.entries()
      .map(({ name, size }) => [name, size])
      .sort(),
    [
      ['s/a', 128],
      ['s/b', 500],
    ],
  );
});
