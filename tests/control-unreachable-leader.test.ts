/**
 * Guards against a leader that nobody can open a connection to. In a run of real processes no change was confirmed at any node for
 * 15 s and longer: connections to the leader failed while those it had opened still worked. Its heartbeats were received and
 * answered (62 ms before, by the status of all nodes), so no other node campaigned, although none had ever had an answer from the
 * leader. Each change waited 4.7 s for that answer, was relayed to the third node, and waited there again.
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

const leaderOf = (fleet: ControlFleet): ControlMachine => {
  const found = fleet.machines.find(
    ({ controlNode: keeper, name }) => keeper?.keyLeaders()['blueprint']?.owner === name,
  );
  assert.ok(found !== undefined, 'there is a leader');
  return found;
};

/** Refuses new connections to the machine; connections that it opens still work. */
const refuseAllTo = (fleet: ControlFleet, machine: ControlMachine): void => {
  for (const other of fleet.machines)
    if (other !== machine) fleet.network.refuseConnections(other.machine, machine.machine);
};

/** Time limit for a change at any node: the timeout of a request, a heartbeat and a round. */
const confirmedWithinMicroseconds = 1_200_000;

describe('a leader that no other node can open a connection to', () => {
  for (const count of [3, 5])
    test(`changes at every other of ${count} nodes are confirmed, 3 seeds`, async () => {
      for (const seed of [701, 702, 703]) {
        const fleet = new ControlFleet(seed, platformConfigurationFormat, { membersWanted: count });
        assert.ok(await fleet.startAll(count));
        assert.equal((await fleet.change(fleet.machine(1), put(1)))?.kind, 'taken');
        const leader = leaderOf(fleet);
        refuseAllTo(fleet, leader);
        let version = 1;
        for (let turn = 0; turn < 4; turn += 1)
          for (const machine of fleet.machines.filter((other) => other !== leader)) {
            version += 1;
            const outcome = await fleet.change(machine, put(version), confirmedWithinMicroseconds);
            assert.deepEqual(outcome, { kind: 'taken', revision: version }, `at ${machine.name}, seed ${seed}`);
          }
        const read = await fleet.read(fleet.machine(1));
        assert.equal(read?.kind === 'read' && read.revision, version);
      }
    });

  test('a member that missed a change receives it over a connection opened by the leader', async () => {
    const fleet = new ControlFleet(721, platformConfigurationFormat);
    assert.ok(await fleet.startAll(3));
    assert.equal((await fleet.change(fleet.machine(1), put(1)))?.kind, 'taken');
    const leader = leaderOf(fleet);
    const [behind, other] = fleet.machines.filter((machine) => machine !== leader);
    assert.ok(behind !== undefined && other !== undefined);
    const heals = [leader, other].flatMap(({ machine }) => [
      fleet.network.cutLink(machine, behind.machine),
      fleet.network.cutLink(behind.machine, machine),
    ]);
    assert.equal((await fleet.change(other, put(2)))?.kind, 'taken');
    fleet.network.refuseConnections(behind.machine, leader.machine);
    for (const heal of heals) heal();
    await fleet.world.runFor(4_000_000);
    assert.equal(leaderOf(fleet), leader);
    assert.equal(behind.controlNode?.replicaStatus().keys['blueprint']?.revision, 2);
  });

  test('no change is confirmed twice or lost when that leader dies', async () => {
    const fleet = new ControlFleet(711, platformConfigurationFormat);
    assert.ok(await fleet.startAll(3));
    assert.equal((await fleet.change(fleet.machine(1), put(1)))?.kind, 'taken');
    const leader = leaderOf(fleet);
    refuseAllTo(fleet, leader);
    const others = fleet.machines.filter((other) => other !== leader);
    for (const machine of others) fleet.sendWithoutResponse(machine, put(2));
    await fleet.world.runFor(750_000);
    leader.kill();
    assert.deepEqual(await fleet.changeWithRetriesAt(others, put(2), 10_000_000), { kind: 'taken', revision: 2 });
    assert.deepEqual(await fleet.changeWithRetriesAt(others, put(3), 10_000_000), { kind: 'taken', revision: 3 });
  });
});
