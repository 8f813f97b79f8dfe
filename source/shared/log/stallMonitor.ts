/** Logs stalls of the process: it was stopped, waited for a processor, or blocked the event loop. */
import type { Clock } from '../effects/clock/clock';
import { RateLimitedLogs } from './rateLimitedLog';
import type { Log } from './log';

/** A timer that is late by at least this much is logged as a stall. */
export const stallThresholdMicroseconds = 500_000;

export class StallMonitor {
  private readonly notice: Log;
  private dueMicroseconds = Infinity;

  public constructor(
    private readonly clock: Clock,
    log: Log,
  ) {
    this.notice = RateLimitedLogs.of(log, clock);
  }

  /** Records that work is scheduled after a pause, and returns the pause. */
  public scheduled(pauseMicroseconds: number): number {
    this.dueMicroseconds = this.clock.nowMicroseconds() + pauseMicroseconds;
    return pauseMicroseconds;
  }

  /** Records that the scheduled work begins, and logs a stall if it is late. */
  public started(): void {
    const late = this.clock.nowMicroseconds() - this.dueMicroseconds;
    if (late >= stallThresholdMicroseconds) this.notice(`This process stood still for ${Math.round(late / 1000)} ms.`);
    this.dueMicroseconds = Infinity;
  }
}
