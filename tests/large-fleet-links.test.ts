import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { largeFleet } from './support/largeFleet';
import { runRush } from './support/rush';

describe('regression: gossip fills the links of the agents of a large fleet', () => {
  for (const seed of [1, 2])
    test(`long requests get the answer of the work queue in time, seed ${seed}`, async () => {
      const { deskWords, orders, doubled, unanswered } = await runRush(seed, largeFleet);
      const { placed = 0, ...missed } = deskWords;
      assert.deepEqual({ doubled, unanswered }, { doubled: 0, unanswered: 0 });
      // There may be more answers than requests, because a request that is sent again asks the queue again.
      assert.ok(placed >= orders, `${placed} of ${orders}`);
      assert.deepEqual(missed, { silent: 0, declined: 0, resting: 0, unknown: 0 });
    });
});
