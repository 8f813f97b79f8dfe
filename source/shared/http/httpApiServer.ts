import type { IncomingMessage, ServerResponse } from 'node:http';
import restana from 'restana';
import { RequestBodies } from './requestBodies';
import { HttpLimits } from './httpLimits';
import { HttpServer } from './httpServer';
import { Replies } from './replies';

/** Registers the routes of an HTTP server. */
export type HttpService = restana.Service<restana.Protocol.HTTP>;
/** A running HTTP server. */
export type HttpApiServer = Readonly<{
  address: string;
  /** Stops listening and closes idle connections; resolves when all received requests have been answered. */
  drain: () => Promise<void>;
  close: () => Promise<void>;
}>;

/** Outcome of reading a request body as text. */
export type TextReadResult =
  Readonly<{ kind: 'read'; text: string }> | Readonly<{ kind: 'tooLarge' }> | Readonly<{ kind: 'broken' }>;

/** HTTP servers for status pages and APIs with little traffic, with routes by path. */
export const HttpApiServers = {
  open: async (address: string, limits: HttpLimits, routes: (service: HttpService) => void): Promise<HttpApiServer> => {
    const server = new HttpServer(() => limits);
    const service = restana({
      server: server.server,
      errorHandler: (_error, _request, response) =>
        Replies.json(response as unknown as ServerResponse, 500, { error: 'internal' }),
    });
    routes(service);
    await server.listen(address);
    return { address: server.address, drain: () => server.drain(), close: () => server.close() };
  },

  /** Reads at most `maxBytes`; a body with a larger content length is not read at all. */
  readText: async (request: IncomingMessage, maxBytes: number): Promise<TextReadResult> => {
    const read = await RequestBodies.readBytes(request, maxBytes);
    return read.kind === 'read' ? { kind: 'read', text: read.bytes.toString('utf8') } : read;
  },
} as const;

export { HttpLimits, Replies };
