/** Two ways to read how time passes. The boot clock may be coarse, may leap, and may not be there at all. */
export type TimeSources = Readonly<{
  /** Never goes back; stands still while the machine is suspended. */
  monotonicMicroseconds: () => number;
  /** Counts suspension too; undefined where it cannot be read. */
  bootMicroseconds: () => number | undefined;
}>;

/** Linux shows the boot clock in steps of 10 ms; two readings are off by less than two steps together. */
export const bootStepMicroseconds = 20_000;

/**
 * Time that never goes back and does not stand still while the machine sleeps: the monotonic clock, put forward by
 * what the boot clock has gained on it. It lags behind real time by less than three steps of 10 ms, whatever was slept.
 * A boot clock that leaps forward makes everything look older, which is safe; one that leaps back changes nothing.
 */
export class ElapsedTime {
  private ahead = 0;
  private gap: number | undefined;

  public constructor(private readonly sources: TimeSources) {}

  public readonly nowMicroseconds = (): number => {
    const monotonic = Math.floor(this.sources.monotonicMicroseconds());
    const boot = this.sources.bootMicroseconds();
    if (boot !== undefined) {
      this.gap ??= boot - monotonic;
      const gained = boot - monotonic - this.gap;
      // Why one step more: the reading is rounded down, and a fence must rather think itself too old than too young.
      if (gained > this.ahead + bootStepMicroseconds) this.ahead = Math.floor(gained) + bootStepMicroseconds / 2;
    }
    return monotonic + this.ahead;
  };
}
