import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { platformConfigurationFormat } from '../platform/operators/configurationFormat';
import { Envelopes } from '../platform/operators/envelope';
import { ReplicaStates, type ReplicaEvent } from '../source/core-keeper/write-ahead-log/replicaState';
import { Changes, Digests, emptyEntry } from '../source/core-keeper/register/changes';
import type { ChangeRequest, ChangeOutcome } from '../source/core-keeper/register/messages';
import { maxRememberedChanges } from '../source/core-keeper/register/outcomeHistory';
import type { Entry } from '../source/shared/register/types';
import { SimProcess } from '../source/fleet-simulator/world/simProcess';
import { ControlFleet, type ControlMachine } from './support/controlFleet';
import { platformDocument } from './support/platformDocument';

const put = (version: number, ifMatch: number, extra: Readonly<Record<string, unknown>> = {}): ChangeRequest => {
  const text = platformDocument(version, extra);
  return { key: 'blueprint', form: 'whole', text, ifMatch, id: `put ${ifMatch} ${text}` };
};

const documentAt = async (fleet: ControlFleet, machine: ControlMachine): Promise<string> => {
  const read = await fleet.read(machine);
  return read?.kind === 'read' ? Envelopes.open(read.text).document : `${read?.kind}`;
};

const leaderOf = (fleet: ControlFleet, key = 'blueprint'): ControlMachine => {
  const found = fleet.machines.find(
    ({ process, controlNode: keeper, name }) => process.alive && keeper?.keyLeaders()[key]?.owner === name,
  );
  assert.ok(found !== undefined, `${key} has a leader`);
  return found;
};

const cutOff = (fleet: ControlFleet, machine: ControlMachine, ways: 'both' | 'in' | 'out' = 'both'): (() => void) => {
  const heals = fleet.machines
    .filter((other) => other !== machine)
    .flatMap((other) => [
      ...(ways === 'out' ? [] : [fleet.network.cutLink(other.machine, machine.machine)]),
      ...(ways === 'in' ? [] : [fleet.network.cutLink(machine.machine, other.machine)]),
    ]);
  return () => heals.forEach((heal) => heal());
};

const isRefusedPermanently = (outcome: ChangeOutcome | undefined): boolean =>
  outcome?.kind === 'refused' && outcome.reason !== 'noMajority' && outcome.reason !== 'full';

