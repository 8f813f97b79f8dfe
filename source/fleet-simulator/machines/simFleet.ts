import { ControlNodeDefaults } from '../../core-keeper/controlNodeSettings';
import { ControlNode } from '../../core-keeper/controlNode';
import type { ChangeRequest, ChangeOutcome } from '../../core-keeper/register/messages';
import { AgentDefaults, EdgeAgent } from '../../edge-agent/edgeAgent';
import { EdgeProxy, ProxyDefaults, type ProxySettings } from '../../edge-proxy/edgeProxy';
import { nativeConfigurationFormat, type ConfigurationFormat } from '../../shared/configuration/configurationFormat';
import type {
  Configuration,
  ControlNodeMember,
  DocumentKey,
  Engine,
  EngineList,
  Pool,
} from '../../shared/configuration/types';
import { SimDisk } from '../world/simDisk';
import { SimNetwork } from '../world/simNetwork';
import { SimProcess } from '../world/simProcess';
import type { World } from '../world/world';
import { SimBackEnds } from './simBackEnds';
import { SimClients, type ProxyHandle, type RequestKind } from './simClients';

/** The size, speed and load of a simulated fleet. */
export type FleetShape = Readonly<{
  edges: number;
  /**
   * The number of edge machines that run an agent, counted from the first; default: all. Proxies on the other machines receive
   * their state over the network.
   */
  agents?: number;
  engines: number;
  /** Engines of a second pool, to which a mapping may be moved. */
  spareEngines: number;
  capacity: number;
  mostBlocks: number;
  /** Factor on the default limits of the time that requests may wait in the queue. */
  queueLimitFactor: number;
  /** The time that an engine takes for one part of a response. */
  partMicroseconds: number;
  /** The mean time between two client requests. */
  pauseMicroseconds: number;
  /** Duration of the traffic before the first fault, in which the retry budget for second sends is earned. */
  warmUpMicroseconds: number;
  proxy: Partial<ProxySettings>;
}>;

/** The fleet of most scenarios. */
export const defaultShape: FleetShape = {
  edges: 4,
  engines: 4,
  spareEngines: 2,
  capacity: 6,
  mostBlocks: 60,
  queueLimitFactor: 1,
  partMicroseconds: 15_000,
  pauseMicroseconds: 12_000,
  warmUpMicroseconds: 800_000,
  proxy: {},
};

/** So little capacity that requests queue, though all can be served because they may wait longer. */
export const congestedShape: FleetShape = {
  ...defaultShape,
  capacity: 3,
  queueLimitFactor: 4,
  // Responses take longer because the load that other proxies report is useful only if responses outlast its propagation.
  partMicroseconds: 200_000,
  pauseMicroseconds: 130_000,
  warmUpMicroseconds: 12_000_000,
};

/** A simulated control node with its machine, disk and process. */
export type SimControlNode = {
  readonly name: string;
  readonly member: ControlNodeMember;
  readonly machine: string;
  readonly disk: SimDisk;
  replaces: string;
  replaced: boolean;
  process: SimProcess;
  node: ControlNode | undefined;
  /** The number of times that the process exited after a disk failure. */
  exits: number;
};

/** A simulated edge machine with its agent and proxy. */
export type SimEdge = {
  readonly name: string;
  readonly machine: string;
  agentProcess: SimProcess;
  proxyProcess: SimProcess;
  agent: EdgeAgent;
  proxy: EdgeProxy;
  /** Whether the platform routes clients to this machine. */
  receivesTraffic: boolean;
};

/** A change that an operator requested, with the outcome that the operator received. */
export type OperatorChange = {
  readonly id: string;
  readonly key: DocumentKey;
  readonly text: string;
  readonly askedMicroseconds: number;
  outcome: ChangeOutcome | undefined;
  answeredMicroseconds: number;
};

/** A read by an operator and the document that it returned. */
export type OperatorRead = Readonly<{
  key: DocumentKey;
  askedMicroseconds: number;
  answeredMicroseconds: number;
  revision: number;
  text: string;
}>;

const blockCharacters = 256;
const poolName = 'pool';
const spareName = 'spare';
const appName = 'slips';

const pool = (weights: string): Pool => ({
  kind: 'pool',
  model: 'm',
  weights,
  tokenizer: 't',
  adapter: '',
  dtype: 'bf16',
  quant: 'none',
  layout: 'paged-1',
  shard: 'tp1-pp1',
  rope: 'default',
  blockCharacters,
  answerLimitMicroseconds: 20_000_000,
});

