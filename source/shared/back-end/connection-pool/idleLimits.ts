/** When a reset counts as a connection that the back end dropped while idle, and how long that is remembered. */
export type IdleLimitSettings = Readonly<{
  /** A reset of a connection that was idle for less than this has another cause. */
  minDroppedIdleMicroseconds: number;
  /** A dropped connection is reset within this time after the first byte is written. */
  maxResetDelayMicroseconds: number;
  /** The idle limit doubles each time this period passes without another such reset. */
  doublingMicroseconds: number;
}>;

export const IdleLimitDefaults: IdleLimitSettings = {
  minDroppedIdleMicroseconds: 200_000,
  maxResetDelayMicroseconds: 150_000,
  doublingMicroseconds: 10_000_000,
};

type LearnedLimit = Readonly<{ limitMicroseconds: number; atMicroseconds: number }>;

/** Idle limit of each address, learned from connections that the back end had dropped. Missing: no limit. */
export type IdleLimitsState = Readonly<Record<string, LearnedLimit>>;

/** Learns how long connections to a back end can be idle before the back end drops them without notice. */
export const IdleLimits = {
  initial: {} as IdleLimitsState,

  /**
   * The current idle limit of an address. It grows again over time because back ends drop connections early only for a
   * while, and opening new ones is expensive.
   */
  limitOf: (state: IdleLimitsState, address: string, now: number, settings: IdleLimitSettings): number => {
    const learned = state[address];
    if (learned === undefined) return Infinity;
    const doubled = Math.floor((now - learned.atMicroseconds) / settings.doublingMicroseconds);
    return learned.limitMicroseconds * 2 ** doubled;
  },

  /**
   * Records that the back end had dropped a connection that was idle for this time. The new limit is half of it because
   * the back end dropped the connection at some earlier moment.
   */
  recordDropped: (
    state: IdleLimitsState,
    address: string,
    idleMicroseconds: number,
    now: number,
    settings: IdleLimitSettings,
  ): IdleLimitsState => {
    const before = IdleLimits.limitOf(state, address, now, settings);
    const limitMicroseconds = Math.max(
      settings.minDroppedIdleMicroseconds,
      Math.floor(Math.min(before, idleMicroseconds) / 2),
    );
    return { ...state, [address]: { limitMicroseconds, atMicroseconds: now } };
  },

  /** Removes limits that have grown to `maxMicroseconds` or more. */
  removeExpired: (
    state: IdleLimitsState,
    now: number,
    maxMicroseconds: number,
    settings: IdleLimitSettings,
  ): IdleLimitsState =>
    Object.fromEntries(
      Object.entries(state).filter(([address]) => IdleLimits.limitOf(state, address, now, settings) < maxMicroseconds),
    ),
} as const;
