import { mkdirSync } from 'node:fs';
import path from 'node:path';
import { request } from 'undici';
import { Child, Ports } from './child';
import { Relay } from './relay';

export type FleetShape = Readonly<{
  engines: number;
  pool: string;
  app: string;
  weights: string;
  capacity: number;
  mostBlocks: number;
  blockCharacters: number;
  edges: number;
  proxyWords: readonly string[];
  distFolder: string;
  /** Puts a relay before each keeper and each engine, so that its links can be cut, slowed and stalled. */
  relays?: boolean;
}>;

export type EngineMachine = Readonly<{
  name: string;
  address: string;
  kind: 'engine' | 'app' | 'store';
  zone: string;
  child: Child;
  record: string;
}>;
export type EdgeMachine = Readonly<{
  name: string;
  agentAddress: string;
  proxyAddress: string;
  pagesAddress: string;
  agent: Child;
  proxy: Child;
}>;
export type KeeperMachine = Readonly<{ name: string; address: string; operatorsAddress: string; child: Child }>;

const zones = ['harbour', 'hill', 'river'] as const;
const zoneOf = (index: number): string => zones[index % zones.length] ?? '';

/** A whole fleet of processes on loopback addresses. */
export class LocalFleet {
  public keepers: readonly KeeperMachine[] = [];
  public edges: readonly EdgeMachine[] = [];
  public backEnds: readonly EngineMachine[] = [];
  /** By the name of the process that they lead to. */
  public readonly relays = new Map<string, Relay>();

  public constructor(
    private readonly folder: string,
    private readonly shape: FleetShape,
  ) {}

  public async prepare(): Promise<void> {
    mkdirSync(this.folder, { recursive: true });
    const { shape, folder } = this;
    const ports = [...(await Ports.free('127.0.0.1', 6 + shape.edges * 3 + shape.engines + 2))];
    const address = (): string => `127.0.0.1:${ports.pop() ?? 0}`;
    const reachedBy = async (name: string, listens: string): Promise<string> => {
      if (shape.relays !== true) return listens;
      const relay = await Relay.open(listens);
      this.relays.set(name, relay);
      return relay.address;
    };
    const keeperPlaces = await Promise.all(
      [1, 2, 3].map(async (number) => {
        const [name, listens] = [`keeper-${number}`, address()];
        return { name, listens, address: await reachedBy(name, listens), operatorsAddress: address() };
      }),
    );
    const seeds = keeperPlaces.map((keeper) => keeper.address).join(',');
    this.keepers = keeperPlaces.map((place, index) => ({
      ...place,
      child: this.child(place.name, folder, 'core-keeper', [
        '--name',
        place.name,
        '--zone',
        zoneOf(index),
        '--address',
        place.address,
        '--listen',
        place.listens,
        '--operators',
        place.operatorsAddress,
        '--seeds',
        seeds,
        '--folder',
        path.join(folder, place.name),
      ]),
    }));
    this.edges = Array.from({ length: shape.edges }, (_, index) => {
      const name = `edge-${index + 1}`;
      const [agentAddress, proxyAddress, pagesAddress] = [address(), address(), address()];
      return {
        name,
        agentAddress,
        proxyAddress,
        pagesAddress,
        agent: this.child(`${name}-agent`, folder, 'edge-agent', [
          '--name',
          name,
          '--zone',
          zoneOf(index),
          '--address',
          agentAddress,
          '--proxy',
          proxyAddress,
          '--pages',
          pagesAddress,
          '--seeds',
          seeds,
        ]),
        proxy: this.child(`${name}-proxy`, folder, 'edge-proxy', [
          '--name',
          name,
          '--address',
          proxyAddress,
          '--agent',
          agentAddress,
          ...shape.proxyWords,
        ]),
      };
    });
    const record = (name: string): string => path.join(folder, `${name}.record.jsonl`);
    const engines: readonly EngineMachine[] = await Promise.all(
      Array.from({ length: shape.engines }, async (_, index) => {
        const name = `engine-${index + 1}`;
        const at = address();
        const words = [
          '--name',
          name,
          '--address',
          at,
          '--weights',
          shape.weights,
          '--record',
          record(name),
          '--capacity',
          String(shape.capacity),
          '--mostBlocks',
          String(shape.mostBlocks),
          '--blockCharacters',
          String(shape.blockCharacters),
        ];
        return {
          name,
          address: await reachedBy(name, at),
          kind: 'engine' as const,
          zone: zoneOf(index),
          record: record(name),
          child: this.child(name, folder, 'stand-in-engine', words),
        };
      }),
    );
    const appAddress = address();
    const storeAddress = address();
    this.backEnds = [
      ...engines,
      {
        name: 'app-1',
        address: appAddress,
        kind: 'app',
        zone: zoneOf(0),
        record: record('app-1'),
        child: this.child('app-1', folder, 'stand-in-app', [
          '--name',
          'app-1',
          '--address',
          appAddress,
          '--record',
          record('app-1'),
        ]),
      },
      {
        name: 'store-1',
        address: storeAddress,
        kind: 'store',
        zone: zoneOf(1),
        record: '',
        child: this.child('store-1', folder, 'stand-in-store', ['--address', storeAddress]),
      },
    ];
  }

