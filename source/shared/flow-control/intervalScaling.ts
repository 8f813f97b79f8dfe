/** Up to this number of daemons, intervals are as long as the settings say. */
const unscaledDaemons = 24;

/**
 * Lengthens intervals in a large fleet. Communication between daemons takes resources away from requests, and as the fleet grows each
 * daemon contributes a smaller share of what all of them know.
 */
export const IntervalScaling = {
  /** The factor by which intervals are longer, between 1 and `maxFactor` and proportional to the number of daemons. */
  of: (daemons: number, maxFactor: number): number => Math.min(maxFactor, Math.max(1, daemons / unscaledDaemons)),
} as const;
