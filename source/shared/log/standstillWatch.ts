/** Logs stalls of the process: it was stopped, waited for a processor, or blocked the event loop. */
import type { Clock } from '../effects/clock/clock';
import { LimitedLogs } from './limitedLog';
import type { Log } from './log';

/** A timer that is late by at least this much is logged as a stall. */
export const standstillMicroseconds = 500_000;

export class StandstillWatch {
  private readonly notice: Log;
  private dueMicroseconds = Infinity;

  public constructor(
    private readonly clock: Clock,
    log: Log,
  ) {
    this.notice = LimitedLogs.of(log, clock);
  }

  /** Records that work is scheduled after a pause, and returns the pause. */
  public planned(pauseMicroseconds: number): number {
    this.dueMicroseconds = this.clock.nowMicroseconds() + pauseMicroseconds;
    return pauseMicroseconds;
  }

  /** Records that the scheduled work begins, and logs a stall if it is late. */
  public began(): void {
    const late = this.clock.nowMicroseconds() - this.dueMicroseconds;
    if (late >= standstillMicroseconds) this.notice(`This process stood still for ${Math.round(late / 1000)} ms.`);
    this.dueMicroseconds = Infinity;
  }
}
