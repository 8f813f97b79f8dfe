import { PlatformBackEndCodec } from '../../platform/back-ends/backEndCodec';
import { PlatformClientApiFormat } from '../../platform/callers/clientApiFormat';
import { PlatformHeaders } from '../../platform/headers';
import { platformConfigurationFormat } from '../../platform/operators/configurationFormat';
import { EdgeProxy, ProxyDefaults } from '../../source/edge-proxy/edgeProxy';
import type { ProxyRequest, ResponseSink } from '../../source/edge-proxy/pipeline/request';
import { SimProcess } from '../../source/fleet-simulator/world/simProcess';
import type { World } from '../../source/fleet-simulator/world/world';
import type { BackEndRequest, BackEndResponseSink, BackEndSender } from '../../source/shared/back-end/protocol';
import { firstModel, type LongPollEngine } from './longPollEngines';
import { LongPollFleet } from './longPollFleet';

export { firstModel };
export const secondModel = 'm2';
export const versionMicroseconds = 8_000_000;
export const tenantKeys = { open: 'key-open', isolated: 'key-isolated' } as const;

/** A service of the operators' document whose engines serve these models. */
export const modelService = (models: readonly string[]): Readonly<Record<string, unknown>> => ({
  name: 'pool',
  healthPath: '/health',
  maxConns: 200,
  engineAddr: {
    cacheTokens: 100_000,
    tokenBytes: 163_840,
    linkMbps: 1_000_000,
    maxCalls: 12,
    models: models.map((name) => ({ name })),
  },
});

const route = {
  name: 'query',
  hostname: 'desk.example',
  pathPrefix: '/query/',
  routeType: 'safe',
  timeoutMs: 4000,
  targetMs: 300,
  priority: 0,
  backend: 'pool',
  retries: 2,
  public: false,
};

/** A configuration document with one route to one service of these models, an open and an isolated tenant. */
export const modelDocument = (models: readonly string[]): Readonly<Record<string, unknown>> => ({
  version: 1,
  routes: [route],
  services: [modelService(models)],
  tenants: [
    { name: 'open', apiKeys: [tenantKeys.open] },
    { name: 'isolated', apiKeys: [tenantKeys.isolated], isolated: true },
  ],
});

/** A request as an engine ran it. */
export type ModelRun = Readonly<{
  id: string;
  engine: string;
  model: string;
  weights: string;
  headers: Readonly<Record<string, string>>;
  atMicroseconds: number;
}>;

const runMicroseconds = 20_000;

type Proxy = Readonly<{ process: SimProcess; proxy: EdgeProxy }>;

/**
 * Control nodes, agents and proxies in the formats of the users' platform, in virtual time, and engines that serve one or
 * more models. An engine answers 421 to a request that expects other weights of its model, as the platform documents it.
 */
export class ModelFleet {
  public readonly fleet: LongPollFleet;
  public readonly engines: readonly string[];
  public readonly runs: ModelRun[] = [];
  /** Statuses of the answers to clients, by request. */
  public readonly statuses = new Map<string, number>();
  public turnedAway = 0;
  private readonly proxies: readonly Proxy[];

  public constructor(
    public readonly world: World,
    private readonly models: readonly string[] = [firstModel, secondModel],
    engines = 4,
  ) {
    this.fleet = new LongPollFleet(world, 3, { zone: '' }, platformConfigurationFormat);
    this.engines = this.fleet.addEngines(engines, '1');
    for (const name of this.engines)
      for (const model of models.slice(1)) this.fleet.engines.get(name).furtherModels.set(model, '1');
    this.proxies = this.fleet.agents.map(({ name, machine }) => this.makeProxy(name, machine));
  }

  public async start(): Promise<void> {
    await this.fleet.startWith(modelDocument(this.models));
    for (const { proxy } of this.proxies) proxy.start();
    const isUp = await this.world.runUntil(
      () => this.fleet.hasAllLeaseHolders(this.engines) && this.proxies.every(({ proxy }) => proxy.isReady()),
      20_000_000,
    );
    if (!isUp) throw new Error('the fleet did not come up');
    await this.world.runFor(2_000_000);
  }

  /** Names a version of a model's weights; resolves with the time of the acknowledgement. */
  public async nameVersion(model: string, version: number): Promise<number> {
    const { controlFleet } = this.fleet;
    for (let attempt = 0; attempt < 50; attempt += 1) {
      const change = controlFleet.change(controlFleet.controlNode(attempt % 3), {
        key: 'blueprint',
        form: 'weights',
        text: JSON.stringify({ model, version }),
        ifMatch: 0,
      });
      await this.world.runUntil(() => change.outcome !== undefined, 3_000_000);
      if (change.outcome?.kind === 'taken') return change.answeredMicroseconds;
    }
    throw new Error('the version was not acknowledged');
  }

