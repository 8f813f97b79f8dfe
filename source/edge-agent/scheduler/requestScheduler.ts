import type { Clock } from '../../shared/effects/clock/clock';
import type { SchedulerRequest, SchedulerDecision } from '../../shared/scheduler/schedulerMessages';

export type RequestSchedulerSettings = Readonly<{
  /** A reservation whose completion is not reported within this time expires. */
  reservationTimeoutMicroseconds: number;
  /** How long a prefilled prefix is remembered here; by then the directory of cached blocks lists it. */
  prefixMemoryMicroseconds: number;
  /** Cost of prefilling a prefix that another engine already has, as a multiple of the prefill time. */
  repeatedPrefillFactor: number;
  /** The longest time that a request waits for another request to prefill their shared prefix. */
  maxWaitMicroseconds: number;
}>;

export const RequestSchedulerSettings = {
  usual: {
    reservationTimeoutMicroseconds: 6_000_000,
    prefixMemoryMicroseconds: 4_000_000,
    repeatedPrefillFactor: 6,
    maxWaitMicroseconds: 1_500_000,
  } satisfies RequestSchedulerSettings,
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
export class RequestScheduler {
  private readonly reservations = new Map<string, Reservation[]>();
  private readonly prefixLocations = new Map<string, PrefixLocation>();
  private readonly waiters = new Map<string, Set<() => void>>();
  private waiterCount = 0;

  public constructor(
    private readonly clock: Clock,
    private readonly settings: RequestSchedulerSettings = RequestSchedulerSettings.usual,
  ) {}

  public reserve({ order: requestId, prefix, offers }: SchedulerRequest): SchedulerDecision {
    const now = this.clock.nowMicroseconds();
    const location = prefix === '' ? undefined : this.currentLocation(prefix, now);
    let best: Readonly<{ engine: string; cost: number; read: number }> | undefined;
    for (const [engine, cost, read, rest, move, copy = 0] of offers) {
      const elsewhere = location !== undefined && location.engine !== engine;
      // Blocks can be moved only after the prefill; before that there is nothing to move, and a second prefill costs the
      // fleet more than waiting.
      const isMoved = elsewhere && location.done && rest + move < read;
      const rereadCost = elsewhere && !isMoved ? (read - rest) * this.settings.repeatedPrefillFactor : 0;
      const prefill = location?.engine === engine ? rest : isMoved ? rest + move : read;
      // A prefix that was just prefilled here adds no copy; the requesting proxy may not know of that copy yet.
      const copyCost = location?.engine === engine ? 0 : copy;
      const total = cost + prefill + rereadCost + copyCost + this.waitMicroseconds(engine, now);
      if (best === undefined || total < best.cost) best = { engine, cost: total, read: prefill };
    }
    if (best === undefined) return { engine: '', joined: false, keeper: '' };
    const { engine, read } = best;
    const reservations = this.reservations.get(engine) ?? [];
    reservations.push({ order: requestId, prefix, read, atMicroseconds: now });
    this.reservations.set(engine, reservations);
    if (prefix !== '' && location === undefined)
      this.rememberLocation(prefix, { engine, atMicroseconds: now, done: false });
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
        if (!this.waiters.get(prefix)?.delete(finish)) return;
        if (this.waiters.get(prefix)?.size === 0) this.waiters.delete(prefix);
        this.waiterCount -= 1;
        resolve();
      };
      const cancel = this.clock.after(this.prefillMicroseconds(location.engine, now), finish);
      const others = this.waiters.get(prefix) ?? new Set();
      this.waiters.set(prefix, others.add(finish));
      this.waiterCount += 1;
    });
  }

  private prefillMicroseconds(engine: string, now: number): number {
    return Math.round(
      Math.min(this.settings.maxWaitMicroseconds, this.waitMicroseconds(engine, now) * prefillDelayFactor),
    );
  }

  private wakeWaiters(prefix: string): void {
    for (const finish of [...(this.waiters.get(prefix) ?? [])]) finish();
  }

  /**
   * Ends a reservation. `succeeded`: the first event of the response arrived, so the engine has prefilled the prompt;
   * otherwise the request failed.
   */
  public done(engine: string, requestId: string, succeeded: boolean): void {
    const reservations = this.reservations.get(engine) ?? [];
    const match = reservations.find((reservation) => reservation.order === requestId);
    if (match === undefined) return;
    this.reservations.set(
      engine,
      reservations.filter((reservation) => reservation !== match),
    );
    const location = this.prefixLocations.get(match.prefix);
    if (location?.engine !== engine) return;
    if (succeeded)
      this.rememberLocation(match.prefix, { engine, atMicroseconds: this.clock.nowMicroseconds(), done: true });
    else if (!location.done) this.prefixLocations.delete(match.prefix);
    if (succeeded || !location.done) this.wakeWaiters(match.prefix);
  }

  /** Drops the reservations and prefixes of all engines that are not listed. */
  public retainEngines(engines: readonly string[]): void {
    const retained = new Set(engines);
    for (const engine of this.reservations.keys()) if (!retained.has(engine)) this.reservations.delete(engine);
    for (const [prefix, { engine }] of this.prefixLocations)
      if (!retained.has(engine)) {
        this.prefixLocations.delete(prefix);
        this.wakeWaiters(prefix);
      }
  }

  /** How long an engine's reserved prefills still take, by the prefill time that each request gave with its reservation. */
  public waitMicroseconds(engine: string, now = this.clock.nowMicroseconds()): number {
    const reservations = this.reservations.get(engine);
    if (reservations === undefined || reservations.length === 0) return 0;
    const unexpired = reservations.filter(
      ({ atMicroseconds }) => now - atMicroseconds < this.settings.reservationTimeoutMicroseconds,
    );
    if (unexpired.length !== reservations.length) this.reservations.set(engine, unexpired);
    let idleAt = 0;
    // An overdue prefill may end at any moment or be late, so at least a tenth of the reserved time is assumed.
    for (const { read, atMicroseconds } of unexpired) idleAt = Math.max(idleAt, atMicroseconds) + read;
    return Math.max(idleAt - now, (unexpired.reduce((sum, { read }) => sum + read, 0) / 10) | 0, 0);
  }

  private currentLocation(prefix: string, now: number): PrefixLocation | undefined {
    const location = this.prefixLocations.get(prefix);
    if (location === undefined) return undefined;
    const limit = location.done ? this.settings.prefixMemoryMicroseconds : this.settings.reservationTimeoutMicroseconds;
    if (now - location.atMicroseconds < limit) return location;
    this.prefixLocations.delete(prefix);
    return undefined;
  }

  private rememberLocation(prefix: string, location: PrefixLocation): void {
    this.prefixLocations.delete(prefix);
    this.prefixLocations.set(prefix, location);
    const [oldest] = this.prefixLocations.keys();
    if (this.prefixLocations.size > maxPrefixes && oldest !== undefined) this.prefixLocations.delete(oldest);
  }
}
