/** Time that only goes forward, in whole microseconds since an arbitrary start. */
export interface Clock {
  /** Never behind real time, not even after a sleep: for what must end in time, such as own rights and ages. */
  readonly nowMicroseconds: () => number;
  /** Never ahead of real time: for waiting until the rights of others have ended. It stands still in a sleep. */
  readonly steadyMicroseconds: () => number;
  readonly after: (delayMicroseconds: number, act: () => void) => Cancel;
}

export type Cancel = () => void;

export const Micros = {
  fromMilliseconds: (milliseconds: number): number => Math.round(milliseconds * 1000),
  fromSeconds: (seconds: number): number => Math.round(seconds * 1_000_000),
} as const;

export const Clocks = {
  wait: (clock: Clock, delayMicroseconds: number): Promise<void> =>
    new Promise((resolve) => {
      clock.after(delayMicroseconds, resolve);
    }),

  /** Resolves with undefined when the limit passes first; the work itself goes on. */
  within: async <Result>(
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
