import type { IncomingMessage, ServerResponse } from 'node:http';
import { request } from 'undici';
import { Paths, type Directive } from '../shared/back-end/protocol';
import {
  HttpApiServers,
  HttpLimits,
  Replies,
  type HttpApiServer,
  type HttpService,
} from '../shared/http/httpApiServer';
import type { KvBlock, KvHolder } from './kvHolder';
import type { EngineSink, KvNeighbours, StandInEngine } from './standInEngine';

export const httpNeighbours: KvNeighbours = {
  fetch: async (address, keys) => {
    try {
      const { body } = await request(`http://${address}${Paths.exports}`, {
        method: 'POST',
        body: JSON.stringify({ keys }),
        headersTimeout: 2000,
        bodyTimeout: 2000,
      });
      return ((await body.json()) as { blocks: readonly KvBlock[] }).blocks;
    } catch {
      return [];
    }
  },
  put: async (address, blocks) => {
    const { body } = await request(`http://${address}${Paths.exports}`, {
      method: 'PUT',
      body: JSON.stringify({ blocks }),
      headersTimeout: 2000,
      bodyTimeout: 2000,
    });
    await body.dump();
  },
};

const raw = (response: unknown): ServerResponse => response as ServerResponse;
const textOf = async (order: unknown): Promise<string> => {
  const body = await HttpApiServers.readText(order as IncomingMessage, 16 * 1024 * 1024);
  return body.kind === 'read' ? body.text : '';
};

/** The pages that engines and stores share. */
export const kvRoutes = (service: HttpService, kv: () => KvHolder): void => {
  service.get(Paths.events, (order, response) => {
    const after = Number(
      new URL((order as unknown as IncomingMessage).url ?? '/', 'http://engine').searchParams.get('after') ?? 0,
    );
    Replies.json(raw(response), 200, kv().read(after));
  });
  service.get(Paths.list, (_order, response) => Replies.json(raw(response), 200, kv().list()));
  service.post(Paths.exports, async (order, response) => {
    const { keys } = JSON.parse(await textOf(order)) as { keys: readonly string[] };
    Replies.json(raw(response), 200, { bootEpoch: kv().bootEpoch, blocks: keys.flatMap((key) => kv().use(key) ?? []) });
  });
};

const sinkOf = (response: ServerResponse): EngineSink => ({
  head: (status, headers) => {
    response.writeHead(status, { ...headers });
    response.flushHeaders();
  },
  part: (text) => void response.write(text),
  end: () => void response.end(),
  cut: () => void response.destroy(),
});

export const EngineHttp = {
  open: (engine: StandInEngine, address: string): Promise<HttpApiServer> =>
    HttpApiServers.open(address, HttpLimits.usual, (service) => {
      kvRoutes(service, () => engine.kv);
      service.get(Paths.status, (_order, response) => Replies.json(raw(response), 200, engine.status()));
      service.post(Paths.directive, async (order, response) => {
        const outcome = engine.direct(JSON.parse(await textOf(order)) as Directive);
        Replies.json(raw(response), outcome === 'done' ? 200 : outcome === 'oldTerm' ? 409 : 500, { outcome });
      });
      service.post('/v1/chat/completions', async (order, response) => {
        const body = await textOf(order);
        const target = raw(response);
        await engine.run(
          { headers: (order as unknown as IncomingMessage).headers as Record<string, string | undefined>, body },
          sinkOf(target),
          (act) => {
            target.on('close', () => {
              if (!target.writableFinished) act();
            });
          },
        );
      });
    }),
} as const;
