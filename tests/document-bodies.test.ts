import assert from 'node:assert/strict';
import { createHash } from 'node:crypto';
import { test } from 'node:test';
import { deflateRawSync } from 'node:zlib';
import { platformConfigurationFormat } from '../platform/operators/configurationFormat';
import { World } from '../source/fleet-simulator/world/world';
import { realClock } from '../source/shared/effects/clock/realClock';
import { TcpTransport } from '../source/shared/effects/transport/tcpTransport';
import type { Message } from '../source/shared/effects/transport/transport';
import { DocumentBodies, BodyEncoder, type DocumentBody } from '../source/shared/freshness/documentBodies';
import { Freshness } from '../source/shared/freshness/freshness';
import { platformDocument } from './support/platformDocument';

const digestOf = (text: string): string => createHash('sha256').update(text).digest('hex').slice(0, 32);

const longText = (): string => {
  const document = JSON.parse(platformDocument(3)) as { routes: Record<string, unknown>[] };
  const [route] = document.routes;
  document.routes = Array.from({ length: 500 }, (_, index) => ({
    ...route,
    name: `r-${index}`,
    pathPrefix: `/p${index}/`,
  }));
  const applied = platformConfigurationFormat.apply(
    { revision: 0, text: '' },
    { form: 'whole', ifMatch: 0, text: JSON.stringify(document) },
  );
  assert.equal(applied.kind, 'write');
  return applied.kind === 'write' ? applied.text : '';
};

const bodyOf = (text: string): DocumentBody => ({ key: 'blueprint', revision: 1, digest: digestOf(text), text });

test('long texts are sent compressed to less than a fifth of their size and decompress unchanged', () => {
  const packer = new BodyEncoder();
  const body = bodyOf(longText());
  const sent = packer.encode(body);
  assert.ok(DocumentBodies.is(sent) && 'packed' in sent);
  if (!('packed' in sent)) return;
  assert.ok(sent.packed.length * 5 < body.text.length, `${sent.packed.length} of ${body.text.length}`);
  assert.equal(DocumentBodies.text(sent), body.text);
  assert.equal((packer.encode(body) as typeof sent).packed, sent.packed, 'compressed once');
  const short = bodyOf('short');
  assert.equal(packer.encode(short), short);
});

test('applies a compressed body like a plain one, and rejects a damaged, oversized or wrong one', () => {
  const world = new World(1);
  const freshness = new Freshness(world.clock, platformConfigurationFormat);
  const body = bodyOf(longText());
  freshness.applyStatement({ key: 'blueprint', revision: 1, digest: body.digest, ageMicroseconds: 0, weights: {} }, 0);
  const sent = new BodyEncoder().encode(body);
  assert.ok('packed' in sent);
  if (!('packed' in sent)) return;
  assert.equal(freshness.applyBody({ ...sent, packed: sent.packed.subarray(0, 40) }), false);
  assert.equal(freshness.applyBody({ ...sent, packed: deflateRawSync(Buffer.alloc(64 * 1024 * 1024)) }), false);
  assert.equal(freshness.applyBody({ ...sent, packed: deflateRawSync('another text') }), false);
  assert.equal(freshness.applyBody(sent), true);
  assert.equal(Object.keys(freshness.blueprint?.mappings ?? {}).length, 500);
  assert.deepEqual(freshness.encodedBody('blueprint'), sent);
});

test('a request without an answer does not close the connection of another request whose answer is under way', async () => {
  const transport = new TcpTransport(realClock);
  let release: (answer: Message) => void = () => undefined;
  const held = new Promise<Message>((resolve) => {
    release = resolve;
  });
  const listener = await transport.listen('127.0.0.1:0', (message) => {
    if (message.kind === 'held') return held;
    if (message.kind === 'lost') return new Promise(() => undefined);
    return Promise.resolve({ kind: 'pong' });
  });
  const long = transport.ask(listener.address, { kind: 'held' }, 20_000_000);
  const lost = transport.ask(listener.address, { kind: 'lost' }, 200_000);
  assert.equal((await transport.ask(listener.address, { kind: 'ping' }, 5_000_000)).kind, 'answered');
  assert.equal((await lost).kind, 'silent');
  release({ kind: 'body', text: 'x'.repeat(2_000_000) });
  assert.equal((await long).kind, 'answered');
  await transport.close();
});
