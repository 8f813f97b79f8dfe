/** Reads of the configuration from control nodes: under faults, with full disks, and with a large document. */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { platformConfigurationFormat } from '../platform/operators/configurationFormat';
import { Envelopes } from '../platform/operators/envelope';
import type { ChangeRequest } from '../source/core-keeper/register/messages';
import { ControlFleet, type ControlMachine } from './support/controlFleet';
import { platformDocument } from './support/platformDocument';

const fiveMembers = { membersWanted: 5 };
const seeds = Number(process.env['POSTDRUM_TEST_SEEDS'] ?? 6);

const orderOf = (text: string, ifMatch: number, form: ChangeRequest['form'] = 'whole'): ChangeRequest => ({
  key: 'blueprint',
  form,
  text,
  ifMatch,
  id: `${form} ${ifMatch} ${text}`,
});
const put = (version: number, ifMatch: number): ChangeRequest => orderOf(platformDocument(version), ifMatch);

const versionIn = (text: string): number => {
  const { document } = Envelopes.open(text);
  return document === '' ? 0 : (JSON.parse(document) as { version: number }).version;
};

type Heal = () => void;

/** Cuts each link between two groups of nodes, in both directions or one. */
const cutBetween = (
  fleet: ControlFleet,
  first: readonly ControlMachine[],
  second: readonly ControlMachine[],
  ways: 'both' | 'one',
): Heal => {
  const heals = first.flatMap((one) =>
    second.flatMap((two) => [
      fleet.network.cutLink(one.machine, two.machine),
      ...(ways === 'both' ? [fleet.network.cutLink(two.machine, one.machine)] : []),
    ]),
  );
  return () => heals.forEach((heal) => heal());
};

const shuffled = (fleet: ControlFleet): readonly ControlMachine[] =>
  fleet.machines
    .map((machine) => ({ machine, at: fleet.world.random.fraction() }))
    .sort((left, right) => left.at - right.at)
    .map(({ machine }) => machine);

const faults: readonly ((fleet: ControlFleet) => Heal)[] = [
  (fleet) => {
    const order = shuffled(fleet);
    return cutBetween(fleet, order.slice(0, 2), order.slice(2), 'both');
  },
  (fleet) => {
    const order = shuffled(fleet);
    return cutBetween(fleet, order.slice(0, 1), order.slice(1), 'one');
  },
  (fleet) => {
    const order = shuffled(fleet);
    return cutBetween(fleet, order.slice(1), order.slice(0, 1), 'one');
  },
  (fleet) => {
    const [machine] = shuffled(fleet);
    machine?.kill(fleet.world.random.fraction() < 0.5);
    return () => machine?.start();
  },
  (fleet) => {
    const [machine] = shuffled(fleet);
    if (machine !== undefined) machine.disk.faults.stalled = true;
    return () => machine?.disk.endStall();
  },
  (fleet) => {
    const [one, two] = shuffled(fleet);
    for (const machine of [one, two]) if (machine !== undefined) machine.disk.faults.full = true;
    return () => {
      for (const machine of [one, two]) if (machine !== undefined) machine.disk.faults.full = false;
    };
  },
];

type Tally = { readonly stale: string[]; answered: number; asked: number };

/** Reads at every node; each answer must be at least as new as the last change confirmed when the read began. */
const readAll = (fleet: ControlFleet, confirmed: Readonly<{ version: number }>, tally: Tally): void => {
  for (const machine of fleet.machines) {
    if (!machine.process.alive || machine.controlNode === undefined) continue;
    const { version } = confirmed;
    const { controlNode: keeper, name } = machine;
    tally.asked += 1;
    machine.process.execute(
      () =>
        void keeper.read('blueprint', 900_000).then((read) => {
          if (read.kind !== 'read') return;
          tally.answered += 1;
          if (versionIn(read.text) < version) tally.stale.push(`${name}: ${versionIn(read.text)} for ${version}`);
        }),
    );
  }
};

describe('a read is never older than the last change confirmed before it began', () => {
  for (let seed = 1; seed <= seeds; seed += 1)
    test(`under partitions, one-way cuts, kills and disk faults, seed ${seed}`, async () => {
      const fleet = new ControlFleet(seed, platformConfigurationFormat, fiveMembers);
      assert.ok(await fleet.startAll(5));
      const confirmed = { version: 0 };
      const tally: Tally = { stale: [], answered: 0, asked: 0 };
      let isOver = false;
      const ask = (): void => {
        if (isOver) return;
        readAll(fleet, confirmed, tally);
        fleet.world.clock.after(150_000, ask);
      };
      ask();
      for (let round = 0; round < 8; round += 1) {
        const fault = faults[Math.floor(fleet.world.random.fraction() * faults.length)];
        const heal = fault?.(fleet);
        for (let change = 0; change < 2; change += 1) {
          const next = confirmed.version + 1;
          const outcome = await fleet.changeWithRetries(put(next, confirmed.version), 12_000_000);
          assert.equal(outcome?.kind, 'taken', `round ${round}, version ${next}`);
          confirmed.version = next;
          await fleet.world.runFor(Math.floor(fleet.world.random.fraction() * 600_000));
        }
        heal?.();
        await fleet.world.runFor(Math.floor(fleet.world.random.fraction() * 2_000_000));
      }
      await fleet.world.runFor(2_000_000);
      isOver = true;
      await fleet.world.runFor(1_500_000);
      assert.deepEqual(tally.stale, []);
      assert.ok(tally.answered > tally.asked / 2, `${tally.answered} of ${tally.asked} reads were answered`);
    });
});

