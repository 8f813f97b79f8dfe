/** Tells operators of a process that did nothing for a while: one that was stopped, waited for its processor, or worked in one piece. */
import type { Clock } from '../effects/clock/clock';
import { LimitedLogs } from './limitedLog';
import type { Log } from './log';

/** A timer that is late by so much is worth a sentence. */
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

  /** Work begins after this pause. Returns the pause. */
  public planned(pauseMicroseconds: number): number {
    this.dueMicroseconds = this.clock.nowMicroseconds() + pauseMicroseconds;
    return pauseMicroseconds;
  }

  /** That work begins. */
  public began(): void {
    const late = this.clock.nowMicroseconds() - this.dueMicroseconds;
    if (late >= standstillMicroseconds) this.notice(`This process stood still for ${Math.round(late / 1000)} ms.`);
    this.dueMicroseconds = Infinity;
  }
}
