/** Deadlines of a weights change, counted from the time at which the new weights are configured. */
export type WeightsDeadlines = Readonly<{
  /** From this time on no response of old weights may be sent, not even the rest of a stream. */
  cutMicroseconds: number;
  /** The latest time until which an engine may finish streams before it loads the new weights. */
  drainUntilMicroseconds: number;
  secondRoundMicroseconds: number;
}>;

/** The change must be complete within 12 s; the rest of that time is for the change itself and its propagation. */
const usual: WeightsDeadlines = {
  cutMicroseconds: 11_000_000,
  drainUntilMicroseconds: 9_500_000,
  secondRoundMicroseconds: 5_000_000,
};

/** Margins for the propagation of the change and for a request that is queued at an engine. */
const cutoffMarginMicroseconds = 1_000_000;
const drainMarginMicroseconds = 2_500_000;

export const WeightsDeadlines = {
  ...usual,
  usual,
  /** The same deadlines for another limit of the whole change. */
  forLimit: (limitMicroseconds: number): WeightsDeadlines => ({
    cutMicroseconds: Math.max(0, limitMicroseconds - cutoffMarginMicroseconds),
    drainUntilMicroseconds: Math.max(0, limitMicroseconds - drainMarginMicroseconds),
    secondRoundMicroseconds: Math.floor((limitMicroseconds * 5) / 12),
  }),
} as const;
