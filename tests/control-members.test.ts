import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { platformDialect } from '../platform/operators/dialect';
import { Envelopes } from '../platform/operators/envelope';
import { MemberPlans } from '../source/core-keeper/standing/memberPlan';
import type { ChangeOrder } from '../source/core-keeper/register/messages';
import { ControlFleet } from './support/controlFleet';
import { platformDocument } from './support/platformDocument';

const put = (version: number, ifMatch: number, extra: Readonly<Record<string, unknown>> = {}): ChangeOrder => {
  const text = platformDocument(version, extra);
  return { key: 'blueprint', form: 'whole', text, ifMatch, id: `put ${ifMatch} ${text}` };
};

const documentAt = async (fleet: ControlFleet, number: number): Promise<string> => {
  const read = await fleet.read(fleet.machine(number));
  return read?.kind === 'read' ? Envelopes.open(read.text).document : `${read?.kind}`;
};

const five = { membersWanted: 5 };

describe('founding and growth', () => {
  for (const seed of [1, 2, 3])
    test(`five machines told the same three seeds become five members, seed ${seed}`, async () => {
      const fleet = new ControlFleet(seed, platformDialect, five);
      assert.ok(await fleet.begin(5), 'five voting members');
      assert.ok(fleet.world.nowMicroseconds < 6_000_000, `${fleet.world.nowMicroseconds}`);
      assert.equal((await fleet.change(fleet.machine(5), put(3, 0)))?.kind, 'taken');
      assert.equal(await documentAt(fleet, 4), platformDocument(3));
    });

  test('where three are wanted the fourth and fifth stand by and pass on what operators order', async () => {
    const fleet = new ControlFleet(4, platformDialect);
    for (let number = 1; number <= 5; number += 1) fleet.add().start(true);
    assert.ok(await fleet.settled(3, 5_000_000));
    await fleet.world.runFor(3_000_000);
    assert.equal(fleet.machine(4).votes || fleet.machine(5).votes, false);
    assert.equal((await fleet.change(fleet.machine(5), put(1, 0)))?.kind, 'taken');
    assert.equal(await documentAt(fleet, 4), platformDocument(1));
  });

  test('one founder and two machines added later do not make up a majority of the founders', async () => {
    const fleet = new ControlFleet(5, platformDialect, five);
    for (let number = 1; number <= 5; number += 1) fleet.add();
    for (const number of [1, 4, 5]) fleet.machine(number).start(true);
    await fleet.world.runFor(8_000_000);
    assert.ok(fleet.machines.every(({ votes }) => !votes));
    fleet.machine(2).start(true);
    fleet.machine(3).start(true);
    assert.ok(await fleet.settled(5, 6_000_000));
  });

  test('empty disks that were not told of a first start never found a fleet', async () => {
    const fleet = new ControlFleet(6, platformDialect);
    for (let number = 1; number <= 3; number += 1) fleet.add().start(false);
    await fleet.world.runFor(6_000_000);
    assert.ok(fleet.machines.every(({ votes }) => !votes));
  });
});

