import assert from 'node:assert/strict';
import fc from 'fast-check';
import { pack } from 'msgpackr';
import { test } from 'node:test';
import type { NamedKey } from '../source/shared/directory/hashChain';
import { ShardChangeCodec } from '../source/shared/directory/shardChangeCodec';
import type { ShardChange } from '../source/shared/directory/shardIndex';

const head = { holder: 'e', term: 1, epoch: 2, bootEpoch: 'b', weights: 'w', version: 9 };

const derivedKey = fc
  .record({ salt: fc.constantFrom('s', 'salt2'), id: fc.string({ minLength: 1 }), size: fc.nat() })
  .map(({ salt, id, size }): NamedKey => ({ physical: `${salt}/${id}`, logical: id, name: `${salt}/${id}`, size }));
const otherKey = fc
  .record({ physical: fc.string(), logical: fc.string(), name: fc.string() })
  .map((key): NamedKey => key);
const change = fc.record({
  put: fc.array(fc.oneof(derivedKey, otherKey)),
  gone: fc.array(fc.oneof(fc.string(), fc.constantFrom('s/a', 's/b/c', '/x', '__proto__/y'))),
});

const sorted = (values: readonly unknown[]): readonly string[] => values.map((value) => JSON.stringify(value)).sort();

test('decoding an encoded change of an index gives the same change, whatever names its entries have', () => {
  fc.assert(
    fc.property(change, ({ put, gone }) => {
      const given: ShardChange = { head, from: 3, put, gone };
      const { put: puts, gone: left, ...rest } = ShardChangeCodec.unpack(ShardChangeCodec.pack(given));
      assert.deepEqual(rest, { head, from: 3 });
      assert.deepEqual(sorted(puts), sorted(put));
      assert.deepEqual(sorted(left), sorted(gone));
    }),
    { seed: 11 },
  );
});

test('parts whose keys are derived from their names are encoded in less than a third of the size of plain entries', () => {
  const put = Array.from({ length: 100 }, (_, index): NamedKey => {
    const id = (index * 2_246_822_519).toString(16).slice(0, 8).padStart(8, '0');
    return { physical: `0123456789abcdef/${id}`, logical: id, name: `0123456789abcdef/${id}`, size: 3_720 };
  });
  const given: ShardChange = { head, from: 3, put, gone: [] };
  const [packed, plain] = [pack(ShardChangeCodec.pack(given)).length, pack(given).length];
  assert.ok(packed * 3 < plain, `${packed} of ${plain} bytes`);
});
