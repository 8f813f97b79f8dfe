import { describe, test } from 'node:test';
import { plannedFaultNames, type FaultName } from '../source/fleet-simulator/faults/faults';
import { congestedShape } from '../source/fleet-simulator/machines/simFleet';
import { Randoms, seededRandom } from '../source/shared/effects/random/random';
import { holds, seeds } from './support/mustNever';

/** So little traffic that half of a pool can carry it, as new weights and releases need it. */
const calmShape = { ...congestedShape, pauseMicroseconds: 260_000 };
const needHalfThePool: readonly FaultName[] = ['newWeights', 'enginesReleased'];

describe('what is planned drops nothing that was read, with orders waiting', () => {
  for (const fault of plannedFaultNames)
    test(fault, async () => {
      const shape = needHalfThePool.includes(fault) ? calmShape : congestedShape;
      for (let seed = 1; seed <= seeds; seed += 1)
        await holds({ seed: seed * 6151, faults: [fault], ending: 'healed', shape });
    });
  test('two at a time', async () => {
    for (let seed = 1; seed <= seeds * 2; seed += 1) {
      const faults = Randoms.shuffled(seededRandom(seed * 41), plannedFaultNames).slice(0, 2);
      await holds({ seed: seed * 12_289, faults, ending: 'healed', shape: calmShape });
    }
  });
});
