import { FillTables, type Fills } from '../../shared/directory/fills';
import type { Clock } from '../../shared/effects/clock/clock';

/** The work that one send causes on its engine. Sizes are in tokens. */
export type SendWork = Readonly<{
  order: string;
  /** Tokens that must be prefilled or imported before its first event. */
  tokensToPrefill: number;
  /** Tokens of the prompt plus the maximum output. */
  tokens: number;
  /** Keys of the prompt parts that the engine will newly cache because of it. */
  fills: readonly string[];
}>;

/** Work on one engine: tokens whose prefill is pending, and tokens of all running requests. */
export type WorkSum = Readonly<{ pendingPrefillTokens: number; tokens: number }>;

type Running = Readonly<{ work: SendWork; begun: boolean }>;
type EngineState = {
  bootEpoch: string;
  epoch: number;
  readonly running: Map<string, Running>;
  fills: Fills;
  /** Time by part, for parts prefilled recently that the engine's own cache events may not show yet. */
  readonly recentlyPrefilled: Map<string, number>;
};

export type EngineWorkSettings = Readonly<{
  /** How long a prefilled part counts as cached before the engine's cache events confirm it. */
  recentMicroseconds: number;
}>;

const noWork: WorkSum = { pendingPrefillTokens: 0, tokens: 0 };
/** Maximum number of recently prefilled parts remembered per engine. */
const maxRecentlyPrefilled = 4096;

/**
 * The work that this proxy's own sends cause on each engine; the engines' cache events do not show running sends yet. Prefills are
 * single-flight: a request for a part that is being prefilled joins that prefill and goes to the same engine.
 */
export class EngineWork {
  private readonly states = new Map<string, EngineState>();
  private changeCount = 0;

  public constructor(
    private readonly clock: Clock,
    private readonly settings: EngineWorkSettings,
  ) {}

  /** Increases with every change of the recorded work. */
  public get changes(): number {
    return this.changeCount;
  }

  /** Records the start of a send. */
  public recordSendStart(engine: string, bootEpoch: string, work: SendWork): void {
    this.changeCount += 1;
    const state = this.stateOf(engine, bootEpoch);
    state.running.set(work.order, { work, begun: false });
    if (work.fills.length > 0)
      state.fills = FillTables.reduce(state.fills, {
        kind: 'begin',
        name: work.order,
        epoch: state.epoch,
        keys: work.fills,
      });
  }

  /** Records the first event of the response: the whole prompt has been prefilled. */
  public begun(engine: string, order: string): void {
    const state = this.states.get(engine);
    const running = state?.running.get(order);
    if (state === undefined || running === undefined || running.begun) return;
    this.changeCount += 1;
    state.running.set(order, { ...running, begun: true });
    this.endFill(state, order, 'finished');
    const now = this.clock.nowMicroseconds();
    for (const name of running.work.fills) {
      // Deleted first so that the map stays ordered by age, oldest first.
      state.recentlyPrefilled.delete(name);
      state.recentlyPrefilled.set(name, now);
    }
    this.expireRecent(state, now);
  }

  /** Records the end of a send. */
  public ended(engine: string, order: string): void {
    const state = this.states.get(engine);
    if (state === undefined) return;
    this.changeCount += 1;
    state.running.delete(order);
    this.endFill(state, order, 'failed');
  }

  /** Number of leading parts that the engine has cached, is prefilling, or has just prefilled. `kept` of them are known from its events. */
  public matched(engine: string, bootEpoch: string, names: readonly string[], kept: number): number {
    const state = this.states.get(engine);
    if (state === undefined || state.bootEpoch !== bootEpoch) return kept;
    this.expireRecent(state, this.clock.nowMicroseconds());
    let matched = kept;
    while (matched < names.length && this.isExpected(state, names[matched] ?? '')) matched += 1;
    return matched;
  }

  /** The work of this proxy's sends on an engine. */
  public of(engine: string): WorkSum {
    const state = this.states.get(engine);
    if (state === undefined) return noWork;
    let reading = 0;
    let tokens = 0;
    for (const { work, begun } of state.running.values()) {
      if (!begun) reading += work.tokensToPrefill;
      tokens += work.tokens;
    }
    return { pendingPrefillTokens: reading, tokens };
  }

  /** The work by engine, as sent to the other proxies: rounded to tokens, without idle engines. */
  public sums(): Readonly<Record<string, readonly [reading: number, tokens: number]>> {
    return Object.fromEntries(
      [...this.states.keys()].flatMap((engine) => {
        const { pendingPrefillTokens: reading, tokens } = this.of(engine);
        return tokens === 0 ? [] : [[engine, [Math.round(reading), Math.round(tokens)] as const] as const];
      }),
    );
  }

  /** Drops engines that are neither listed here nor running a send. */
  public keepOnly(engines: readonly string[]): void {
    const kept = new Set(engines);
    for (const [engine, { running }] of this.states)
      if (!kept.has(engine) && running.size === 0) this.states.delete(engine);
  }

  private stateOf(engine: string, bootEpoch: string): EngineState {
    const known = this.states.get(engine);
    if (known === undefined) {
      const created: EngineState = {
        bootEpoch,
        epoch: 1,
        running: new Map(),
        fills: FillTables.empty,
        recentlyPrefilled: new Map(),
      };
      this.states.set(engine, created);
      return created;
    }
    if (known.bootEpoch !== bootEpoch) {
      // Fenced because the engine lost its cache with the restart, so later results of older prefills must not count.
      known.bootEpoch = bootEpoch;
      known.epoch += 1;
      known.fills = FillTables.reduce(known.fills, { kind: 'fence', epoch: known.epoch });
      known.recentlyPrefilled.clear();
    }
    return known;
  }

  private endFill(state: EngineState, order: string, notice: 'finished' | 'failed'): void {
    state.fills = FillTables.reduce(state.fills, { kind: 'end', name: order, notice });
  }

  private isExpected(state: EngineState, name: string): boolean {
    return state.recentlyPrefilled.has(name) || FillTables.findByKey(state.fills, name) !== undefined;
  }

  private expireRecent(state: EngineState, now: number): void {
    for (const [name, at] of state.recentlyPrefilled) {
      if (now - at < this.settings.recentMicroseconds && state.recentlyPrefilled.size <= maxRecentlyPrefilled) return;
      state.recentlyPrefilled.delete(name);
    }
  }
}
