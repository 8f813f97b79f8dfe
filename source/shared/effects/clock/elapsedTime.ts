/** Two clocks of the machine. The boot clock may be coarse, may jump, and may not be available. */
export type TimeSources = Readonly<{
  /** Never goes back; stops while the machine is suspended. */
  monotonicMicroseconds: () => number;
  /** Includes the time in suspension; undefined if it cannot be read. */
  bootMicroseconds: () => number | undefined;
}>;

/** Linux reports the boot clock in steps of 10 ms; the difference of two readings is off by less than two steps. */
export const bootStepMicroseconds = 20_000;

/**
 * Time that never goes back and does not stop while the machine is suspended: the monotonic clock, advanced by what the
 * boot clock has gained on it. It lags behind real time by less than three steps of 10 ms, however long the suspension.
 * A boot clock that jumps forward makes everything look older, which is safe; one that jumps back changes nothing.
 */
export class ElapsedTime {
  private ahead = 0;
  private initialGapMicroseconds: number | undefined;

  public constructor(private readonly sources: TimeSources) {}

  public readonly nowMicroseconds = (): number => {
    const monotonic = Math.floor(this.sources.monotonicMicroseconds());
    const boot = this.sources.bootMicroseconds();
    if (boot !== undefined) {
      this.initialGapMicroseconds ??= boot - monotonic;
      const gained = boot - monotonic - this.initialGapMicroseconds;
      // One step is added because the reading is rounded down, and for a fence it is safer to overestimate an age than to
      // underestimate it.
      if (gained > this.ahead + bootStepMicroseconds) this.ahead = Math.floor(gained) + bootStepMicroseconds / 2;
    }
    return monotonic + this.ahead;
  };
}