  /** Sends a request with these headers through one of the proxies. */
  public send(id: string, proxyNumber: number, headers: Readonly<Record<string, string>>): void {
    const handle = this.proxies[proxyNumber % this.proxies.length];
    if (handle === undefined) throw new Error('no proxy');
    const parsed = PlatformClientApiFormat.parseHead(
      {
        method: 'POST',
        target: '/query/a',
        headers: { host: 'desk.example', [PlatformHeaders.orderId]: id, [PlatformHeaders.limit]: '4000', ...headers },
      },
      this.world.random,
    );
    if (parsed.kind !== 'order') throw new Error('the request was not read');
    const request: ProxyRequest = {
      ...parsed.order,
      body: '{}',
      arrivedMicroseconds: handle.process.clock.nowMicroseconds(),
    };
    handle.process.execute(() => void handle.proxy.handle(request, this.clientOf(id)));
  }

  public modelsOf(engine: string): Readonly<Record<string, string>> {
    return this.fleet.engines.modelsOf(this.fleet.engines.get(engine));
  }

  private clientOf(id: string): ResponseSink {
    return {
      begun: () => this.statuses.has(id),
      gone: () => false,
      onClientGone: () => undefined,
      head: ({ status }) => void this.statuses.set(id, status),
      part: () => undefined,
      end: () => undefined,
      cut: () => void this.statuses.set(id, 0),
      refuse: ({ status }) => void this.statuses.set(id, status),
    };
  }

  private makeProxy(name: string, machine: string): Proxy {
    const process = new SimProcess(this.world, `${name}-proxy`, machine);
    const transport = this.fleet.controlFleet.network.transportOf(process);
    const proxy = new EdgeProxy(
      { clock: process.clock, random: this.world.random, transport },
      this.senderOf(process),
      {
        ...ProxyDefaults,
        name,
        agentAddress: `${machine}:1`,
        engineList: 'listed',
        cutsOldWeights: false,
        unsentIsFree: true,
        weightsCutMicroseconds: versionMicroseconds - 2_000_000,
      },
      { backEnds: PlatformBackEndCodec, dialect: platformConfigurationFormat },
    );
    return { process, proxy };
  }

  private senderOf(process: SimProcess): BackEndSender {
    const { network } = this.fleet.controlFleet;
    return {
      send: (request, sink) => {
        let isOver = false;
        const machine = request.address.split(':', 1)[0] ?? '';
        const reply = (act: () => void): void =>
          network.deliver(machine, process.machine, () => process.execute(() => (isOver ? undefined : act())));
        const deliver = (): void => {
          if (sink.maySend())
            network.deliver(process.machine, machine, () => this.arrive(machine, request, sink, reply));
          else sink.failed({ kind: 'notRun', text: 'not sent' });
        };
        network.deliver(process.machine, machine, () => reply(deliver));
        return { cut: () => void (isOver = true) };
      },
    };
  }

  private arrive(
    machine: string,
    { headers }: BackEndRequest,
    sink: BackEndResponseSink,
    reply: (act: () => void) => void,
  ): void {
    const engine = this.engineAt(machine);
    if (engine === undefined) return reply(() => sink.failed({ kind: 'mayHaveRun', text: 'connection reset' }));
    const id = headers[PlatformHeaders.orderId] ?? '';
    const model = headers[PlatformHeaders.model] ?? '';
    const weights = this.fleet.engines.modelsOf(engine)[model] ?? '';
    const expected = headers[PlatformHeaders.expectVersion];
    const respond = (status: number, more: Readonly<Record<string, string>>): void =>
      reply(() => {
        const named = { [PlatformHeaders.orderId]: id, [PlatformHeaders.instance]: engine.name };
        sink.head({ status, headers: { ...named, ...more }, framed: true });
        sink.end();
      });
    const isLoading = engine.loading !== undefined && engine.loadingModel === model;
    if (isLoading || (expected !== undefined && expected !== weights)) {
      this.turnedAway += 1;
      return respond(isLoading ? 503 : 421, { [PlatformHeaders.notRun]: '1' });
    }
    const atMicroseconds = this.world.nowMicroseconds;
    this.runs.push({ id, engine: engine.name, model, weights, headers, atMicroseconds });
    this.world.schedule(runMicroseconds, () =>
      respond(200, { [PlatformHeaders.seal]: `${engine.name}.${id}`, [PlatformHeaders.weights]: weights }),
    );
  }

  private engineAt(machine: string): LongPollEngine | undefined {
    return [...this.fleet.engines.engines.values()].find((engine) => engine.machine === machine && engine.alive);
  }
}
