import type { IncomingMessage, ServerResponse } from 'node:http';
import restana from 'restana';
import { Bodies } from './bodies';
import { HttpLimits } from './httpLimits';
import { HttpServer } from './httpServer';
import { Replies } from './replies';

export type HttpService = restana.Service<restana.Protocol.HTTP>;
export type HttpDoor = Readonly<{
  address: string;
  /** Stops listening and closes idle conns; resolves when all that was read has been answered. */
  drain: () => Promise<void>;
  close: () => Promise<void>;
}>;

export type BodyRead =
  Readonly<{ kind: 'read'; text: string }> | Readonly<{ kind: 'tooLarge' }> | Readonly<{ kind: 'broken' }>;

/** Pages and interfaces of few calls, by paths. */
export const HttpDoors = {
  open: async (address: string, limits: HttpLimits, routes: (service: HttpService) => void): Promise<HttpDoor> => {
    const server = new HttpServer(() => limits);
    const service = restana({
      server: server.server,
      errorHandler: (_error, _order, response) =>
        Replies.json(response as unknown as ServerResponse, 500, { error: 'internal' }),
    });
    routes(service);
    await server.listen(address);
    return { address: server.address, drain: () => server.drain(), close: () => server.close() };
  },

  /** Reads at most `mostBytes`; a body that promises more is not read at all. */
  body: async (order: IncomingMessage, mostBytes: number): Promise<BodyRead> => {
    const read = await Bodies.bytes(order, mostBytes);
    return read.kind === 'read' ? { kind: 'read', text: read.bytes.toString('utf8') } : read;
  },
} as const;

export { HttpLimits, Replies };
