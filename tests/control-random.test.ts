/** Guards against lost, undone or conflicting changes while random faults hit the control nodes, their disks and their links. */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { platformConfigurationFormat } from '../platform/operators/configurationFormat';
import { Envelopes } from '../platform/operators/envelope';
import type { ChangeRequest, ChangeOutcome } from '../source/core-keeper/register/messages';
import { Randoms } from '../source/shared/effects/random/random';
import { ControlFleet, type ControlMachine } from './support/controlFleet';
import { platformDocument } from './support/platformDocument';

const rounds = Number(process.env['POSTDRUM_CONTROL_RUNS'] ?? 12);

type SentChange = {
  readonly version: number;
  readonly ifMatch: number;
  readonly operator: number;
  outcome: ChangeOutcome | undefined;
};

/** Two operators. Each bases its change on the version that it read last, and repeats one call until its outcome is known. */
class Operators {
  public readonly sent: SentChange[] = [];
  private nextVersion = 10;
  private stopped = false;

  public constructor(private readonly fleet: ControlFleet) {}

  public start(): void {
    for (const operator of [1, 2]) void this.operateUntilStopped(operator);
  }

  public stop(): void {
    this.stopped = true;
  }

  public readonly taken = (): readonly SentChange[] => this.sent.filter(({ outcome }) => outcome?.kind === 'taken');

  private pause(microseconds: number): Promise<void> {
    return new Promise((resolve) => {
      this.fleet.world.schedule(microseconds, resolve);
    });
  }

  private async operateUntilStopped(operator: number): Promise<void> {
    while (!this.stopped) {
      const version = await this.currentVersion();
      if (version !== undefined) await this.send(operator, version);
      await this.pause(100_000 + Randoms.below(this.fleet.world.random, 500_000));
    }
  }

  private pickRunningMachine(): ControlMachine | undefined {
    return Randoms.pickOne(
      this.fleet.world.random,
      this.fleet.machines.filter(({ process }) => process.alive),
    );
  }

  /** One call to a random running machine. As in the platform's clients, it fails after a second without an answer. */
  private call<Result>(work: (machine: ControlMachine) => Promise<Result> | undefined): Promise<Result | undefined> {
    const machine = this.pickRunningMachine();
    return new Promise((resolve) => {
      this.fleet.world.schedule(1_000_000, () => resolve(undefined));
      machine?.process.execute(() => {
        const process = machine.process;
        void work(machine)?.then((result) => {
          if (process.alive) resolve(result);
        });
      });
    });
  }

  private async currentVersion(): Promise<number | undefined> {
    const read = await this.call((machine) => machine.controlNode?.read('blueprint'));
    if (read?.kind !== 'read') return undefined;
    const { document } = Envelopes.open(read.text);
    return document === '' ? 0 : (JSON.parse(document) as { version: number }).version;
  }

  private async send(operator: number, ifMatch: number): Promise<void> {
    this.nextVersion += 1 + Randoms.below(this.fleet.world.random, 3);
    const sent: SentChange = { version: this.nextVersion, ifMatch, operator, outcome: undefined };
    this.sent.push(sent);
    const text = platformDocument(sent.version, { by: operator });
    const change: ChangeRequest = { key: 'blueprint', form: 'whole', text, ifMatch, id: `${ifMatch} ${text}` };
    while (!this.stopped && sent.outcome === undefined) {
      const outcome = await this.call((machine) => machine.controlNode?.change(change));
      const isKnown =
        outcome?.kind === 'taken' ||
        (outcome?.kind === 'refused' && outcome.reason !== 'noMajority' && outcome.reason !== 'full');
      if (isKnown) sent.outcome = outcome;
      else await this.pause(100_000);
    }
  }
}

/** Faults in sequence, on up to `toleratedFailures` machines at a time, so that no more disks are lost than is tolerated. */
const injectFaults = async (fleet: ControlFleet, toleratedFailures: number, microseconds: number): Promise<void> => {
  const { world, network } = fleet;
  const until = world.nowMicroseconds + microseconds;
  while (world.nowMicroseconds < until) {
    const affected = Randoms.shuffled(world.random, fleet.machines).slice(
      0,
      1 + Randoms.below(world.random, toleratedFailures),
    );
    const repairs: (() => void)[] = [];
    for (const machine of affected) {
      const kind = Randoms.below(world.random, 8);
      if (kind === 0) {
        machine.kill(false);
        repairs.push(() => machine.start());
      } else if (kind === 1) {
        machine.kill(true);
        repairs.push(() => machine.start());
      } else if (kind === 2) {
        machine.kill(true);
        machine.disk.wipe();
        repairs.push(() => machine.start());
      } else if (kind === 3) {
        machine.process.freeze();
        repairs.push(() => machine.process.unfreeze());
      } else if (kind === 4) {
        machine.disk.faults.stalled = true;
        repairs.push(() => machine.disk.endStall());
      } else if (kind === 5) {
        machine.disk.faults.full = true;
        repairs.push(() => void (machine.disk.faults.full = false));
      } else if (kind === 6) {
        for (const other of fleet.machines)
          if (other !== machine)
            repairs.push(
              network.cutLink(machine.machine, other.machine),
              network.cutLink(other.machine, machine.machine),
            );
      } else
        for (const other of fleet.machines)
          if (other !== machine) repairs.push(network.cutLink(other.machine, machine.machine));
    }
    await world.runFor(200_000 + Randoms.below(world.random, 4_000_000));
    for (const repair of repairs) repair();
    // A pause between faults, because a machine counts as failed until it has caught up.
    await world.runFor(3_000_000 + Randoms.below(world.random, 2_000_000));
  }
};

