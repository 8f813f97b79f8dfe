import assert from 'node:assert/strict';
import { test } from 'node:test';
import { KeptWords } from '../source/edge-agent/core-link/keptWords';
import type { WordsAnswer } from '../source/shared/register/majorityRead';
import { SimBlueprints, SimFleet, usualShape } from '../source/fleet-simulator/machines/simFleet';
import { World } from '../source/fleet-simulator/world/world';

const words = (ageMicroseconds: number | null): WordsAnswer => ({
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

test('words that a keeper confirms are as old as they would be if it had said them anew', () => {
  const kept = new KeptWords();
  assert.equal(kept.known('a'), '');
  kept.keep('a', words(500), 'tag', 10_000);
  assert.equal(kept.known('a'), 'tag');
  assert.deepEqual(kept.again('a', 'tag', 12_500), words(3000));
  assert.equal(kept.again('a', 'other', 12_500), undefined);
  assert.equal(kept.again('b', 'tag', 12_500), undefined);
  kept.keep('a', words(null), 'tag', 10_000);
  assert.deepEqual(kept.again('a', 'tag', 99_000), words(null));
  kept.only(['b']);
  assert.equal(kept.known('a'), '');
  kept.keep('a', { ...words(1), words: 7 as never }, 'tag', 10_000);
  assert.equal(kept.known('a'), '');
});

test('in calm times keepers say next to nothing, and a change is heard as soon as before', async () => {
  const world = new World(3);
  const fleet = new SimFleet(world, { ...usualShape, edges: 3, engines: 1, spares: 0 });
  await fleet.startAll();
  await world.runFor(3_000_000);
  const change = await fleet.take('blueprint', { ...SimBlueprints.first(), tenants: {} });
  assert.ok(change !== undefined);
  const heard = (): boolean => fleet.edges.every(({ agent }) => agent.freshness.revision('blueprint') === 2);
  assert.ok(await world.runUntil(heard, 1_500_000));
});
