import type { IncomingMessage, ServerResponse } from 'node:http';
import { Paths } from '../shared/back-end/protocol';
import { realClock } from '../shared/effects/clock/realClock';
import { realRandom } from '../shared/effects/random/random';
import { HttpApiServers, HttpLimits, Replies } from '../shared/http/httpApiServer';
import { Programs } from '../shared/settings/program';
import { SettingFormats, Settings, type SettingSchema } from '../shared/settings/settings';
import { kvRoutes } from '../stand-in-engine/engineHttp';
import { KvHolder, type KvBlock } from '../stand-in-engine/kvHolder';

const schema: SettingSchema = {
  address: { doc: 'where it listens', format: SettingFormats.address, default: null, kind: 'text' },
  mostBlocks: { doc: 'blocks it keeps', format: SettingFormats.whole, default: 4000, kind: 'whole' },
};

Programs.run('stand-in-store', async () => {
  const settings = Settings.read(
    'stand-in-store',
    'a shared prefix store for tests and demos',
    schema,
    process.argv.slice(2),
  );
  const kv = new KvHolder(realRandom.name(), Number(settings['mostBlocks']), realRandom, () =>
    realClock.nowMicroseconds(),
  );
  const door = await HttpApiServers.open(String(settings['address']), HttpLimits.usual, (service) => {
    kvRoutes(service, () => kv);
    service.get(Paths.status, (_order, response) =>
      Replies.json(response as unknown as ServerResponse, 200, {
        bootEpoch: kv.bootEpoch,
        weights: '',
        capacity: 0,
        inFlight: 0,
        accepting: true,
      }),
    );
    service.put(Paths.exports, async (order, response) => {
      const body = await HttpApiServers.readText(order as unknown as IncomingMessage, 16 * 1024 * 1024);
      if (body.kind === 'read')
        for (const block of (JSON.parse(body.text) as { blocks: readonly KvBlock[] }).blocks) kv.keep(block);
      Replies.json(response as unknown as ServerResponse, 200, { kept: kv.size });
    });
  });
  Programs.onShutdown(5_000_000, () => door.drain());
});
