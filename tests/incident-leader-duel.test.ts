import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import type * as LeaderDuel from './support/leaderDuel';
import { runFault, type Workload, type Fault } from './support/leaderDuel';
import { loadWithout } from './support/sabotages';

const seeds = [2101, 2102, 2103, 2104];

const violationsIn = async (run: typeof runFault, fault: Fault, workload: Workload): Promise<readonly string[]> => {
  const results: string[] = [];
  for (const seed of seeds) results.push(await run(fault, workload, seed));
  return results.filter((result) => result !== '');
};

describe('reads of a large configuration while its leader is unreachable (incident inc1)', () => {
  for (const fault of ['cut', 'killed'] as const)
    test(`the leader is ${fault}: leadership is stable within 3 s of its return, and reads are answered`, async () => {
      assert.deepEqual(await violationsIn(runFault, fault, 'reads'), []);
    });

  for (const fault of ['cut', 'killed'] as const)
    test(`the leader is ${fault} while two changes are repeated: leadership is stable and reads are answered`, async () => {
      assert.deepEqual(await violationsIn(runFault, fault, 'changes'), []);
    });

  test('without the pre-vote, leaders depose each other', async () => {
    const { module, cut, end } = await loadWithout<typeof LeaderDuel>('tests/support/leaderDuel.ts', [
      ['core-keeper/register/preVote.ts', 'if (!answer.hearsLeader) return name;', 'return name;'],
    ]);
    const wrong = await violationsIn(module.runFault, 'cut', 'changes');
    end();
    assert.equal(cut, 1);
    assert.notDeepEqual(wrong, []);
  });
});
