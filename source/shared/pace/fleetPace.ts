/** Starting value, ours: among so many daemons everything is said and looked at as often as the settings say. */
const promptDaemons = 24;

/**
 * How much longer pauses are in a large fleet. Why at all: what a daemon spends on talk with others is a part of its machine
 * that is lost to orders, and of what all of them know each daemon's own part gets smaller as the fleet grows.
 */
export const FleetPace = {
  /** A factor of at least 1 and at most `most`, in step with the number of daemons. */
  of: (daemons: number, most: number): number => Math.min(most, Math.max(1, daemons / promptDaemons)),
} as const;
