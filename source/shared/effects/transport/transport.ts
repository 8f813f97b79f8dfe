/** What our processes say to each other: one question, one answer, under a limit. */
export type Message = Readonly<{ kind: string }> & Readonly<Record<string, unknown>>;

export type Answer = Readonly<{ kind: 'answered'; message: Message }> | Readonly<{ kind: 'silent'; reason: string }>;

export type Handler = (message: Message) => Promise<Message>;

export interface Listener {
  readonly address: string;
  readonly close: () => Promise<void>;
}

export interface Transport {
  readonly ask: (address: string, message: Message, limitMicroseconds: number) => Promise<Answer>;
  readonly listen: (address: string, handler: Handler) => Promise<Listener>;
  readonly close: () => Promise<void>;
}

export const TransportLimits = {
  /** A long message travels in parts, so that a short one need not wait behind the whole of it. */
  partBytes: 64 * 1024,
  messageBytes: 8 * 1024 * 1024,
  openAsks: 1024,
  /** Starting value, ours: a connection on which asks leave and nothing comes for so long, in microseconds, is dead. */
  deadMicroseconds: 350_000,
} as const;

export const Messages = {
  is: (value: unknown): value is Message =>
    typeof value === 'object' &&
    value !== null &&
    !Array.isArray(value) &&
    typeof (value as { kind?: unknown }).kind === 'string',
} as const;
