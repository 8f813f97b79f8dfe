import type { EngineLister, ListedEngine, ListPage } from '../../source/edge-agent/engine-list/engineLister';
import type {
  BackEndControl,
  DirectiveOutcome,
  EngineStatus,
  KvEvent,
  KvEvents,
  KvList,
} from '../../source/shared/back-end/protocol';
import { Clocks } from '../../source/shared/effects/clock/clock';
import type { SimNetwork } from '../../source/fleet-simulator/world/simNetwork';
import type { SimProcess } from '../../source/fleet-simulator/world/simProcess';
import type { World } from '../../source/fleet-simulator/world/world';

/** One directive as an engine received it, for the checks of the tests. */
export type ReceivedDirective = Readonly<{
  engine: string;
  holder: string;
  term: number;
  model: string;
  weights: string;
  outcome: DirectiveOutcome;
  atMicroseconds: number;
}>;

/**
 * State of one simulated engine. `state` is what the list reports; `loading` are the weights being loaded, of `loadingModel`.
 * `weights` are those of its first model, `furtherModels` has the weights of others.
 */
export type LongPollEngine = {
  readonly name: string;
  readonly machine: string;
  readonly service: string;
  weights: string;
  readonly furtherModels: Map<string, string>;
  bootEpoch: string;
  alive: boolean;
  loading: string | undefined;
  loadingModel: string;
  /** A model whose weights it never loads. */
  failingModel: string | undefined;
  state: 'ready' | 'draining';
  sequence: number;
  log: KvEvent[];
  cachedKeys: Map<string, number>;
  waiting: Set<() => void>;
  readonly checksTerms: boolean;
  highestTerm: number;
};

/** Name of the first model of each engine. */
export const firstModel = 'm';
const loadMicroseconds = 400_000;
const keptEvents = 200;

/** Simulated engines with long polls for events, and the external service that lists them, in virtual time. */
export class LongPollEngines {
  public readonly receivedDirectives: ReceivedDirective[] = [];
  public readonly engines = new Map<string, LongPollEngine>();
  public readonly calls = { status: 0, list: 0, events: 0, pages: 0 };
  /** Replaces the responses of the list service; undefined: it lists the actual engines. */
  public listOverride: ((from: string | undefined) => ListPage | undefined) | undefined;
  /** Whether calls for events check the name of the intended engine. */
  public eventsCheckEngineName = true;
  public pageSize = 50;
  /** The caller and time of each call for a page of the list. */
  public readonly pageCalls: { agent: string; atMicroseconds: number }[] = [];

  public constructor(
    private readonly world: World,
    private readonly network: SimNetwork,
  ) {}

  public add(name: string, machine: string, weights: string, service = 'pool', checksTerms = true): LongPollEngine {
    const made: LongPollEngine = {
      name,
      machine,
      service,
      weights,
      furtherModels: new Map(),
      bootEpoch: `boot-${name}`,
      alive: true,
      loading: undefined,
      loadingModel: firstModel,
      failingModel: undefined,
      state: 'ready',
      sequence: 0,
      log: [],
      cachedKeys: new Map(),
      waiting: new Set(),
      checksTerms,
      highestTerm: 0,
    };
    this.engines.set(name, made);
    return made;
  }

  public get(name: string): LongPollEngine {
    const found = this.engines.get(name);
    if (found === undefined) throw new Error(`no engine ${name}`);
    return found;
  }

  /** The weights of all models on an engine. */
  public modelsOf({ weights, furtherModels }: LongPollEngine): Readonly<Record<string, string>> {
    return { [firstModel]: weights, ...Object.fromEntries(furtherModels) };
  }

  /** Caches a key with this size, or evicts it with size 0, and records the event. */
  public keep(name: string, key: string, size: number): void {
    const engine = this.get(name);
    engine.sequence += 1;
    if (size > 0) engine.cachedKeys.set(key, size);
    else engine.cachedKeys.delete(key);
    const event: KvEvent = { sequence: engine.sequence, kind: size > 0 ? 'stored' : 'evicted', key, size };
    engine.log = [...engine.log, event].slice(-keptEvents);
    for (const wake of [...engine.waiting]) wake();
  }

  /** Crashes an engine for good: its pending long polls fail. */
  public crash(name: string): void {
    const engine = this.get(name);
    engine.alive = false;
    for (const wake of [...engine.waiting]) wake();
  }

  public listed(): readonly ListedEngine[] {
    // Engines without a service are stores, which are not listed.
    const listed = [...this.engines.values()].filter(({ service }) => service !== '');
    return listed.map((engine) => ({
      name: engine.name,
      service: engine.service,
      address: `${engine.machine}:1`,
      zone: '',
      state: engine.state,
      capacity: 8,
      weights: this.modelsOf(engine),
    }));
  }

  public listerOf(agent: SimProcess): EngineLister {
    return {
      page: (from, limitMicroseconds) =>
        this.call(agent, 'list', limitMicroseconds, () => {
          this.calls.pages += 1;
          this.pageCalls.push({ agent: agent.name, atMicroseconds: this.world.nowMicroseconds });
          if (this.listOverride !== undefined) return this.listOverride(from);
          const all = this.listed();
          const at = Number(from ?? 0);
          const next = at + this.pageSize < all.length ? String(at + this.pageSize) : undefined;
          return { engines: all.slice(at, at + this.pageSize), next };
        }),
    };
  }

