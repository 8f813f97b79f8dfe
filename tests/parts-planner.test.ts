import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DemandSettings, type DemandView } from '../source/edge-proxy/demand/demandView';
import { LinkSpeeds } from '../source/edge-proxy/cache-imports/linkSpeeds';
import { PartImportSettings, PartImports, type PartImport } from '../source/edge-proxy/cache-imports/partImports';
import { PartsPlanner } from '../source/edge-proxy/cache-imports/partsPlanner';
import type { FetchPlan } from '../source/edge-proxy/cache-imports/fetchPlanner';
import type { PlacedRequest, ResolvedRequest } from '../source/edge-proxy/pipeline/request';
import type { EngineView } from '../source/edge-proxy/placement/engineView';
import { PromptKeys } from '../source/edge-proxy/placement/placementPolicies';
import { PrefillSpeeds } from '../source/edge-proxy/placement/prefillSpeeds';
import { Lookups, type LookupResult } from '../source/shared/directory/lookup';
import { PromptParts } from '../source/shared/directory/promptParts';
import { ShardCatalog } from '../source/shared/directory/shardCatalog';
import { ShardIndex } from '../source/shared/directory/shardIndex';
import { Metrics } from '../source/shared/metrics/metrics';
import { pool } from './support/pool';

const under = { services: { pool }, tenants: {} };
const resolved = {
  service: pool,
  trustDomain: 'shared',
  mapping: { service: 'pool' },
  resolvedWith: under,
} as unknown as ResolvedRequest;
const request = {
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

/** Two engines and optionally a store; `holders` are known to cache the shared part. */
const setUp = (
  holders: readonly string[],
  hasStore = true,
  { wanted = false, isOn = true, storeTokens = 0, weights = '1' } = {},
): Readonly<{
  moves: PartImports;
  lookUp: LookupResult;
  keys: PromptKeys;
  plan: (placed: Partial<PlacedRequest>) => FetchPlan;
}> => {
  const keys = new PromptKeys(resolved, request);
  const shards = new ShardCatalog();
  for (const holder of ['e1', 'e2', ...(hasStore ? ['store'] : [])]) {
    const shard = new ShardIndex({ holder, term: 1, epoch: 1, bootEpoch: 'b', weights: '', version: 0 });
    shards.set(holder, shard);
    const [shared] = keys.keysFor('1');
    if (shared !== undefined && holders.includes(holder)) shard.put({ ...shared, name: shared.physical, size: 13_000 });
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
  const moves = new PartImports(view, new LinkSpeeds(1000, 64), PartImportSettings.usual);
  const planner = new PartsPlanner(view, shards, moves, new PrefillSpeeds(), new Metrics(), demand);
  const lookUp = Lookups.find(shards, keys.keysFor('1'), () => 'b');
  const placed: PlacedRequest = { engine: 'e1', address: 'e1:1', bootEpoch: 'b', weights: '1', cachedParts: 0 };
  return { moves, lookUp, keys, plan: (given) => planner.plan({ ...placed, ...given }, resolved, keys, lookUp) };
};

test('names a fallback source to an engine that caches the parts, in case it has evicted them by then', () => {
  for (const [holders, hasStore, source] of [
    [['e1', 'e2', 'store'], true, 'store'],
    [['e1', 'e2'], true, 'e2'],
    [['e1', 'e2'], false, 'e2'],
    [['e1'], true, 'store'],
    [['e1'], false, undefined],
  ] as const) {
    const plan = setUp(holders, hasStore).plan({ cachedParts: 1 });
    assert.equal(plan.source?.holder, source, `${holders.join()} ${hasStore}`);
    assert.equal(plan.source?.at ?? 0, 0, 'the source has all parts from the first one');
    assert.deepEqual(plan.fills, [], 'the engine is not expected to prefill any');
    assert.equal(plan.move, undefined, 'no import is expected');
  }
});

test('writes the parts to a store only if it is not known to have them', () => {
  assert.equal(setUp(['e1', 'store']).plan({ cachedParts: 1 }).target, undefined);
  assert.equal(setUp(['e1']).plan({ cachedParts: 1 }).target?.store, 'store:1');
});

test('if no holder is known, the default engine is guessed as the source, or the store if the default engine prefills them itself', () => {
  assert.equal(setUp([]).plan({ defaultEngine: 'e2' }).source?.holder, 'e2');
  assert.equal(setUp([]).plan({ defaultEngine: 'e1' }).source?.holder, 'store');
  assert.equal(setUp([]).plan({}).source?.holder, 'store');
  assert.equal(setUp([], false).plan({ defaultEngine: 'e1' }).source, undefined);
});

test('prefers a store to another engine, which evicts more often, and another engine to prefilling', () => {
  const target = { name: 'e1', zone: 'z', tokensPerMillisecond: 60 };
  const best = (holders: readonly string[]): string | undefined => {
    const { moves, keys, lookUp } = setUp(holders);
    return moves.best(target, pool, keys.parts('1'), 0, lookUp)?.holder;
  };
  assert.equal(best(['e2', 'store']), 'store');
  assert.equal(best(['e2']), 'e2');
  assert.equal(best([]), undefined);
});

test('an import in the expected time does not change the cost of its link, a slow one raises it', () => {
  const { moves, keys, lookUp } = setUp(['e2']);
  const target = { name: 'e1', zone: 'z', tokensPerMillisecond: 60 };
  const best = (): PartImport | undefined => moves.best(target, pool, keys.parts('1'), 0, lookUp);
  const first = best();
  assert.ok(first !== undefined);
  for (let turn = 0; turn < 20; turn += 1) moves.recordDuration('e1', best() ?? first, first.microseconds);
  assert.equal(Math.round(best()?.microseconds ?? 0), Math.round(first.microseconds));
  for (let turn = 0; turn < 20; turn += 1) moves.recordDuration('e1', best() ?? first, first.microseconds * 10);
  assert.ok((best()?.microseconds ?? Infinity) > first.microseconds * 5);
});

test('a nearly full store receives only parts that are in demand or requested again', () => {
  const target = (holders: readonly string[], options: Parameters<typeof setUp>[2], matched = 0): boolean =>
    setUp(holders, true, options).plan({ cachedParts: matched }).target !== undefined;
  const full = { storeTokens: 1_900_000 };
  assert.ok(target([], { storeTokens: 1_000_000 }), 'the store has room');
  assert.ok(!target([], full), 'no holder caches the part and few requests use it');
  assert.ok(target(['e2'], full), 'it was prefilled before');
  assert.ok(target([], full, 1), 'the placed engine caches it');
  assert.ok(target([], { ...full, wanted: true }), 'it is in demand in the fleet');
  assert.ok(target([], { ...full, isOn: false }), 'demand is switched off');
  assert.ok(target([], { ...full, weights: '0' }), 'parts of other weights are evicted first');
});
