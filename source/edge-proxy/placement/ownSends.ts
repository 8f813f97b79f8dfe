import type { Clock } from '../../shared/effects/clock/clock';

/** Age of load counts of other proxies when they arrive. */
const loadReportDelayMicroseconds = 300_000;
const maxRecentStarts = 64;

/** This proxy's sends in flight at each engine, and those started so recently that no other proxy can know of them. */
export class OwnSends {
  private readonly running = new Map<string, number>();
  private readonly startTimes = new Map<string, readonly number[]>();

  public constructor(private readonly clock: Clock) {}

  public recordStart(engine: string): void {
    this.running.set(engine, this.at(engine) + 1);
    this.startTimes.set(engine, [...this.recentStarts(engine), this.clock.nowMicroseconds()].slice(-maxRecentStarts));
  }

  public ended(engine: string): void {
    const remaining = this.at(engine) - 1;
    if (remaining > 0) this.running.set(engine, remaining);
    else this.running.delete(engine);
  }

  /** Number of sends in flight at an engine. */
  public at(engine: string): number {
    return this.running.get(engine) ?? 0;
  }

  /** Number of sends started so recently that no other proxy can know of them; equally recent ones of others are unknown here. */
  public recentCount(engine: string): number {
    return this.recentStarts(engine).length;
  }

  /** Number of sends in flight by engine, without idle engines. */
  public counts(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.running);
  }

  private recentStarts(engine: string): readonly number[] {
    const now = this.clock.nowMicroseconds();
    return (this.startTimes.get(engine) ?? []).filter((at) => now - at < loadReportDelayMicroseconds);
  }
}