describe('places change hands', () => {
  for (const seed of [11, 12, 13, 14])
    test(`a spare takes the place of a silent member, and that one comes back to stand by, seed ${seed}`, async () => {
      const fleet = new ControlFleet(seed, platformDialect);
      assert.ok(await fleet.begin(3));
      assert.equal((await fleet.change(fleet.machine(1), put(1, 0)))?.kind, 'taken');
      fleet.machine(2).kill(true);
      const died = fleet.world.nowMicroseconds;
      const spare = fleet.add();
      await fleet.world.runFor(200_000);
      spare.start();
      assert.ok(await fleet.world.runUntil(() => spare.votes, 5_000_000), 'the spare votes');
      assert.ok(await fleet.settled(3, 1_000_000), 'and the list without the silent one stands alone');
      assert.ok(fleet.world.nowMicroseconds - died < 4_000_000, `${fleet.world.nowMicroseconds - died}`);
      const members = fleet.machine(1).keeper?.core.members().members ?? {};
      assert.deepEqual(Object.keys(members).sort(), ['core-1', 'core-3', 'core-4']);
      assert.equal(await documentAt(fleet, 4), platformDocument(1));
      fleet.machine(2).start();
      await fleet.world.runFor(5_000_000);
      assert.equal(fleet.machine(2).votes, false);
      assert.equal((await fleet.change(fleet.machine(2), put(2, 1)))?.kind, 'taken');
      // It takes a place again as soon as one is free.
      fleet.machine(3).kill();
      assert.ok(await fleet.world.runUntil(() => fleet.machine(2).votes, 6_000_000), 'it votes again');
      assert.equal(await documentAt(fleet, 2), platformDocument(2));
    });

  test('a member frozen while its place was taken does no harm when it wakes', async () => {
    const fleet = new ControlFleet(15, platformDialect);
    assert.ok(await fleet.begin(3));
    assert.equal((await fleet.change(fleet.machine(1), put(1, 0)))?.kind, 'taken');
    fleet.machine(1).process.freeze();
    const spare = fleet.add();
    spare.start();
    assert.ok(await fleet.world.runUntil(() => spare.votes, 6_000_000));
    assert.equal((await fleet.persist(put(2, 1), 3_000_000))?.kind, 'taken');
    fleet.machine(1).process.thaw();
    const late = await fleet.change(fleet.machine(1), put(4, 1, { note: 'late' }));
    assert.ok(late?.kind !== 'taken', `${late?.kind}`);
    await fleet.world.runFor(4_000_000);
    assert.equal(fleet.machine(1).votes, false);
    assert.equal(await documentAt(fleet, 4), platformDocument(2));
  });

  test('with nobody standing by a silent member keeps its place', async () => {
    const fleet = new ControlFleet(16, platformDialect);
    assert.ok(await fleet.begin(3));
    fleet.machine(3).kill(true);
    await fleet.world.runFor(20_000_000);
    fleet.machine(3).start();
    assert.ok(await fleet.settled(3, 3_000_000));
  });

  test('what a newcomer does to the list: the silent one goes, else it is added, and never two things at once', () => {
    const plan = MemberPlans.next;
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

describe('losses right after a change was taken', () => {
  for (let seed = 21; seed <= 32; seed += 1) {
    test(`power lost on all five, disks as they were: it stands, seed ${seed}`, async () => {
      const fleet = new ControlFleet(seed, platformDialect, five);
      assert.ok(await fleet.begin(5));
      assert.equal((await fleet.change(fleet.machine((seed % 5) + 1), put(7, 0)))?.kind, 'taken');
      for (const machine of fleet.machines) machine.kill(true);
      await fleet.world.runFor(500_000);
      const back = fleet.world.nowMicroseconds;
      for (const machine of fleet.machines) machine.start();
      assert.equal(await documentAt(fleet, 2), platformDocument(7));
      assert.ok(fleet.world.nowMicroseconds - back < 3_000_000, `${fleet.world.nowMicroseconds - back}`);
    });

    test(`two of five wiped while the others lose power: it stands, seed ${seed}`, async () => {
      const fleet = new ControlFleet(seed, platformDialect, five);
      assert.ok(await fleet.begin(5));
      const asked = (seed % 5) + 1;
      assert.equal((await fleet.change(fleet.machine(asked), put(7, 0)))?.kind, 'taken');
      const lost = [asked, (asked % 5) + 1];
      for (const machine of fleet.machines) machine.kill(true);
      for (const number of lost) fleet.machine(number).disk.wipe();
      await fleet.world.runFor(500_000);
      const back = fleet.world.nowMicroseconds;
      for (const machine of fleet.machines) machine.start();
      assert.ok(await fleet.settled(5, 6_000_000), 'the wiped two vote again');
      assert.ok(fleet.world.nowMicroseconds - back < 4_000_000, `${fleet.world.nowMicroseconds - back}`);
      for (const number of [1, 2, 3, 4, 5]) assert.equal(await documentAt(fleet, number), platformDocument(7));
      assert.equal((await fleet.persist(put(9, 7), 4_000_000))?.kind, 'taken');
    });

    test(`one of three wiped, the others without power: it stands, seed ${seed}`, async () => {
      const fleet = new ControlFleet(seed, platformDialect);
      assert.ok(await fleet.begin(3));
      const asked = (seed % 3) + 1;
      assert.equal((await fleet.change(fleet.machine(asked), put(7, 0)))?.kind, 'taken');
      for (const machine of fleet.machines) machine.kill(true);
      fleet.machine(asked).disk.wipe();
      await fleet.world.runFor(400_000);
      for (const machine of fleet.machines) machine.start();
      assert.ok(await fleet.settled(3, 6_000_000));
      for (const number of [1, 2, 3]) assert.equal(await documentAt(fleet, number), platformDocument(7));
    });
  }
});

describe('time to acknowledge', () => {
  for (let seed = 41; seed <= 48; seed += 1) {
    test(`the owner dies without a word: a change sent at once is taken in time, seed ${seed}`, async () => {
      const fleet = new ControlFleet(seed, platformDialect);
      assert.ok(await fleet.begin(3));
      assert.equal((await fleet.change(fleet.machine(1), put(1, 0)))?.kind, 'taken');
      const owner = fleet.machines.find(({ keeper, name }) => keeper?.owners()['blueprint']?.owner === name);
      assert.ok(owner !== undefined);
      for (const other of fleet.machines)
        if (other !== owner) {
          fleet.network.cut(other.machine, owner.machine);
          fleet.network.cut(owner.machine, other.machine);
        }
      const began = fleet.world.nowMicroseconds;
      const rest = fleet.machines.filter((machine) => machine !== owner);
      const outcome = await fleet.change(rest[seed % 2] ?? owner, put(2, 1));
      assert.equal(outcome?.kind, 'taken');
      assert.ok(fleet.world.nowMicroseconds - began < 1_500_000, `${fleet.world.nowMicroseconds - began}`);
    });

    test(`one way cut from all others to the owner: a change is taken in time, seed ${seed}`, async () => {
      const fleet = new ControlFleet(seed, platformDialect);
      assert.ok(await fleet.begin(3));
      assert.equal((await fleet.change(fleet.machine(1), put(1, 0)))?.kind, 'taken');
      const owner = fleet.machines.find(({ keeper, name }) => keeper?.owners()['blueprint']?.owner === name);
      assert.ok(owner !== undefined);
      for (const other of fleet.machines) if (other !== owner) fleet.network.cut(other.machine, owner.machine);
      const began = fleet.world.nowMicroseconds;
      const rest = fleet.machines.filter((machine) => machine !== owner);
      assert.equal((await fleet.change(rest[seed % 2] ?? owner, put(2, 1)))?.kind, 'taken');
      assert.ok(fleet.world.nowMicroseconds - began < 3_500_000, `${fleet.world.nowMicroseconds - began}`);
    });

    test(`a disk stalls, another is full, both on different machines in turn, seed ${seed}`, async () => {
      const fleet = new ControlFleet(seed, platformDialect);
      assert.ok(await fleet.begin(3));
      assert.equal((await fleet.change(fleet.machine(1), put(1, 0)))?.kind, 'taken');
      fleet.machine((seed % 3) + 1).disk.faults.stalled = true;
      let began = fleet.world.nowMicroseconds;
      assert.equal((await fleet.persist(put(2, 1), 6_000_000))?.kind, 'taken');
      assert.ok(fleet.world.nowMicroseconds - began < 3_500_000, `stalled ${fleet.world.nowMicroseconds - began}`);
      fleet.machine((seed % 3) + 1).disk.release();
      await fleet.world.runFor(500_000);
      fleet.machine(((seed + 1) % 3) + 1).disk.faults.full = true;
      began = fleet.world.nowMicroseconds;
      assert.equal((await fleet.persist(put(3, 2), 6_000_000))?.kind, 'taken');
      assert.ok(fleet.world.nowMicroseconds - began < 3_500_000, `full ${fleet.world.nowMicroseconds - began}`);
      assert.equal(await documentAt(fleet, 1), platformDocument(3));
    });
  }
});
