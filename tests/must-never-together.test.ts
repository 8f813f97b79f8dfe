import { describe, test } from 'node:test';
import { faultNames } from '../source/fleet-simulator/faults/faults';
import { Randoms, seededRandom } from '../source/shared/effects/random/random';
import { holds, seeds } from './support/mustNever';

describe('faults together', () => {
  for (const together of [2, 3, 4, 5]) {
    test(`${together} at once`, async () => {
      for (let seed = 1; seed <= seeds * 3; seed += 1)
        await holds({
          seed: seed * 104_729 + together,
          faults: Randoms.shuffled(seededRandom(seed * 31 + together), faultNames).slice(0, together),
          ending: 'healed',
        });
    });
  }
  test('days that end in the middle of it', async () => {
    for (let seed = 1; seed <= seeds * 4; seed += 1)
      await holds({
        seed: seed * 1_299_709,
        faults: Randoms.shuffled(seededRandom(seed * 37), faultNames).slice(0, 3),
        ending: 'onFault',
      });
  });
});
