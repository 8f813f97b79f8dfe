import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { BlockStates, type BlockEvent, type BlockState } from '../source/shared/directory/blockState';
import { HashChains, type NamedKey } from '../source/shared/directory/hashChain';
import { Identities, type CacheIdentity } from '../source/shared/directory/identity';
import { Lookups } from '../source/shared/directory/lookup';
import { ShardCatalog } from '../source/shared/directory/shardCatalog';
import { ShardDirectory, ShardLimits } from '../source/shared/directory/shardDirectory';
import { ShardPositions, ShardIndex } from '../source/shared/directory/shardIndex';
import { SimBlueprints } from '../source/fleet-simulator/machines/simFleet';

const settings = { numRuns: Number(process.env['POSTDRUM_TEST_RUNS'] ?? 100), seed: 4711 };
const text = fc.string({ maxLength: 6 });
const identity: fc.Arbitrary<CacheIdentity> = fc.record({
  trustDomain: text,
  model: text,
  weights: text,
  tokenizer: text,
  adapter: text,
  dtype: text,
  quant: text,
  layout: text,
  shard: text,
  rope: text,
  blockCharacters: fc.nat(9),
  validLength: fc.nat(9),
  prefix: text,
  multimodal: text,
});

test('identity: equal bytes mean equal identities, and each field alone changes the physical key', () => {
  fc.assert(
    fc.property(identity, identity, (one, two) => {
      assert.equal(
        Identities.physicalBytes(one).equals(Identities.physicalBytes(two)),
        JSON.stringify(one) === JSON.stringify(two),
      );
      for (const field of Object.keys(one) as (keyof CacheIdentity)[]) {
        const value = one[field];
        const other = { ...one, [field]: typeof value === 'number' ? value + 1 : `${value}x` };
        assert.notEqual(Identities.physical(other), Identities.physical(one), field);
      }
    }),
    settings,
  );
});

test('identity: layout, shard and lengths leave the logical key as it is; tenant and weights do not', () => {
  fc.assert(
    fc.property(identity, (one) => {
      assert.equal(
        Identities.logical({ ...one, layout: 'other', shard: 'other', dtype: 'other', validLength: 99 }),
        Identities.logical(one),
      );
      assert.notEqual(Identities.logical({ ...one, trustDomain: `${one.trustDomain}x` }), Identities.logical(one));
      assert.notEqual(Identities.logical({ ...one, weights: `${one.weights}x` }), Identities.logical(one));
      assert.equal(Identities.logicalBytes(one).subarray(0, 4).toString(), 'GPCL');
      assert.equal(Identities.physicalBytes(one).subarray(0, 4).toString(), 'GPCK');
    }),
    settings,
  );
});

test('hash chains: two prompts share exactly the blocks of their common prefix', () => {
  fc.assert(
    fc.property(
      fc.string({ maxLength: 60 }),
      fc.string({ maxLength: 60 }),
      fc.string({ maxLength: 60 }),
      (common, left, right) => {
        const one = HashChains.blocks(common + left, 8, 100);
        const two = HashChains.blocks(common + right, 8, 100);
        let shared = 0;
        while (
          shared < one.length &&
          shared < two.length &&
          (common + left).slice(0, (shared + 1) * 8) === (common + right).slice(0, (shared + 1) * 8)
        )
          shared += 1;
        one.forEach((hash, index) => assert.equal(hash === two[index], index < shared));
      },
    ),
    settings,
  );
});

const blockEvent: fc.Arbitrary<BlockEvent> = fc.oneof(
  fc.record({
    kind: fc.constant('reserve' as const),
    fill: fc.constantFrom('a', 'b'),
    moves: fc.boolean(),
    epoch: fc.integer({ min: 1, max: 3 }),
  }),
  fc.record({ kind: fc.constant('attest' as const), fill: fc.constantFrom('a', 'b') }),
  fc.constant<BlockEvent>({ kind: 'confirm' }),
  fc.record({ kind: fc.constantFrom('abandon' as const, 'notSent' as const), fill: fc.constantFrom('a', 'b') }),
  fc.constantFrom<BlockEvent>({ kind: 'evict' }, { kind: 'evicted' }),
  fc.record({ kind: fc.constant('reclaimFenced' as const), epoch: fc.integer({ min: 1, max: 4 }) }),
);

