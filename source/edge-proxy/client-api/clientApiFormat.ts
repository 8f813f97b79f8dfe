import type { Random } from '../../shared/effects/random/random';
import { Refusals, type Refusal } from '../../shared/verdict/verdict';
import type { ProxyRequest } from '../pipeline/request';

/** Method, target and headers of a client's request as received, with header names in lower case. */
export type ClientRequestHead = Readonly<{
  method: string;
  target: string;
  headers: Readonly<Record<string, string>>;
}>;

/** A request as parsed from its head; the server adds the body and the arrival time. */
export type ParsedRequestHead = Omit<ProxyRequest, 'body' | 'arrivedMicroseconds'>;

/** What a request head asks for: a request to proxy, a built-in page, or nothing that can be served. */
export type ParsedClientRequest =
  | Readonly<{ kind: 'order'; order: ParsedRequestHead }>
  /** A page that the proxy itself serves. */
  | Readonly<{ kind: 'page'; page: 'health' | 'metrics' }>
  | Readonly<{ kind: 'refuse'; refusal: Refusal }>;

/** The HTTP response for a refusal. */
export type RefusalResponse = Readonly<{ status: number; headers: Readonly<Record<string, string>>; body: string }>;

/** Format of the HTTP API for clients: how requests are parsed and refusals are written. Pure functions. */
export interface ClientApiFormat {
  readonly parseHead: (head: ClientRequestHead, random: Random) => ParsedClientRequest;
  readonly refusalResponse: (refusal: Refusal) => RefusalResponse;
  /** Whether bodies are kept as bytes; otherwise they are decoded as UTF-8 text. */
  readonly hasBinaryBodies: boolean;
  /** Whether the API key is checked before the body is read. */
  readonly checksKeyBeforeBody: boolean;
}

const bearerToken = (header: string): string => (header.startsWith('Bearer ') ? header.slice(7).trim() : '');

/** The native HTTP API of the proxy. */
export const ChatClientApiFormat: ClientApiFormat = {
  parseHead: ({ method, target, headers }, random) => {
    const path = target.split('?', 1)[0] ?? '/';
    if (method === 'GET' && path === '/-/health') return { kind: 'page', page: 'health' };
    if (method === 'GET' && path === '/-/metrics') return { kind: 'page', page: 'metrics' };
    return {
      kind: 'order',
      order: {
        id: random.name(),
        method,
        path,
        key: bearerToken(headers['authorization'] ?? ''),
        contentType: headers['content-type'] ?? '',
      },
    };
  },
  refusalResponse: (refusal) => ({
    status: refusal.status,
    headers: {
      ...Refusals.headers(refusal),
      // Rounded up because this API gives `retry-after` in whole seconds.
      ...(refusal.retryAfterSeconds === undefined
        ? {}
        : { 'retry-after': String(Math.ceil(refusal.retryAfterSeconds)) }),
    },
    body: Refusals.body(refusal),
  }),
  hasBinaryBodies: false,
  checksKeyBeforeBody: true,
};
