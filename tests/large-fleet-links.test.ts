import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { runRush, RushOptions } from './support/rush';

/** 7 Mbit/s: what an edge machine's link carries. */
const linkBytesPerSecond = 875_000;

/** 195 proxies fed by 15 agents before 41 engines, at the traffic of a busy day; more prefixes than engines keep. */
const largeFleet: RushOptions = {
  ...RushOptions.usual,
  agents: 15,
  proxiesAlone: 180,
  engines: 41,
  engineTokens: 347_566,
  storeTokens: 1_980_621,
  linkBytesPerSecond,
  ordersPerSecond: 58,
  shortPerSecond: 400,
  hot: 0,
  hotPerMille: 0,
  others: 283,
  seconds: 5,
  troubles: false,
};

describe('regression: news fills the links of the agents of a large fleet', () => {
  for (const seed of [1, 2])
    test(`long requests get the word of the work queue in time, seed ${seed}`, async () => {
      const { deskWords, orders, doubled, unanswered } = await runRush(seed, largeFleet);
      const { placed = 0, ...missed } = deskWords;
      assert.deepEqual({ doubled, unanswered }, { doubled: 0, unanswered: 0 });
      // Why not exactly as many: a request that is sent again asks again.
      assert.ok(placed >= orders, `${placed} of ${orders}`);
      assert.deepEqual(missed, { silent: 0, declined: 0, resting: 0, unknown: 0 });
    });
});