describe('full disks', () => {
  for (const seed of [1, 2, 3])
    test(`the leader's disk is full: changes are confirmed and every node answers reads, seed ${seed}`, async () => {
      const fleet = new ControlFleet(seed, platformConfigurationFormat, fiveMembers);
      assert.ok(await fleet.startAll(5));
      assert.equal((await fleet.change(fleet.machine(1), put(1, 0)))?.kind, 'taken');
      const leader = fleet.machines.find(
        ({ controlNode: keeper, name }) => keeper?.keyLeaders()['blueprint']?.owner === name,
      );
      assert.ok(leader !== undefined);
      leader.disk.faults.full = true;
      for (const version of [2, 3, 4]) {
        const began = fleet.world.nowMicroseconds;
        assert.equal((await fleet.changeWithRetries(put(version, version - 1), 6_000_000))?.kind, 'taken');
        assert.ok(fleet.world.nowMicroseconds - began < 3_500_000);
        for (const machine of fleet.machines) {
          const read = await fleet.read(machine, 1_000_000);
          assert.equal(read?.kind === 'read' ? versionIn(read.text) : read?.kind, version, machine.name);
        }
      }
      leader.kill(true);
      leader.disk.faults.full = false;
      leader.start();
      assert.ok(await fleet.waitUntilSettled(5, 10_000_000));
      const read = await fleet.read(leader);
      assert.equal(read?.kind === 'read' ? versionIn(read.text) : read?.kind, 4);
    });

  test('all disks are full: changes are refused temporarily, reads are answered, and the same change is accepted later', async () => {
    const fleet = new ControlFleet(7, platformConfigurationFormat, fiveMembers);
    assert.ok(await fleet.startAll(5));
    assert.equal((await fleet.change(fleet.machine(1), put(1, 0)))?.kind, 'taken');
    for (const { disk } of fleet.machines) disk.faults.full = true;
    for (const machine of fleet.machines) {
      const outcome = await fleet.change(machine, put(2, 1));
      const isPlain = outcome?.kind === 'refused' ? ['full', 'noMajority'].includes(outcome.reason) : true;
      assert.ok(outcome === undefined || (outcome.kind !== 'taken' && isPlain), JSON.stringify(outcome));
      const read = await fleet.read(machine);
      assert.equal(read?.kind === 'read' ? versionIn(read.text) : read?.kind, 1, machine.name);
    }
    for (const { disk } of fleet.machines) disk.faults.full = false;
    assert.equal((await fleet.changeWithRetries(put(2, 1), 6_000_000))?.kind, 'taken');
  });
});

describe('a configuration of 1,480 routes over links of 15 MB a second', () => {
  const acknowledgeMicroseconds = 6_000_000;
  const large = (version: number): string => {
    const document = JSON.parse(platformDocument(version)) as { routes: Record<string, unknown>[] };
    const [route] = document.routes;
    const more = Array.from({ length: 1480 }, (_, index) => ({
      ...route,
      name: `r-${index}-${(index * 2_654_435_761) % 4_294_967_296}`,
      hostname: `h${index % 40}.example`,
      pathPrefix: `/p${index}/`,
    }));
    return JSON.stringify({ ...document, routes: [...document.routes, ...more] });
  };

  for (const seed of [1, 2])
    test(`is put, changed by one route and read at each node within the time limits, seed ${seed}`, async () => {
      const fleet = new ControlFleet(seed, platformConfigurationFormat, fiveMembers);
      assert.ok(await fleet.startAll(5));
      fleet.network.linkBytesPerSecond = 15_000_000;
      const timed = async (order: ChangeRequest, machine: ControlMachine): Promise<void> => {
        const began = fleet.world.nowMicroseconds;
        assert.equal((await fleet.change(machine, order, acknowledgeMicroseconds))?.kind, 'taken');
        assert.ok(fleet.world.nowMicroseconds - began < acknowledgeMicroseconds / 2);
      };
      await timed(orderOf(large(3), 0), fleet.machine(2));
      const patch = { version: 5, upsert: { routes: [(JSON.parse(large(5)) as { routes: object[] }).routes[9]] } };
      await timed(orderOf(JSON.stringify(patch), 3, 'pieces'), fleet.machine(4));
      for (const machine of fleet.machines) {
        const read = await fleet.read(machine, 1_000_000);
        assert.equal(read?.kind === 'read' ? versionIn(read.text) : read?.kind, 5, machine.name);
      }
    });
});
