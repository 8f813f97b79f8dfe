export type WeightsClocks = Readonly<{
  /** From here on no stream on old weights may still be answered. */
  cutMicroseconds: number;
  /** The last moment an engine may go on finishing streams before it loads. */
  drainUntilMicroseconds: number;
  secondRoundMicroseconds: number;
}>;

/** Starting values, ours: by 12 s all is over; the change itself and the news of it need the rest. */
const usual: WeightsClocks = {
  cutMicroseconds: 11_000_000,
  drainUntilMicroseconds: 9_500_000,
  secondRoundMicroseconds: 5_000_000,
};

/** Starting values, ours: what the news of the change takes, and an order that waits at an engine. */
const cutBeforeMicroseconds = 1_000_000;
const drainBeforeMicroseconds = 2_500_000;

export const WeightsClocks = {
  ...usual,
  usual,
  /** The same clocks where another time is promised. */
  within: (limitMicroseconds: number): WeightsClocks => ({
    cutMicroseconds: Math.max(0, limitMicroseconds - cutBeforeMicroseconds),
    drainUntilMicroseconds: Math.max(0, limitMicroseconds - drainBeforeMicroseconds),
    secondRoundMicroseconds: Math.floor((limitMicroseconds * 5) / 12),
  }),
} as const;
