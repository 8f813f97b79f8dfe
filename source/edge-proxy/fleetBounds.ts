import { ProxyDefaults, type ProxySettings } from './edgeProxy';

/** What those who deploy a fleet promise their callers; every time in whole microseconds. */
export type FleetBounds = Readonly<{
  /** A proxy out of touch with the core may go on for so long on what it knows; undefined: as long as it is. */
  outOfTouchMicroseconds: number | undefined;
  /** A confirmed change of the configuration is in force everywhere within so long. */
  changeMicroseconds: number;
  /** After so long from being named no order begins on the weights before. */
  weightsMicroseconds: number;
  /** Sends past the first of each order, as a part of the orders in any window, and so many besides. */
  retryRatio: number;
  retrySlack: number;
  retryWindowMicroseconds: number;
}>;

/** Starting values, ours: what is left unused of each bound, since news and answers take their time. */
const outOfTouchMargin = 500_000;
const weightsMargin = 2_000_000;
const ratioUsed = 0.9;
const slackUsed = 0.4;
/** An engine takes as many orders again as it has places, and lets them in by their urgency. */
const roomPerMille = 2000;
const busySeconds = 0.05;

export const FleetBounds = {
  /** How a proxy keeps to them, in front of engines that queue by themselves. */
  settings: (bounds: FleetBounds, name: string, agentAddress: string): ProxySettings => ({
    ...ProxyDefaults,
    name,
    agentAddress,
    // Why open where nothing is promised: a fleet that refuses all because its core is away costs its callers more.
    freshMicroseconds:
      bounds.outOfTouchMicroseconds === undefined
        ? Infinity
        : Math.max(0, bounds.outOfTouchMicroseconds - outOfTouchMargin),
    denialMicroseconds: bounds.changeMicroseconds,
    weightsCutMicroseconds: Math.max(bounds.weightsMicroseconds / 2, bounds.weightsMicroseconds - weightsMargin),
    retryPerMille: Math.floor(bounds.retryRatio * 1000 * ratioUsed),
    // Why less than half: in one window a part kept for later and the part that comes in may both be spent.
    retryFleetAllowance: Math.floor(bounds.retrySlack * slackUsed),
    retryAllowanceMicroseconds: bounds.retryWindowMicroseconds,
    busySeconds,
    unsentIsFree: true,
    cutsOldWeights: false,
    // Why never: such engines drop an order whose caller is gone, and a drained one still answers what it has.
    silentMicroseconds: Infinity,
    roomPerMille,
  }),
} as const;
