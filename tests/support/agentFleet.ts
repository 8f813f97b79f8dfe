import assert from 'node:assert/strict';
import { platformConfigurationFormat } from '../../platform/operators/configurationFormat';
import type { ChangeRequest } from '../../source/core-keeper/register/messages';
import { AgentDefaults, EdgeAgent } from '../../source/edge-agent/edgeAgent';
import { SimBackEnds } from '../../source/fleet-simulator/machines/simBackEnds';
import { SimProcess } from '../../source/fleet-simulator/world/simProcess';
import { ControlFleet, type ControlMachine } from './controlFleet';
import { platformDocument } from './platformDocument';
import { nameOf } from './largeConfiguration';

const controlNodeCount = 5;
const zones = ['zone-1', 'zone-2', 'zone-3'] as const;
const startMicroseconds = 15_000_000;
const settleMicroseconds = 3_000_000;
const stepMicroseconds = 10_000;

/** The platform's settings where they differ from an agent's defaults. */
const agentSettings = {
  ...AgentDefaults,
  engineList: 'listed',
  sharedReadMicroseconds: 350_000,
  isOnlyFleet: true,
  farEvery: 3,
  heartbeatMicroseconds: 700_000,
  settleMicroseconds: 600_000,
} as const;

/** An operator's document with this many additional routes. */
export const documentOf = (version: number, routes: number): string => {
  const base = JSON.parse(platformDocument(version)) as { routes: readonly Record<string, unknown>[] };
  const added = Array.from({ length: routes }, (_, index) => ({
    ...base.routes[0],
    name: `r-${nameOf(2 * index, 7)}`,
    pathPrefix: `/${nameOf(2 * index + 1, 8)}/`,
  }));
  return JSON.stringify({ ...base, routes: [...base.routes, ...added] });
};

export type AgentMachine = Readonly<{ machine: string; process: SimProcess; agent: EdgeAgent }>;

/** A configuration change and its result as the operator sees it. */
export type SentChange = {
  readonly version: number;
  readonly sentMicroseconds: number;
  outcome: 'open' | 'taken' | 'refused';
  revision: number;
  answeredMicroseconds: number;
  /** The number of requests sent until the answer. */
  calls: number;
};

/** After this time the operator is answered that the result is not known yet, and tries another node. */
const callTimeoutMicroseconds = 1_000_000;
const firstPauseMicroseconds = 100_000;

/** Five control nodes and the agents that read from them, with the platform's settings, on virtual time. */
export class AgentFleet {
  public readonly control: ControlFleet;
  public readonly agents: AgentMachine[] = [];
  /** By revision: the time when all agents had applied it or a later one. */
  private readonly appliedAt: number[] = [];
  private lastVersion = 1;

  public constructor(
    seed: number,
    private readonly routes: number,
    agents = 15,
  ) {
    this.control = new ControlFleet(seed, platformConfigurationFormat, {
      membersWanted: controlNodeCount,
      changeMicroseconds: 3_750_000,
    });
    this.control.seedNumbers = [1, 2, 3, 4, 5];
    for (let number = 1; number <= agents; number += 1) this.agents.push(this.makeAgent(number));
  }

  /** Starts all nodes and waits until every agent applies the first configuration. */
  public async begin(): Promise<void> {
    assert.ok(await this.control.startAll(controlNodeCount));
    for (const { agent } of this.agents) void agent.start();
    const first = this.send(this.control.machine(1), 1, 0);
    assert.ok(
      await this.control.world.runUntil(() => first.outcome === 'taken' && this.lastRevision() >= 1, startMicroseconds),
    );
    await this.control.world.runFor(settleMicroseconds);
  }

  public get now(): number {
    return this.control.world.nowMicroseconds;
  }

  public leader(): ControlMachine {
    const found = this.control.machines.find(
      ({ controlNode: keeper, name, process }) => process.alive && keeper?.keyLeaders()['blueprint']?.owner === name,
    );
    assert.ok(found !== undefined, 'there is a leader');
    return found;
  }

  public others(machine: ControlMachine): readonly ControlMachine[] {
    return this.control.machines.filter((other) => other !== machine);
  }

