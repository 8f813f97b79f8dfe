import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { platformConfigurationFormat } from '../platform/operators/configurationFormat';
import { Envelopes } from '../platform/operators/envelope';
import { MemberPlans } from '../source/core-keeper/membership/memberPlan';
import type { ChangeRequest } from '../source/core-keeper/register/messages';
import { ControlFleet } from './support/controlFleet';
import { platformDocument } from './support/platformDocument';

const put = (version: number, ifMatch: number, extra: Readonly<Record<string, unknown>> = {}): ChangeRequest => {
  const text = platformDocument(version, extra);
  return { key: 'blueprint', form: 'whole', text, ifMatch, id: `put ${ifMatch} ${text}` };
};

const documentAt = async (fleet: ControlFleet, number: number): Promise<string> => {
  const read = await fleet.read(fleet.machine(number));
  return read?.kind === 'read' ? Envelopes.open(read.text).document : `${read?.kind}`;
};

const five = { membersWanted: 5 };

describe('founding and growth of a fleet', () => {
  for (const seed of [1, 2, 3])
    test(`five replicas with the same three seeds become five members, seed ${seed}`, async () => {
      const fleet = new ControlFleet(seed, platformConfigurationFormat, five);
      assert.ok(await fleet.startAll(5), 'five voting members');
      assert.ok(fleet.world.nowMicroseconds < 6_000_000, `${fleet.world.nowMicroseconds}`);
      assert.equal((await fleet.change(fleet.machine(5), put(3, 0)))?.kind, 'taken');
      assert.equal(await documentAt(fleet, 4), platformDocument(3));
    });

  test('with three members wanted, the fourth and fifth replica stand by and forward requests of operators', async () => {
    const fleet = new ControlFleet(4, platformConfigurationFormat);
    for (let number = 1; number <= 5; number += 1) fleet.add().start(true);
    assert.ok(await fleet.waitUntilSettled(3, 5_000_000));
    await fleet.world.runFor(3_000_000);
    assert.equal(fleet.machine(4).votes || fleet.machine(5).votes, false);
    assert.equal((await fleet.change(fleet.machine(5), put(1, 0)))?.kind, 'taken');
    assert.equal(await documentAt(fleet, 4), platformDocument(1));
  });

  test('one founder and two replicas added later are no majority of the founders', async () => {
    const fleet = new ControlFleet(5, platformConfigurationFormat, five);
    for (let number = 1; number <= 5; number += 1) fleet.add();
    for (const number of [1, 4, 5]) fleet.machine(number).start(true);
    await fleet.world.runFor(8_000_000);
    assert.ok(fleet.machines.every(({ votes }) => !votes));
    fleet.machine(2).start(true);
    fleet.machine(3).start(true);
    assert.ok(await fleet.waitUntilSettled(5, 6_000_000));
  });

  test('empty disks without the setting of a first start never found a fleet', async () => {
    const fleet = new ControlFleet(6, platformConfigurationFormat);
    for (let number = 1; number <= 3; number += 1) fleet.add().start(false);
    await fleet.world.runFor(6_000_000);
    assert.ok(fleet.machines.every(({ votes }) => !votes));
  });
});

