import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { largeFleet } from './support/largeFleet';
import { runRush } from './support/rush';

describe('regression: an engine is directed to change its weights before the proxies of a large fleet know', () => {
  for (const seed of [1, 2])
    test(`no long request is turned away by an engine that changes its weights, seed ${seed}`, async () => {
      const { turnedAway, doubled, unanswered } = await runRush(seed, { ...largeFleet, newWeights: true, seconds: 10 });
      assert.deepEqual({ turnedAway, doubled, unanswered }, { turnedAway: 0, doubled: 0, unanswered: 0 });
    });
});