  /** The lowest revision that any agent applies. */
  public lastRevision(): number {
    return Math.min(...this.agents.map(({ agent }) => agent.freshness.revision('blueprint')));
  }

  /** The highest age of the applied configuration over all agents. */
  public worstAge(): number {
    return Math.max(...this.agents.map(({ agent }) => agent.freshness.ageOf('blueprint')));
  }

  /** Advances the time and records when all agents have applied each revision or a later one. */
  public async runFor(microseconds: number): Promise<void> {
    const until = this.now + microseconds;
    while (this.now < until) {
      await this.control.world.runFor(Math.min(stepMicroseconds, until - this.now));
      const last = this.lastRevision();
      while (this.appliedAt.length <= last) this.appliedAt.push(this.now);
    }
  }

  /** The time from the confirmation of a change until the last agent applied it or a later one; Infinity if some have not. */
  public lag(change: SentChange): number {
    return (this.appliedAt[change.revision] ?? Infinity) - change.answeredMicroseconds;
  }

  /** Sends changes one after the other, to the nodes in turn, each as soon as the previous one is confirmed. */
  public async changesFor(microseconds: number, from: readonly ControlMachine[]): Promise<readonly SentChange[]> {
    const until = this.now + microseconds;
    const changes: SentChange[] = [];
    for (let turn = 0; this.now < until; turn += 1) {
      const machine = from[turn % from.length];
      assert.ok(machine !== undefined);
      this.lastVersion += 1;
      const change = this.send(machine, this.lastVersion, this.lastVersion - 1);
      while (change.outcome === 'open') await this.runFor(stepMicroseconds);
      assert.equal(change.outcome, 'taken');
      changes.push(change);
    }
    return changes;
  }

  /** Sends a change as an operator does: retries with the next node, after a growing pause, until there is an answer. */
  public send(first: ControlMachine, version: number, base: number): SentChange {
    const order: ChangeRequest = {
      key: 'blueprint',
      form: 'whole',
      text: documentOf(version, this.routes),
      ifMatch: base,
      id: `${base} ${version}`,
    };
    const sent: SentChange = {
      version,
      sentMicroseconds: this.now,
      outcome: 'open',
      revision: 0,
      answeredMicroseconds: Infinity,
      calls: 0,
    };
    const machines = [first, ...this.others(first)];
    const call = (turn: number): void => {
      const machine = machines[turn % machines.length];
      if (machine === undefined || sent.outcome !== 'open') return;
      sent.calls += 1;
      let isFinished = false;
      const tryNext = (): void => {
        if (isFinished) return;
        isFinished = true;
        if (sent.outcome === 'open')
          this.control.world.schedule(firstPauseMicroseconds * (turn + 1), () => call(turn + 1));
      };
      const { process, controlNode: keeper } = machine;
      if (!process.alive || keeper === undefined) return tryNext();
      process.onDeath(tryNext);
      this.control.world.schedule(callTimeoutMicroseconds, tryNext);
      process.execute(
        () =>
          void keeper.change(order).then((outcome) => {
            if (!process.alive || isFinished || sent.outcome !== 'open') return;
            const isRefused = outcome.kind === 'refused' && outcome.reason === 'revision';
            if (outcome.kind !== 'taken' && !isRefused) return tryNext();
            sent.outcome = outcome.kind;
            sent.revision = outcome.kind === 'taken' ? outcome.revision : 0;
            sent.answeredMicroseconds = this.now;
          }),
      );
    };
    call(0);
    return sent;
  }

  private makeAgent(number: number): AgentMachine {
    const { world, network, seeds } = this.control;
    const machine = `10.2.0.${number}`;
    const name = `edge-${number}`;
    const process = new SimProcess(world, name, machine);
    const effects = { clock: process.clock, random: world.random, transport: network.transportOf(process) };
    const settings = {
      ...agentSettings,
      name,
      zone: zones[number % zones.length] ?? '',
      address: `${machine}:1`,
      proxyAddress: `${machine}:2`,
      pagesAddress: '',
      seeds,
    };
    const door = new SimBackEnds(world, network).controlClientOf(process);
    return { machine, process, agent: new EdgeAgent(effects, door, settings, undefined, platformConfigurationFormat) };
  }
}