describe('a member partitioned for 20 s', () => {
  for (const ways of ['both', 'in', 'out'] as const)
    for (const seed of [101, 102, 103])
      test(`a leader with links cut ${ways} confirms, refuses and returns nothing, seed ${seed}`, async () => {
        const fleet = new ControlFleet(seed, platformConfigurationFormat);
        assert.ok(await fleet.startAll(3));
        assert.equal((await fleet.change(fleet.machine(1), put(1, 0)))?.kind, 'taken');
        const cut = leaderOf(fleet);
        const heal = cutOff(fleet, cut, ways);
        const began = fleet.world.nowMicroseconds;
        const rest = fleet.machines.filter((machine) => machine !== cut);
        const [other] = rest;
        assert.ok(other !== undefined);
        let version = 1;
        while (fleet.world.nowMicroseconds - began < 20_000_000) {
          const next = version + 1;
          assert.equal((await fleet.changeWithRetriesAt(rest, put(next, version), 4_000_000))?.kind, 'taken');
          version = next;
          const late = await fleet.change(cut, put(version + 1000, version - 1, { by: 'cut off' }), 1_500_000);
          assert.ok(late?.kind !== 'taken', 'it confirmed a change');
          assert.equal(isRefusedPermanently(late), false, 'it refused permanently');
          const read = await fleet.read(cut, 1_500_000);
          assert.ok(read?.kind !== 'read', 'it returned a configuration');
          await fleet.world.runFor(1_000_000);
        }
        assert.equal(
          cut.controlNode?.keyLeaders()['blueprint']?.owner === cut.name,
          false,
          'it still reports itself as leader',
        );
        heal();
        assert.equal(await documentAt(fleet, cut), platformDocument(version), 'outdated after the partition healed');
        assert.equal((await fleet.changeWithRetries(put(version + 1, version), 3_000_000))?.kind, 'taken');
      });

  for (const seed of [111, 112, 113, 114])
    test(`a member that returns does not depose the leader, seed ${seed}`, async () => {
      const fleet = new ControlFleet(seed, platformConfigurationFormat);
      assert.ok(await fleet.startAll(3));
      assert.equal((await fleet.change(fleet.machine(1), put(1, 0)))?.kind, 'taken');
      const leader = leaderOf(fleet);
      const cut = fleet.machines.find((machine) => machine !== leader);
      assert.ok(cut !== undefined);
      const heal = cutOff(fleet, cut);
      // Other members first take over the keys that it led.
      await fleet.world.runFor(4_000_000);
      const epochs = (): string => JSON.stringify(fleet.machines.find((one) => one !== cut)?.controlNode?.keyLeaders());
      const before = epochs();
      await fleet.world.runFor(16_000_000);
      heal();
      await fleet.world.runFor(3_000_000);
      assert.equal(epochs(), before, 'leaders and epochs are unchanged');
      assert.equal((await fleet.change(cut, put(2, 1)))?.kind, 'taken');
    });

  test('a member cut off from the leader alone does not depose it', async () => {
    const fleet = new ControlFleet(121, platformConfigurationFormat);
    assert.ok(await fleet.startAll(3));
    assert.equal((await fleet.change(fleet.machine(1), put(1, 0)))?.kind, 'taken');
    const leader = leaderOf(fleet);
    const [left] = fleet.machines.filter((machine) => machine !== leader);
    assert.ok(left !== undefined);
    const before = leader.controlNode?.keyLeaders()['blueprint'];
    fleet.network.cutLink(leader.machine, left.machine);
    fleet.network.cutLink(left.machine, leader.machine);
    await fleet.world.runFor(15_000_000);
    assert.deepEqual(leader.controlNode?.keyLeaders()['blueprint'], before);
    assert.equal(
      (await fleet.changeWithRetriesAt([left], put(2, 1), 4_000_000))?.kind,
      'taken',
      'it still serves operators',
    );
    assert.equal(await documentAt(fleet, left), platformDocument(2));
  });

  test('a joining member follows the majority although the first seed is a restarted, partitioned member', async () => {
    const fleet = new ControlFleet(131, platformConfigurationFormat);
    assert.ok(await fleet.startAll(3));
    assert.equal((await fleet.change(fleet.machine(1), put(1, 0)))?.kind, 'taken');
    const cut = fleet.machine(2);
    const heal = cutOff(fleet, cut);
    assert.equal((await fleet.changeWithRetriesAt([fleet.machine(1)], put(2, 1), 5_000_000))?.kind, 'taken');
    cut.kill();
    cut.start();
    await fleet.world.runFor(3_000_000);
    fleet.seedNumbers = [2, 4, 1];
    const spare = fleet.add();
    spare.start();
    assert.ok(
      await fleet.world.runUntil(() => spare.votes, 8_000_000),
      'the joining member replaces the unreachable one',
    );
    assert.equal(await documentAt(fleet, spare), platformDocument(2));
    heal();
    await fleet.world.runFor(3_000_000);
    assert.equal(cut.votes, false, 'it learns that it has been replaced');
    assert.equal(await documentAt(fleet, cut), platformDocument(2));
  });
});

