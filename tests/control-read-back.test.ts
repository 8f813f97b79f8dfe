/**
 * Guards against a lost or unreadable configuration after all nodes lose power and two lose their disks right after a confirmed change.
 * An operator then reads from randomly chosen control nodes for four seconds, with a limit of 0.85 s for each read.
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { platformConfigurationFormat } from '../platform/operators/configurationFormat';
import { ControlFleet, type ControlMachine } from './support/controlFleet';
import { largePut, linkBytesPerSecond } from './support/leaderDuel';

const firstSeed = Number(process.env['POSTDRUM_READ_BACK_FIRST'] ?? 7001);
const seeds = Number(process.env['POSTDRUM_READ_BACK_SEEDS'] ?? 12);

const readLimitMicroseconds = 850_000;
const readBackMicroseconds = 4_000_000;
/** Time between the restart of the machines and the operator's first read. */
const recoveryMicroseconds = 6_000_000;

const randomItem = <Item>(fleet: ControlFleet, items: readonly Item[]): Item => {
  const item = items[Math.floor(fleet.world.random.fraction() * items.length)];
  assert.ok(item !== undefined);
  return item;
};

const cutOff = (fleet: ControlFleet, machine: ControlMachine): readonly (() => void)[] =>
  fleet.machines
    .filter((other) => other !== machine)
    .flatMap(({ machine: other }) => [
      fleet.network.cutLink(other, machine.machine),
      fleet.network.cutLink(machine.machine, other),
    ]);

type Confirmed = { version: number };

/** Sends two changes on one base through two nodes and repeats them until one of them is confirmed. */
const race = async (fleet: ControlFleet, confirmed: Confirmed): Promise<void> => {
  const base = confirmed.version;
  const [first, second] = [largePut(base + 1, base), largePut(base + 2, base)];
  fleet.sendWithoutResponse(randomItem(fleet, fleet.machines), second);
  const outcome = await fleet.changeWithRetries(first, 12_000_000);
  if (outcome?.kind === 'taken') confirmed.version = base + 1;
  else if ((await fleet.changeWithRetries(second, 12_000_000))?.kind === 'taken') confirmed.version = base + 2;
  else assert.fail(`neither of two concurrent changes was confirmed: ${JSON.stringify(outcome)}`);
};

const faults: readonly ((fleet: ControlFleet, confirmed: Confirmed) => Promise<void>)[] = [
  async (fleet, confirmed) => {
    const machine = randomItem(fleet, fleet.machines);
    machine.kill(fleet.world.random.fraction() < 0.5);
    await race(fleet, confirmed);
    machine.start();
  },
  async (fleet, confirmed) => {
    const heals = cutOff(fleet, randomItem(fleet, fleet.machines));
    await race(fleet, confirmed);
    await fleet.world.runFor(1_000_000 + Math.floor(fleet.world.random.fraction() * 3_000_000));
    for (const heal of heals) heal();
  },
  async (fleet, confirmed) => {
    for (const machine of fleet.machines) machine.kill();
    await fleet.world.runFor(500_000);
    for (const machine of fleet.machines) machine.start();
    await race(fleet, confirmed);
  },
];

/** All machines lose power and two of them their disks, shortly after a change was confirmed and while another one is in progress. */
const loseDisksAndPower = async (fleet: ControlFleet): Promise<void> => {
  const order = [...fleet.machines].sort(() => fleet.world.random.fraction() - 0.5);
  await fleet.world.runFor(Math.floor(fleet.world.random.fraction() * 60_000));
  for (const machine of order) machine.kill(true);
  for (const machine of order.slice(0, 2)) machine.disk.wipe();
  await fleet.world.runFor(500_000 + Math.floor(fleet.world.random.fraction() * 800_000));
  for (const machine of order) {
    machine.start();
    await fleet.world.runFor(Math.floor(fleet.world.random.fraction() * 200_000));
  }
};

/** Counts the answered reads and returns the lowest version read. */
const readBack = async (fleet: ControlFleet): Promise<Readonly<{ answered: number; asked: number; least: number }>> => {
  const until = fleet.world.nowMicroseconds + readBackMicroseconds;
  let [answered, asked, least] = [0, 0, Infinity];
  while (fleet.world.nowMicroseconds < until) {
    const outcome = await fleet.read(randomItem(fleet, fleet.machines), readLimitMicroseconds);
    asked += 1;
    if (outcome?.kind === 'read') {
      answered += 1;
      least = Math.min(
        least,
        (JSON.parse(outcome.text.slice(outcome.text.indexOf('\n') + 1)) as { version: number }).version,
      );
    }
    await fleet.world.runFor(250_000);
  }
  return { answered, asked, least };
};

describe('the configuration can be read after a loss of power on all nodes and of two disks', () => {
  for (let seed = firstSeed; seed < firstSeed + seeds; seed += 1)
    test(`seed ${seed}`, async () => {
      const fleet = new ControlFleet(seed, platformConfigurationFormat, { membersWanted: 5 });
      assert.ok(await fleet.startAll(5));
      fleet.network.linkBytesPerSecond = linkBytesPerSecond;
      const confirmed: Confirmed = { version: 0 };
      await race(fleet, confirmed);
      for (let count = 0; count < 2; count += 1) {
        await randomItem(fleet, faults)(fleet, confirmed);
        await fleet.world.runFor(Math.floor(fleet.world.random.fraction() * 3_000_000));
      }
      await race(fleet, confirmed);
      fleet.sendWithoutResponse(randomItem(fleet, fleet.machines), largePut(confirmed.version + 3, confirmed.version));
      await loseDisksAndPower(fleet);
      await fleet.world.runFor(recoveryMicroseconds);
      const { answered, asked, least } = await readBack(fleet);
      assert.ok(answered >= asked - 1, `${answered} of ${asked} reads were answered`);
      assert.ok(least >= confirmed.version, `version ${least} was read, ${confirmed.version} was confirmed`);
    });
});