  private child(name: string, folder: string, program: string, words: readonly string[]): Child {
    return new Child(name, folder, program, words, this.shape.distFolder);
  }

  public startAll(): void {
    for (const { child } of [...this.keepers, ...this.backEnds]) child.start();
    for (const { agent, proxy } of this.edges) {
      agent.start();
      proxy.start();
    }
  }

  public async stopAll(): Promise<void> {
    await Promise.all([...this.relays.values()].map((relay) => relay.close()));
    await Promise.all([...this.keepers, ...this.backEnds].map(({ child }) => child.kill()));
    await Promise.all(this.edges.flatMap(({ agent, proxy }) => [agent.kill(), proxy.kill()]));
  }

  /** The platform's list of what was started. */
  public engineList(draining: readonly string[] = []): string {
    const service = (kind: EngineMachine['kind']): string =>
      kind === 'engine' ? this.shape.pool : kind === 'app' ? this.shape.app : '';
    return JSON.stringify({
      engines: Object.fromEntries(
        this.backEnds.map(({ name, address, kind, zone }) => [
          name,
          { kind, service: service(kind), address, zone, state: draining.includes(name) ? 'draining' : 'ready' },
        ]),
      ),
    });
  }

  public async take(
    key: 'blueprint' | 'engines',
    text: string,
    revision: number,
    id: string,
    limitMilliseconds = 15_000,
    firstKeeper = 0,
  ): Promise<Readonly<{ status: number; body: string }>> {
    const until = performance.now() + limitMilliseconds;
    for (let turn = 0; ; turn += 1) {
      const keeper = this.keepers[(firstKeeper + turn) % this.keepers.length];
      try {
        const answer = await request(`http://${keeper?.operatorsAddress}/${key}`, {
          method: 'PUT',
          body: text,
          headers: { 'if-match': `"${revision}"`, 'idempotency-key': id, 'content-type': 'application/json' },
        });
        const body = await answer.body.text();
        if (answer.statusCode !== 503) return { status: answer.statusCode, body };
      } catch {
        // Why go on: a keeper that is not up yet refuses the conn; the id keeps one outcome.
      }
      if (performance.now() > until) return { status: 0, body: 'no keeper answered in time' };
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
  }

  /** Waits, bounded, until each proxy says it is fresh and knows the revision. */
  public async untilFresh(revision: number, limitMilliseconds: number): Promise<boolean> {
    const until = performance.now() + limitMilliseconds;
    for (;;) {
      const pages = await Promise.all(
        this.edges.map(({ proxyAddress }) => this.page(`http://${proxyAddress}/-/metrics`)),
      );
      const engines = await Promise.all(
        this.edges.map(({ pagesAddress }) => this.page(`http://${pagesAddress}/status`)),
      );
      const known = pages.every((page) =>
        new RegExp(`postdrum_key_revision\\{key="blueprint"\\} ${revision}\\n`).test(page),
      );
      const stewarded = engines.every(
        (page) =>
          (JSON.parse(page === '' ? '{}' : page) as { engines?: { reachable: boolean }[] }).engines?.filter(
            ({ reachable }) => reachable,
          ).length ===
          this.backEnds.length - 1,
      );
      if (known && stewarded) return true;
      if (performance.now() > until) return false;
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
  }

  public async page(url: string): Promise<string> {
    try {
      return await (await request(url, { headersTimeout: 2000, bodyTimeout: 2000 })).body.text();
    } catch {
      return '';
    }
  }
}
