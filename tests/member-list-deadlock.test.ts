/**
 * Guards against a deadlock of a membership change, found by the model checker. A member list with a joining member is held by its
 * leader and one other member when the leader is lost. A campaign for the list raises the promise of the third member above the
 * epoch of that list, so it cannot accept the list. The joining member needs snapshots from a majority that uses the new list, and
 * a new leader needs the vote of the joining member: no change of any key is possible until the old leader returns, although two of
 * three members and the joining member are up.
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { platformConfigurationFormat } from '../platform/operators/configurationFormat';
import type { ChangeRequest } from '../source/core-keeper/register/messages';
import { ControlFleet, type ControlMachine } from './support/controlFleet';
import { platformDocument } from './support/platformDocument';

const put = (version: number): ChangeRequest => {
  const text = platformDocument(version);
  return { key: 'blueprint', form: 'whole', text, ifMatch: version - 1, id: `put ${version}` };
};

const isJoint = ({ controlNode: keeper }: ControlMachine): boolean => keeper?.core.members().sets.length === 2;

describe('the leader of the member list is lost while one member lacks the changed list', () => {
  test('the joining member gets a vote and changes are confirmed, 8 seeds', async () => {
    for (let seed = 801; seed <= 808; seed += 1) {
      const fleet = new ControlFleet(seed, platformConfigurationFormat, { membersWanted: 5 });
      assert.ok(await fleet.startAll(3));
      assert.equal((await fleet.change(fleet.machine(1), put(1)))?.kind, 'taken');
      await fleet.world.runFor(3_000_000);
      const leader = fleet.machines.find(
        ({ controlNode: keeper, name }) => keeper?.keyLeaders()['core-members']?.owner === name,
      );
      assert.ok(leader !== undefined);
      const others = fleet.machines.filter((machine) => machine !== leader);
      const [informed, uninformed] = others as [ControlMachine, ControlMachine];
      // Messages from the leader to one member are delayed, so that they can be lost in transit.
      fleet.network.slowDown(leader.machine, uninformed.machine, 100_000);
      fleet.add().start();
      assert.ok(
        await fleet.world.runUntil(() => isJoint(leader) && isJoint(informed), 10_000_000),
        'the leader and one other member hold the changed list',
      );
      leader.kill(true);
      fleet.network.cutLink(leader.machine, uninformed.machine);
      assert.equal(isJoint(uninformed), false);
      assert.equal((await fleet.changeWithRetriesAt(others, put(2), 10_000_000))?.kind, 'taken', `seed ${seed}`);
      assert.ok(
        await fleet.world.runUntil(() => fleet.machine(4).votes, 10_000_000),
        `the joining member votes, seed ${seed}`,
      );
    }
  });
});
