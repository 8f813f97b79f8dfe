import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DemandSettings, type DemandView } from '../source/edge-proxy/demand/demandView';
import { LinkSpeeds } from '../source/edge-proxy/fetch/linkSpeeds';
import { MoveSettings, PartMoves, type Move } from '../source/edge-proxy/fetch/partMoves';
import { PartsPlanner } from '../source/edge-proxy/fetch/partsPlanner';
import type { FetchPlan } from '../source/edge-proxy/fetch/fetchPlanner';
import type { PlacedRequest, ResolvedRequest } from '../source/edge-proxy/pipeline/request';
import type { EngineView } from '../source/edge-proxy/placement/engineView';
import { PromptKeys } from '../source/edge-proxy/placement/placementPolicies';
import { PrefillSpeeds } from '../source/edge-proxy/placement/prefillSpeeds';
import { LookUps, type LookUp } from '../source/shared/directory/lookup';
import { PromptParts } from '../source/shared/directory/promptParts';
import { ShardBook } from '../source/shared/directory/shardBook';
import { ShardNews } from '../source/shared/directory/shardNews';
import { Metrics } from '../source/shared/metrics/metrics';
import { pool } from './support/pool';

const under = { services: { pool }, tenants: {} };
const resolved = {
  service: pool,
  trustDomain: 'shared',
  mapping: { service: 'pool' },
  resolvedWith: under,
} as unknown as ResolvedRequest;
const order = {
  id: 'o',
  method: 'POST',
  path: '/',
  key: '',
  contentType: '',
  body: '',
  arrivedMicroseconds: 0,
  parts: [
    { name: 'rules', size: 13_000 },
    { name: 'own', size: 3_000 },
  ],
};
const storeShape = { address: 'store:1', zone: 'z', keptTokens: 2_000_000, linkBytesPerSecond: 37_500_000_000 };

/** Two engines and, where asked for, a store; `keepers` are known to keep the shared part. */
const setUp = (
  keepers: readonly string[],
  hasStore = true,
  { wanted = false, isOn = true, storeTokens = 0, weights = '1' } = {},
): Readonly<{
  moves: PartMoves;
  lookUp: LookUp;
  keys: PromptKeys;
  plan: (placed: Partial<PlacedRequest>) => FetchPlan;
}> => {
  const keys = new PromptKeys(resolved, order);
  const shards = new ShardBook();
  for (const holder of ['e1', 'e2', ...(hasStore ? ['store'] : [])]) {
    const shard = new ShardNews({ holder, term: 1, epoch: 1, bootEpoch: 'b', weights: '', version: 0 });
    shards.set(holder, shard);
    const [shared] = keys.keysFor('1');
    if (shared !== undefined && keepers.includes(holder)) shard.put({ ...shared, name: shared.physical, size: 13_000 });
  }
  const store = shards.get('store');
  const other = PromptParts.nameOf(PromptParts.salt(pool, weights, 'shared'), 'other');
  if (storeTokens > 0) store?.put({ physical: other, logical: 'other', name: other, size: storeTokens });
  const demand = {
    settings: { ...DemandSettings.usual, isOn },
    isWanted: () => wanted,
  } as unknown as DemandView;
  const view = {
    addressOf: (holder: string) => `${holder}:1`,
    zoneOf: () => 'z',
    storeShape: (holder: string) => (holder === 'store' ? storeShape : undefined),
    stores: () => (hasStore ? [{ name: 'store', address: 'store:1', bootEpoch: 'b' }] : []),
  } as unknown as EngineView;
  const moves = new PartMoves(view, new LinkSpeeds(1000, 64), MoveSettings.usual);
  const planner = new PartsPlanner(view, shards, moves, new PrefillSpeeds(), new Metrics(), demand);
  const lookUp = LookUps.find(shards, keys.keysFor('1'), () => 'b');
  const placed: PlacedRequest = { engine: 'e1', address: 'e1:1', bootEpoch: 'b', weights: '1', cachedParts: 0 };
  return { moves, lookUp, keys, plan: (given) => planner.plan({ ...placed, ...given }, resolved, keys, lookUp) };
};

