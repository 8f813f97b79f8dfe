import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { runSoak } from './support/soak';

/**
 * Short in CI. By hand, for long:
 * `POSTDRUM_SOAK_SEEDS=50 POSTDRUM_SOAK_SECONDS=15 POSTDRUM_SOAK_EDGES=3 node build/runTests.mjs dist/tests/soak.test.cjs`.
 */
const setting = (name: string, usual: number): number => Number(process.env[`POSTDRUM_SOAK_${name}`] ?? usual);

const firstSeed = setting('FIRST', 1);
const seeds = setting('SEEDS', 2);
const shape = { seconds: setting('SECONDS', 15), edges: setting('EDGES', 3), clientsPerEdge: setting('CLIENTS', 2) };

describe('a soak of real processes', () => {
  for (let seed = firstSeed; seed < firstSeed + seeds; seed += 1)
    test(`seed ${seed}: signals, restarts and changes overlap, and every promise is kept`, async (context) => {
      const { requests, answered, refused, unanswered, actions, broken } = await runSoak({ seed, ...shape });
      context.diagnostic(
        `${requests} requests, ${answered} answered, ${refused} refused, ${unanswered} unanswered; ${actions.length} actions`,
      );
      assert.deepEqual(broken, [], actions.join(', '));
      assert.ok(answered > 0, 'some are answered');
    });
});