test('blocks: readable only after an attested fill was confirmed; only an attestation or a higher epoch ends a quarantine', () => {
  fc.assert(
    fc.property(fc.array(blockEvent, { maxLength: 30 }), (events) => {
      let state: BlockState = BlockStates.absent;
      let attested = false;
      for (const event of events) {
        const before: BlockState = state;
        state = BlockStates.step(before, event);
        if (event.kind === 'reserve' && before.kind === 'absent') attested = false;
        if (event.kind === 'attest' && state !== before) attested = true;
        if (BlockStates.isReadable(state)) assert.ok(attested);
        if (before.kind === 'quarantined' && state.kind !== 'quarantined') {
          assert.ok(
            (event.kind === 'attest' && event.fill === before.fill) ||
              (event.kind === 'reclaimFenced' && event.epoch > before.epoch),
            event.kind,
          );
        }
        if (state.kind === 'quarantined') assert.ok(BlockStates.isUsed(state));
      }
    }),
    settings,
  );
});

const keysOf = (count: number, fill: string): readonly NamedKey[] =>
  HashChains.withFillNames(
    Array.from({ length: count }, (_, index) => ({ physical: `p${index}`, logical: `l${index}` })),
    fill,
  );

const shardAt = (bootEpoch = 'boot', weights = 'w'): ShardDirectory => {
  const shard = new ShardDirectory('engine', 1, ShardLimits.usual, true);
  shard.observe(bootEpoch, weights);
  shard.applyListing({ bootEpoch, sequence: 0, keys: [] });
  return shard;
};
const stored = (
  keys: readonly NamedKey[],
  from = 1,
): { bootEpoch: string; events: { sequence: number; kind: 'stored'; key: string }[]; last: number } => ({
  bootEpoch: 'boot',
  events: keys.map(({ name }, index) => ({ sequence: from + index, kind: 'stored', key: name })),
  last: from + keys.length - 1,
});

test("shard: a block is committed after the request, its attestation and the holder's event, with the last two in any order", () => {
  for (const eventFirst of [true, false]) {
    const shard = shardAt();
    const keys = keysOf(3, 'f');
    shard.applyReport({ kind: 'register', holder: 'engine', epoch: shard.epoch, fill: 'f', moves: false, keys });
    if (eventFirst) shard.applyEvents(stored(keys));
    assert.equal(shard.index.size, 0);
    shard.applyReport({ kind: 'attest', holder: 'engine', fill: 'f', bootEpoch: 'boot', weights: 'w' });
    if (!eventFirst) shard.applyEvents(stored(keys));
    assert.equal(shard.index.size, 3);
  }
});

test('shard: a key that was not requested is no hit, whether an event or a listing reports it', () => {
  const shard = shardAt();
  shard.applyEvents(stored(keysOf(2, 'stranger')));
  shard.applyListing({ bootEpoch: 'boot', sequence: 2, keys: keysOf(2, 'stranger').map(({ name }) => name) });
  assert.equal(shard.index.size, 0);
});

test('shard: an answer under another boot or other weights commits nothing', () => {
  for (const [bootEpoch, weights] of [
    ['other', 'w'],
    ['boot', 'x'],
  ] as const) {
    const shard = shardAt();
    const keys = keysOf(2, 'f');
    shard.applyReport({ kind: 'register', holder: 'engine', epoch: shard.epoch, fill: 'f', moves: false, keys });
    shard.applyEvents(stored(keys));
    shard.applyReport({ kind: 'attest', holder: 'engine', fill: 'f', bootEpoch, weights });
    assert.equal(shard.index.size, 0);
  }
});

test('shard: a gap in the events requires a listing, which removes absent blocks and confirms requested ones', () => {
  const shard = shardAt();
  const keys = keysOf(3, 'f');
  shard.applyReport({ kind: 'register', holder: 'engine', epoch: shard.epoch, fill: 'f', moves: false, keys });
  shard.applyReport({ kind: 'attest', holder: 'engine', fill: 'f', bootEpoch: 'boot', weights: 'w' });
  const reported = stored(keys);
  assert.equal(shard.applyEvents({ ...reported, events: reported.events.slice(1) }), false);
  shard.applyListing({ bootEpoch: 'boot', sequence: 3, keys: keys.slice(0, 2).map(({ name }) => name) });
  assert.equal(shard.index.size, 2);
  assert.equal(shard.applyEvents({ ...reported, last: 3 }), true);
  assert.equal(shard.index.size, 2);
});