type Placement = Readonly<{ machine: string; kind: Engine['kind']; service: string }>;

/** The blueprints that simulated fleets start with. */
export const SimBlueprints = {
  initial: (weights = 'w1', queueLimitFactor = 1): Configuration => ({
    classes: {
      long: {
        rank: 1,
        sharePerMille: 500,
        lends: true,
        holdingMost: 64,
        holdingLimitMicroseconds: 2_000_000 * queueLimitFactor,
      },
      short: {
        rank: 0,
        sharePerMille: 500,
        lends: true,
        holdingMost: 64,
        holdingLimitMicroseconds: 1_500_000 * queueLimitFactor,
      },
    },
    tenants: {
      open1: { walled: false, keys: ['key-open1-a', 'key-open1-b'] },
      open2: { walled: false, keys: ['key-open2-a'] },
      wall1: { walled: true, keys: ['key-wall1-a'] },
      wall2: { walled: true, keys: ['key-wall2-a'] },
    },
    services: {
      [poolName]: pool(weights),
      [spareName]: pool('w1'),
      [appName]: { kind: 'app', answerLimitMicroseconds: 20_000_000 },
    },
    mappings: {
      long: { path: '/v1/chat/completions', model: 'long', service: poolName, class: 'long', resumable: false },
      short: { path: '/v1/chat/completions', model: 'short', service: poolName, class: 'short', resumable: true },
      once: { path: '/v1/chat/completions', model: 'once', service: poolName, class: 'short', resumable: false },
      spare: { path: '/v1/chat/completions', model: 'spare', service: spareName, class: 'short', resumable: false },
      slip: { path: '/slips/print', model: '', service: appName, class: 'short', resumable: false },
    },
  }),
} as const;

const prefixText = (name: string): string => `Long shared rulebook ${name}. `.repeat(100).slice(0, blockCharacters * 8);

/** The kinds of requests that simulated clients send, one for each mapping of the first blueprint. */
export const RequestKinds = {
  long: (name = 'A'): RequestKind => ({
    name: 'long',
    path: '/v1/chat/completions',
    model: 'long',
    prefix: prefixText(name),
    parts: 8,
    resumable: false,
  }),
  short: {
    name: 'short',
    path: '/v1/chat/completions',
    model: 'short',
    prefix: '',
    parts: 3,
    resumable: true,
  } satisfies RequestKind,
  once: {
    name: 'once',
    path: '/v1/chat/completions',
    model: 'once',
    prefix: '',
    parts: 3,
    resumable: false,
  } satisfies RequestKind,
  spare: {
    name: 'spare',
    path: '/v1/chat/completions',
    model: 'spare',
    prefix: prefixText('S').slice(0, blockCharacters * 3),
    parts: 3,
    resumable: false,
  } satisfies RequestKind,
  slip: { name: 'slip', path: '/slips/print', model: '', prefix: '', parts: 2, resumable: false } satisfies RequestKind,
} as const;

const zones = ['harbour', 'hill', 'river'] as const;

/** The control nodes, agents, proxies and stand-in engines of a whole fleet in one process, on virtual time. */
export class SimFleet {
  public readonly network: SimNetwork;
  public readonly backEnds: SimBackEnds;
  public readonly clients: SimClients;
  public readonly changes: OperatorChange[] = [];
  public readonly reads: OperatorRead[] = [];
  public readonly controlNodes: SimControlNode[] = [];
  public readonly edges: SimEdge[] = [];
  /** Engines of the first pool; most faults are for these. */
  public readonly engineNames: readonly string[];
  public readonly spareNames: readonly string[];
  public readonly appName: string;
  public readonly storeName: string;
  /** The control node whose disk was wiped last, if any. */
  public wipedControlNode: SimControlNode | undefined;
  /** The `fleet` setting of the agents. */
  public fleetSetting = '';
  private changeCount = 0;

