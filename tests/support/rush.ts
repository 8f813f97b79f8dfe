import { EdgeProxy, ProxyDefaults } from '../../source/edge-proxy/edgeProxy';
import { DemandSettings } from '../../source/edge-proxy/demand/demandView';
import type { ResponseSink, ProxyRequest } from '../../source/edge-proxy/pipeline/request';
import { SimProcess } from '../../source/fleet-simulator/world/simProcess';
import { World } from '../../source/fleet-simulator/world/world';
import type { BackEndSender, BackEndResponseSink } from '../../source/shared/back-end/protocol';
import type { BackEndCodec } from '../../source/shared/back-end/backEndCodec';
import {
  nativeConfigurationFormat,
  type ConfigurationFormat,
} from '../../source/shared/configuration/configurationFormat';
import type { Configuration } from '../../source/shared/configuration/types';
import type { PromptPart } from '../../source/shared/directory/promptParts';
import type { LongPollEngine } from './longPollEngines';
import { LongPollFleet } from './longPollFleet';

/** What an engine did for one order; what is judged is worked out from these alone. */
export type RushRun = Readonly<{
  id: string;
  engine: string;
  weights: string;
  prefix: string;
  from: 'kept' | 'moved' | 'read';
  /** Read although an engine had read it before, under the same weights. */
  again: boolean;
  atMicroseconds: number;
}>;
type RushAnswer = { ends: number; whole: boolean; status: number; left: boolean };

export type RushOptions = Readonly<{
  demand: boolean;
  /** Of the engines' memory and the store's, in tokens. */
  engineTokens: number;
  storeTokens: number;
  ordersPerSecond: number;
  /** The few that the rush is on, and the many others. */
  hot: number;
  others: number;
  hotPerMille: number;
  seconds: number;
  troubles: boolean;
  /** New weights are named after a quarter of the time; with `troubles` they are anyway. */
  newWeights: boolean;
  engines: number;
  /** Agents, each beside a proxy, and proxies on machines without one. */
  agents: number;
  proxiesAlone: number;
  /** What the link out of each machine carries. */
  linkBytesPerSecond: number;
  /** Short requests, which share nothing, beside the orders. */
  shortPerSecond: number;
}>;
export const RushOptions = {
  usual: {
    demand: true,
    engineTokens: 40_000,
    storeTokens: 500_000,
    ordersPerSecond: 20,
    hot: 24,
    others: 400,
    hotPerMille: 600,
    seconds: 36,
    troubles: true,
    newWeights: false,
    engines: 8,
    agents: 6,
    proxiesAlone: 0,
    linkBytesPerSecond: Infinity,
    shortPerSecond: 0,
  } satisfies RushOptions,
} as const;

export type RushOutcome = Readonly<{
  orders: number;
  /** Long orders that waited for a full read of a prefix which somebody had read before under the same weights. */
  rebuilt: number;
  rebuiltPerMille: number;
  /** Those among the orders for the wanted prefixes, per mille of them. */
  hotRebuiltPerMille: number;
  read: number;
  moved: number;
  kept: number;
  doubled: number;
  unanswered: number;
  answeredTwice: number;
  unasked: number;
  refused: number;
  /** Long orders that engines turned away because they were changing their weights, or had. */
  turnedAway: number;
  lateP50Microseconds: number;
  lateP90Microseconds: number;
  /** Long orders by what became of their ask at the work queue. */
  deskWords: Readonly<Record<string, number>>;
  /** Bytes that daemons said to each other. */
  bytesPerSecond: number;
}>;

const sharedTokens = 13_000;
const ownTokens = 2_000;
const shortTokens = 400;
const tokensPerMillisecond = 61;
const moveMicroseconds = 16_000;
const capacity = 24;
const events = 8;
const pieceMicroseconds = 8_000;
const storeMachine = '10.4.0.1';
const storeName = 'store';

const words: BackEndCodec = {
  responsesCarryId: false,
  namesInstance: false,
  closeEndsAnswer: false,
  write: ({ orderId, passed, engine, weights, salt, source, target }) => ({
    order: orderId,
    parts: passed['parts'] ?? '',
    engine,
    weights,
    salt,
    source: source?.address ?? '',
    target: target?.store ?? '',
  }),
  read: ({ headers, status }) => ({
    orderId: headers['order'],
    lacksSeal: false,
    notRun: status === 421 ? 'otherWeights' : status === 503 ? 'busy' : undefined,
    bootEpoch: headers['boot'],
    weights: headers['weights'],
    importMicroseconds: undefined,
    passed: {},
    events: status === 200,
  }),
};

