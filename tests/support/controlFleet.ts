import { ControlNodeDefaults, type ControlNodeSettings } from '../../source/core-keeper/controlNodeSettings';
import { ControlNode } from '../../source/core-keeper/controlNode';
import type { ChangeRequest, ChangeOutcome } from '../../source/core-keeper/register/messages';
import type { ReadOutcome } from '../../source/core-keeper/register/quorumReader';
import { SimDisk } from '../../source/fleet-simulator/world/simDisk';
import { SimNetwork } from '../../source/fleet-simulator/world/simNetwork';
import { SimProcess } from '../../source/fleet-simulator/world/simProcess';
import { World } from '../../source/fleet-simulator/world/world';
import type { ConfigurationFormat } from '../../source/shared/configuration/configurationFormat';
import type { ControlNodeMember } from '../../source/shared/configuration/types';

/** A machine that runs a control node. Its disk and address persist across restarts of the process. */
export class ControlMachine {
  public readonly disk: SimDisk;
  public readonly member: ControlNodeMember;
  public readonly machine: string;
  public process: SimProcess;
  public controlNode: ControlNode | undefined;
  public exits = 0;

  public constructor(
    private readonly fleet: ControlFleet,
    public readonly number: number,
  ) {
    this.machine = `10.1.0.${number}`;
    this.member = { address: `${this.machine}:1`, operatorsAddress: `${this.machine}:2`, zone: '' };
    this.disk = new SimDisk(fleet.world);
    this.process = new SimProcess(fleet.world, this.name, this.machine);
    this.process.alive = false;
  }

  public get name(): string {
    return `core-${this.number}`;
  }

  public get votes(): boolean {
    return this.process.alive && this.controlNode?.core.votes() === true;
  }

  public start(isFirstStart = false): void {
    const process = new SimProcess(this.fleet.world, this.name, this.machine);
    this.process = process;
    const { world, network, dialect, settings } = this.fleet;
    const keeper = new ControlNode(
      { clock: process.clock, random: world.random, transport: network.transportOf(process) },
      this.disk.diskFor(process),
      { ...settings, name: this.name, member: this.member, seeds: this.fleet.seeds, isFirstStart },
      dialect,
    );
    this.controlNode = keeper;
    keeper.events.on('broken', () => {
      this.exits += 1;
      process.kill();
    });
    void keeper.start();
  }

  public kill(power = false): void {
    this.process.kill();
    if (power) this.disk.losePower();
  }
}

const platformSettings: Omit<ControlNodeSettings, 'name' | 'member' | 'seeds'> = {
  ...ControlNodeDefaults,
  replaces: '',
  joins: 'asks',
  isFirstStart: false,
  askMicroseconds: 600_000,
  heartbeatMicroseconds: 150_000,
  ownerSilentMicroseconds: 700_000,
  passMicroseconds: 1_200_000,
  changeMicroseconds: 3_000_000,
  isOnlyFleet: true,
};

/** A cluster of control nodes without agents and proxies, in virtual time, with the platform's settings. */
export class ControlFleet {
  public readonly world: World;
  public readonly network: SimNetwork;
  public readonly machines: ControlMachine[] = [];
  public readonly settings: Omit<ControlNodeSettings, 'name' | 'member' | 'seeds'>;
  public seedNumbers: readonly number[] = [1, 2, 3];

  public constructor(
    seed: number,
    public readonly dialect: ConfigurationFormat,
    settings: Partial<ControlNodeSettings> = {},
  ) {
    this.world = new World(seed);
    this.network = new SimNetwork(this.world);
    this.settings = { ...platformSettings, ...settings };
  }

  public get seeds(): readonly string[] {
    return this.seedNumbers.map((number) => `10.1.0.${number}:1`);
  }

  public add(): ControlMachine {
    const machine = new ControlMachine(this, this.machines.length + 1);
    this.machines.push(machine);
    return machine;
  }

  public machine(number: number): ControlMachine {
    const found = this.machines[number - 1];
    if (found === undefined) throw new Error(`no machine ${number}`);
    return found;
  }

  /** Starts this many machines for the first time; true once all of them vote and know all others. */
  public async startAll(count: number): Promise<boolean> {
    for (let number = 1; number <= count; number += 1) this.add().start(true);
    return this.waitUntilSettled(count, 10_000_000);
  }

  /** Waits until this many machines vote and agree on a settled member list. */
  public waitUntilSettled(count: number, limitMicroseconds: number): Promise<boolean> {
    return this.world.runUntil(() => {
      const voting = this.machines.filter(({ votes }) => votes);
      return (
        voting.length >= count &&
        voting.every(({ controlNode: keeper }) => {
          const view = keeper?.core.members();
          return view !== undefined && view.sets.length === 1 && Object.keys(view.members).length === count;
        })
      );
    }, limitMicroseconds);
  }

  /** Sends a change to one machine; undefined: no outcome within the limit. */
  public async change(
    machine: ControlMachine,
    order: ChangeRequest,
    limitMicroseconds = 6_000_000,
  ): Promise<ChangeOutcome | undefined> {
    let outcome: ChangeOutcome | undefined;
    const process = machine.process;
    process.execute(
      () =>
        void machine.controlNode?.change(order).then((given) => {
          if (process.alive) outcome = given;
        }),
    );
    await this.world.runUntil(() => outcome !== undefined || !process.alive, limitMicroseconds);
    return outcome;
  }

  public async read(machine: ControlMachine, limitMicroseconds = 6_000_000): Promise<ReadOutcome | undefined> {
    let outcome: ReadOutcome | undefined;
    const process = machine.process;
    process.execute(
      () =>
        void machine.controlNode?.read('blueprint').then((given) => {
          if (process.alive) outcome = given;
        }),
    );
    await this.world.runUntil(() => outcome !== undefined || !process.alive, limitMicroseconds);
    return outcome;
  }

  /** Sends a change and drops the response. */
  public sendWithoutResponse(machine: ControlMachine, order: ChangeRequest): void {
    machine.process.execute(() => void machine.controlNode?.change(order));
  }

  /** A planned stop. The process ends after its handover, or at the limit. */
  public async leave(machine: ControlMachine, limitMicroseconds: number): Promise<void> {
    let isOver = false;
    machine.process.execute(() => void machine.controlNode?.leave().then(() => (isOver = true)));
    await this.world.runUntil(() => isOver, limitMicroseconds);
    machine.kill();
  }

  /** Repeats the same call on one running machine after the other until its outcome is known, as operators do. */
  public changeWithRetries(order: ChangeRequest, limitMicroseconds: number): Promise<ChangeOutcome | undefined> {
    return this.changeWithRetriesAt(this.machines, order, limitMicroseconds);
  }

  /** Like `changeWithRetries`, but only on the given machines. */
  public async changeWithRetriesAt(
    machines: readonly ControlMachine[],
    order: ChangeRequest,
    limitMicroseconds: number,
  ): Promise<ChangeOutcome | undefined> {
    const until = this.world.nowMicroseconds + limitMicroseconds;
    for (let attempt = 0; this.world.nowMicroseconds < until; attempt += 1) {
      const alive = machines.filter(({ process }) => process.alive);
      const machine = alive[attempt % Math.max(1, alive.length)];
      const outcome = machine === undefined ? undefined : await this.change(machine, order, 1_000_000);
      if (outcome?.kind === 'taken') return outcome;
      if (outcome?.kind === 'refused' && outcome.reason !== 'noMajority' && outcome.reason !== 'full') return outcome;
      await this.world.runFor(100_000);
    }
    return undefined;
  }
}