describe('replacement of members', () => {
  for (const seed of [11, 12, 13, 14])
    test(`a standby replaces a silent member, which returns as a standby, seed ${seed}`, async () => {
      const fleet = new ControlFleet(seed, platformConfigurationFormat);
      assert.ok(await fleet.startAll(3));
      assert.equal((await fleet.change(fleet.machine(1), put(1, 0)))?.kind, 'taken');
      fleet.machine(2).kill(true);
      const killedAt = fleet.world.nowMicroseconds;
      const standby = fleet.add();
      await fleet.world.runFor(200_000);
      standby.start();
      assert.ok(await fleet.world.runUntil(() => standby.votes, 5_000_000), 'the standby votes');
      assert.ok(await fleet.waitUntilSettled(3, 1_000_000), 'the list without the silent member takes effect');
      assert.ok(fleet.world.nowMicroseconds - killedAt < 4_000_000, `${fleet.world.nowMicroseconds - killedAt}`);
      const members = fleet.machine(1).controlNode?.core.members().members ?? {};
      assert.deepEqual(Object.keys(members).sort(), ['core-1', 'core-3', 'core-4']);
      assert.equal(await documentAt(fleet, 4), platformDocument(1));
      fleet.machine(2).start();
      await fleet.world.runFor(5_000_000);
      assert.equal(fleet.machine(2).votes, false);
      assert.equal((await fleet.change(fleet.machine(2), put(2, 1)))?.kind, 'taken');
      // It becomes a member again when another one falls silent.
      fleet.machine(3).kill();
      assert.ok(await fleet.world.runUntil(() => fleet.machine(2).votes, 6_000_000), 'it votes again');
      assert.equal(await documentAt(fleet, 2), platformDocument(2));
    });

  test('a member that was replaced while frozen commits no change after it resumes', async () => {
    const fleet = new ControlFleet(15, platformConfigurationFormat);
    assert.ok(await fleet.startAll(3));
    assert.equal((await fleet.change(fleet.machine(1), put(1, 0)))?.kind, 'taken');
    fleet.machine(1).process.freeze();
    const standby = fleet.add();
    standby.start();
    assert.ok(await fleet.world.runUntil(() => standby.votes, 6_000_000));
    assert.equal((await fleet.changeWithRetries(put(2, 1), 3_000_000))?.kind, 'taken');
    fleet.machine(1).process.unfreeze();
    const lateOutcome = await fleet.change(fleet.machine(1), put(4, 1, { note: 'late' }));
    assert.ok(lateOutcome?.kind !== 'taken', `${lateOutcome?.kind}`);
    await fleet.world.runFor(4_000_000);
    assert.equal(fleet.machine(1).votes, false);
    assert.equal(await documentAt(fleet, 4), platformDocument(2));
  });

  test('a silent member stays on the list if there is no standby', async () => {
    const fleet = new ControlFleet(16, platformConfigurationFormat);
    assert.ok(await fleet.startAll(3));
    fleet.machine(3).kill(true);
    await fleet.world.runFor(20_000_000);
    fleet.machine(3).start();
    assert.ok(await fleet.waitUntilSettled(3, 3_000_000));
  });

  test('a joining replica replaces a silent member or is added, and only one change is made at a time', () => {
    const plan = MemberPlans.plan;
    assert.deepEqual(plan({ a: 'voting', b: 'voting', c: 'silent' }, 3), { kind: 'replace', gone: 'c' });
    assert.deepEqual(plan({ a: 'voting', b: 'voting', c: 'doubtful' }, 5), { kind: 'wait' });
    assert.deepEqual(plan({ a: 'voting', b: 'nonvoting', c: 'silent' }, 5), { kind: 'wait' });
    assert.deepEqual(plan({ a: 'voting', b: 'voting', c: 'voting' }, 5), { kind: 'add' });
    assert.deepEqual(plan({ a: 'voting', b: 'voting', c: 'voting' }, 3), { kind: 'wait' });
    assert.equal(MemberPlans.isSilent(['a', 'b', 'c'], 'c', [{ silent: ['c'] }]), false);
    assert.equal(MemberPlans.isSilent(['a', 'b', 'c'], 'c', [{ silent: ['c'] }, { silent: [] }]), false);
    assert.equal(MemberPlans.isSilent(['a', 'b', 'c'], 'c', [{ silent: ['c'] }, { silent: ['c'] }]), true);
  });
});

describe('failures right after a change was accepted', () => {
  for (let seed = 21; seed <= 32; seed += 1) {
    test(`all five lose power and keep their disks: the change persists, seed ${seed}`, async () => {
      const fleet = new ControlFleet(seed, platformConfigurationFormat, five);
      assert.ok(await fleet.startAll(5));
      assert.equal((await fleet.change(fleet.machine((seed % 5) + 1), put(7, 0)))?.kind, 'taken');
      for (const machine of fleet.machines) machine.kill(true);
      await fleet.world.runFor(500_000);
      const restartedAt = fleet.world.nowMicroseconds;
      for (const machine of fleet.machines) machine.start();
      assert.equal(await documentAt(fleet, 2), platformDocument(7));
      assert.ok(fleet.world.nowMicroseconds - restartedAt < 3_000_000, `${fleet.world.nowMicroseconds - restartedAt}`);
    });

    test(`two of five lose their disks while the others lose power: the change persists, seed ${seed}`, async () => {
      const fleet = new ControlFleet(seed, platformConfigurationFormat, five);
      assert.ok(await fleet.startAll(5));
      const contacted = (seed % 5) + 1;
      assert.equal((await fleet.change(fleet.machine(contacted), put(7, 0)))?.kind, 'taken');
      const lost = [contacted, (contacted % 5) + 1];
      for (const machine of fleet.machines) machine.kill(true);
      for (const number of lost) fleet.machine(number).disk.wipe();
      await fleet.world.runFor(500_000);
      const restartedAt = fleet.world.nowMicroseconds;
      for (const machine of fleet.machines) machine.start();
      assert.ok(await fleet.waitUntilSettled(5, 6_000_000), 'the two with new disks vote again');
      assert.ok(fleet.world.nowMicroseconds - restartedAt < 4_000_000, `${fleet.world.nowMicroseconds - restartedAt}`);
      for (const number of [1, 2, 3, 4, 5]) assert.equal(await documentAt(fleet, number), platformDocument(7));
      assert.equal((await fleet.changeWithRetries(put(9, 7), 4_000_000))?.kind, 'taken');
    });

    test(`one of three loses its disk while the others lose power: the change persists, seed ${seed}`, async () => {
      const fleet = new ControlFleet(seed, platformConfigurationFormat);
      assert.ok(await fleet.startAll(3));
      const contacted = (seed % 3) + 1;
      assert.equal((await fleet.change(fleet.machine(contacted), put(7, 0)))?.kind, 'taken');
      for (const machine of fleet.machines) machine.kill(true);
      fleet.machine(contacted).disk.wipe();
      await fleet.world.runFor(400_000);
      for (const machine of fleet.machines) machine.start();
      assert.ok(await fleet.waitUntilSettled(3, 6_000_000));
      for (const number of [1, 2, 3]) assert.equal(await documentAt(fleet, number), platformDocument(7));
    });
  }
});