test('shard: blocks of a failed import are quarantined, count as used, are refused to others and are freed by a new boot', () => {
  const shard = shardAt();
  const keys = keysOf(4, 'f');
  assert.equal(shard.grant('f', shard.epoch, keys).kind, 'granted');
  assert.deepEqual(shard.grant('g', shard.epoch, keysOf(2, 'g')), { kind: 'joined', fill: 'f', notice: 'pending' });
  shard.applyReport({ kind: 'abandon', holder: 'engine', fill: 'f' });
  assert.equal(shard.quarantined, 4);
  assert.equal(shard.used, 4);
  assert.equal(shard.fillStatus('f'), 'failed');
  assert.deepEqual(shard.grant('h', shard.epoch, keysOf(1, 'h')), { kind: 'refused', reason: 'quarantined' });
  shard.applyEvents(stored(keys));
  assert.equal(shard.index.size, 0);
  const epoch = shard.epoch;
  shard.observe('boot-2', 'w');
  assert.equal(shard.epoch, epoch + 1);
  assert.equal(shard.quarantined, 0);
  assert.deepEqual(shard.grant('i', epoch, keys), { kind: 'refused', reason: 'otherEpoch' });
});

test('shard: a fill of a daemon that stopped is abandoned, which frees its charge and leaves its blocks quarantined', () => {
  let now = 0;
  const shard = new ShardDirectory('engine', 1, ShardLimits.usual, true, () => now);
  shard.observe('boot', 'w');
  const keys = keysOf(4, 'f');
  assert.equal(shard.grant('f', shard.epoch, keys).kind, 'granted');
  assert.equal(shard.charged, 4);
  now = 30_000_001;
  shard.abandonFills(now - 30_000_000);
  assert.deepEqual([shard.charged, shard.quarantined, shard.fillStatus('f')], [0, 4, 'failed']);
  assert.deepEqual(shard.grant('g', shard.epoch, keysOf(1, 'g')), { kind: 'refused', reason: 'quarantined' });
  // Time alone never frees them.
  now = 9_000_000_000;
  shard.abandonFills(now);
  assert.equal(shard.quarantined, 4);
  shard.applyReport({ kind: 'attest', holder: 'engine', fill: 'f', bootEpoch: 'boot', weights: 'w' });
  assert.equal(shard.quarantined, 0);
});

test('shard: a new boot fences fills in flight, and their late attestation makes no hit', () => {
  const shard = shardAt();
  const keys = keysOf(2, 'f');
  assert.equal(shard.grant('f', shard.epoch, keys).kind, 'granted');
  shard.observe('boot-2', 'w');
  assert.equal(shard.fillStatus('f'), 'fenced');
  shard.applyReport({ kind: 'attest', holder: 'engine', fill: 'f', bootEpoch: 'boot-2', weights: 'w' });
  shard.applyListing({ bootEpoch: 'boot-2', sequence: 2, keys: keys.map(({ name }) => name) });
  assert.equal(shard.index.size, 0);
});

test('shard: a request that was never sent leaves no blocks behind', () => {
  const shard = shardAt();
  assert.equal(shard.grant('f', shard.epoch, keysOf(2, 'f')).kind, 'granted');
  shard.applyReport({ kind: 'notSent', holder: 'engine', fill: 'f' });
  assert.deepEqual([shard.quarantined, shard.used], [0, 0]);
  assert.equal(shard.grant('g', shard.epoch, keysOf(2, 'g')).kind, 'granted');
});

test('shard: grants stay within their limits', () => {
  const shard = new ShardDirectory(
    'engine',
    1,
    { blocks: 100, chargedBlocks: 5, quarantinedBlocks: 100, maxUnclaimedNames: 10 },
    true,
  );
  shard.observe('boot', 'w');
  assert.equal(shard.grant('f', shard.epoch, keysOf(4, 'f')).kind, 'granted');
  const others = HashChains.withFillNames(
    [
      { physical: 'q1', logical: 'm1' },
      { physical: 'q2', logical: 'm2' },
    ],
    'g',
  );
  assert.deepEqual(shard.grant('g', shard.epoch, others), { kind: 'refused', reason: 'limit' });
});

