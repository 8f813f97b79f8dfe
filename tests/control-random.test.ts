import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { platformDialect } from '../platform/operators/dialect';
import { Envelopes } from '../platform/operators/envelope';
import type { ChangeOrder, ChangeOutcome } from '../source/core-keeper/register/messages';
import { Randoms } from '../source/shared/effects/random/random';
import { ControlFleet, type ControlMachine } from './support/controlFleet';
import { platformDocument } from './support/platformDocument';

const rounds = Number(process.env['POSTDRUM_CONTROL_RUNS'] ?? 12);

type Sent = {
  readonly version: number;
  readonly ifMatch: number;
  readonly operator: number;
  outcome: ChangeOutcome | undefined;
};

/** Two operators that build on what they last read, each repeating one call until it is clear. */
class Operators {
  public readonly sent: Sent[] = [];
  private nextVersion = 10;
  private stopped = false;

  public constructor(private readonly fleet: ControlFleet) {}

  public start(): void {
    for (const operator of [1, 2]) void this.work(operator);
  }

  public stop(): void {
    this.stopped = true;
  }

  public readonly taken = (): readonly Sent[] => this.sent.filter(({ outcome }) => outcome?.kind === 'taken');

  private pause(microseconds: number): Promise<void> {
    return new Promise((resolve) => {
      this.fleet.world.plan(microseconds, resolve);
    });
  }

  private async work(operator: number): Promise<void> {
    while (!this.stopped) {
      const version = await this.current();
      if (version !== undefined) await this.send(operator, version);
      await this.pause(100_000 + Randoms.below(this.fleet.world.random, 500_000));
    }
  }

  private alive(): ControlMachine | undefined {
    return Randoms.pick(
      this.fleet.world.random,
      this.fleet.machines.filter(({ process }) => process.alive),
    );
  }

  /** As the platform's callers do: a second of silence, then another machine. */
  private call<Result>(work: (machine: ControlMachine) => Promise<Result> | undefined): Promise<Result | undefined> {
    const machine = this.alive();
    return new Promise((resolve) => {
      this.fleet.world.plan(1_000_000, () => resolve(undefined));
      machine?.process.enter(() => {
        const process = machine.process;
        void work(machine)?.then((result) => {
          if (process.alive) resolve(result);
        });
      });
    });
  }

  private async current(): Promise<number | undefined> {
    const read = await this.call((machine) => machine.keeper?.read('blueprint'));
    if (read?.kind !== 'read') return undefined;
    const { document } = Envelopes.open(read.text);
    return document === '' ? 0 : (JSON.parse(document) as { version: number }).version;
  }

  private async send(operator: number, ifMatch: number): Promise<void> {
    this.nextVersion += 1 + Randoms.below(this.fleet.world.random, 3);
    const sent: Sent = { version: this.nextVersion, ifMatch, operator, outcome: undefined };
    this.sent.push(sent);
    const text = platformDocument(sent.version, { by: operator });
    const order: ChangeOrder = { key: 'blueprint', form: 'whole', text, ifMatch, id: `${ifMatch} ${text}` };
    while (!this.stopped && sent.outcome === undefined) {
      const outcome = await this.call((machine) => machine.keeper?.change(order));
      const isClear =
        outcome?.kind === 'taken' ||
        (outcome?.kind === 'refused' && outcome.reason !== 'noMajority' && outcome.reason !== 'full');
      if (isClear) sent.outcome = outcome;
      else await this.pause(100_000);
    }
  }
}