describe('concurrent and repeated changes', () => {
  const outcomeOfRepeat = (entry: Entry, order: ChangeRequest): ChangeOutcome | undefined => {
    const planned = Changes.plan(entry, order, platformConfigurationFormat);
    return planned.kind === 'answer' ? planned.outcome : undefined;
  };

  test(`an accepted change is never refused when repeated, however many changes followed`, () => {
    let entry = emptyEntry;
    const orders: ChangeRequest[] = [];
    const sizes: number[] = [];
    for (let version = 1; version <= maxRememberedChanges + 200; version += 1) {
      const order = put(version * 3, (version - 1) * 3);
      const planned = Changes.plan(entry, order, platformConfigurationFormat);
      assert.ok(planned.kind === 'write');
      entry = planned.entry;
      orders.push(order);
      sizes.push(entry.outcomes.records.length);
    }
    for (const [index, order] of orders.entries()) {
      const outcome = outcomeOfRepeat(entry, order);
      if (index < 200) assert.deepEqual(outcome, { kind: 'unknown' }, `change ${index + 1}`);
      else assert.deepEqual(outcome, { kind: 'taken', revision: index + 1 }, `change ${index + 1}`);
    }
    // A change that lost a race is based on a remembered version, so it is refused.
    assert.equal(outcomeOfRepeat(entry, put(5_000, 1_800, { by: 'loser' }))?.kind, 'refused');
    assert.equal(sizes.at(-1), sizes[maxRememberedChanges - 1], 'the history no longer grows');
    assert.ok((sizes.at(-1) ?? 0) <= 12_288, `${sizes.at(-1)} bytes`);
  });

  test('reads the history format of earlier builds, with its outcomes', () => {
    const order = put(9, 0);
    const first = Changes.plan(emptyEntry, order, platformConfigurationFormat);
    assert.ok(first.kind === 'write');
    const { outcomes, ...entry } = first.entry;
    assert.equal(outcomes.records.length > 0, true);
    const orderDigest = Digests.of(`${order.form}\u0000${order.ifMatch}\u0000${order.text}`);
    const event = {
      kind: 'accepted',
      key: 'blueprint',
      epoch: { number: 1, keeper: 'a' },
      entry: { ...entry, changes: [{ id: order.id, orderDigest, revision: 1 }] },
    } as unknown as ReplicaEvent;
    const read = ReplicaStates.acceptorState(ReplicaStates.apply(ReplicaStates.initial, event), 'blueprint').accepted
      ?.entry;
    assert.ok(read !== undefined);
    assert.deepEqual(outcomeOfRepeat(read, order), { kind: 'taken', revision: 1 });
    assert.equal(outcomeOfRepeat(read, { ...order, text: `${order.text} ` })?.kind, 'refused');
    assert.equal(outcomeOfRepeat(read, put(11, 0))?.kind, 'refused');
  });

  for (const seed of [201, 202, 203, 204, 205, 206])
    test(`different documents under one number, resent over lost answers and new leaders, seed ${seed}`, async () => {
      const fleet = new ControlFleet(seed, platformConfigurationFormat);
      assert.ok(await fleet.startAll(3));
      assert.equal((await fleet.change(fleet.machine(1), put(1, 0)))?.kind, 'taken');
      let base = 1;
      for (let round = 0; round < 6; round += 1) {
        const version = base + 7;
        const pair = ['one', 'two'].map((by) => put(version, base, { by }));
        // Both are sent at once to different machines; the answers are lost, and a leader is killed.
        for (const [index, order] of pair.entries())
          fleet.sendWithoutResponse(fleet.machine(((round + index) % 3) + 1), order);
        await fleet.world.runFor(round * 1500);
        const leader = leaderOf(fleet);
        leader.kill(round % 2 === 0);
        await fleet.world.runFor(300_000);
        leader.start();
        const outcomes: (ChangeOutcome | undefined)[] = [];
        for (const order of pair) outcomes.push(await fleet.changeWithRetries(order, 8_000_000));
        assert.deepEqual(outcomes.map((outcome) => outcome?.kind).sort(), ['refused', 'taken'], `round ${round}`);
        const winner = pair[outcomes.findIndex((outcome) => outcome?.kind === 'taken')];
        const loser = pair[outcomes.findIndex((outcome) => outcome?.kind === 'refused')];
        assert.ok(winner !== undefined && loser !== undefined);
        // Both are repeated at every machine after the next change.
        assert.equal((await fleet.changeWithRetries(put(version + 1, version), 4_000_000))?.kind, 'taken');
        for (const machine of fleet.machines) {
          assert.equal((await fleet.changeWithRetriesAt([machine], winner, 6_000_000))?.kind, 'taken');
          assert.equal((await fleet.changeWithRetriesAt([machine], loser, 6_000_000))?.kind, 'refused');
        }
        base = version + 1;
      }
    });
});

