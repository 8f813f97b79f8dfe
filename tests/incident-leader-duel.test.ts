import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import type * as LeaderDuel from './support/leaderDuel';
import { playedTrouble, type Calls, type Trouble } from './support/leaderDuel';
import { loadWithout } from './support/sabotages';

const seeds = [2101, 2102, 2103, 2104];

const wrongIn = async (played: typeof playedTrouble, trouble: Trouble, calls: Calls): Promise<readonly string[]> => {
  const said: string[] = [];
  for (const seed of seeds) said.push(await played(trouble, calls, seed));
  return said.filter((wrong) => wrong !== '');
};

describe('incident inc1: reads of a large configuration while its leader is out of reach', () => {
  for (const trouble of ['cut', 'killed'] as const)
    test(`the leader is ${trouble}: leadership settles within 3 s of its return, and reads are answered`, async () => {
      assert.deepEqual(await wrongIn(playedTrouble, trouble, 'reads'), []);
    });

  for (const trouble of ['cut', 'killed'] as const)
    test(`the leader is ${trouble} while two changes are sent again and again: the same holds`, async () => {
      assert.deepEqual(await wrongIn(playedTrouble, trouble, 'changes'), []);
    });

  test('with the pre-vote cut out of campaigns for requests, leaders depose each other', async () => {
    const { module, cut, end } = await loadWithout<typeof LeaderDuel>('tests/support/leaderDuel.ts', [
      ['core-keeper/register/preVote.ts', 'if (!answer.hearsLeader) return name;', 'return name;'],
    ]);
    const wrong = await wrongIn(module.playedTrouble, 'cut', 'changes');
    end();
    assert.equal(cut, 1);
    assert.notDeepEqual(wrong, []);
  });
});