/** Kills all machines and restarts them; depending on the seed with a power loss, and with wiped disks. */
const restartAll = async (fleet: ControlFleet, toleratedFailures: number): Promise<void> => {
  const kind = Randoms.below(fleet.world.random, 3);
  const wiped = Randoms.shuffled(fleet.world.random, fleet.machines).slice(0, toleratedFailures);
  for (const machine of fleet.machines) machine.kill(kind !== 0);
  if (kind === 2) for (const machine of wiped) machine.disk.wipe();
  await fleet.world.runFor(200_000 + Randoms.below(fleet.world.random, 1_000_000));
  for (const machine of fleet.machines) machine.start();
};

const checkHistory = (operators: Operators, text: string): void => {
  const taken = operators.taken();
  const basesOfTaken = taken.map(({ ifMatch }) => ifMatch);
  assert.equal(new Set(basesOfTaken).size, basesOfTaken.length, 'two changes based on one version were both accepted');
  const { document } = Envelopes.open(text);
  const current = JSON.parse(document) as { version: number; by: number };
  const newest = Math.max(0, ...taken.map(({ version }) => version));
  assert.ok(current.version >= newest, `version ${current.version} is current although ${newest} was accepted`);
  assert.equal(
    document,
    platformDocument(current.version, { by: current.by }),
    'the document differs from the one that was sent with its version',
  );
  const refused = new Set(
    operators.sent.filter(({ outcome }) => outcome?.kind === 'refused').map(({ version }) => version),
  );
  const observed = [current.version, ...operators.sent.map(({ ifMatch }) => ifMatch)];
  assert.deepEqual(
    observed.filter((version) => refused.has(version)),
    [],
    'a refused change was in effect',
  );
};

for (const [count, toleratedFailures, standbys] of [
  [3, 1, 0],
  [5, 2, 0],
  [3, 1, 1],
] as const)
  describe(`${count} control nodes and ${standbys} standbys with up to ${toleratedFailures} failed at once`, () => {
    for (let seed = 1; seed <= rounds; seed += 1)
      test(`seed ${seed}`, async () => {
        const fleet = new ControlFleet(seed * 7919 + count, platformConfigurationFormat, { membersWanted: count });
        assert.ok(await fleet.startAll(count));
        for (let number = 0; number < standbys; number += 1) fleet.add().start();
        await fleet.world.runFor(1_000_000);
        const operators = new Operators(fleet);
        operators.start();
        await injectFaults(fleet, toleratedFailures, 25_000_000);
        const before = operators.taken().length;
        assert.ok(before >= 3, `only ${before} changes were accepted`);
        // Without faults, a change gets its outcome within the limit.
        await fleet.world.runFor(4_000_000);
        const startMicroseconds = fleet.world.nowMicroseconds;
        const takenBefore = operators.taken().length;
        assert.ok(
          await fleet.world.runUntil(() => operators.taken().length > takenBefore, 4_000_000),
          'no change was accepted without faults',
        );
        assert.ok(fleet.world.nowMicroseconds - startMicroseconds < 4_000_000);
        await restartAll(fleet, toleratedFailures);
        operators.stop();
        const restartMicroseconds = fleet.world.nowMicroseconds;
        let text = '';
        while (text === '' && fleet.world.nowMicroseconds - restartMicroseconds < 8_000_000) {
          const read = await fleet.read(fleet.machine(1 + Randoms.below(fleet.world.random, count)), 1_000_000);
          if (read?.kind === 'read') text = read.text;
          else await fleet.world.runFor(100_000);
        }
        assert.notEqual(text, '', 'no node answered a read after the restart');
        checkHistory(operators, text);
        assert.ok(fleet.machines.every(({ exits }) => exits === 0));
      });
  });