describe('a second loss right after a repair or a replacement', () => {
  for (const seed of [301, 302, 303, 304, 305, 306])
    test(`a majority remains if a member is lost right after a planned replacement, seed ${seed}`, async () => {
      const fleet = new ControlFleet(seed, platformConfigurationFormat);
      assert.ok(await fleet.startAll(3));
      assert.equal((await fleet.change(fleet.machine(1), put(1, 0)))?.kind, 'taken');
      const spare = fleet.add();
      spare.start();
      await fleet.world.runFor(5_000_000);
      const leaving = fleet.machine((seed % 3) + 1);
      await fleet.leave(leaving, 6_000_000);
      leaving.disk.wipe();
      // No delay: the joining member has run for longer than the time limit for catching up.
      const lost = fleet.machine(((seed + 1) % 3) + 1);
      lost.kill(true);
      const began = fleet.world.nowMicroseconds;
      const rest = fleet.machines.filter((machine) => machine !== leaving && machine !== lost);
      assert.equal((await fleet.changeWithRetriesAt(rest, put(2, 1), 4_000_000))?.kind, 'taken');
      assert.ok(fleet.world.nowMicroseconds - began < 3_000_000, `${fleet.world.nowMicroseconds - began}`);
      lost.disk.wipe();
      lost.start();
      assert.ok(await fleet.waitUntilSettled(3, 4_000_000), 'three vote again');
      for (const machine of rest) assert.equal(await documentAt(fleet, machine), platformDocument(2));
    });

  for (const seed of [311, 312, 313, 314])
    test(`a change survives if one of its two holders leaves and the other is lost right after, seed ${seed}`, async () => {
      const fleet = new ControlFleet(seed, platformConfigurationFormat);
      assert.ok(await fleet.startAll(3));
      assert.equal((await fleet.change(fleet.machine(1), put(1, 0)))?.kind, 'taken');
      const spare = fleet.add();
      spare.start();
      await fleet.world.runFor(3_000_000);
      const [behind, holder, leaving] = fleet.machines;
      assert.ok(behind !== undefined && holder !== undefined && leaving !== undefined);
      // One member is partitioned while the change is accepted, so that only two members hold it.
      const heal = cutOff(fleet, behind);
      assert.equal((await fleet.changeWithRetriesAt([holder], put(2, 1), 6_000_000))?.kind, 'taken');
      heal();
      await fleet.leave(leaving, 6_000_000);
      leaving.disk.wipe();
      holder.kill(true);
      holder.disk.wipe();
      const rest = [behind, spare];
      assert.equal(await documentAt(fleet, behind), platformDocument(2));
      assert.equal((await fleet.changeWithRetriesAt(rest, put(3, 2), 5_000_000))?.kind, 'taken');
      holder.start();
      assert.ok(await fleet.waitUntilSettled(3, 5_000_000));
      assert.equal(await documentAt(fleet, holder), platformDocument(3));
    });

  for (const seed of [321, 322, 323])
    test(`after each crash, wipe or replacement another member may be lost once the catch-up time has passed, seed ${seed}`, async () => {
      const catchUp = 4_000_000;
      const fleet = new ControlFleet(seed, platformConfigurationFormat);
      assert.ok(await fleet.startAll(3));
      let version = 1;
      assert.equal((await fleet.change(fleet.machine(1), put(1, 0)))?.kind, 'taken');
      for (const how of ['crash', 'wipe', 'replace', 'wipe', 'replace'] as const) {
        const members = fleet.machines.filter(({ votes }) => votes);
        const lost = members[(seed + version) % members.length];
        assert.ok(lost !== undefined);
        lost.kill(true);
        if (how === 'wipe') lost.disk.wipe();
        await fleet.world.runFor(700_000);
        const back = how === 'replace' ? fleet.add() : lost;
        back.start();
        await fleet.world.runFor(catchUp);
        assert.ok(back.votes, `after ${how} the member votes`);
        const next = fleet.machines.find((machine) => machine.votes && machine !== back);
        assert.ok(next !== undefined);
        next.kill(true);
        const rest = fleet.machines.filter(({ votes }) => votes);
        const order = put(version + 1, version);
        version += 1;
        assert.equal((await fleet.changeWithRetriesAt(rest, order, 4_000_000))?.kind, 'taken', `after ${how}`);
        next.start();
        await fleet.world.runFor(catchUp);
      }
    });

  test('a joining member that dies while it catches up blocks neither changes nor the next joining member', async () => {
    const fleet = new ControlFleet(331, platformConfigurationFormat);
    assert.ok(await fleet.startAll(3));
    assert.equal((await fleet.change(fleet.machine(1), put(1, 0)))?.kind, 'taken');
    fleet.machine(3).kill(true);
    const spare = fleet.add();
    spare.start();
    const isListed = (): boolean =>
      fleet.machine(1).controlNode?.core.members().members[spare.name] !== undefined && !spare.votes;
    assert.ok(await fleet.world.runUntil(isListed, 6_000_000));
    spare.kill(true);
    spare.disk.wipe();
    assert.equal((await fleet.changeWithRetries(put(2, 1), 4_000_000))?.kind, 'taken');
    const next = fleet.add();
    next.start();
    assert.ok(await fleet.world.runUntil(() => next.votes, 14_000_000), 'the next joining member votes');
    assert.ok(await fleet.waitUntilSettled(3, 2_000_000));
    assert.equal(await documentAt(fleet, next), platformDocument(2));
  });
});

