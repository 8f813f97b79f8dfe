/**
 * The costs of placing a request on one engine, in whole microseconds. `cost`: all costs except prefill and waiting for
 * other requests; `read`: prefill of the parts that are not cached there; `rest`: prefill of the remainder if the shared
 * parts were cached there; `move`: transfer of the shared parts from another engine; `copy`: cost of one more copy of
 * them there, negative if that copy is useful.
 */
export type SchedulerOffer = readonly [
  engine: string,
  cost: number,
  read: number,
  rest: number,
  move: number,
  copy?: number,
];

/** A proxy's request for an engine; `order` is the identifier of the client's request. */
export type SchedulerRequest = Readonly<{
  order: string;
  /** Identifies the shared parts of the prompt; empty: the prompt shares none. */
  prefix: string;
  offers: readonly SchedulerOffer[];
}>;

/**
 * The engine that a request is assigned to. `joined`: the shared parts are being prefilled there, or have just been.
 * `keeper`: another engine that has them or is prefilling them. `reserveCall`: they are still being prefilled, and the
 * request should wait until that is done, at most this long.
 */
export type SchedulerDecision = Readonly<{
  engine: string;
  joined: boolean;
  keeper: string;
  waitMicroseconds?: number;
}>;

const isFiniteNumber = (value: unknown): value is number => typeof value === 'number' && Number.isFinite(value);

/** Validation of the messages between proxies and the request scheduler. */
export const SchedulerMessages = {
  maxOffers: 2048,

  isRequest: (value: unknown): value is SchedulerRequest => {
    const request = value as Partial<SchedulerRequest> | null;
    return (
      typeof request === 'object' &&
      request !== null &&
      typeof request.order === 'string' &&
      typeof request.prefix === 'string' &&
      Array.isArray(request.offers) &&
      request.offers.length > 0 &&
      request.offers.length <= SchedulerMessages.maxOffers &&
      request.offers.every(
        (offer: unknown) =>
          Array.isArray(offer) &&
          typeof offer[0] === 'string' &&
          (offer.length === 5 || offer.length === 6) &&
          offer.slice(1).every(isFiniteNumber),
      )
    );
  },

  isDecision: (value: unknown): value is SchedulerDecision => {
    const decision = value as Partial<SchedulerDecision> | null;
    return (
      typeof decision === 'object' &&
      decision !== null &&
      typeof decision.engine === 'string' &&
      typeof decision.joined === 'boolean' &&
      typeof decision.keeper === 'string' &&
      (decision.waitMicroseconds === undefined || isFiniteNumber(decision.waitMicroseconds))
    );
  },
} as const;