test('an engine that keeps the parts is told where to take them from if it has dropped them by then', () => {
  for (const [keepers, hasStore, source] of [
    [['e1', 'e2', 'store'], true, 'store'],
    [['e1', 'e2'], true, 'e2'],
    [['e1', 'e2'], false, 'e2'],
    [['e1'], true, 'store'],
    [['e1'], false, undefined],
  ] as const) {
    const plan = setUp(keepers, hasStore).plan({ cachedParts: 1 });
    assert.equal(plan.source?.holder, source, `${keepers.join()} ${hasStore}`);
    assert.equal(plan.source?.at ?? 0, 0, 'from the first part on');
    assert.deepEqual(plan.fills, [], 'it is not expected to read any');
    assert.equal(plan.move, undefined, 'and no move is counted on');
  }
});

test('a store is told to keep the parts only where it is not known to', () => {
  assert.equal(setUp(['e1', 'store']).plan({ cachedParts: 1 }).target, undefined);
  assert.equal(setUp(['e1']).plan({ cachedParts: 1 }).target?.store, 'store:1');
});

test('where nobody is known to keep them the home is guessed, or the store where the home reads them itself', () => {
  assert.equal(setUp([]).plan({ defaultEngine: 'e2' }).source?.holder, 'e2');
  assert.equal(setUp([]).plan({ defaultEngine: 'e1' }).source?.holder, 'store');
  assert.equal(setUp([]).plan({}).source?.holder, 'store');
  assert.equal(setUp([], false).plan({ defaultEngine: 'e1' }).source, undefined);
});

test('the store goes before another engine, which drops what it keeps more often; an engine before reading', () => {
  const target = { name: 'e1', zone: 'z', tokensPerMillisecond: 60 };
  const best = (keepers: readonly string[]): string | undefined => {
    const { moves, keys, lookUp } = setUp(keepers);
    return moves.best(target, pool, keys.parts('1'), 0, lookUp)?.holder;
  };
  assert.equal(best(['e2', 'store']), 'store');
  assert.equal(best(['e2']), 'e2');
  assert.equal(best([]), undefined);
});

test('a move that took as long as it should leaves its link as it was, a slow one makes it dear', () => {
  const { moves, keys, lookUp } = setUp(['e2']);
  const target = { name: 'e1', zone: 'z', tokensPerMillisecond: 60 };
  const best = (): Move | undefined => moves.best(target, pool, keys.parts('1'), 0, lookUp);
  const first = best();
  assert.ok(first !== undefined);
  for (let turn = 0; turn < 20; turn += 1) moves.measured('e1', best() ?? first, first.microseconds);
  assert.equal(Math.round(best()?.microseconds ?? 0), Math.round(first.microseconds));
  for (let turn = 0; turn < 20; turn += 1) moves.measured('e1', best() ?? first, first.microseconds * 10);
  assert.ok((best()?.microseconds ?? Infinity) > first.microseconds * 5);
});

test('a store that is nearly full is sent what is wanted or asked for again, and what is asked for once only in vain', () => {
  const target = (keepers: readonly string[], options: Parameters<typeof setUp>[2], matched = 0): boolean =>
    setUp(keepers, true, options).plan({ cachedParts: matched }).target !== undefined;
  const full = { storeTokens: 1_900_000 };
  assert.ok(target([], { storeTokens: 1_000_000 }), 'there is room');
  assert.ok(!target([], full), 'nobody keeps it and few ask for it');
  assert.ok(target(['e2'], full), 'it was read before');
  assert.ok(target([], full, 1), 'it is being read there');
  assert.ok(target([], { ...full, wanted: true }), 'all agree that it is wanted');
  assert.ok(target([], { ...full, isOn: false }), 'nobody counts');
  assert.ok(target([], { ...full, weights: '0' }), 'what was made by other weights goes first');
});
