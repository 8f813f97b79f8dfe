import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { runRush, RushOptions, type RushOutcome } from './support/rush';
import { demandSabotages, loadWithout } from './support/sabotages';

/** Of a thousand orders for wanted prefixes so many may wait for one that was read before under the same weights. */
const mostRebuiltPerMille = 100;
const seeds = [1, 2, 3, 4, 5, 6, 7, 8];

type Rush = (seed: number, options: RushOptions) => Promise<RushOutcome>;

const rushes = async (rush: Rush, options: RushOptions = RushOptions.usual): Promise<readonly RushOutcome[]> => {
  const outcomes: RushOutcome[] = [];
  for (const seed of seeds) outcomes.push(await rush(seed, options));
  return outcomes;
};

const rebuiltPerMille = (outcomes: readonly RushOutcome[]): number =>
  outcomes.reduce((sum, { hotRebuiltPerMille }) => sum + hotRebuiltPerMille, 0) / outcomes.length;

const exactlyOnce = (outcomes: readonly RushOutcome[]): void => {
  for (const { orders, doubled, unanswered, answeredTwice, unasked, refused } of outcomes) {
    assert.ok(orders > 500);
    assert.deepEqual(
      { doubled, unanswered, answeredTwice, unasked },
      { doubled: 0, unanswered: 0, answeredTwice: 0, unasked: 0 },
    );
    assert.ok(refused <= orders / 100, `${refused} without a whole answer`);
  }
};

describe('a rush on few prefixes among many, over new weights, a lost engine and a store that returns empty', () => {
  test('wanted prefixes are kept warm, and every order is answered once', async () => {
    const outcomes = await rushes(runRush);
    exactlyOnce(outcomes);
    assert.ok(rebuiltPerMille(outcomes) <= mostRebuiltPerMille, JSON.stringify(outcomes));
  });

  test('switched off, every order is answered once all the same, and far more wait', async () => {
    const outcomes = await rushes(runRush, { ...RushOptions.usual, demand: false });
    exactlyOnce(outcomes);
    assert.ok(rebuiltPerMille(outcomes) > 2 * mostRebuiltPerMille, JSON.stringify(outcomes));
  });

  test('a calm rush rebuilds hardly any', async () => {
    const outcome = await runRush(1, { ...RushOptions.usual, troubles: false });
    exactlyOnce([outcome]);
    assert.ok(outcome.hotRebuiltPerMille <= mostRebuiltPerMille, JSON.stringify(outcome));
  });

  for (const { what, cuts } of demandSabotages)
    test(`it shows that ${what}`, async () => {
      const { module, cut, end } = await loadWithout<Readonly<{ runRush: Rush }>>('tests/support/rush.ts', cuts);
      assert.equal(cut, cuts.length);
      const outcomes = await rushes(module.runRush);
      end();
      exactlyOnce(outcomes);
      assert.ok(rebuiltPerMille(outcomes) > mostRebuiltPerMille, JSON.stringify(outcomes));
    });
});
