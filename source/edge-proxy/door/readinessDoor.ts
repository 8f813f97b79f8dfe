import type { IncomingMessage, ServerResponse } from 'node:http';
import type { HttpLimits } from '../../shared/http/httpLimits';
import { HttpServer } from '../../shared/http/httpServer';
import { Replies } from '../../shared/http/replies';

export type ReadinessDoor = Readonly<{ address: string; close: () => Promise<void> }>;

/** Starting values, ours: few ask, and often. */
const limits: HttpLimits = {
  headBytes: 8192,
  headMicroseconds: 2_000_000,
  bodyMicroseconds: 2_000_000,
  conns: 32,
  idleMicroseconds: 5_000_000,
};

/** Tells whoever sends callers here whether to go on. */
export const ReadinessDoor = {
  open: async (address: string, path: string, ready: () => boolean): Promise<ReadinessDoor> => {
    const server = new HttpServer(() => limits);
    server.server.on('request', (order: IncomingMessage, response: ServerResponse) => {
      const asked = order.method === 'GET' && order.url?.split('?', 1)[0] === path;
      if (!asked) Replies.text(response, 404, '');
      else Replies.text(response, ready() ? 200 : 503, '');
    });
    await server.listen(address);
    return { address: server.address, close: () => server.close() };
  },
} as const;