describe('founding a fleet with an unreachable seed', () => {
  for (const [missing, seed] of [
    [1, 401],
    [2, 402],
    [3, 403],
  ] as const)
    test(`seed ${missing} is partitioned from the start: the others found the fleet, and it joins later`, async () => {
      const fleet = new ControlFleet(seed, platformConfigurationFormat);
      for (let number = 1; number <= 3; number += 1) fleet.add();
      const heal = cutOff(fleet, fleet.machine(missing));
      for (const machine of fleet.machines) machine.start(true);
      assert.ok(
        await fleet.world.runUntil(() => fleet.machines.filter(({ votes }) => votes).length === 2, 5_000_000),
        'two vote',
      );
      const rest = fleet.machines.filter(({ votes }) => votes);
      assert.equal((await fleet.changeWithRetriesAt(rest, put(1, 0), 3_000_000))?.kind, 'taken');
      await fleet.world.runFor(10_000_000);
      heal();
      assert.ok(await fleet.waitUntilSettled(3, 4_000_000), 'the third joins');
      assert.equal(await documentAt(fleet, fleet.machine(missing)), platformDocument(1));
      assert.equal(new Set(fleet.machines.map(({ controlNode: keeper }) => keeper?.core.state.fleet)).size, 1);
    });

  test('a seed that two founders ask at the same time agrees to one of them, 20 seeds', async () => {
    for (let seed = 421; seed <= 440; seed += 1) {
      const fleet = new ControlFleet(seed, platformConfigurationFormat);
      const asked = fleet.add();
      asked.start(true);
      await fleet.world.runFor(100_000);
      const answers: string[] = [];
      const founder = new SimProcess(fleet.world, 'founder', '10.1.0.9');
      for (const name of ['one', 'other'])
        founder.execute(
          () =>
            void fleet.network
              .transportOf(founder)
              .ask(asked.member.address, { kind: 'form', fleet: name, members: {} }, 1_000_000)
              .then((answer) => answers.push(answer.kind === 'answered' ? answer.message.kind : answer.kind)),
        );
      await fleet.world.runFor(1_000_000);
      assert.equal(answers.length, 2);
      assert.equal(answers.filter((answer) => answer === 'formingToo').length, 1, `seed ${seed}: ${answers.join()}`);
    }
  });

  test('a node that lost its disk since the first start does not found a second fleet with one that was partitioned', async () => {
    const fleet = new ControlFleet(411, platformConfigurationFormat);
    for (let number = 1; number <= 3; number += 1) fleet.add();
    const heal = cutOff(fleet, fleet.machine(3));
    for (const machine of fleet.machines) machine.start(true);
    assert.ok(await fleet.world.runUntil(() => fleet.machines.filter(({ votes }) => votes).length === 2, 5_000_000));
    assert.equal((await fleet.changeWithRetriesAt([fleet.machine(1)], put(1, 0), 3_000_000))?.kind, 'taken');
    fleet.machine(1).kill(true);
    fleet.machine(1).disk.wipe();
    heal();
    cutOff(fleet, fleet.machine(2));
    fleet.machine(1).start();
    await fleet.world.runFor(10_000_000);
    assert.equal(fleet.machine(1).votes || fleet.machine(3).votes, false, 'no second fleet');
  });

  test('standby replicas configured as seeds never found a fleet among themselves', async () => {
    const fleet = new ControlFleet(421, platformConfigurationFormat);
    for (let number = 1; number <= 6; number += 1) fleet.add().start(true);
    assert.ok(await fleet.waitUntilSettled(3, 5_000_000));
    fleet.seedNumbers = [4, 5, 6];
    for (const number of [1, 2, 3]) fleet.machine(number).kill();
    for (const number of [4, 5, 6]) {
      fleet.machine(number).kill();
      fleet.machine(number).start();
    }
    await fleet.world.runFor(10_000_000);
    assert.ok(fleet.machines.every(({ votes }) => !votes));
  });

  for (const seed of [431, 432, 433])
    test(`nodes killed before founding found the fleet after a restart that is not marked as the first, seed ${seed}`, async () => {
      const fleet = new ControlFleet(seed, platformConfigurationFormat);
      for (let number = 1; number <= 3; number += 1) fleet.add().start(true);
      await fleet.world.runFor(15_000);
      for (const machine of fleet.machines) machine.kill();
      await fleet.world.runFor(300_000);
      for (const machine of fleet.machines) machine.start(false);
      assert.ok(await fleet.waitUntilSettled(3, 5_000_000));
    });
});

