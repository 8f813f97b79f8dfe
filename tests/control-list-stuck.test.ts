/**
 * Found by the model checker. The order of events: a list of members with a newcomer stood on its leader and one more member, the
 * third did not have it yet, and the leader was lost. A campaign for the list then raised the promise of the third member above
 * the epoch of that list, so that it could not accept the list any more. The newcomer needs snapshots from a majority that knows the
 * new list, a new leader needs the vote of the newcomer, and so neither came about for as long as the old leader was away: no change
 * of any key, although two of three members and the newcomer were up. The evidence: the model's history, which never ends.
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { platformDialect } from '../platform/operators/dialect';
import type { ChangeOrder } from '../source/core-keeper/register/messages';
import { ControlFleet, type ControlMachine } from './support/controlFleet';
import { platformDocument } from './support/platformDocument';

const put = (version: number): ChangeOrder => {
  const text = platformDocument(version);
  return { key: 'blueprint', form: 'whole', text, ifMatch: version - 1, id: `put ${version}` };
};

const isJoint = ({ keeper }: ControlMachine): boolean => keeper?.core.members().sets.length === 2;

describe('the leader of the list of members is lost while one member lacks the changed list', () => {
  test('the newcomer joins and changes go on, 8 seeds', async () => {
    for (let seed = 801; seed <= 808; seed += 1) {
      const fleet = new ControlFleet(seed, platformDialect, { membersWanted: 5 });
      assert.ok(await fleet.begin(3));
      assert.equal((await fleet.change(fleet.machine(1), put(1)))?.kind, 'taken');
      await fleet.world.runFor(3_000_000);
      const leader = fleet.machines.find(({ keeper, name }) => keeper?.owners()['core-members']?.owner === name);
      assert.ok(leader !== undefined);
      const others = fleet.machines.filter((machine) => machine !== leader);
      const [informed, uninformed] = others as [ControlMachine, ControlMachine];
      // What the leader sends to one member is late, so that it may be lost on its way.
      fleet.network.slowDown(leader.machine, uninformed.machine, 100_000);
      fleet.add().start();
      assert.ok(
        await fleet.world.runUntil(() => isJoint(leader) && isJoint(informed), 10_000_000),
        'a changed list stands on the leader and one more',
      );
      leader.kill(true);
      fleet.network.cut(leader.machine, uninformed.machine);
      assert.equal(isJoint(uninformed), false);
      assert.equal((await fleet.persistAt(others, put(2), 10_000_000))?.kind, 'taken', `seed ${seed}`);
      assert.ok(
        await fleet.world.runUntil(() => fleet.machine(4).votes, 10_000_000),
        `the newcomer has a vote, seed ${seed}`,
      );
    }
  });
});
