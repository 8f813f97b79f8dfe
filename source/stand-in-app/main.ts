import { createWriteStream } from 'node:fs';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { BackEndHeaders } from '../shared/back-end/protocol';
import { HttpApiServers, HttpLimits, Replies } from '../shared/http/httpApiServer';
import { Programs } from '../shared/settings/program';
import { SettingFormats, Settings, type SettingSchema } from '../shared/settings/settings';
import { Answers } from '../stand-in-engine/standInEngine';

const schema: SettingSchema = {
  name: { doc: 'name of this engine', format: SettingFormats.name, default: null, kind: 'text' },
  address: { doc: 'where it listens', format: SettingFormats.address, default: null, kind: 'text' },
  record: { doc: 'file its record is appended to', format: SettingFormats.text, default: '', kind: 'text' },
};

Programs.run('stand-in-app', async () => {
  const settings = Settings.read(
    'stand-in-app',
    'an application engine for tests and demos',
    schema,
    process.argv.slice(2),
  );
  const file =
    String(settings['record']) === '' ? undefined : createWriteStream(String(settings['record']), { flags: 'a' });
  const door = await HttpApiServers.open(String(settings['address']), HttpLimits.usual, (service) => {
    service.all('/*', async (given, response) => {
      const order = given as unknown as IncomingMessage;
      const body = await HttpApiServers.readText(order, 4 * 1024 * 1024);
      const text = body.kind === 'read' ? body.text : '';
      file?.write(
        `${JSON.stringify({ engine: String(settings['name']), order: order.headers[BackEndHeaders.order] ?? '', nonce: Answers.nonce(text), tenant: order.headers[BackEndHeaders.tenant] ?? '', blocks: [], ended: 'whole', parts: 1, weightsAtStart: '', weightsAtEnd: '' })}\n`,
      );
      Replies.json(response as unknown as ServerResponse, 200, {
        path: order.url,
        echo: Answers.digest(text),
        nonce: Answers.nonce(text),
      });
    });
  });
  Programs.onShutdown(5_000_000, () => door.drain());
});