test('replication of an index: with lost and late changes, a follower is never ahead of the source and ends equal to it', () => {
  const step = fc.oneof(
    fc.record({ put: fc.nat(20) }),
    fc.record({ gone: fc.nat(20) }),
    fc.constant({ fence: true }),
    fc.constant({ sync: true }),
    fc.constant({ late: true }),
  );
  fc.assert(
    fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
      const leader = new ShardIndex({ holder: 'e', term: 1, epoch: 1, bootEpoch: 'b', weights: 'w', version: 0 });
      const book = new ShardCatalog();
      let lastChange = leader.changesSince(undefined);
      let epoch = 1;
      for (const item of steps) {
        if ('put' in item) leader.put({ physical: `p${item.put}`, logical: `l${item.put}`, name: `n${item.put}` });
        else if ('gone' in item) leader.remove(`p${item.gone}`);
        else if ('fence' in item) leader.fence({ term: 1, epoch: ++epoch, bootEpoch: 'b', weights: 'w' });
        else if ('late' in item) {
          if (lastChange !== undefined) book.apply(lastChange);
        } else {
          lastChange = leader.changesSince(book.marks()['e']);
          if (lastChange !== undefined) book.apply(lastChange);
          assert.deepEqual(
            [...(book.get('e')?.entries() ?? [])].map(({ name }) => name).sort(),
            leader
              .entries()
              .map(({ name }) => name)
              .sort(),
          );
        }
        const follower = book.get('e');
        if (follower !== undefined)
          assert.ok(
            ShardPositions.compare(ShardPositions.of(follower.present), ShardPositions.of(leader.present)) <= 0,
          );
      }
      const last = leader.changesSince(book.marks()['e']);
      if (last !== undefined) book.apply(last);
      assert.deepEqual(
        [...(book.get('e')?.entries() ?? [])].map(({ name }) => name).sort(),
        leader
          .entries()
          .map(({ name }) => name)
          .sort(),
      );
    }),
    settings,
  );
});

test('lookup: hit, prefix hit and each reason of a miss', () => {
  const pool = SimBlueprints.initial().services['pool'];
  assert.ok(pool?.kind === 'pool');
  if (pool?.kind !== 'pool') return;
  const chain = HashChains.blocks('x'.repeat(pool.blockCharacters * 4), pool.blockCharacters, 10);
  const keys = HashChains.keys(chain, pool, 'w1', 'shared');
  const book = new ShardCatalog();
  const shard = new ShardIndex({ holder: 'e', term: 1, epoch: 2, bootEpoch: 'b', weights: 'w1', version: 0 });
  book.set('e', shard);
  const boot = (): string => 'b';
  assert.deepEqual(Lookups.find(book, [], boot), { kind: 'miss', reason: 'noBlocks' });
  assert.deepEqual(Lookups.find(book, keys, boot), { kind: 'miss', reason: 'absent' });
  const otherLayout = HashChains.keys(chain, { ...pool, layout: 'paged-2' }, 'w1', 'shared');
  for (const key of HashChains.withFillNames(otherLayout, 'f')) shard.put(key);
  assert.deepEqual(Lookups.find(book, keys, boot), { kind: 'miss', reason: 'incompatible' });
  for (const key of HashChains.withFillNames(keys, 'f').slice(0, 2)) shard.put(key);
  assert.deepEqual(Lookups.find(book, keys, boot), {
    kind: 'prefixHit',
    found: [{ holder: 'e', matched: 2, bootEpoch: 'b', epoch: 2 }],
  });
  for (const key of HashChains.withFillNames(keys, 'f')) shard.put(key);
  assert.equal(Lookups.find(book, keys, boot).kind, 'hit');
  assert.deepEqual(
    Lookups.find(book, keys, () => 'other'),
    { kind: 'miss', reason: 'otherBoot' },
  );
  for (const [weights, domain] of [
    ['w2', 'shared'],
    ['w1', 'walled/a'],
  ] as const)
    assert.deepEqual(Lookups.find(book, HashChains.keys(chain, pool, weights, domain), boot), {
      kind: 'miss',
      reason: 'absent',
    });
});
