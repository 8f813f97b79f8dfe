import assert from 'node:assert/strict';
import { test } from 'node:test';
import { KeptWords } from '../source/edge-agent/core-link/keptWords';
import type { WordsAnswer } from '../source/shared/register/majorityRead';
import { SimBlueprints, SimFleet, usualShape } from '../source/fleet-simulator/machines/simFleet';
import { World } from '../source/fleet-simulator/world/world';

const report = (ageMicroseconds: number | null): WordsAnswer => ({
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
  const cache = new KeptWords();
  assert.equal(cache.known('a'), '');
  cache.keep('a', report(500), 'tag', 10_000);
  assert.equal(cache.known('a'), 'tag');
  assert.deepEqual(cache.again('a', 'tag', 12_500), report(3000));
  assert.equal(cache.again('a', 'other', 12_500), undefined);
  assert.equal(cache.again('b', 'tag', 12_500), undefined);
  cache.keep('a', report(null), 'tag', 10_000);
  assert.deepEqual(cache.again('a', 'tag', 99_000), report(null));
  cache.only(['b']);
  assert.equal(cache.known('a'), '');
  cache.keep('a', { ...report(1), words: 7 as never }, 'tag', 10_000);
  assert.equal(cache.known('a'), '');
});

test('agents apply a change in time after a period of unchanged state reports', async () => {
  const world = new World(3);
  const fleet = new SimFleet(world, { ...usualShape, edges: 3, engines: 1, spares: 0 });
  await fleet.startAll();
  await world.runFor(3_000_000);
  const change = await fleet.take('blueprint', { ...SimBlueprints.first(), tenants: {} });
  assert.ok(change !== undefined);
  const isApplied = (): boolean => fleet.edges.every(({ agent }) => agent.freshness.revision('blueprint') === 2);
  assert.ok(await world.runUntil(isApplied, 1_500_000));
});
