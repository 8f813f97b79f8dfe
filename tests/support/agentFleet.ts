/** Five control nodes and the agents that read from them, with the platform's settings, on virtual time. */
import assert from 'node:assert/strict';
import { platformDialect } from '../../platform/operators/dialect';
import type { ChangeOrder } from '../../source/core-keeper/register/messages';
import { AgentDefaults, EdgeAgent } from '../../source/edge-agent/edgeAgent';
import { SimBackEnds } from '../../source/fleet-simulator/machines/simBackEnds';
import { SimProcess } from '../../source/fleet-simulator/world/simProcess';
import { ControlFleet, type ControlMachine } from './controlFleet';
import { platformDocument } from './platformDocument';
import { nameOf } from './largeConfiguration';

const controlNodes = 5;
const zones = ['zone-1', 'zone-2', 'zone-3'] as const;
const startMicroseconds = 15_000_000;
const settleMicroseconds = 3_000_000;
const lookMicroseconds = 10_000;

/** What differs from an agent's own defaults on the platform. */
const agentSettings = {
  ...AgentDefaults,
  engineList: 'listed',
  sharedReadMicroseconds: 350_000,
  isOnlyFleet: true,
  farEvery: 3,
  heartbeatMicroseconds: 700_000,
  settleMicroseconds: 600_000,
} as const;

/** An operator's document with so many routes more. */
export const documentOf = (version: number, routes: number): string => {
  const small = JSON.parse(platformDocument(version)) as { routes: readonly Record<string, unknown>[] };
  const more = Array.from({ length: routes }, (_, index) => ({
    ...small.routes[0],
    name: `r-${nameOf(2 * index, 7)}`,
    pathPrefix: `/${nameOf(2 * index + 1, 8)}/`,
  }));
  return JSON.stringify({ ...small, routes: [...small.routes, ...more] });
};

export type AgentMachine = Readonly<{ machine: string; process: SimProcess; agent: EdgeAgent }>;

/** A change as its operator sees it. */
export type SentChange = {
  readonly version: number;
  readonly sentMicroseconds: number;
  outcome: 'open' | 'taken' | 'refused';
  revision: number;
  answeredMicroseconds: number;
  /** How often it was sent until it was answered. */
  calls: number;
};

/** After so long an operator hears that nothing is known yet, and goes on to another node. */
const callMicroseconds = 1_000_000;
const firstPauseMicroseconds = 100_000;

export class AgentFleet {
  public readonly control: ControlFleet;
  public readonly agents: AgentMachine[] = [];
  /** When all agents applied each revision, or a later one. */
  private readonly appliedAt: number[] = [];
  private lastVersion = 1;

  public constructor(
    seed: number,
    private readonly routes: number,
    agents = 15,
  ) {
    this.control = new ControlFleet(seed, platformDialect, {
      membersWanted: controlNodes,
      changeMicroseconds: 3_750_000,
    });
    this.control.seedNumbers = [1, 2, 3, 4, 5];
    for (let number = 1; number <= agents; number += 1) this.agents.push(this.makeAgent(number));
  }

  /** All have come up, and every agent applies the first configuration. */
  public async begin(): Promise<void> {
    assert.ok(await this.control.begin(controlNodes));
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
      ({ keeper, name, process }) => process.alive && keeper?.owners()['blueprint']?.owner === name,
    );
    assert.ok(found !== undefined, 'somebody leads');
    return found;
  }

  public others(machine: ControlMachine): readonly ControlMachine[] {
    return this.control.machines.filter((other) => other !== machine);
  }

  /** The oldest revision that an agent applies. */
  public lastRevision(): number {
    return Math.min(...this.agents.map(({ agent }) => agent.freshness.revision('blueprint')));
  }

  /** How long ago what the most behind of all agents applies was known to be current. */
  public worstAge(): number {
    return Math.max(...this.agents.map(({ agent }) => agent.freshness.ageOf('blueprint')));
  }

  /** Runs on, and writes down when each revision, or a later one, is applied by all agents. */
  public async runFor(microseconds: number): Promise<void> {
    const until = this.now + microseconds;
    while (this.now < until) {
      await this.control.world.runFor(Math.min(lookMicroseconds, until - this.now));
      const last = this.lastRevision();
      while (this.appliedAt.length <= last) this.appliedAt.push(this.now);
    }
  }

  /** From the confirmation of a change until the last agent applies it, or a later one; Infinity: not yet. */
  public lag(change: SentChange): number {
    return (this.appliedAt[change.revision] ?? Infinity) - change.answeredMicroseconds;
  }

  /** Changes one after the other, each sent to a node in turn as soon as the one before is confirmed. */
  public async changesFor(microseconds: number, from: readonly ControlMachine[]): Promise<readonly SentChange[]> {
    const until = this.now + microseconds;
    const changes: SentChange[] = [];
    for (let turn = 0; this.now < until; turn += 1) {
      const machine = from[turn % from.length];
      assert.ok(machine !== undefined);
      this.lastVersion += 1;
      const change = this.send(machine, this.lastVersion, this.lastVersion - 1);
      while (change.outcome === 'open') await this.runFor(lookMicroseconds);
      assert.equal(change.outcome, 'taken');
      changes.push(change);
    }
    return changes;
  }

  /** A change as an operator sends it: to one node first, then to one after the other, with a growing pause, until it is answered. */
  public send(first: ControlMachine, version: number, base: number): SentChange {
    const order: ChangeOrder = {
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
      let isOver = false;
      const next = (): void => {
        if (isOver) return;
        isOver = true;
        if (sent.outcome === 'open') this.control.world.plan(firstPauseMicroseconds * (turn + 1), () => call(turn + 1));
      };
      const { process, keeper } = machine;
      if (!process.alive || keeper === undefined) return next();
      process.whenDead(next);
      this.control.world.plan(callMicroseconds, next);
      process.enter(
        () =>
          void keeper.change(order).then((outcome) => {
            if (!process.alive || isOver || sent.outcome !== 'open') return;
            const isRefused = outcome.kind === 'refused' && outcome.reason === 'revision';
            if (outcome.kind !== 'taken' && !isRefused) return next();
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
    const door = new SimBackEnds(world, network).doorOf(process);
    return { machine, process, agent: new EdgeAgent(effects, door, settings, undefined, platformDialect) };
  }
}
