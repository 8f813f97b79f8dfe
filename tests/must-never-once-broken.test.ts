import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import type { FaultName } from '../source/fleet-simulator/faults/faults';
import { runScenario, type ScenarioOrder } from '../source/fleet-simulator/faults/scenario';
import { holds } from './support/mustNever';

describe('runs that once broke a must-never', () => {
  const once: readonly (readonly [number, readonly FaultName[]])[] = [
    [1301, ['newWeights', 'syncFails', 'herdKilled', 'edgeCutOff', 'agentKilled']],
    [2341, ['engineDrained', 'newWeights', 'enginesReplaced', 'coreSplit', 'edgeHalfFrozen']],
    [2747, ['edgeFrozen', 'edgeHalfFrozen', 'edgeCutOff', 'keeperCutOff', 'enginesReplaced']],
    [2234, ['changeRepeated', 'keyRevoked', 'keeperPowerLost', 'linksSlow']],
    [2719, ['changeRepeated', 'linksSlow', 'keeperWipedOtherDown', 'engineFrozen', 'keyRevoked']],
    [3101, ['keyRevoked', 'engineFrozen', 'operatorsRace']],
    [3134, ['mappingRemoved', 'engineFrozen', 'keeperWiped']],
    [3628, ['keyRevoked', 'engineFrozen', 'keeperCutOff', 'keeperWipedOtherDown']],
    [1007, ['storeEmptied']],
    [1016, ['clocksLeap', 'stewardSuspended']],
    [50119, ['keeperReplaced', 'diskFull', 'syncFails']],
    [22109, ['storeEmptied', 'keeperKilled', 'engineFrozen', 'engineDrained']],
    [23144, ['engineDrained', 'engineKilled', 'storeEmptied', 'diskStalled', 'engineFrozen']],
  ];
  for (const [seed, faults] of once)
    test(`seed ${seed}: ${faults.join(', ')}`, () => holds({ seed, faults, ending: 'healed' }));
});

test('the same seed gives the same history', async () => {
  const order: ScenarioOrder = { seed: 77, faults: ['edgeKilled', 'engineKilled', 'coreSplit'], ending: 'healed' };
  const [one, two] = [await runScenario(order), await runScenario(order)];
  assert.deepEqual(one, two);
});