/** The fleet's own document, and what only operators of a platform say besides: what engines and the store have room for. */
const dialectWith = (options: RushOptions): ConfigurationFormat => {
  const withRoom = (blueprint: Configuration): Configuration => {
    const { pool } = blueprint.services;
    if (pool?.kind !== 'pool') return blueprint;
    const shape = {
      keptTokens: options.engineTokens,
      tokenBytes: 163_840,
      linkBytesPerSecond: 137_500_000_000,
      conns: 0,
      calls: 0,
      healthPath: '',
    };
    return {
      ...blueprint,
      services: { ...blueprint.services, pool: { ...pool, shape } },
      stores: {
        [storeName]: {
          address: `${storeMachine}:1`,
          zone: '',
          keptTokens: options.storeTokens,
          linkBytesPerSecond: 48_000_000_000,
          calls: 0,
        },
      },
    };
  };
  const checked = (found: ReturnType<ConfigurationFormat['read']>): ReturnType<ConfigurationFormat['read']> =>
    found.kind === 'good' ? { ...found, value: withRoom(found.value) } : found;
  return {
    ...nativeConfigurationFormat,
    read: (text) => checked(nativeConfigurationFormat.read(text)),
    readTrusted: (text) => checked(nativeConfigurationFormat.readTrusted(text)),
  };
};

type Proxy = Readonly<{ name: string; process: SimProcess; proxy: EdgeProxy }>;

/** Engines that read one prompt after the other, keep named parts as long as there is room, and move them on request. */
class RushEngines {
  public readonly runs: RushRun[] = [];
  public turnedAway = 0;
  private readonly everRead = new Set<string>();
  private readonly freeAt = new Map<string, number>();
  private readonly running = new Map<string, Set<() => void>>();

  public constructor(
    private readonly world: World,
    private readonly fleet: LongPollFleet,
    private readonly options: RushOptions,
  ) {}

  public senderOf(process: SimProcess): BackEndSender {
    const { network } = this.fleet.controlFleet;
    return {
      send: (order, sink) => {
        const machine = order.address.split(':', 1)[0] ?? '';
        let over = false;
        const enter = (act: () => void): void => process.execute(() => (over ? undefined : act()));
        const back = (act: () => void): void => network.deliver(machine, process.machine, () => enter(act));
        const ended: BackEndResponseSink = {
          ...sink,
          end: () => {
            over = true;
            sink.end();
          },
          failed: (failure) => {
            over = true;
            sink.failed(failure);
          },
        };
        network.deliver(process.machine, machine, () => {
          if (this.at(machine) === undefined) return back(() => ended.failed({ kind: 'notRun', text: 'refused' }));
          back(() => {
            if (!sink.maySend()) return ended.failed({ kind: 'notRun', text: 'not sent' });
            network.deliver(process.machine, machine, () => this.arrive(machine, order.headers, ended, back));
          });
        });
        return { cut: () => void (over = true) };
      },
    };
  }

  public crash(name: string): void {
    this.fleet.engines.crash(name);
    for (const end of [...(this.running.get(name) ?? [])]) end();
  }

  public emptyStore(): void {
    const store = this.fleet.engines.get(storeName);
    store.cachedKeys.clear();
    store.log = [];
    store.sequence = 0;
    store.bootEpoch = `${store.bootEpoch}'`;
    for (const wake of [...store.waiting]) wake();
  }

  private at(machine: string): LongPollEngine | undefined {
    return [...this.fleet.engines.engines.values()].filter((one) => one.machine === machine && one.alive).at(-1);
  }

