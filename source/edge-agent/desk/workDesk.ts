import type { Clock } from '../../shared/effects/clock/clock';
import type { DeskOrder, DeskWord } from '../../shared/desk/messages';

export type WorkDeskSettings = Readonly<{
  /** A reservation whose completion is not reported within this time expires. */
  forgetMicroseconds: number;
  /** How long a prefilled prefix is remembered here; by then the directory of cached blocks lists it. */
  latelyMicroseconds: number;
  /** Cost of prefilling a prefix that another engine already has, as a multiple of the prefill time. */
  rereadFactor: number;
  /** The longest time that a request waits for another request to prefill their shared prefix. */
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
/** `done`: the engine has prefilled the prefix; otherwise it is still being prefilled. */
type PrefixLocation = Readonly<{ engine: string; atMicroseconds: number; done: boolean }>;

const maxPrefixes = 8192;
const maxWaiters = 1024;

/** Prefill takes longer than estimated when short requests interrupt it. */
const prefillDelayFactor = 1.5;

/**
 * Assigns engines to long requests, one request at a time, in one agent for the whole fleet. A single scheduler is needed
 * because proxies learn of each other's work too late: two that choose independently prefill the same prompt twice, or
 * queue at one engine while another is idle. Its state may be lost at any time: a proxy that gets no decision in time
 * places the request itself.
 */
export class WorkDesk {
  private readonly engines = new Map<string, Reservation[]>();
  private readonly prefixes = new Map<string, PrefixLocation>();
  private readonly waiting = new Map<string, Set<() => void>>();
  private waiterCount = 0;

  public constructor(
    private readonly clock: Clock,
    private readonly settings: WorkDeskSettings = WorkDeskSettings.usual,
  ) {}

  public reserve({ order, prefix, offers }: DeskOrder): DeskWord {
    const now = this.clock.nowMicroseconds();
    const location = prefix === '' ? undefined : this.currentLocation(prefix, now);
    let best: Readonly<{ engine: string; cost: number; read: number }> | undefined;
    for (const [engine, cost, read, rest, move, copy = 0] of offers) {
      const elsewhere = location !== undefined && location.engine !== engine;
      // Blocks can be moved only after the prefill; before that there is nothing to move, and a second prefill costs the
      // fleet more than waiting.
      const isMoved = elsewhere && location.done && rest + move < read;
      const rereadCost = elsewhere && !isMoved ? (read - rest) * this.settings.rereadFactor : 0;
      const prefill = location?.engine === engine ? rest : isMoved ? rest + move : read;
      // A prefix that was just prefilled here adds no copy; the requesting proxy may not know of that copy yet.
      const copyCost = location?.engine === engine ? 0 : copy;
      const total = cost + prefill + rereadCost + copyCost + this.waitMicroseconds(engine, now);
      if (best === undefined || total < best.cost) best = { engine, cost: total, read: prefill };
    }
    if (best === undefined) return { engine: '', joined: false, keeper: '' };
    const { engine, read } = best;
    const reservations = this.engines.get(engine) ?? [];
    reservations.push({ order, prefix, read, atMicroseconds: now });
    this.engines.set(engine, reservations);
    if (prefix !== '' && location === undefined) this.remember(prefix, { engine, atMicroseconds: now, done: false });
    const joined = location?.engine === engine;
    const decision = { engine, joined, keeper: location === undefined || joined ? '' : location.engine };
    // The request waits because an engine that gets the same prompt parts again before it has prefilled them prefills
    // them twice.
    return joined && !location.done
      ? { ...decision, waitMicroseconds: this.prefillMicroseconds(engine, now) }
      : decision;
  }

  /** Resolves when the prefill of the prefix has finished or failed, at the latest after its expected duration. */
  public read(prefix: string): Promise<void> {
    const now = this.clock.nowMicroseconds();
    const location = this.currentLocation(prefix, now);
    if (location === undefined || location.done || this.waiterCount >= maxWaiters) return Promise.resolve();
    return new Promise((resolve) => {
      const finish = (): void => {
        cancel();
        if (!this.waiting.get(prefix)?.delete(finish)) return;
        if (this.waiting.get(prefix)?.size === 0) this.waiting.delete(prefix);
        this.waiterCount -= 1;
        resolve();
      };
      const cancel = this.clock.after(this.prefillMicroseconds(location.engine, now), finish);
      const others = this.waiting.get(prefix) ?? new Set();
      this.waiting.set(prefix, others.add(finish));
      this.waiterCount += 1;
    });
  }

  private prefillMicroseconds(engine: string, now: number): number {
    return Math.round(
      Math.min(this.settings.mostWaitMicroseconds, this.waitMicroseconds(engine, now) * prefillDelayFactor),
    );
  }

  private wakeWaiters(prefix: string): void {
    for (const finish of [...(this.waiting.get(prefix) ?? [])]) finish();
  }

  /**
   * Ends a reservation. `succeeded`: the first event of the response arrived, so the engine has prefilled the prompt;
   * otherwise the request failed.
   */
  public done(engine: string, order: string, succeeded: boolean): void {
    const reservations = this.engines.get(engine) ?? [];
    const match = reservations.find((reservation) => reservation.order === order);
    if (match === undefined) return;
    this.engines.set(
      engine,
      reservations.filter((reservation) => reservation !== match),
    );
    const location = this.prefixes.get(match.prefix);
    if (location?.engine !== engine) return;
    if (succeeded) this.remember(match.prefix, { engine, atMicroseconds: this.clock.nowMicroseconds(), done: true });
    else if (!location.done) this.prefixes.delete(match.prefix);
    if (succeeded || !location.done) this.wakeWaiters(match.prefix);
  }

  /** Drops the reservations and prefixes of all engines that are not listed. */
  public keepOnly(engines: readonly string[]): void {
    const retained = new Set(engines);
    for (const engine of this.engines.keys()) if (!retained.has(engine)) this.engines.delete(engine);
    for (const [prefix, { engine }] of this.prefixes)
      if (!retained.has(engine)) {
        this.prefixes.delete(prefix);
        this.wakeWaiters(prefix);
      }
  }

  /** How long an engine's reserved prefills still take, by the prefill time that each request gave with its reservation. */
  public waitMicroseconds(engine: string, now = this.clock.nowMicroseconds()): number {
    const reservations = this.engines.get(engine);
    if (reservations === undefined || reservations.length === 0) return 0;
    const unexpired = reservations.filter(
      ({ atMicroseconds }) => now - atMicroseconds < this.settings.forgetMicroseconds,
    );
    if (unexpired.length !== reservations.length) this.engines.set(engine, unexpired);
    let idleAt = 0;
    // An overdue prefill may end at any moment or be late, so at least a tenth of the reserved time is assumed.
    for (const { read, atMicroseconds } of unexpired) idleAt = Math.max(idleAt, atMicroseconds) + read;
    return Math.max(idleAt - now, (unexpired.reduce((sum, { read }) => sum + read, 0) / 10) | 0, 0);
  }

  private currentLocation(prefix: string, now: number): PrefixLocation | undefined {
    const location = this.prefixes.get(prefix);
    if (location === undefined) return undefined;
    const limit = location.done ? this.settings.latelyMicroseconds : this.settings.forgetMicroseconds;
    if (now - location.atMicroseconds < limit) return location;
    this.prefixes.delete(prefix);
    return undefined;
  }

  private remember(prefix: string, location: PrefixLocation): void {
    this.prefixes.delete(prefix);
    this.prefixes.set(prefix, location);
    const [oldest] = this.prefixes.keys();
    if (this.prefixes.size > maxPrefixes && oldest !== undefined) this.prefixes.delete(oldest);
  }
}
