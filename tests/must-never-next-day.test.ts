import { describe, test } from 'node:test';
import { faultNames } from '../source/fleet-simulator/faults/faults';
import { Randoms, seededRandom } from '../source/shared/effects/random/random';
import { holds, seeds } from './support/mustNever';

describe('a day that ends on a fault has a next day', () => {
  for (const together of [1, 2, 4])
    test(`all power lost in the midst of ${together}`, async () => {
      for (let seed = 1; seed <= seeds * 3; seed += 1) {
        const faults = Randoms.shuffled(seededRandom(seed * 43 + together), faultNames).slice(0, together);
        await holds({ seed: seed * 24_593 + together, faults, ending: 'nextDay' });
      }
    });
});