  private arrive(
    machine: string,
    headers: Readonly<Record<string, string>>,
    sink: BackEndResponseSink,
    back: (act: () => void) => void,
  ): void {
    const engine = this.at(machine);
    if (engine === undefined) return back(() => sink.failed({ kind: 'mayHaveRun', text: 'conn reset' }));
    const { order: id = '', salt = '', parts = '', source = '', target = '' } = headers;
    const said = { order: id, boot: engine.bootEpoch, weights: engine.weights };
    const notRun = (status: number): void =>
      back(() => {
        sink.head({ status, headers: said, framed: true });
        sink.end();
      });
    if (engine.name !== headers['engine'] || engine.loading !== undefined || engine.weights !== headers['weights']) {
      if (parts.includes(',')) this.turnedAway += 1;
      return notRun(421);
    }
    const running = this.running.get(engine.name) ?? new Set();
    this.running.set(engine.name, running);
    if (running.size >= capacity) return notRun(503);
    let gone = false;
    const end = (): void => {
      gone = true;
      running.delete(end);
      back(() => sink.failed({ kind: 'mayHaveRun', text: 'conn reset' }));
    };
    running.add(end);
    const begin = Math.max(this.world.nowMicroseconds, this.freeAt.get(engine.name) ?? 0);
    // Why reckoned at its turn: what is kept by then decides.
    this.freeAt.set(engine.name, begin);
    const [shared = '', own] = parts.split(',').map((part) => `${salt}/${part.split(':', 1)[0] ?? ''}`);
    const turn = (): void => {
      if (gone) return;
      const free = this.freeAt.get(engine.name) ?? 0;
      if (free > this.world.nowMicroseconds) return void this.world.schedule(free - this.world.nowMicroseconds, turn);
      if (own === undefined)
        return this.runShort(
          engine,
          id,
          sink,
          back,
          () => gone,
          () => running.delete(end),
        );
      const from = this.findPart(engine, shared, source);
      const read = (ownTokens + (from === 'read' ? sharedTokens : 0)) / tokensPerMillisecond;
      const takes = Math.round(read * 1000) + (from === 'moved' ? moveMicroseconds : 0);
      this.runs.push({
        id,
        engine: engine.name,
        weights: engine.weights,
        prefix: shared,
        from,
        again: from === 'read' && this.everRead.has(shared),
        atMicroseconds: this.world.nowMicroseconds,
      });
      this.freeAt.set(engine.name, this.world.nowMicroseconds + takes);
      this.world.schedule(takes, () => {
        if (gone) return;
        this.everRead.add(shared);
        this.keep(engine, shared, sharedTokens, this.options.engineTokens);
        this.keep(engine, own, ownTokens, this.options.engineTokens);
        if (target !== '') this.fill(shared, own);
        back(() => sink.head({ status: 200, headers: said, framed: true }));
        this.stream(
          id,
          sink,
          back,
          () => gone,
          () => running.delete(end),
        );
      });
    };
    turn();
  }

  /** It shares nothing, and what it leaves behind nobody is told of. */
  private runShort(
    engine: LongPollEngine,
    id: string,
    sink: BackEndResponseSink,
    back: (act: () => void) => void,
    gone: () => boolean,
    done: () => void,
  ): void {
    const takes = Math.round((shortTokens / tokensPerMillisecond) * 1000);
    this.freeAt.set(engine.name, this.world.nowMicroseconds + takes);
    this.world.schedule(takes, () => {
      if (gone()) return;
      back(() =>
        sink.head({
          status: 200,
          headers: { order: id, boot: engine.bootEpoch, weights: engine.weights },
          framed: true,
        }),
      );
      this.stream(id, sink, back, gone, done);
    });
  }

  private stream(
    id: string,
    sink: BackEndResponseSink,
    back: (act: () => void) => void,
    gone: () => boolean,
    done: () => void,
  ): void {
    const piece = (number: number): void => {
      if (gone()) return;
      back(() => void sink.chunk(Buffer.from(`id: ${number}\ndata: ${id}\n\n`)));
      if (number < events) return void this.world.schedule(pieceMicroseconds, () => piece(number + 1));
      done();
      this.world.schedule(pieceMicroseconds, () => back(() => sink.end()));
    };
    piece(1);
  }

  private findPart(engine: LongPollEngine, shared: string, source: string): RushRun['from'] {
    if (engine.cachedKeys.has(shared)) return touched(engine, shared) ? 'kept' : 'read';
    const holder = source === '' ? undefined : this.at(source.split(':', 1)[0] ?? '');
    return holder !== undefined && touched(holder, shared) ? 'moved' : 'read';
  }

  private fill(shared: string, own: string): void {
    const store = this.fleet.engines.get(storeName);
    this.world.schedule(60_000, () => {
      this.keep(store, shared, sharedTokens, this.options.storeTokens);
      this.keep(store, own, ownTokens, this.options.storeTokens);
    });
  }

