import type { DrainPlan } from '../../shared/http/httpServer';

/** How long a stopping proxy may send requests to engines, and how long it may wait for their responses. */
export type RequestCutoffs = Readonly<{ startMicroseconds: number; finishMicroseconds: number }>;

/**
 * After a stop begins, the proxy listens at least so long, so that the load balancer notices the stop, and until no new connection
 * has arrived for `quietMicroseconds`.
 */
const minDrainMicroseconds = 2_300_000;
const quietMicroseconds = 1_200_000;
/** Time kept for finishing accepted requests, and for the end of the process, before it is killed. */
const finishMicroseconds = 3_000_000;
const exitMarginMicroseconds = 300_000;
/** Time kept for writing the last responses to their clients. */
const flushMicroseconds = 200_000;
/** By then the load balancer has noticed the stop, and a request accepted later is not entitled to the remaining time. */
const lastRequestsMicroseconds = 2_500_000;

export const RequestCutoffs = {
  /**
   * When the requests of a process that ends after the given limit are ended. At least half of the time is left for starting
   * them, and half of the rest for their responses.
   */
  within: (stopLimitMicroseconds: number): RequestCutoffs => {
    const startMicroseconds = Math.max(
      stopLimitMicroseconds - finishMicroseconds + exitMarginMicroseconds,
      stopLimitMicroseconds / 2,
    );
    const flush = Math.min(flushMicroseconds, (stopLimitMicroseconds - startMicroseconds) / 2);
    return { startMicroseconds, finishMicroseconds: stopLimitMicroseconds - flush };
  },
} as const;

export const GracefulStops = {
  /**
   * Plan for a graceful stop behind a load balancer that notices the stop late, in a process that is killed after the grace period.
   * The proxy accepts requests until the load balancer has noticed, and keeps enough time for finishing them.
   */
  within: (graceMicroseconds: number): Readonly<{ drain: DrainPlan; stopLimitMicroseconds: number }> => {
    const stopLimitMicroseconds = Math.max(graceMicroseconds - exitMarginMicroseconds, graceMicroseconds / 2);
    return {
      drain: {
        minListenMicroseconds: minDrainMicroseconds,
        quietMicroseconds,
        maxListenMicroseconds: Math.max(graceMicroseconds - finishMicroseconds, graceMicroseconds / 2),
        incompleteRequestMicroseconds: 1_000_000,
        lateRequests: {
          afterMicroseconds: lastRequestsMicroseconds,
          endMicroseconds: RequestCutoffs.within(stopLimitMicroseconds).finishMicroseconds,
        },
      },
      stopLimitMicroseconds,
    };
  },
} as const;