  public constructor(
    public readonly world: World,
    public readonly shape: FleetShape = defaultShape,
    /** The first octet of the fleet's addresses. Two fleets of one world share a network and need distinct addresses. */
    private readonly addressPrefix = '10',
    network?: SimNetwork,
    /** The format of the operators' configuration at the control nodes. */
    private readonly dialect: ConfigurationFormat = nativeConfigurationFormat,
  ) {
    this.network = network ?? new SimNetwork(world);
    this.storeName = `${addressPrefix}.4.0.1`;
    this.appName = `${addressPrefix}.3.2.1`;
    this.backEnds = new SimBackEnds(world, this.network);
    this.clients = new SimClients(world);
    this.engineNames = Array.from({ length: shape.engines }, (_, index) => `${this.addressPrefix}.3.0.${index + 1}`);
    this.spareNames = Array.from(
      { length: shape.spareEngines },
      (_, index) => `${this.addressPrefix}.3.1.${index + 1}`,
    );
    for (const name of [...this.engineNames, ...this.spareNames, this.appName])
      this.backEnds.addEngine(name, {
        name,
        weights: 'w1',
        capacity: name === this.appName ? 64 : shape.capacity,
        mostBlocks: shape.mostBlocks,
        blockCharacters,
        prefillMicrosecondsPerBlock: name === this.appName ? 1000 : 10_000,
        importMicrosecondsPerBlock: 500,
        partMicroseconds: shape.partMicroseconds,
        loadMicroseconds: 400_000,
        // Only every other engine checks terms, because the design must stay safe with engines that don't.
        checksTerms: Number(name.split('.')[3]) % 2 === 1,
      });
    this.backEnds.addStore(this.storeName);
    for (const number of [1, 2, 3]) this.addControlNode(number);
    for (let number = 1; number <= shape.edges; number += 1) this.edges.push(this.makeEdge(number));
  }

  public get seeds(): readonly string[] {
    return [1, 2, 3].map((number) => `${this.addressPrefix}.1.0.${number}:1`);
  }

  /** Adds a control node, which is not started yet. */
  public addControlNode(number: number, replaces = ''): SimControlNode {
    const machine = `${this.addressPrefix}.1.0.${number}`;
    const created: SimControlNode = {
      name: `keeper-${number}`,
      member: { address: `${machine}:1`, operatorsAddress: `${machine}:2`, zone: '' },
      machine,
      disk: new SimDisk(this.world),
      replaces,
      replaced: false,
      process: new SimProcess(this.world, `keeper-${number}`, machine),
      node: undefined,
      exits: 0,
    };
    created.process.alive = false;
    this.controlNodes.push(created);
    return created;
  }

  /** The control nodes that were not replaced after the permanent loss of their machines. */
  public remainingControlNodes(): readonly SimControlNode[] {
    return this.controlNodes.filter(({ replaced }) => !replaced);
  }

  public startControlNode(controlNode: SimControlNode): void {
    if (controlNode.process.alive) return;
    const process = new SimProcess(this.world, controlNode.name, controlNode.machine, this.randomDrift());
    controlNode.process = process;
    const effects = { clock: process.clock, random: this.world.random, transport: this.network.transportOf(process) };
    const settings = {
      ...ControlNodeDefaults,
      name: controlNode.name,
      member: controlNode.member,
      seeds: this.seeds,
      replaces: controlNode.replaces,
    };
    const created = new ControlNode(effects, controlNode.disk.diskFor(process), settings, this.dialect);
    controlNode.node = created;
    created.events.on('broken', () => {
      controlNode.exits += 1;
      process.kill();
    });
    void created.start().then(
      (started) => {
        if (started.kind === 'corrupt') process.kill();
      },
      () => process.kill(),
    );
  }

  /** Kills the process of a control node; with `losesPower`, its disk loses power as well. */
  public killControlNode(controlNode: SimControlNode, losesPower: boolean): void {
    controlNode.process.kill();
    if (losesPower) controlNode.disk.losePower();
  }

  /** Adds an edge machine that runs no agent; it is not started yet. */
  public addEdge(): SimEdge {
    const created = this.makeEdge(this.edges.length + 1);
    this.edges.push(created);
    return created;
  }

  public killEdge(edge: SimEdge): void {
    edge.agentProcess.kill();
    edge.proxyProcess.kill();
  }

  public startEdge(edge: SimEdge): void {
    this.startAgent(edge);
    this.startProxy(edge);
  }

  /** Whether an edge machine runs an agent. */
  public hasAgent(edge: Readonly<{ name: string }>): boolean {
    return Number(edge.name.split('-')[1]) <= (this.shape.agents ?? this.shape.edges);
  }