  /** The part used longest ago makes room. */
  private keep(holder: LongPollEngine, part: string, size: number, room: number): void {
    if (touched(holder, part)) return;
    this.fleet.engines.keep(holder.name, part, size);
    let kept = [...holder.cachedKeys.values()].reduce((sum, one) => sum + one, 0);
    for (const [oldest, oldSize] of holder.cachedKeys) {
      if (kept <= room) return;
      this.fleet.engines.keep(holder.name, oldest, 0);
      kept -= oldSize;
    }
  }
}

const touched = ({ cachedKeys: kept }: LongPollEngine, part: string): boolean => {
  const size = kept.get(part);
  if (size === undefined) return false;
  kept.delete(part);
  kept.set(part, size);
  return true;
};

const orderOf = (id: string, { process }: Proxy, parts: readonly PromptPart[]): ProxyRequest => ({
  id,
  method: 'POST',
  path: '/v1/chat/completions',
  key: 'key-open1-a',
  contentType: '',
  body: '',
  arrivedMicroseconds: process.clock.nowMicroseconds(),
  model: 'long',
  passed: { parts: parts.map(({ name, size }) => `${name}:${size}`).join(',') },
  parts,
  promptTokens: parts.reduce((sum, { size }) => sum + size, 0),
  maxOutputTokens: events,
  limitMicroseconds: 6_000_000,
});

/** A rush on few prefixes among many, over new weights, a lost engine and a store that returns empty. */
export const runRush = async (seed: number, options: RushOptions = RushOptions.usual): Promise<RushOutcome> => {
  const world = new World(seed);
  const dialect = dialectWith(options);
  const fleet = new LongPollFleet(world, options.agents, { zone: '' }, dialect);
  const engineNames = fleet.addEngines(options.engines);
  fleet.engines.add(storeName, storeMachine, '', '');
  const engines = new RushEngines(world, fleet, options);
  const alone = Array.from({ length: options.proxiesAlone }, (_, index) => ({
    name: `alone-${index + 1}`,
    machine: `10.5.0.${index + 1}`,
  }));
  const proxies = [...fleet.agents, ...alone].map(({ name, machine }): Proxy => {
    const process = new SimProcess(world, `${name}-proxy`, machine);
    const effects = {
      clock: process.clock,
      random: world.random,
      transport: fleet.controlFleet.network.transportOf(process),
    };
    const proxy = new EdgeProxy(
      effects,
      engines.senderOf(process),
      {
        ...ProxyDefaults,
        name,
        agentAddress: `${machine}:1`,
        // Why only there: a proxy beside an agent finds it without them.
        ...(alone.some((one) => one.name === name) ? { seeds: fleet.controlFleet.seeds } : {}),
        engineList: 'listed',
        cutsOldWeights: false,
        unsentIsFree: true,
        weightsCutMicroseconds: 6_000_000,
        demand: { ...DemandSettings.usual, isOn: options.demand },
      },
      { backEnds: words, dialect },
    );
    return { name, process, proxy };
  });
  await fleet.start();
  for (const { proxy } of proxies) proxy.start();
  await world.runUntil(
    () => fleet.hasAllLeaseHolders(engineNames) && proxies.every(({ proxy }) => proxy.isReady()),
    20_000_000,
  );
  await world.runFor(2_000_000);
  fleet.controlFleet.network.linkBytesPerSecond = options.linkBytesPerSecond;
  const bytesBefore = fleet.controlFleet.network.bytes;
  const answers = new Map<string, RushAnswer>();
  const waits: number[] = [];
  const hotIds = new Set<string>();
  const short = (number: number): void => {
    const handle = proxies[Math.floor(world.random.fraction() * proxies.length)];
    const id = `s${seed}-${number}`;
    const ignored: ResponseSink = {
      begun: () => false,
      gone: () => false,
      onClientGone: () => undefined,
      head: () => undefined,
      part: () => undefined,
      end: () => undefined,
      cut: () => undefined,
      refuse: () => undefined,
    };
    handle?.process.execute(
      () => void handle.proxy.handle(orderOf(id, handle, [{ name: `own-${id}`, size: shortTokens }]), ignored),
    );
  };
  const one = (number: number): void => {
    const { random } = world;
    const isHot = random.fraction() * 1000 < options.hotPerMille;
    const prefix = isHot
      ? `hot${Math.floor(random.fraction() * options.hot)}`
      : `other${Math.floor(random.fraction() * options.others)}`;
    const handle = proxies[Math.floor(random.fraction() * proxies.length)];
    const id = `o${seed}-${number}`;
    if (handle === undefined) return;
    if (isHot) hotIds.add(id);
    const answer: RushAnswer = { ends: 0, whole: false, status: 0, left: false };
    answers.set(id, answer);
    const asked = world.nowMicroseconds;
    const sink: ResponseSink = {
      begun: () => answer.status !== 0,
      gone: () => false,
      onClientGone: () => undefined,
      head: ({ status }) => {
        answer.status = status;
        waits.push(world.nowMicroseconds - asked);
      },
      part: () => undefined,
      end: () => {
        answer.ends += 1;
        answer.whole = true;
      },
      cut: () => void (answer.ends += 1),
      refuse: ({ status }) => {
        answer.ends += 1;
        answer.status = status;
      },
    };
    const parts = [
      { name: prefix, size: sharedTokens },
      { name: `own${number}`, size: ownTokens },
    ];
    handle.process.execute(() => void handle.proxy.handle(orderOf(id, handle, parts), sink));
  };
  const shorts = options.seconds * options.shortPerSecond;
  for (let number = 0; number < shorts; number += 1)
    world.schedule(Math.floor(((number + world.random.fraction()) * 1_000_000) / options.shortPerSecond), () =>
      short(number),
    );
  const pause = 1_000_000 / options.ordersPerSecond;
  const orders = options.seconds * options.ordersPerSecond;
  for (let number = 0; number < orders; number += 1)
    world.schedule(Math.floor((number + world.random.fraction()) * pause), () => one(number));
  if (options.troubles) {
    const third = (options.seconds * 1_000_000) / 4;
    await world.runFor(third);
    await fleet.configureWeights('w2');
    await world.runFor(third);
    engines.crash('engine-3');
    fleet.engines.engines.delete('engine-3');
    fleet.engines.add('engine-9', '10.3.0.9', 'w2');
    await world.runFor(third);
    engines.emptyStore();
  }
  if (options.newWeights) {
    await world.runFor((options.seconds * 1_000_000) / 4);
    await fleet.configureWeights('w2');
  }
  await world.runUntil(
    () => answers.size === orders && [...answers.values()].every(({ ends }) => ends > 0),
    options.seconds * 1_000_000 + 10_000_000,
  );
  await world.runFor(2_000_000);
  const results = ['placed', 'silent', 'declined', 'resting', 'unknown'];
  const deskWords = Object.fromEntries(
    results.map((result) => [
      result,
      proxies.reduce((sum, { proxy }) => sum + proxy.metrics.value('postdrum_desk_words_total', { result }), 0),
    ]),
  );
  const bytesPerSecond = Math.round((fleet.controlFleet.network.bytes - bytesBefore) / options.seconds);
  const { turnedAway } = engines;
  return { ...outcomeOf(engines.runs, answers, hotIds, waits), turnedAway, deskWords, bytesPerSecond };
};

