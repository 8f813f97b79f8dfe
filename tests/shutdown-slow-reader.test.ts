import assert from 'node:assert/strict';
import net from 'node:net';
import { test } from 'node:test';
import { HttpLimits } from '../source/shared/http/httpLimits';
import { HttpServer } from '../source/shared/http/httpServer';

const bodyBytes = 16 * 1024 * 1024;

// LOST: guards against a shutdown that closes a connection whose response is complete but not yet written out to a slow reader.
test('a slow reader gets its whole response although the server shuts down meanwhile', async (context) => {
  const server = new HttpServer(() => HttpLimits.usual);
  const responded = new Promise<void>((resolve) => {
    server.server.on('request', (_request, response) => {
      response.end(Buffer.alloc(bodyBytes, 'x'));
      resolve();
    });
  });
  await server.listen('127.0.0.1:0');
  context.after(() => server.close());
  const [host, port] = server.address.split(':');
  const client = net.connect({ host, port: Number(port) });
  let received = 0;
  client.on('error', () => undefined);
  const closed = new Promise<void>((resolve) => client.on('close', () => resolve()));
  client.pause();
  client.on('data', (chunk: Buffer) => (received += chunk.length));
  client.pause();
  client.write('GET / HTTP/1.1\r\nhost: x\r\n\r\n');
  await responded;
  const drained = server.drain();
  for (let turn = 0; turn < 20; turn += 1) await new Promise((resolve) => setImmediate(resolve));
  client.resume();
  await Promise.all([closed, drained]);
  assert.ok(received > bodyBytes, `${received} of ${bodyBytes} bytes`);
});