  public startAgent(edge: SimEdge): void {
    if (edge.agentProcess.alive || !this.hasAgent(edge)) return;
    const created = this.makeAgent(edge.name, edge.machine);
    edge.agentProcess = created.process;
    edge.agent = created.agent;
    void created.agent.start();
  }

  public startProxy(edge: SimEdge): void {
    if (edge.proxyProcess.alive) return;
    const created = this.makeProxy(edge.name, edge.machine);
    edge.proxyProcess = created.process;
    edge.proxy = created.proxy;
    created.proxy.start();
  }

  public handle(edge: SimEdge): ProxyHandle {
    return { name: edge.name, process: edge.proxyProcess, proxy: edge.proxy };
  }

  public edge(index: number): SimEdge {
    const found = this.edges[index];
    if (found === undefined) throw new Error(`no edge ${index}`);
    return found;
  }

  public controlNode(index: number): SimControlNode {
    const found = this.controlNodes[index];
    if (found === undefined) throw new Error(`no keeper ${index}`);
    return found;
  }

  /** The machine, kind and service of every back end, by label. */
  public backEndPlacements(): Readonly<Record<string, Placement>> {
    const engines = (
      names: readonly string[],
      label: string,
      service: string,
    ): readonly (readonly [string, Placement])[] =>
      names.map((machine, index) => [`${label}-${index + 1}`, { machine, kind: 'engine', service }]);
    return {
      ...Object.fromEntries([
        ...engines(this.engineNames, 'engine', poolName),
        ...engines(this.spareNames, 'spare', spareName),
      ]),
      app: { machine: this.appName, kind: 'app', service: appName },
      store: { machine: this.storeName, kind: 'store', service: '' },
    };
  }

  /** The service of the back end on a machine. */
  public serviceOf(machine: string): string {
    return Object.values(this.backEndPlacements()).find((placement) => placement.machine === machine)?.service ?? '';
  }

  /** The zone of a machine; there are three zones. */
  public zoneOf(machine: string): string {
    return zones[Number(machine.split('.')[3]) % zones.length] ?? '';
  }

  public backEndMachines(): readonly string[] {
    return Object.values(this.backEndPlacements()).map(({ machine }) => machine);
  }

  public machines(): readonly string[] {
    return [
      ...this.controlNodes.map(({ machine }) => machine),
      ...this.edges.map(({ machine }) => machine),
      ...this.backEndMachines(),
    ];
  }

  public engineList(draining: readonly string[] = [], excluded: readonly string[] = []): EngineList {
    return {
      engines: Object.fromEntries(
        Object.entries(this.backEndPlacements())
          .filter(([, { machine }]) => !excluded.includes(machine))
          .map(([label, { machine, kind, service }]) => [
            label,
            {
              kind,
              service,
              address: `${machine}:1`,
              zone: '',
              state: draining.includes(machine) ? ('draining' as const) : ('ready' as const),
            },
          ]),
      ),
    };
  }

  /** Requests a change from one control node as an operator and records the outcome that the operator receives. */
  public change(
    controlNode: SimControlNode,
    request: Omit<ChangeRequest, 'id'> & Readonly<{ id?: string }>,
  ): OperatorChange {
    this.changeCount += 1;
    const id = request.id ?? `change-${this.changeCount}`;
    const created: OperatorChange = {
      id,
      key: request.key,
      text: request.text,
      askedMicroseconds: this.world.nowMicroseconds,
      outcome: undefined,
      answeredMicroseconds: Infinity,
    };
    this.changes.push(created);
    const running = controlNode.node;
    this.world.schedule(200, () =>
      controlNode.process.execute(() => {
        if (running === undefined) return;
        void running.change({ ...request, id }).then((outcome) => {
          if (!controlNode.process.alive) return;
          created.outcome = outcome;
          created.answeredMicroseconds = this.world.nowMicroseconds;
        });
      }),
    );
    return created;
  }

  /** Reads a document from one control node as an operator and records the result. */
  public read(controlNode: SimControlNode, key: DocumentKey): void {
    const askedMicroseconds = this.world.nowMicroseconds;
    controlNode.process.execute(
      () =>
        void controlNode.node?.read(key).then((outcome) => {
          if (outcome.kind === 'read' && controlNode.process.alive)
            this.reads.push({
              key,
              askedMicroseconds,
              answeredMicroseconds: this.world.nowMicroseconds,
              revision: outcome.revision,
              text: outcome.text,
            });
        }),
    );
  }