/** One trouble after the other, now and then two at once, never more lost disks than are borne. */
const troubles = async (fleet: ControlFleet, borne: number, microseconds: number): Promise<void> => {
  const { world, network } = fleet;
  const until = world.nowMicroseconds + microseconds;
  while (world.nowMicroseconds < until) {
    const struck = Randoms.shuffled(world.random, fleet.machines).slice(0, 1 + Randoms.below(world.random, borne));
    const mend: (() => void)[] = [];
    for (const machine of struck) {
      const kind = Randoms.below(world.random, 8);
      if (kind === 0) {
        machine.kill(false);
        mend.push(() => machine.start());
      } else if (kind === 1) {
        machine.kill(true);
        mend.push(() => machine.start());
      } else if (kind === 2) {
        machine.kill(true);
        machine.disk.wipe();
        mend.push(() => machine.start());
      } else if (kind === 3) {
        machine.process.freeze();
        mend.push(() => machine.process.thaw());
      } else if (kind === 4) {
        machine.disk.faults.stalled = true;
        mend.push(() => machine.disk.release());
      } else if (kind === 5) {
        machine.disk.faults.full = true;
        mend.push(() => void (machine.disk.faults.full = false));
      } else if (kind === 6) {
        for (const other of fleet.machines)
          if (other !== machine)
            mend.push(network.cut(machine.machine, other.machine), network.cut(other.machine, machine.machine));
      } else
        for (const other of fleet.machines)
          if (other !== machine) mend.push(network.cut(other.machine, machine.machine));
    }
    await world.runFor(200_000 + Randoms.below(world.random, 4_000_000));
    for (const act of mend) act();
    // Why a pause: a machine counts as lost until it has caught up.
    await world.runFor(3_000_000 + Randoms.below(world.random, 2_000_000));
  }
};

const closing = async (fleet: ControlFleet, borne: number): Promise<void> => {
  const kind = Randoms.below(fleet.world.random, 3);
  const lost = Randoms.shuffled(fleet.world.random, fleet.machines).slice(0, borne);
  for (const machine of fleet.machines) machine.kill(kind !== 0);
  if (kind === 2) for (const machine of lost) machine.disk.wipe();
  await fleet.world.runFor(200_000 + Randoms.below(fleet.world.random, 1_000_000));
  for (const machine of fleet.machines) machine.start();
};

const judge = (operators: Operators, text: string): void => {
  const taken = operators.taken();
  const built = taken.map(({ ifMatch }) => ifMatch);
  assert.equal(new Set(built).size, built.length, 'two changes on one version were both taken');
  const { document } = Envelopes.open(text);
  const stands = JSON.parse(document) as { version: number; by: number };
  const newest = Math.max(0, ...taken.map(({ version }) => version));
  assert.ok(stands.version >= newest, `version ${stands.version} stands, ${newest} was taken`);
  assert.equal(document, platformDocument(stands.version, { by: stands.by }), 'not what was sent under its number');
  const refused = new Set(
    operators.sent.filter(({ outcome }) => outcome?.kind === 'refused').map(({ version }) => version),
  );
  const seen = [stands.version, ...operators.sent.map(({ ifMatch }) => ifMatch)];
  assert.deepEqual(
    seen.filter((version) => refused.has(version)),
    [],
    'what was refused was in force',
  );
};

for (const [count, borne, spares] of [
  [3, 1, 0],
  [5, 2, 0],
  [3, 1, 1],
] as const)
  describe(`${count} core machines, ${spares} that stand by, ${borne} lost at once`, () => {
    for (let seed = 1; seed <= rounds; seed += 1)
      test(`seed ${seed}`, async () => {
        const fleet = new ControlFleet(seed * 7919 + count, platformDialect, { membersWanted: count });
        assert.ok(await fleet.begin(count));
        for (let number = 0; number < spares; number += 1) fleet.add().start();
        await fleet.world.runFor(1_000_000);
        const operators = new Operators(fleet);
        operators.start();
        await troubles(fleet, borne, 25_000_000);
        const before = operators.taken().length;
        assert.ok(before >= 3, `only ${before} changes were taken`);
        // In calm times every order is clear within the limit.
        await fleet.world.runFor(4_000_000);
        const began = fleet.world.nowMicroseconds;
        const calm = operators.taken().length;
        assert.ok(
          await fleet.world.runUntil(() => operators.taken().length > calm, 4_000_000),
          'no change in calm times',
        );
        assert.ok(fleet.world.nowMicroseconds - began < 4_000_000);
        await closing(fleet, borne);
        operators.stop();
        const back = fleet.world.nowMicroseconds;
        let text = '';
        while (text === '' && fleet.world.nowMicroseconds - back < 8_000_000) {
          const read = await fleet.read(fleet.machine(1 + Randoms.below(fleet.world.random, count)), 1_000_000);
          if (read?.kind === 'read') text = read.text;
          else await fleet.world.runFor(100_000);
        }
        assert.notEqual(text, '', 'nothing could be read back');
        judge(operators, text);
        assert.ok(fleet.machines.every(({ exits }) => exits === 0));
      });
  });
