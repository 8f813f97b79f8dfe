import { FillTables, type Fills } from '../../shared/directory/fills';
import type { Clock } from '../../shared/effects/clock/clock';

/** What one send asks of its engine. Sizes are in tokens. */
export type Work = Readonly<{
  order: string;
  /** Tokens it must read or move before its first event. */
  toRead: number;
  /** Tokens of its prompt and of what it may put out. */
  tokens: number;
  /** Names of the parts that the engine will keep because of it, beyond those that it keeps. */
  fills: readonly string[];
}>;

export type WorkSum = Readonly<{ reading: number; tokens: number }>;

type Running = Readonly<{ work: Work; begun: boolean }>;
type EngineBook = {
  bootEpoch: string;
  epoch: number;
  readonly running: Map<string, Running>;
  fills: Fills;
  /** Parts read a moment ago, that the holder's own events may not show yet. */
  readonly lately: Map<string, number>;
};

export type WorkSettings = Readonly<{
  /** How long a part that was read counts as kept before the holder's events say so. */
  latelyMicroseconds: number;
}>;

const nothing: WorkSum = { reading: 0, tokens: 0 };
const mostLately = 4096;

/**
 * What this proxy's own sends ask of each engine: running ones do not show in events yet. Fills are single-flight
 * here: who comes for a part that is being read joins, and goes where it is read.
 */
export class EngineWork {
  private readonly books = new Map<string, EngineBook>();
  private changeCount = 0;

  public constructor(
    private readonly clock: Clock,
    private readonly settings: WorkSettings,
  ) {}

  /** Rises with every change of what engines have to do. */
  public get changes(): number {
    return this.changeCount;
  }

  public began(engine: string, bootEpoch: string, work: Work): void {
    this.changeCount += 1;
    const book = this.bookOf(engine, bootEpoch);
    book.running.set(work.order, { work, begun: false });
    if (work.fills.length > 0)
      book.fills = FillTables.reduce(book.fills, {
        kind: 'begin',
        name: work.order,
        epoch: book.epoch,
        keys: work.fills,
      });
  }

  /** The first event of the answer: all of the prompt has been read. */
  public begun(engine: string, order: string): void {
    const book = this.books.get(engine);
    const running = book?.running.get(order);
    if (book === undefined || running === undefined || running.begun) return;
    this.changeCount += 1;
    book.running.set(order, { ...running, begun: true });
    this.endFill(book, order, 'finished');
    const now = this.clock.nowMicroseconds();
    for (const name of running.work.fills) {
      // Why deleted first: the map's order is that of their ages, oldest first.
      book.lately.delete(name);
      book.lately.set(name, now);
    }
    this.forgetOld(book, now);
  }

  public ended(engine: string, order: string): void {
    const book = this.books.get(engine);
    if (book === undefined) return;
    this.changeCount += 1;
    book.running.delete(order);
    this.endFill(book, order, 'failed');
  }

  /** Leading parts that the engine keeps, is reading, or has just read. `kept` of them are known from its events. */
  public matched(engine: string, bootEpoch: string, names: readonly string[], kept: number): number {
    const book = this.books.get(engine);
    if (book === undefined || book.bootEpoch !== bootEpoch) return kept;
    this.forgetOld(book, this.clock.nowMicroseconds());
    let matched = kept;
    while (matched < names.length && this.expects(book, names[matched] ?? '')) matched += 1;
    return matched;
  }

  public of(engine: string): WorkSum {
    const book = this.books.get(engine);
    if (book === undefined) return nothing;
    let reading = 0;
    let tokens = 0;
    for (const { work, begun } of book.running.values()) {
      if (!begun) reading += work.toRead;
      tokens += work.tokens;
    }
    return { reading, tokens };
  }

  /** For the other proxies: whole tokens, engines at rest left out. */
  public sums(): Readonly<Record<string, readonly [reading: number, tokens: number]>> {
    return Object.fromEntries(
      [...this.books.keys()].flatMap((engine) => {
        const { reading, tokens } = this.of(engine);
        return tokens === 0 ? [] : [[engine, [Math.round(reading), Math.round(tokens)] as const] as const];
      }),
    );
  }

  public keepOnly(engines: readonly string[]): void {
    const kept = new Set(engines);
    for (const [engine, { running }] of this.books)
      if (!kept.has(engine) && running.size === 0) this.books.delete(engine);
  }

  private bookOf(engine: string, bootEpoch: string): EngineBook {
    const known = this.books.get(engine);
    if (known === undefined) {
      const made: EngineBook = {
        bootEpoch,
        epoch: 1,
        running: new Map(),
        fills: FillTables.empty,
        lately: new Map(),
      };
      this.books.set(engine, made);
      return made;
    }
    if (known.bootEpoch !== bootEpoch) {
      // Why fenced: what was read before the restart is gone, whatever its fill says later.
      known.bootEpoch = bootEpoch;
      known.epoch += 1;
      known.fills = FillTables.reduce(known.fills, { kind: 'fence', epoch: known.epoch });
      known.lately.clear();
    }
    return known;
  }

  private endFill(book: EngineBook, order: string, notice: 'finished' | 'failed'): void {
    book.fills = FillTables.reduce(book.fills, { kind: 'end', name: order, notice });
  }

  private expects(book: EngineBook, name: string): boolean {
    return book.lately.has(name) || FillTables.forKey(book.fills, name) !== undefined;
  }

  private forgetOld(book: EngineBook, now: number): void {
    for (const [name, at] of book.lately) {
      if (now - at < this.settings.latelyMicroseconds && book.lately.size <= mostLately) return;
      book.lately.delete(name);
    }
  }
}
