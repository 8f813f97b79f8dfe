/** A message between processes of the fleet. Each request gets one response within a time limit. */
export type Message = Readonly<{ kind: string }> & Readonly<Record<string, unknown>>;

/** Outcome of a request; `silent`: no response within the limit. */
export type RequestOutcome =
  Readonly<{ kind: 'answered'; message: Message }> | Readonly<{ kind: 'silent'; reason: string }>;

export type Handler = (message: Message) => Promise<Message>;

/** A server that is bound to an address. */
export interface Listener {
  readonly address: string;
  readonly close: () => Promise<void>;
}

export interface Transport {
  readonly ask: (address: string, message: Message, limitMicroseconds: number) => Promise<RequestOutcome>;
  readonly listen: (address: string, handler: Handler) => Promise<Listener>;
  readonly close: () => Promise<void>;
}

export const TransportLimits = {
  /** A long message is split into frames of this size, so that a short one need not wait for all of it. */
  frameBytes: 64 * 1024,
  messageBytes: 8 * 1024 * 1024,
  openRequests: 1024,
  /** A connection on which requests are sent and nothing is received for this time, in microseconds, is dead. */
  deadConnectionMicroseconds: 350_000,
} as const;

export const Messages = {
  is: (value: unknown): value is Message =>
    typeof value === 'object' &&
    value !== null &&
    !Array.isArray(value) &&
    typeof (value as { kind?: unknown }).kind === 'string',
} as const;
