import { AgentDefaults, EdgeAgent, type AgentSettings } from '../../source/edge-agent/edgeAgent';
import { SimBlueprints, SimFleet, defaultShape } from '../../source/fleet-simulator/machines/simFleet';
import { SimProcess } from '../../source/fleet-simulator/world/simProcess';
import type { World } from '../../source/fleet-simulator/world/world';
import {
  nativeConfigurationFormat,
  type ConfigurationFormat,
} from '../../source/shared/configuration/configurationFormat';
import type { Configuration } from '../../source/shared/configuration/types';
import { LongPollEngines, type ReceivedDirective } from './longPollEngines';

export type LongPollAgent = { readonly name: string; readonly machine: string; process: SimProcess; agent: EdgeAgent };

export const leaseTermMicroseconds = 3_000_000;
export const thawMicroseconds = 300_000;
export const weightsWithinMicroseconds = 8_000_000;

/** Simulated control nodes and agents in virtual time, with long-poll engines and an external list of engines. */
export class LongPollFleet {
  public readonly controlFleet: SimFleet;
  public readonly engines: LongPollEngines;
  public readonly agents: LongPollAgent[] = [];

  public constructor(
    public readonly world: World,
    agents: number,
    private readonly settings: Partial<AgentSettings> = {},
    private readonly dialect: ConfigurationFormat = nativeConfigurationFormat,
  ) {
    const shape = { ...defaultShape, edges: 0, engines: 0, spareEngines: 0 };
    this.controlFleet = new SimFleet(world, shape, undefined, undefined, dialect);
    this.engines = new LongPollEngines(world, this.controlFleet.network);
    for (let number = 1; number <= agents; number += 1) this.agents.push(this.make(number));
  }

  public addEngines(count: number, weights = 'w1', checksTerms = true): readonly string[] {
    return Array.from({ length: count }, (_, index) => {
      const engineName = `engine-${index + 1}`;
      this.engines.add(engineName, `10.3.0.${index + 1}`, weights, 'pool', checksTerms);
      return engineName;
    });
  }

  public blueprint(weights: string): Configuration {
    return SimBlueprints.initial(weights);
  }

  public start(weights = 'w1'): Promise<void> {
    return this.startWith(this.blueprint(weights));
  }

  /** Starts control nodes and agents, and configures a document in the format of the fleet. */
  public async startWith(document: unknown): Promise<void> {
    for (const keeper of this.controlFleet.controlNodes) this.controlFleet.startControlNode(keeper);
    for (const { agent } of this.agents) void agent.start();
    if ((await this.controlFleet.changeUntilAccepted('blueprint', document)) === undefined)
      throw new Error('the first configuration was not accepted');
  }

  public async configureWeights(weights: string): Promise<void> {
    if ((await this.controlFleet.changeUntilAccepted('blueprint', this.blueprint(weights))) === undefined)
      throw new Error('the new weights were not accepted');
  }

  public agent(index: number): LongPollAgent {
    const found = this.agents[index];
    if (found === undefined) throw new Error(`no agent ${index}`);
    return found;
  }

  public kill(agent: LongPollAgent): void {
    agent.process.kill();
  }

  public restart(agent: LongPollAgent): void {
    agent.process.kill();
    const made = this.make(Number(agent.name.split('-')[1]));
    agent.process = made.process;
    agent.agent = made.agent;
    void made.agent.start();
  }

  public controllerOf(engine: string): LongPollAgent | undefined {
    return this.agents.find(
      ({ process, agent }) =>
        process.alive && agent.leaseManager.activeControllers().some(({ name }) => name === engine),
    );
  }

  public listReader(): LongPollAgent | undefined {
    return this.agents.find(({ process, agent }) => process.alive && agent.leaseManager.listTerm() !== undefined);
  }

  public hasAllLeaseHolders(engines: readonly string[]): boolean {
    return engines.every((engine) => this.controllerOf(engine) !== undefined) && this.listReader() !== undefined;
  }

  private make(number: number): LongPollAgent {
    const name = `edge-${number}`;
    const machine = `10.2.0.${number}`;
    const process = new SimProcess(this.world, `${name}-agent`, machine);
    const effects = {
      clock: process.clock,
      random: this.world.random,
      transport: this.controlFleet.network.transportOf(process),
    };
    const settings: AgentSettings = {
      ...AgentDefaults,
      name,
      zone: ['harbour', 'hill', 'river'][number % 3] ?? '',
      address: `${machine}:1`,
      proxyAddress: '',
      pagesAddress: '',
      seeds: this.controlFleet.seeds,
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
      this.engines.engineClientOf(process),
      settings,
      this.engines.listerOf(process),
      this.dialect,
    );
    return { name, machine, process, agent };
  }
}

/** Violations of the order of lease terms and holders, from the directives that the engines recorded. */
export const directiveViolations = (got: readonly ReceivedDirective[]): readonly string[] => {
  const violations: string[] = [];
  for (const [index, later] of got.entries())
    for (const earlier of got.slice(0, index)) {
      if (earlier.engine !== later.engine) continue;
      if (earlier.term === later.term && earlier.holder !== later.holder)
        violations.push(`${later.engine}: two holders in one term`);
      if (later.term < earlier.term) violations.push(`${later.engine}: term ${later.term} after ${earlier.term}`);
      if (earlier.holder !== later.holder && later.atMicroseconds - earlier.atMicroseconds < leaseTermMicroseconds)
        violations.push(
          `${later.engine}: ${later.holder} ${later.atMicroseconds - earlier.atMicroseconds} us after ${earlier.holder}`,
        );
    }
  return [...new Set(violations)];
};
