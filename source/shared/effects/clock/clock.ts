/** Monotonic time in whole microseconds since an arbitrary start, and timers. */
export interface Clock {
  /**
   * Never behind real time, not even after the machine was suspended. Used for what must expire in time, such as ages and
   * leases that this process holds.
   */
  readonly nowMicroseconds: () => number;
  /**
   * Never ahead of real time; it stops while the machine is suspended. Used to wait until the leases of others have
   * expired.
   */
  readonly steadyMicroseconds: () => number;
  /** Calls `act` once after the delay. */
  readonly after: (delayMicroseconds: number, act: () => void) => Cancel;
}

/** Cancels a timer. */
export type Cancel = () => void;

/** Conversions to microseconds. */
export const Micros = {
  fromMilliseconds: (milliseconds: number): number => Math.round(milliseconds * 1000),
  fromSeconds: (seconds: number): number => Math.round(seconds * 1_000_000),
} as const;

export const Clocks = {
  wait: (clock: Clock, delayMicroseconds: number): Promise<void> =>
    new Promise((resolve) => {
      clock.after(delayMicroseconds, resolve);
    }),

  /** Resolves with undefined if the limit passes first; the work itself is not cancelled. */
  withTimeout: async <Result>(
    clock: Clock,
    limitMicroseconds: number,
    work: Promise<Result>,
  ): Promise<Result | undefined> => {
    let cancel: Cancel = () => undefined;
    const limit = new Promise<undefined>((resolve) => {
      cancel = clock.after(limitMicroseconds, () => resolve(undefined));
    });
    try {
      return await Promise.race([work, limit]);
    } finally {
      cancel();
    }
  },
} as const;
