import type { Random } from '../../shared/effects/random/random';
import { Refusals, type Refusal } from '../../shared/verdict/verdict';
import type { ProxyRequest } from '../pipeline/request';

/** One order's head as it came, header names in lower case. */
export type CallerHead = Readonly<{
  method: string;
  target: string;
  headers: Readonly<Record<string, string>>;
}>;

/** An order as its head tells it; the body and the time are the door's to add. */
export type HeadOrder = Omit<ProxyRequest, 'body' | 'arrivedMicroseconds'>;

export type CallerRead =
  | Readonly<{ kind: 'order'; order: HeadOrder }>
  /** A page of the daemon's own. */
  | Readonly<{ kind: 'page'; page: 'health' | 'metrics' }>
  | Readonly<{ kind: 'refuse'; refusal: Refusal }>;

export type CallerRefusal = Readonly<{ status: number; headers: Readonly<Record<string, string>>; body: string }>;

/** How callers say an order, and how they are told that there is no answer. Pure: names and formats, no decisions. */
export interface CallerWords {
  readonly read: (head: CallerHead, random: Random) => CallerRead;
  readonly refusal: (refusal: Refusal) => CallerRefusal;
  /** Bodies stay the bytes they are; otherwise they are text. */
  readonly rawBodies: boolean;
  /** Whether a key is looked at before the body is read. */
  readonly keyFirst: boolean;
}

const bearer = (header: string): string => (header.startsWith('Bearer ') ? header.slice(7).trim() : '');

/** The product's own interface. */
export const ChatCallerWords: CallerWords = {
  read: ({ method, target, headers }, random) => {
    const path = target.split('?', 1)[0] ?? '/';
    if (method === 'GET' && path === '/-/health') return { kind: 'page', page: 'health' };
    if (method === 'GET' && path === '/-/metrics') return { kind: 'page', page: 'metrics' };
    return {
      kind: 'order',
      order: {
        id: random.name(),
        method,
        path,
        key: bearer(headers['authorization'] ?? ''),
        contentType: headers['content-type'] ?? '',
      },
    };
  },
  refusal: (refusal) => ({
    status: refusal.status,
    headers: {
      ...Refusals.headers(refusal),
      // Why rounded up: this interface speaks of whole seconds.
      ...(refusal.retryAfterSeconds === undefined
        ? {}
        : { 'retry-after': String(Math.ceil(refusal.retryAfterSeconds)) }),
    },
    body: Refusals.body(refusal),
  }),
  rawBodies: false,
  keyFirst: true,
};
