/**
 * Guards against the loss of a committed change when a member stops for good while another one is silent; found by the model checker. Two of
 * three members hold the change. One of them loses its disk while the other one asks for a successor: the third member answers that there
 * is none, the silent one does not answer, and the leaving member must not stop, since it holds the only copy left. The model's history
 * ended in a read without a majority.
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { platformConfigurationFormat } from '../platform/operators/configurationFormat';
import type { ChangeRequest } from '../source/core-keeper/register/messages';
import { ControlFleet } from './support/controlFleet';
import { platformDocument } from './support/platformDocument';

const put = (version: number): ChangeRequest => {
  const text = platformDocument(version);
  return { key: 'blueprint', form: 'whole', text, ifMatch: version - 1, id: `put ${version}` };
};

/** Longer than one request timeout, so that the restarting member does not answer; shorter than the limit of the handover. */
const restartMicroseconds = 1_000_000;

describe('a member stops for good while another one is silent', () => {
  test('waits until the silent member is back and keeps the only copy until then, 4 seeds', async () => {
    for (const seed of [901, 902, 903, 904]) {
      const fleet = new ControlFleet(seed, platformConfigurationFormat);
      assert.ok(await fleet.startAll(3));
      await fleet.world.runFor(3_000_000);
      assert.equal((await fleet.change(fleet.machine(1), put(1)))?.kind, 'taken');
      const leader = fleet.machines.find(
        ({ controlNode: keeper, name }) => keeper?.keyLeaders()['blueprint']?.owner === name,
      );
      const [leaving, behind] = fleet.machines.filter((machine) => machine !== leader);
      assert.ok(leader !== undefined && leaving !== undefined && behind !== undefined);
      const restoreLinks = [leader, leaving].flatMap(({ machine }) => [
        fleet.network.cutLink(machine, behind.machine),
        fleet.network.cutLink(behind.machine, machine),
      ]);
      assert.equal((await fleet.change(leader, put(2)))?.kind, 'taken');
      leader.kill(true);
      leader.disk.wipe();
      for (const restore of restoreLinks) restore();
      fleet.world.schedule(restartMicroseconds, () => leader.start());
      await fleet.leave(leaving, 8_000_000);
      await fleet.world.runFor(2_000_000);
      const read = await fleet.read(behind);
      assert.equal(read?.kind === 'read' ? read.revision : read?.kind, 2, `seed ${seed}`);
    }
  });
});
