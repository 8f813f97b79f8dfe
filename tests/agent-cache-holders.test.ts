import { createHash } from 'node:crypto';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SimBlueprints } from '../source/fleet-simulator/machines/simFleet';
import { World } from '../source/fleet-simulator/world/world';
import type { EngineList } from '../source/shared/configuration/types';
import { Holders } from '../source/shared/directory/holders';
import { Freshness } from '../source/shared/freshness/freshness';
import { WeightsDeadlines } from '../source/shared/weights/weightsDeadlines';

const engines: EngineList = {
  engines: {
    a: { kind: 'engine', service: 'pool', address: '10.0.0.1:1', zone: '', state: 'draining' },
    b: { kind: 'app', service: 'slips', address: '10.0.0.2:1', zone: '', state: 'ready' },
    s: { kind: 'store', service: '', address: '10.0.0.3:1', zone: '', state: 'ready' },
  },
};
const storeAt = (address: string): Readonly<Record<string, unknown>> => ({
  address,
  zone: 'hill',
  keptTokens: 10,
  linkBytesPerSecond: 1,
  calls: 2,
});

test('cache holders are the listed engines and stores and the configured stores, but no apps', () => {
  const blueprint = { ...SimBlueprints.initial(), stores: { far: storeAt('10.0.0.4:1'), s: storeAt('10.0.0.5:1') } };
  const holders = Holders.of(engines, blueprint as never);
  assert.deepEqual(Object.keys(holders).sort(), ['a', 'far', 's']);
  assert.deepEqual(holders['far'], {
    kind: 'store',
    service: 'far',
    address: '10.0.0.4:1',
    zone: 'hill',
    state: 'ready',
  });
  assert.equal(holders['s']?.address, '10.0.0.3:1', 'the listed store takes precedence');
  assert.deepEqual(Holders.of(undefined, undefined), {});
});

test('the age of an engine list from an outside source does not count for the freshness', () => {
  const world = new World(1);
  const ownList = new Freshness(world.clock);
  const outsideList = new Freshness(world.clock, undefined, 'listed');
  const text = JSON.stringify(SimBlueprints.initial());
  const digest = createHash('sha256').update(text).digest('hex').slice(0, 32);
  for (const freshness of [ownList, outsideList]) {
    assert.equal(freshness.ageMicroseconds(), Infinity);
    freshness.applyStatement({ key: 'blueprint', revision: 1, digest, ageMicroseconds: 5, weights: {} }, 0);
    assert.equal(freshness.applyBody({ key: 'blueprint', revision: 1, digest, text }), true);
  }
  assert.equal(ownList.ageMicroseconds(), Infinity, 'without an outside source it counts');
  assert.equal(outsideList.ageMicroseconds(), 5);
  assert.equal(outsideList.ageOf('engines'), Infinity);
});

test('the times of a weights change have their defaults for 12 s and follow another limit', () => {
  assert.deepEqual(WeightsDeadlines.usual, {
    cutMicroseconds: 11_000_000,
    drainUntilMicroseconds: 9_500_000,
    secondRoundMicroseconds: 5_000_000,
  });
  assert.deepEqual(WeightsDeadlines.forLimit(12_000_000), WeightsDeadlines.usual);
  assert.deepEqual(WeightsDeadlines.forLimit(8_000_000), {
    cutMicroseconds: 7_000_000,
    drainUntilMicroseconds: 5_500_000,
    secondRoundMicroseconds: 3_333_333,
  });
});
