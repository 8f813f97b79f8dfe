import assert from 'node:assert/strict';
import fc from 'fast-check';
import { test } from 'node:test';
import type { KvEvent } from '../source/shared/back-end/protocol';
import { DerivedNames } from '../source/shared/directory/derivedNames';
import type { NamedKey } from '../source/shared/directory/hashChain';
import { ShardDirectory, ShardLimits } from '../source/shared/directory/shardDirectory';
import { ShardBook } from '../source/shared/directory/shardBook';

const book = (entries = 1000, leastSize = 0): Readonly<{ names: DerivedNames; told: Map<string, number> }> => {
  const told = new Map<string, number>();
  const names = new DerivedNames(
    { entries, leastSize },
    ({ physical, size }: NamedKey) => void told.set(physical, size ?? 0),
    (physical) => void told.delete(physical),
  );
  return { names, told };
};
const stored = (sequence: number, key: string, size: number): KvEvent => ({ sequence, kind: 'stored', key, size });
const evicted = (sequence: number, key: string, size = 0): KvEvent => ({ sequence, kind: 'evicted', key, size });

test("a holder's word alone makes an entry, with its size; a part that lost its end stays with the rest", () => {
  const { names, told } = book();
  names.event(stored(1, 's/a', 800));
  names.event(evicted(2, 's/a', 128));
  assert.deepEqual([...told], [['s/a', 128]]);
  names.event(evicted(3, 's/a'));
  assert.equal(told.size, 0);
});

test('late, doubled and reordered events come to the same end as ordered ones', () => {
  const history = fc.array(
    fc.record({ key: fc.constantFrom('s/a', 's/b', 't/a'), size: fc.constantFrom(0, 0, 128, 800) }),
    { maxLength: 30 },
  );
  fc.assert(
    fc.property(history, fc.infiniteStream(fc.nat()), (steps, chances) => {
      const events = steps.map(({ key, size }, index) =>
        size === 0 ? evicted(index + 1, key) : stored(index + 1, key, size),
      );
      const ordered = book();
      for (const event of events) ordered.names.event(event);
      const mixed = book();
      const doubled = [...events, ...events]
        .map((event) => ({ event, place: chances.next().value }))
        .sort((left, right) => left.place - right.place);
      for (const { event } of doubled) mixed.names.event(event);
      assert.deepEqual([...mixed.told].sort(), [...ordered.told].sort());
    }),
    { seed: 7, numRuns: 300 },
  );
});

test("the holder's list mends what was lost, and does not undo what came after it", () => {
  const { names, told } = book();
  names.event(stored(1, 's/lost-removal', 800));
  names.event(stored(9, 's/after', 700));
  names.event(stored(3, 's/kept', 600));
  names.list({ bootEpoch: 'b', sequence: 5, keys: ['s/kept', 's/lost-event'], sizes: [600, 500] });
  assert.deepEqual([...told].sort(), [
    ['s/after', 700],
    ['s/kept', 600],
    ['s/lost-event', 500],
  ]);
  names.event(stored(2, 's/lost-removal', 800));
  assert.ok(!told.has('s/lost-removal'), 'a late event from before the list is not believed');
});

test('memory is bounded, and small parts and dead salts are told to nobody', () => {
  const { names, told } = book(10, 512);
  for (let part = 0; part < 50; part += 1) names.event(stored(part + 1, `s/${part}`, part % 2 === 0 ? 600 : 100));
  assert.equal(names.size, 10);
  assert.deepEqual([...told.keys()].sort(), ['s/40', 's/42', 's/44', 's/46', 's/48']);
  names.spreadOnly((name) => name === 's/44');
  assert.deepEqual([...told.keys()], ['s/44']);
  names.spreadOnly(() => true);
  assert.equal(told.size, 5, 'what is of use again is told again');
});

const shardOf = (): ShardDirectory => new ShardDirectory('e', 1, ShardLimits.usual, true, () => 0, 'derived');

test('a shard of derived names: a gap in the numbers is no reason for a list, lost events are', () => {
  const shard = shardOf();
  shard.observe('b1', 'w1');
  assert.equal(shard.events({ bootEpoch: 'b1', events: [stored(3, 's/a', 800)], last: 9, lost: false }), true);
  assert.equal(shard.after, 9);
  assert.equal(shard.events({ bootEpoch: 'b1', events: [stored(40, 's/b', 800)], last: 40, lost: true }), false);
  assert.equal(shard.events({ bootEpoch: 'b0', events: [stored(41, 's/c', 800)], last: 41 }), false, 'another boot');
  assert.deepEqual(
    shard.news.entries().map(({ name }) => name),
    ['s/a', 's/b'],
  );
});

test('a restart empties a shard and counts anew; other weights only raise its epoch', () => {
  const shard = shardOf();
  shard.observe('b1', 'w1');
  shard.events({ bootEpoch: 'b1', events: [stored(1, 's/a', 800)], last: 1 });
  const { epoch } = shard;
  assert.equal(shard.observe('b1', 'w2'), true);
  assert.deepEqual([shard.epoch, shard.news.size, shard.after], [epoch + 1, 1, 1]);
  assert.equal(shard.observe('b2', 'w2'), true);
  assert.deepEqual([shard.epoch, shard.news.size, shard.after], [epoch + 2, 0, undefined]);
});

test('sizes travel with the news of a shard, as frame and as change', () => {
  const shard = shardOf();
  const from = new ShardBook();
  from.set('e', shard.news);
  const to = new ShardBook();
  const pass = (): void => {
    for (const change of from.since(to.marks(), 1000)) to.apply(change);
  };
  shard.observe('b1', 'w1');
  shard.events({ bootEpoch: 'b1', events: [stored(1, 's/a', 800)], last: 1 });
  pass();
  shard.events({ bootEpoch: 'b1', events: [stored(2, 's/a', 128), stored(3, 's/b', 500)], last: 3 });
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
