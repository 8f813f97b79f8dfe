import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { faultNames } from '../../source/fleet-simulator/faults/faults';
import { runScenario, type ScenarioOrder } from '../../source/fleet-simulator/faults/scenario';

// More seeds by a setting: POSTDRUM_TEST_SEEDS=100 npm test
export const seeds = Number(process.env['POSTDRUM_TEST_SEEDS'] ?? 3);

export const holds = async (order: ScenarioOrder): Promise<void> => {
  const outcome = await runScenario(order);
  assert.deepEqual(
    outcome.broken,
    [],
    `seed ${order.seed}, faults ${order.faults.join(',')}\n${outcome.history.join('\n')}`,
  );
  assert.ok(outcome.calls > 20, 'there was no traffic to judge');
};

/** Why in parts: node's test runner gives each file a process of its own, and these runs are long. */
export const eachFaultAlone = (part: number, parts: number): void => {
  describe(`each fault alone, part ${part + 1} of ${parts}`, () => {
    for (const fault of faultNames.filter((_, index) => index % parts === part)) {
      test(fault, async () => {
        for (let seed = 1; seed <= seeds; seed += 1)
          await holds({ seed: seed * 7919, faults: [fault], ending: 'healed' });
      });
    }
  });
};
