import { describe, test } from 'node:test';
import { worstCoreFaultNames } from '../source/fleet-simulator/faults/faults';
import { holds, seeds } from './support/mustNever';

describe('the worst days of the core, each trouble alone', () => {
  for (const fault of worstCoreFaultNames)
    test(fault, async () => {
      for (let seed = 1; seed <= seeds; seed += 1)
        await holds({ seed: seed * 6353, faults: [fault], ending: 'healed' });
    });
});
