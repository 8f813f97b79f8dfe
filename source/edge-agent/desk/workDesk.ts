import type { Clock } from '../../shared/effects/clock/clock';
import type { DeskOrder, DeskWord } from '../../shared/desk/messages';

export type WorkDeskSettings = Readonly<{
  /** A reservation of which nobody has spoken for so long is over. */
  forgetMicroseconds: number;
  /** How long a prefix that was read counts as known here; by then the directory tells. */
  latelyMicroseconds: number;
  /** What reading a prefix again costs where it is kept elsewhere, as a multiple of the time that it takes. */
  rereadFactor: number;
  /** An order waits no longer than this for another one to read what both share. */
  mostWaitMicroseconds: number;
}>;

export const WorkDeskSettings = {
  usual: {
    forgetMicroseconds: 6_000_000,
    latelyMicroseconds: 4_000_000,
    rereadFactor: 6,
    mostWaitMicroseconds: 1_500_000,
  } satisfies WorkDeskSettings,
} as const;

type Reservation = Readonly<{ order: string; prefix: string; read: number; atMicroseconds: number }>;
type Kept = Readonly<{ engine: string; atMicroseconds: number; done: boolean }>;

const mostPrefixes = 8192;
const mostWaiting = 1024;

/** Starting value, ours: reading takes longer than it should where short orders come between. */
const lateFactor = 1.5;

/**
 * Where long orders get their engine, one after the other, at one daemon for all. Why one: proxies learn of each other's
 * work too late, and two that choose for themselves read the same prompt twice, or queue where another engine is idle.
 * It holds nothing that could not be lost: an order that gets no word in time is placed by its own proxy.
 */
export class WorkDesk {
  private readonly engines = new Map<string, Reservation[]>();
  private readonly prefixes = new Map<string, Kept>();
  private readonly waiting = new Map<string, Set<() => void>>();
  private waitingCount = 0;

  public constructor(
    private readonly clock: Clock,
    private readonly settings: WorkDeskSettings = WorkDeskSettings.usual,
  ) {}

  public reserve({ order, prefix, offers }: DeskOrder): DeskWord {
    const now = this.clock.nowMicroseconds();
    const kept = prefix === '' ? undefined : this.keptNow(prefix, now);
    let best: Readonly<{ engine: string; cost: number; read: number }> | undefined;
    for (const [engine, cost, read, rest, move, copy = 0] of offers) {
      const elsewhere = kept !== undefined && kept.engine !== engine;
      // Why only once it is read: before, there is nothing to move, and reading it twice costs all more than waiting.
      const moves = elsewhere && kept.done && rest + move < read;
      const again = elsewhere && !moves ? (read - rest) * this.settings.rereadFactor : 0;
      const reads = kept?.engine === engine ? rest : moves ? rest + move : read;
      // Why nothing where it was just read: the asker may not know of that copy yet.
      const copies = kept?.engine === engine ? 0 : copy;
      const all = cost + reads + again + copies + this.waitMicroseconds(engine, now);
      if (best === undefined || all < best.cost) best = { engine, cost: all, read: reads };
    }
    if (best === undefined) return { engine: '', joined: false, keeper: '' };
    const { engine, read } = best;
    const list = this.engines.get(engine) ?? [];
    list.push({ order, prefix, read, atMicroseconds: now });
    this.engines.set(engine, list);
    if (prefix !== '' && kept === undefined) this.remember(prefix, { engine, atMicroseconds: now, done: false });
    const joined = kept?.engine === engine;
    const word = { engine, joined, keeper: kept === undefined || joined ? '' : kept.engine };
    // Why wait: an engine that is given the same parts twice before it has read them reads them twice.
    return joined && !kept.done ? { ...word, waitMicroseconds: this.readingMicroseconds(engine, now) } : word;
  }

  /** Resolves once the prefix has been read, or will not be, and after the time that its reader should need. */
  public read(prefix: string): Promise<void> {
    const now = this.clock.nowMicroseconds();
    const kept = this.keptNow(prefix, now);
    if (kept === undefined || kept.done || this.waitingCount >= mostWaiting) return Promise.resolve();
    return new Promise((resolve) => {
      const end = (): void => {
        cancel();
        if (!this.waiting.get(prefix)?.delete(end)) return;
        if (this.waiting.get(prefix)?.size === 0) this.waiting.delete(prefix);
        this.waitingCount -= 1;
        resolve();
      };
      const cancel = this.clock.after(this.readingMicroseconds(kept.engine, now), end);
      const others = this.waiting.get(prefix) ?? new Set();
      this.waiting.set(prefix, others.add(end));
      this.waitingCount += 1;
    });
  }

  private readingMicroseconds(engine: string, now: number): number {
    return Math.round(Math.min(this.settings.mostWaitMicroseconds, this.waitMicroseconds(engine, now) * lateFactor));
  }

  private wake(prefix: string): void {
    for (const end of [...(this.waiting.get(prefix) ?? [])]) end();
  }

  /** The first event of an answer has come, or it never will: the engine has read that prompt, or stopped. */
  public done(engine: string, order: string, good: boolean): void {
    const list = this.engines.get(engine) ?? [];
    const found = list.find((reservation) => reservation.order === order);
    if (found === undefined) return;
    this.engines.set(
      engine,
      list.filter((reservation) => reservation !== found),
    );
    const kept = this.prefixes.get(found.prefix);
    if (kept?.engine !== engine) return;
    if (good) this.remember(found.prefix, { engine, atMicroseconds: this.clock.nowMicroseconds(), done: true });
    else if (!kept.done) this.prefixes.delete(found.prefix);
    if (good || !kept.done) this.wake(found.prefix);
  }

  public keepOnly(engines: readonly string[]): void {
    const kept = new Set(engines);
    for (const engine of this.engines.keys()) if (!kept.has(engine)) this.engines.delete(engine);
    for (const [prefix, { engine }] of this.prefixes)
      if (!kept.has(engine)) {
        this.prefixes.delete(prefix);
        this.wake(prefix);
      }
  }

  /** How long an engine still reads what it has, by what was said of each order when it came. */
  public waitMicroseconds(engine: string, now = this.clock.nowMicroseconds()): number {
    const list = this.engines.get(engine);
    if (list === undefined || list.length === 0) return 0;
    const live = list.filter(({ atMicroseconds }) => now - atMicroseconds < this.settings.forgetMicroseconds);
    if (live.length !== list.length) this.engines.set(engine, live);
    let free = 0;
    // Why at least a little: what should be over and is not may be over any moment, or be late.
    for (const { read, atMicroseconds } of live) free = Math.max(free, atMicroseconds) + read;
    return Math.max(free - now, (live.reduce((sum, { read }) => sum + read, 0) / 10) | 0, 0);
  }

  private keptNow(prefix: string, now: number): Kept | undefined {
    const kept = this.prefixes.get(prefix);
    if (kept === undefined) return undefined;
    const limit = kept.done ? this.settings.latelyMicroseconds : this.settings.forgetMicroseconds;
    if (now - kept.atMicroseconds < limit) return kept;
    this.prefixes.delete(prefix);
    return undefined;
  }

  private remember(prefix: string, kept: Kept): void {
    this.prefixes.delete(prefix);
    this.prefixes.set(prefix, kept);
    const [oldest] = this.prefixes.keys();
    if (this.prefixes.size > mostPrefixes && oldest !== undefined) this.prefixes.delete(oldest);
  }
}