describe('after hundreds of changes', () => {
  for (const [how, seed] of [
    ['away', 501],
    ['wiped', 502],
    ['power', 503],
  ] as const)
    test(`a member lost for 300 changes (${how}) catches up and never leads or answers from outdated state`, async () => {
      const fleet = new ControlFleet(seed, platformConfigurationFormat);
      assert.ok(await fleet.startAll(3));
      assert.equal((await fleet.change(fleet.machine(1), put(1, 0)))?.kind, 'taken');
      const lost = fleet.machine(2);
      lost.kill(how === 'power');
      if (how === 'wiped') lost.disk.wipe();
      const rest = fleet.machines.filter((machine) => machine !== lost);
      for (let version = 2; version <= 300; version += 1)
        assert.equal((await fleet.changeWithRetriesAt(rest, put(version, version - 1), 4_000_000))?.kind, 'taken');
      const bytes = fleet.network.bytes;
      const back = fleet.world.nowMicroseconds;
      lost.start();
      assert.ok(await fleet.waitUntilSettled(3, 4_000_000));
      assert.equal(await documentAt(fleet, lost), platformDocument(300));
      assert.ok(fleet.world.nowMicroseconds - back < 4_000_000, 'caught up within the time limit');
      assert.ok(fleet.network.bytes - bytes < 400_000, `${fleet.network.bytes - bytes} bytes`);
      // It is fully up to date: it still answers while each of the two others is down in turn.
      for (const machine of rest) {
        machine.kill(true);
        assert.equal(await documentAt(fleet, lost), platformDocument(300));
        machine.start();
        await fleet.world.runFor(4_000_000);
      }
      assert.ok(lost.disk.length('keeper.ledger') < 8_000_000);
    });
});

