import type { Clock } from '../../shared/effects/clock/clock';
import { Refusals, type Refusal } from '../../shared/verdict/verdict';

/** `retry-after` of a request that a stopping proxy refuses: the client may retry at once at another proxy. */
const stoppingRetryAfterSeconds = 0.05;

/** Refusal of a request that a stopping proxy has not sent to an engine. */
export const stoppingRefusal: Refusal = Refusals.make(
  503,
  'notRun',
  'stopping',
  'This proxy stops.',
  stoppingRetryAfterSeconds,
);

/** Refusal of a request that is at an engine when a stopping proxy has to end. */
export const abandonedRefusal: Refusal = Refusals.make(
  502,
  'mayHaveRun',
  'stopping',
  'This proxy stopped before the engine answered.',
);

/**
 * The time until which a proxy sends requests to engines; what has not been sent by then is refused, because it could not be
 * answered before the process ends. Without a shutdown there is no limit.
 */
export class StartCutoff {
  private atMicroseconds = Infinity;

  public constructor(private readonly clock: Clock) {}

  /** Sets the limit, in the microseconds of the clock. */
  public set(atMicroseconds: number): void {
    this.atMicroseconds = atMicroseconds;
  }

  public remainingMicroseconds(): number {
    return this.atMicroseconds - this.clock.nowMicroseconds();
  }

  public isPassed(): boolean {
    return this.remainingMicroseconds() <= 0;
  }
}
