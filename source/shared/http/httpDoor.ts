import http from 'node:http';
import type { AddressInfo } from 'node:net';
import type { IncomingMessage, ServerResponse } from 'node:http';
import restana from 'restana';
import { Addresses } from '../effects/transport/tcpTransport';

export type HttpService = restana.Service<restana.Protocol.HTTP>;
export type HttpLimits = Readonly<{
  headBytes: number;
  headMicroseconds: number;
  bodyMicroseconds: number;
  conns: number;
}>;

export const HttpLimits = {
  usual: {
    headBytes: 16_384,
    headMicroseconds: 5_000_000,
    bodyMicroseconds: 15_000_000,
    conns: 2048,
  } satisfies HttpLimits,
} as const;

export type HttpDoor = Readonly<{
  address: string;
  /** Stops listening and closes idle conns; resolves when all that was read has been answered. */
  drain: () => Promise<void>;
  close: () => Promise<void>;
}>;

export type BodyRead =
  Readonly<{ kind: 'read'; text: string }> | Readonly<{ kind: 'tooLarge' }> | Readonly<{ kind: 'broken' }>;

export const HttpDoors = {
  open: async (address: string, limits: HttpLimits, routes: (service: HttpService) => void): Promise<HttpDoor> => {
    const server = http.createServer({
      maxHeaderSize: limits.headBytes,
      headersTimeout: Math.ceil(limits.headMicroseconds / 1000),
      requestTimeout: Math.ceil(limits.bodyMicroseconds / 1000),
      connectionsCheckingInterval: 1000,
      keepAliveTimeout: 30_000,
    });
    server.maxConnections = limits.conns;
    const service = restana({
      server,
      errorHandler: (_error, _order, response) =>
        Replies.json(response as unknown as ServerResponse, 500, { error: 'internal' }),
    });
    routes(service);
    const { host, port } = Addresses.split(address);
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      void service.start(port, host).then(() => resolve(), reject);
    });
    const bound = server.address() as AddressInfo;
    let draining = false;
    server.on('request', (_order, response: ServerResponse) => {
      if (draining && !response.headersSent) response.setHeader('connection', 'close');
      response.on('close', () => {
        // Why here too: the conn of an answer that was running when the stop began goes idle only now.
        if (draining) setImmediate(() => server.closeIdleConnections());
      });
    });
    return {
      address: `${bound.address}:${bound.port}`,
      drain: () =>
        new Promise((resolve) => {
          draining = true;
          server.close(() => resolve());
          server.closeIdleConnections();
        }),
      close: () =>
        new Promise((resolve) => {
          server.close(() => resolve());
          server.closeAllConnections();
        }),
    };
  },

  /** Reads at most `mostBytes`; a body that promises more is not read at all. */
  body: (order: IncomingMessage, mostBytes: number): Promise<BodyRead> =>
    new Promise((resolve) => {
      if (Number(order.headers['content-length'] ?? 0) > mostBytes) {
        resolve({ kind: 'tooLarge' });
        return;
      }
      const chunks: Buffer[] = [];
      let length = 0;
      order.on('data', (chunk: Buffer) => {
        length += chunk.length;
        if (length > mostBytes) {
          chunks.length = 0;
          resolve({ kind: 'tooLarge' });
        } else chunks.push(chunk);
      });
      order.on('end', () => resolve({ kind: 'read', text: Buffer.concat(chunks).toString('utf8') }));
      order.on('error', () => resolve({ kind: 'broken' }));
      order.on('close', () => resolve({ kind: 'broken' }));
    }),
} as const;

export const Replies = {
  json: (
    response: ServerResponse,
    status: number,
    value: unknown,
    headers: Readonly<Record<string, string>> = {},
  ): void =>
    Replies.text(response, status, `${JSON.stringify(value)}\n`, { 'content-type': 'application/json', ...headers }),

  text: (
    response: ServerResponse,
    status: number,
    body: string,
    headers: Readonly<Record<string, string>> = {},
  ): void => {
    if (response.headersSent || response.destroyed) return;
    response.writeHead(status, {
      'content-type': 'text/plain; charset=utf-8',
      ...headers,
      'content-length': String(Buffer.byteLength(body)),
    });
    response.end(body);
  },
} as const;