  /**
   * Retries a change through the control nodes in turn until one accepts it; each attempt has an id of its own. Returns
   * undefined if the change is refused for good or the time limit passes.
   */
  public async changeUntilAccepted(
    key: DocumentKey,
    value: unknown,
    limitMicroseconds = 15_000_000,
  ): Promise<OperatorChange | undefined> {
    const deadlineMicroseconds = this.world.nowMicroseconds + limitMicroseconds;
    let revision = 0;
    for (let attempt = 0; this.world.nowMicroseconds < deadlineMicroseconds; attempt += 1) {
      const controlNode = this.controlNode(attempt % this.controlNodes.length);
      if (!controlNode.process.alive) {
        await this.world.runFor(20_000);
        continue;
      }
      const change = this.change(controlNode, { key, form: 'whole', text: JSON.stringify(value), ifMatch: revision });
      await this.world.runUntil(() => change.outcome !== undefined || !controlNode.process.alive, 6_000_000);
      const outcome = change.outcome;
      if (outcome?.kind === 'taken') return change;
      if (outcome?.kind === 'refused' && outcome.reason === 'revision') revision = outcome.revision;
      else if (outcome?.kind === 'refused' && outcome.reason !== 'noMajority') return undefined;
      await this.world.runFor(50_000);
    }
    return undefined;
  }

  /** Starts all machines, writes the first blueprint and engine list, and waits until every proxy and agent has them. */
  public async startAll(
    configuration: Configuration = SimBlueprints.initial('w1', this.shape.queueLimitFactor),
  ): Promise<void> {
    for (const controlNode of this.controlNodes) this.startControlNode(controlNode);
    for (const edge of this.edges) this.startEdge(edge);
    if ((await this.changeUntilAccepted('blueprint', configuration)) === undefined)
      throw new Error('the first blueprint was not taken');
    if ((await this.changeUntilAccepted('engines', this.engineList())) === undefined)
      throw new Error('the first engine list was not taken');
    const serving = await this.world.runUntil(
      () =>
        this.edges.every(
          (edge) =>
            edge.proxy.fresh() &&
            (!this.hasAgent(edge) ||
              edge.agent.facts.withPrefix('engine/').length === this.engineNames.length + this.spareNames.length + 1),
        ),
      12_000_000,
    );
    if (!serving) throw new Error('the fleet did not come up');
  }

  /** Clock drift of up to 5 per mille either way, in parts per million: the bound that docs/notes/freshness.md states. */
  private randomDrift(): number {
    return Math.floor((this.world.random.fraction() - 0.5) * 10_000);
  }

  private makeEdge(number: number): SimEdge {
    const name = `edge-${number}`;
    const machine = `${this.addressPrefix}.2.0.${number}`;
    const { process: agentProcess, agent } = this.makeAgent(name, machine);
    const { process: proxyProcess, proxy } = this.makeProxy(name, machine);
    agentProcess.alive = false;
    proxyProcess.alive = false;
    return { name, machine, agentProcess, proxyProcess, agent, proxy, receivesTraffic: true };
  }

  private makeAgent(name: string, machine: string): Readonly<{ process: SimProcess; agent: EdgeAgent }> {
    const process = new SimProcess(this.world, `${name}-agent`, machine, this.randomDrift());
    const effects = { clock: process.clock, random: this.world.random, transport: this.network.transportOf(process) };
    const agent = new EdgeAgent(effects, this.backEnds.controlClientOf(process), {
      ...AgentDefaults,
      name,
      zone: '',
      address: `${machine}:1`,
      proxyAddress: `${machine}:2`,
      pagesAddress: `${machine}:3`,
      seeds: this.seeds,
      fleet: this.fleetSetting,
    });
    return { process, agent };
  }

  private makeProxy(name: string, machine: string): Readonly<{ process: SimProcess; proxy: EdgeProxy }> {
    const process = new SimProcess(this.world, `${name}-proxy`, machine, this.randomDrift());
    const effects = { clock: process.clock, random: this.world.random, transport: this.network.transportOf(process) };
    const proxy = new EdgeProxy(effects, this.backEnds.senderOf(process), {
      ...ProxyDefaults,
      ...this.shape.proxy,
      name,
      agentAddress: `${machine}:1`,
      seeds: this.seeds,
    });
    return { process, proxy };
  }
}
