import { ProxyDefaults, type ProxySettings } from './edgeProxy';

/** The service levels that operators promise for a fleet; all times in whole microseconds. */
export type FleetBounds = Readonly<{
  /** How long a proxy without contact to the control nodes may serve with its last known configuration; undefined: without limit. */
  outOfTouchMicroseconds: number | undefined;
  /** Time within which a confirmed configuration change is in force everywhere. */
  changeMicroseconds: number;
  /** Time after the naming of new weights from which no request starts on the previous ones. */
  weightsMicroseconds: number;
  /** Retries in any window: at most this share of the requests in it, plus a constant number. */
  retryRatio: number;
  retrySlack: number;
  retryWindowMicroseconds: number;
}>;

/** Margins kept to each bound, because gossip and responses take time to arrive. */
const outOfTouchMarginMicroseconds = 500_000;
const weightsMarginMicroseconds = 2_000_000;
const usedRatioShare = 0.9;
const usedSlackShare = 0.4;
/** An engine queues as many requests again as it has slots, and admits them by urgency. */
const roomPerMille = 2000;
const busySeconds = 0.05;

export const FleetBounds = {
  /** Proxy settings that satisfy the bounds in front of engines that queue requests themselves. */
  settings: (bounds: FleetBounds, name: string, agentAddress: string): ProxySettings => ({
    ...ProxyDefaults,
    name,
    agentAddress,
    // Without a promised bound the proxy keeps serving: refusing all requests while the control nodes are unreachable harms clients
    // more.
    freshMicroseconds:
      bounds.outOfTouchMicroseconds === undefined
        ? Infinity
        : Math.max(0, bounds.outOfTouchMicroseconds - outOfTouchMarginMicroseconds),
    denialMicroseconds: bounds.changeMicroseconds,
    weightsCutMicroseconds: Math.max(
      bounds.weightsMicroseconds / 2,
      bounds.weightsMicroseconds - weightsMarginMicroseconds,
    ),
    retryPerMille: Math.floor(bounds.retryRatio * 1000 * usedRatioShare),
    // Less than half is used because the saved allowance and the new allowance may both be spent in one window.
    retryFleetAllowance: Math.floor(bounds.retrySlack * usedSlackShare),
    retryAllowanceMicroseconds: bounds.retryWindowMicroseconds,
    busySeconds,
    unsentIsFree: true,
    cutsOldWeights: false,
    // There is no limit because such engines drop a request whose client has disconnected, and a draining one finishes its requests.
    silentMicroseconds: Infinity,
    roomPerMille,
  }),
} as const;