describe('lease fencing tokens across membership changes', () => {
  type Vote = Readonly<{ granted: boolean; term: number }>;

  /** Requests votes of some members on one lease for a candidate whose member list has the given revision. */
  const votes = async (
    fleet: ControlFleet,
    machines: readonly ControlMachine[],
    candidate: string,
    term: number,
    membersRevision: number,
  ): Promise<readonly Vote[]> => {
    const process = new SimProcess(fleet.world, candidate, `10.2.0.${candidate.length}`);
    const transport = fleet.network.transportOf(process);
    const ballots = [{ duty: 'engine/e', candidate, term, leaseMicroseconds: 2_500_000 }];
    const given: Vote[] = [];
    for (const machine of machines)
      void transport
        .ask(machine.member.address, { kind: 'ballots', ballots, membersRevision }, 500_000)
        .then((answer) => {
          if (answer.kind === 'answered') given.push(...((answer.message['answers'] ?? []) as readonly Vote[]));
        });
    await fleet.world.runFor(600_000);
    return given;
  };

  const granted = (given: readonly Vote[]): number => given.filter((vote) => vote.granted).length;

  for (const seed of [601, 602, 603])
    test(`candidates with the old and the new member list never hold the same lease, seed ${seed}`, async () => {
      const fleet = new ControlFleet(seed, platformConfigurationFormat);
      assert.ok(await fleet.startAll(3));
      const [first, second, cut] = fleet.machines;
      assert.ok(first !== undefined && second !== undefined && cut !== undefined);
      const before = first.controlNode?.core.members().revision ?? 0;
      // The replaced member still votes for daemons on its side of the partition and does not know its successor.
      cutOff(fleet, cut);
      const spare = fleet.add();
      spare.start();
      assert.ok(await fleet.world.runUntil(() => spare.votes, 8_000_000));
      assert.ok(await fleet.world.runUntil(() => first.controlNode?.core.members().sets.length === 1, 2_000_000));
      await fleet.world.runFor(3_000_000);
      const now = first.controlNode?.core.members().revision ?? 0;
      assert.ok(now > before && cut.votes);
      const old = await votes(fleet, [second, cut], 'old', 7, before);
      const next = await votes(fleet, [first, spare], 'next', 7, now);
      assert.equal(granted(next), 2);
      assert.ok(granted(old) < 2, 'both hold it under one fencing token');
    });

  for (const seed of [611, 612])
    test(`the fencing token never decreases across wipes, a replacement and a loss of power on all, seed ${seed}`, async () => {
      const fleet = new ControlFleet(seed, platformConfigurationFormat);
      assert.ok(await fleet.startAll(3));
      const revision = (): number =>
        Math.max(...fleet.machines.map(({ controlNode: keeper }) => keeper?.core.members().revision ?? 0));
      let fence = 0;
      const take = async (candidate: string): Promise<void> => {
        await fleet.world.runFor(3_000_000);
        const members = fleet.machines.filter(({ votes: isVoting }) => isVoting);
        const known = await votes(fleet, members, candidate, 1, revision());
        const highest = Math.max(fence === 0 ? 0 : 1, ...known.map(({ term }) => term));
        const given = await votes(fleet, members, candidate, highest + 1, revision());
        assert.ok(granted(given) >= 2, candidate);
        assert.ok(highest + 1 > fence, `fence ${highest + 1} after ${fence}`);
        fence = highest + 1;
      };
      await take('a');
      fleet.machine(1).kill(true);
      fleet.machine(1).disk.wipe();
      fleet.machine(1).start();
      assert.ok(await fleet.waitUntilSettled(3, 4_000_000));
      await take('bb');
      fleet.machine(2).kill(true);
      const spare = fleet.add();
      spare.start();
      assert.ok(await fleet.world.runUntil(() => spare.votes, 6_000_000));
      await take('ccc');
      for (const machine of fleet.machines) machine.kill(true);
      for (const machine of fleet.machines) machine.start();
      assert.ok(await fleet.world.runUntil(() => fleet.machines.filter((one) => one.votes).length >= 3, 6_000_000));
      await take('dddd');
    });
});
