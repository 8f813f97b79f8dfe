export type IdleLimitSettings = Readonly<{
  /** A conn that was idle for less than this was not forgotten; what resets it is something else. */
  leastForgottenMicroseconds: number;
  /** A conn that was forgotten is reset within this time of the first byte. */
  resetWithinMicroseconds: number;
  /** After so long without another such reset conns are kept twice as long again. */
  doubleMicroseconds: number;
}>;

/** Starting values, ours. */
export const IdleLimitDefaults: IdleLimitSettings = {
  leastForgottenMicroseconds: 200_000,
  resetWithinMicroseconds: 150_000,
  doubleMicroseconds: 10_000_000,
};

type Lesson = Readonly<{ limitMicroseconds: number; atMicroseconds: number }>;

/** How long conns to each address may be idle, learned from those that turned out to be forgotten. Missing: no bound. */
export type IdleLimitsState = Readonly<Record<string, Lesson>>;

export const IdleLimits = {
  start: {} as IdleLimitsState,

  /** What is believed of an address now. Why it rises again: back ends forget early for a time, and new conns are dear. */
  of: (state: IdleLimitsState, address: string, now: number, settings: IdleLimitSettings): number => {
    const lesson = state[address];
    if (lesson === undefined) return Infinity;
    const doubled = Math.floor((now - lesson.atMicroseconds) / settings.doubleMicroseconds);
    return lesson.limitMicroseconds * 2 ** doubled;
  },

  /** A conn was forgotten after so long. Why half: it was forgotten at some moment before that. */
  forgotten: (
    state: IdleLimitsState,
    address: string,
    idleMicroseconds: number,
    now: number,
    settings: IdleLimitSettings,
  ): IdleLimitsState => {
    const before = IdleLimits.of(state, address, now, settings);
    const limitMicroseconds = Math.max(
      settings.leastForgottenMicroseconds,
      Math.floor(Math.min(before, idleMicroseconds) / 2),
    );
    return { ...state, [address]: { limitMicroseconds, atMicroseconds: now } };
  },

  /** Without what is no bound any more. */
  tidy: (state: IdleLimitsState, now: number, mostMicroseconds: number, settings: IdleLimitSettings): IdleLimitsState =>
    Object.fromEntries(
      Object.entries(state).filter(([address]) => IdleLimits.of(state, address, now, settings) < mostMicroseconds),
    ),
} as const;