describe('time to acknowledge', () => {
  for (let seed = 41; seed <= 48; seed += 1) {
    test(`the leader is cut off in both directions: a change sent at once is accepted in time, seed ${seed}`, async () => {
      const fleet = new ControlFleet(seed, platformConfigurationFormat);
      assert.ok(await fleet.startAll(3));
      assert.equal((await fleet.change(fleet.machine(1), put(1, 0)))?.kind, 'taken');
      const leader = fleet.machines.find(
        ({ controlNode: keeper, name }) => keeper?.keyLeaders()['blueprint']?.owner === name,
      );
      assert.ok(leader !== undefined);
      for (const other of fleet.machines)
        if (other !== leader) {
          fleet.network.cutLink(other.machine, leader.machine);
          fleet.network.cutLink(leader.machine, other.machine);
        }
      const startedAt = fleet.world.nowMicroseconds;
      const others = fleet.machines.filter((machine) => machine !== leader);
      const outcome = await fleet.change(others[seed % 2] ?? leader, put(2, 1));
      assert.equal(outcome?.kind, 'taken');
      assert.ok(fleet.world.nowMicroseconds - startedAt < 1_500_000, `${fleet.world.nowMicroseconds - startedAt}`);
    });

    test(`messages to the leader are lost in one direction: a change is accepted in time, seed ${seed}`, async () => {
      const fleet = new ControlFleet(seed, platformConfigurationFormat);
      assert.ok(await fleet.startAll(3));
      assert.equal((await fleet.change(fleet.machine(1), put(1, 0)))?.kind, 'taken');
      const leader = fleet.machines.find(
        ({ controlNode: keeper, name }) => keeper?.keyLeaders()['blueprint']?.owner === name,
      );
      assert.ok(leader !== undefined);
      for (const other of fleet.machines) if (other !== leader) fleet.network.cutLink(other.machine, leader.machine);
      const startedAt = fleet.world.nowMicroseconds;
      const others = fleet.machines.filter((machine) => machine !== leader);
      assert.equal((await fleet.change(others[seed % 2] ?? leader, put(2, 1)))?.kind, 'taken');
      assert.ok(fleet.world.nowMicroseconds - startedAt < 3_500_000, `${fleet.world.nowMicroseconds - startedAt}`);
    });

    test(`one disk stalls, then another one is full: changes are accepted in time, seed ${seed}`, async () => {
      const fleet = new ControlFleet(seed, platformConfigurationFormat);
      assert.ok(await fleet.startAll(3));
      assert.equal((await fleet.change(fleet.machine(1), put(1, 0)))?.kind, 'taken');
      fleet.machine((seed % 3) + 1).disk.faults.stalled = true;
      let startedAt = fleet.world.nowMicroseconds;
      assert.equal((await fleet.changeWithRetries(put(2, 1), 6_000_000))?.kind, 'taken');
      assert.ok(
        fleet.world.nowMicroseconds - startedAt < 3_500_000,
        `stalled ${fleet.world.nowMicroseconds - startedAt}`,
      );
      fleet.machine((seed % 3) + 1).disk.endStall();
      await fleet.world.runFor(500_000);
      fleet.machine(((seed + 1) % 3) + 1).disk.faults.full = true;
      startedAt = fleet.world.nowMicroseconds;
      assert.equal((await fleet.changeWithRetries(put(3, 2), 6_000_000))?.kind, 'taken');
      assert.ok(fleet.world.nowMicroseconds - startedAt < 3_500_000, `full ${fleet.world.nowMicroseconds - startedAt}`);
      assert.equal(await documentAt(fleet, 1), platformDocument(3));
    });
  }
});