  public engineClientOf(agent: SimProcess): BackEndControl {
    const at = (address: string): LongPollEngine | undefined =>
      [...this.engines.values()].filter(({ machine }) => `${machine}:1` === address).at(-1);
    const isIntended = (engine: LongPollEngine | undefined, meant: string | undefined): boolean =>
      engine?.alive === true && (meant === undefined || meant === engine.name);
    const ask = <Result>(
      address: string,
      limit: number,
      act: (engine: LongPollEngine) => Result,
      meant?: string,
    ): Promise<Result | undefined> =>
      this.call(agent, address.split(':', 1)[0] ?? '', limit, () => {
        const engine = at(address);
        return engine !== undefined && isIntended(engine, meant) ? act(engine) : undefined;
      });
    return {
      traits: { drains: false, holdsEvents: true, derivedNames: true, storesHaveStatus: false },
      status: (address, limit, meant) =>
        ask(
          address,
          limit,
          (engine): EngineStatus => {
            this.calls.status += 1;
            return {
              bootEpoch: '',
              weights: engine.furtherModels.size === 0 ? engine.weights : '',
              capacity: 0,
              inFlight: 0,
              accepting: true,
              models: this.modelsOf(engine),
              busy: engine.loading !== undefined,
            };
          },
          meant,
        ),
      list: (address, limit, meant) =>
        ask(
          address,
          limit,
          (engine): KvList => {
            this.calls.list += 1;
            const { bootEpoch, sequence, cachedKeys: kept } = engine;
            return { bootEpoch, sequence, keys: [...kept.keys()], sizes: [...kept.values()] };
          },
          meant,
        ),
      events: (address, after, _boot, limit, hold = 0, meant = undefined) =>
        this.call(agent, address.split(':', 1)[0] ?? '', limit, () => {
          this.calls.events += 1;
          const engine = at(address);
          return engine !== undefined && isIntended(engine, this.eventsCheckEngineName ? meant : undefined)
            ? this.held(engine, after, hold)
            : undefined;
        }),
      directive: async (address, directive, limit) => {
        if (directive.kind !== 'loadWeights') return 'failed';
        const outcome = await ask(address, limit, (engine) => this.handleDirective(engine, directive));
        return outcome ?? 'failed';
      },
    };
  }

  private handleDirective(
    engine: LongPollEngine,
    directive: Readonly<{ steward: string; term: number; weights: string; model?: string; engine?: string }>,
  ): DirectiveOutcome {
    const { model = firstModel } = directive;
    const outcome = this.outcomeOf(engine, directive);
    this.receivedDirectives.push({
      engine: engine.name,
      holder: directive.steward,
      term: directive.term,
      model,
      weights: directive.weights,
      outcome,
      atMicroseconds: this.world.nowMicroseconds,
    });
    if (outcome !== 'begun') return outcome;
    engine.loading = directive.weights;
    engine.loadingModel = model;
    this.world.schedule(loadMicroseconds, () => {
      if (!engine.alive || engine.loading === undefined) return;
      if (model === firstModel) engine.weights = engine.loading;
      else engine.furtherModels.set(model, engine.loading);
      engine.loading = undefined;
      for (const key of [...engine.cachedKeys.keys()]) this.keep(engine.name, key, 0);
    });
    return outcome;
  }

  private outcomeOf(
    engine: LongPollEngine,
    {
      term,
      weights,
      model = firstModel,
      engine: meant,
    }: Readonly<{ term: number; weights: string; model?: string; engine?: string }>,
  ): DirectiveOutcome {
    if (model === engine.failingModel || !Object.hasOwn(this.modelsOf(engine), model)) return 'failed';
    if (meant !== undefined && meant !== engine.name) return 'failed';
    if (engine.checksTerms && term < engine.highestTerm) return 'oldTerm';
    engine.highestTerm = Math.max(engine.highestTerm, term);
    if (engine.loading !== undefined) return 'otherUnderWay';
    return this.modelsOf(engine)[model] === weights ? 'done' : 'begun';
  }

  private async held(engine: LongPollEngine, after: number, hold: number): Promise<KvEvents | undefined> {
    const read = (): KvEvents => {
      const first = engine.log[0]?.sequence ?? engine.sequence + 1;
      const events = engine.log.filter(({ sequence }) => sequence > after);
      return { bootEpoch: engine.bootEpoch, events, last: engine.sequence, lost: after + 1 < first };
    };
    if (engine.sequence <= after && hold > 0) {
      let wake: () => void = () => undefined;
      await Clocks.withTimeout(
        this.world.clock,
        hold,
        new Promise<void>((resolve) => {
          wake = resolve;
          engine.waiting.add(resolve);
        }),
      );
      engine.waiting.delete(wake);
    }
    return engine.alive ? read() : undefined;
  }

  /** Simulates a call over the network; with a cut link or a dead side it returns nothing until the limit. */
  private call<Result>(
    agent: SimProcess,
    machine: string,
    limitMicroseconds: number,
    act: () => Result | Promise<Result>,
  ): Promise<Awaited<Result> | undefined> {
    return Clocks.withTimeout(
      agent.clock,
      limitMicroseconds,
      new Promise<Awaited<Result> | undefined>((resolve) => {
        this.network.deliver(
          agent.machine,
          machine,
          () =>
            void Promise.resolve(act()).then((result) =>
              this.network.deliver(machine, agent.machine, () => agent.execute(() => resolve(result))),
            ),
        );
      }),
    );
  }
}