const outcomeOf = (
  runs: readonly RushRun[],
  answers: ReadonlyMap<string, RushAnswer>,
  hotIds: ReadonlySet<string>,
  waits: readonly number[],
): Omit<RushOutcome, 'turnedAway' | 'deskWords' | 'bytesPerSecond'> => {
  const all = [...answers.values()];
  const rebuilt = runs.filter(({ again }) => again);
  const hotRebuilt = rebuilt.filter(({ id }) => hotIds.has(id));
  const count = (from: RushRun['from']): number => runs.filter((run) => run.from === from).length;
  const sorted = [...waits].sort((left, right) => left - right);
  return {
    orders: answers.size,
    rebuilt: rebuilt.length,
    rebuiltPerMille: Math.round((rebuilt.length * 1000) / Math.max(1, answers.size)),
    hotRebuiltPerMille: Math.round((hotRebuilt.length * 1000) / Math.max(1, hotIds.size)),
    read: count('read'),
    moved: count('moved'),
    kept: count('kept'),
    doubled: runs.length - new Set(runs.map(({ id }) => id)).size,
    unanswered: all.filter(({ ends }) => ends === 0).length,
    answeredTwice: all.filter(({ ends }) => ends > 1).length,
    unasked: runs.filter(({ id }) => !answers.has(id)).length,
    refused: all.filter(({ whole }) => !whole).length,
    lateP50Microseconds: sorted[Math.floor(sorted.length / 2)] ?? 0,
    lateP90Microseconds: sorted[Math.floor(sorted.length * 0.9)] ?? 0,
  };
};
