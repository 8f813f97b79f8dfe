import type { IncomingMessage, ServerResponse } from 'node:http';
import type { HttpLimits } from '../../shared/http/httpLimits';
import { HttpServer } from '../../shared/http/httpServer';
import { Replies } from '../../shared/http/replies';

/** The listening readiness server. */
export type ReadinessServer = Readonly<{ address: string; close: () => Promise<void> }>;

/** Small limits: only a few load balancers poll this server, each of them often. */
const limits: HttpLimits = {
  headBytes: 8192,
  headMicroseconds: 2_000_000,
  bodyMicroseconds: 2_000_000,
  conns: 32,
  idleMicroseconds: 5_000_000,
};

/** HTTP server that tells load balancers by status code alone whether to route clients to this proxy. */
export const ReadinessServer = {
  open: async (address: string, path: string, ready: () => boolean): Promise<ReadinessServer> => {
    const server = new HttpServer(() => limits);
    server.server.on('request', (request: IncomingMessage, response: ServerResponse) => {
      const isReadinessCheck = request.method === 'GET' && request.url?.split('?', 1)[0] === path;
      if (!isReadinessCheck) Replies.text(response, 404, '');
      else Replies.text(response, ready() ? 200 : 503, '');
    });
    await server.listen(address);
    return { address: server.address, close: () => server.close() };
  },
} as const;
