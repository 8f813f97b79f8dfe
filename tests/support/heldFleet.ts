import { AgentDefaults, EdgeAgent, type AgentSettings } from '../../source/edge-agent/edgeAgent';
import { SimBlueprints, SimFleet, usualShape } from '../../source/fleet-simulator/machines/simFleet';
import { SimProcess } from '../../source/fleet-simulator/world/simProcess';
import type { World } from '../../source/fleet-simulator/world/world';
import { ownDialect, type Dialect } from '../../source/shared/blueprint/dialect';
import type { Blueprint } from '../../source/shared/blueprint/types';
import { HeldEngines, type GotDirective } from './heldEngines';

export type HeldAgent = { readonly name: string; readonly machine: string; process: SimProcess; agent: EdgeAgent };

export const leaseTermMicroseconds = 3_000_000;
export const thawMicroseconds = 300_000;
export const weightsWithinMicroseconds = 8_000_000;

/** Keepers and agents on virtual time, beside engines whose events calls are held and whose list is kept outside. */
export class HeldFleet {
  public readonly keepers: SimFleet;
  public readonly engines: HeldEngines;
  public readonly agents: HeldAgent[] = [];

  public constructor(
    public readonly world: World,
    agents: number,
    private readonly settings: Partial<AgentSettings> = {},
    private readonly dialect: Dialect = ownDialect,
  ) {
    this.keepers = new SimFleet(world, { ...usualShape, edges: 0, engines: 0, spares: 0 });
    this.engines = new HeldEngines(world, this.keepers.network);
    for (let number = 1; number <= agents; number += 1) this.agents.push(this.made(number));
  }

  public addEngines(count: number, weights = 'w1', checksTerms = true): readonly string[] {
    return Array.from({ length: count }, (_, index) => {
      const name = `engine-${index + 1}`;
      this.engines.add(name, `10.3.0.${index + 1}`, weights, 'pool', checksTerms);
      return name;
    });
  }

  public blueprint(weights: string): Blueprint {
    return SimBlueprints.first(weights);
  }

  public async start(weights = 'w1'): Promise<void> {
    for (const keeper of this.keepers.keepers) this.keepers.startKeeper(keeper);
    for (const { agent } of this.agents) void agent.start();
    if ((await this.keepers.take('blueprint', this.blueprint(weights))) === undefined)
      throw new Error('the first blueprint was not taken');
  }

  public async name(weights: string): Promise<void> {
    if ((await this.keepers.take('blueprint', this.blueprint(weights))) === undefined)
      throw new Error('the new weights were not taken');
  }

  public agent(index: number): HeldAgent {
    const found = this.agents[index];
    if (found === undefined) throw new Error(`no agent ${index}`);
    return found;
  }

  public kill(agent: HeldAgent): void {
    agent.process.kill();
  }

  public restart(agent: HeldAgent): void {
    agent.process.kill();
    const made = this.made(Number(agent.name.split('-')[1]));
    agent.process = made.process;
    agent.agent = made.agent;
    void made.agent.start();
  }

  public stewardOf(engine: string): HeldAgent | undefined {
    return this.agents.find(
      ({ process, agent }) =>
        process.alive && agent.stewardship.activeControllers().some(({ name }) => name === engine),
    );
  }

  public lister(): HeldAgent | undefined {
    return this.agents.find(({ process, agent }) => process.alive && agent.stewardship.listTerm() !== undefined);
  }

  public settled(engines: readonly string[]): boolean {
    return engines.every((engine) => this.stewardOf(engine) !== undefined) && this.lister() !== undefined;
  }

  private made(number: number): HeldAgent {
    const name = `edge-${number}`;
    const machine = `10.2.0.${number}`;
    const process = new SimProcess(this.world, `${name}-agent`, machine);
    const effects = {
      clock: process.clock,
      random: this.world.random,
      transport: this.keepers.network.transportOf(process),
    };
    const settings: AgentSettings = {
      ...AgentDefaults,
      name,
      zone: ['harbour', 'hill', 'river'][number % 3] ?? '',
      address: `${machine}:1`,
      proxyAddress: '',
      pagesAddress: '',
      seeds: this.keepers.seeds,
      engineList: 'listed',
      sharedReadMicroseconds: 350_000,
      farEvery: 3,
      heartbeatMicroseconds: 700_000,
      settleMicroseconds: 600_000,
      directiveWaitMicroseconds: leaseTermMicroseconds + thawMicroseconds,
      weightsWithinMicroseconds,
      ...this.settings,
    };
    const agent = new EdgeAgent(
      effects,
      this.engines.doorOf(process),
      settings,
      this.engines.listerOf(process),
      this.dialect,
    );
    return { name, machine, process, agent };
  }
}

/** What no engine may ever have seen. Judged from the engines' own records. */
export const directiveFaults = (got: readonly GotDirective[]): readonly string[] => {
  const faults: string[] = [];
  for (const [index, later] of got.entries())
    for (const earlier of got.slice(0, index)) {
      if (earlier.engine !== later.engine) continue;
      if (earlier.term === later.term && earlier.holder !== later.holder)
        faults.push(`${later.engine}: one term, two holders`);
      if (later.term < earlier.term) faults.push(`${later.engine}: term ${later.term} after ${earlier.term}`);
      if (earlier.holder !== later.holder && later.atMicroseconds - earlier.atMicroseconds < leaseTermMicroseconds)
        faults.push(
          `${later.engine}: ${later.holder} ${later.atMicroseconds - earlier.atMicroseconds} us after ${earlier.holder}`,
        );
    }
  return [...new Set(faults)];
};
