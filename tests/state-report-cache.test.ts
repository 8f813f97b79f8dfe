import assert from 'node:assert/strict';
import { test } from 'node:test';
import { StateReportCache } from '../source/edge-agent/control-link/stateReportCache';
import type { StatementsAnswer } from '../source/shared/register/majorityRead';
import { SimBlueprints, SimFleet, defaultShape } from '../source/fleet-simulator/machines/simFleet';
import { World } from '../source/fleet-simulator/world/world';

const report = (ageMicroseconds: number | null): StatementsAnswer => ({
  kind: 'words',
  stamp: { fleet: 'f', keeper: 'k', incarnation: 1, known: {} },
  membersRevision: 1,
  view: { revision: 1, sets: [['k']], members: {} },
  words: [
    {
      key: 'blueprint',
      epoch: { number: 1, keeper: 'k' },
      revision: 3,
      digest: 'd',
      decidedRevision: 3,
      decidedDigest: 'd',
      owner: 'k',
      weights: { pool: { weights: 'w2', previous: 'w1', ageMicroseconds } },
    },
  ],
});

test('a report that a control node confirms by its tag has the ages that a new report would have', () => {
  const cache = new StateReportCache();
  assert.equal(cache.tag('a'), '');
  cache.store('a', report(500), 'tag', 10_000);
  assert.equal(cache.tag('a'), 'tag');
  assert.deepEqual(cache.confirmed('a', 'tag', 12_500), report(3000));
  assert.equal(cache.confirmed('a', 'other', 12_500), undefined);
  assert.equal(cache.confirmed('b', 'tag', 12_500), undefined);
  cache.store('a', report(null), 'tag', 10_000);
  assert.deepEqual(cache.confirmed('a', 'tag', 99_000), report(null));
  cache.retainOnly(['b']);
  assert.equal(cache.tag('a'), '');
  cache.store('a', { ...report(1), words: 7 as never }, 'tag', 10_000);
  assert.equal(cache.tag('a'), '');
});

test('agents apply a change in time after a period of unchanged state reports', async () => {
  const world = new World(3);
  const fleet = new SimFleet(world, { ...defaultShape, edges: 3, engines: 1, spareEngines: 0 });
  await fleet.startAll();
  await world.runFor(3_000_000);
  const change = await fleet.changeUntilAccepted('blueprint', { ...SimBlueprints.initial(), tenants: {} });
  assert.ok(change !== undefined);
  const isApplied = (): boolean => fleet.edges.every(({ agent }) => agent.freshness.revision('blueprint') === 2);
  assert.ok(await world.runUntil(isApplied, 1_500_000));
});
