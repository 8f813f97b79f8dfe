import assert from 'node:assert/strict';
import type net from 'node:net';
import { test } from 'node:test';
import { ConnectionPoolDefaults, PooledSender } from '../source/shared/back-end/connection-pool/pooledSender';
import { realClock } from '../source/shared/effects/clock/realClock';
import { RawEngine, sendRaw } from './support/rawEngine';

const responses = 200;
const body = 'id: 1\ndata: x\n\n';
const unframedPart = `HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n${body}`;

/** Sends requests to a back end that writes an unframed response and then ends its connection as given; counts the outcomes. */
const outcomesOf = async (endConnection: (socket: net.Socket) => void): Promise<Readonly<Record<string, number>>> => {
  const engine = await RawEngine.open((socket) => {
    socket.write(unframedPart);
    endConnection(socket);
  });
  const sender = new PooledSender(realClock, ConnectionPoolDefaults, () => ({ maxIdle: 16, maxOpen: 64 }));
  const counts: Record<string, number> = {};
  for (let response = 0; response < responses; response += 1) {
    const { end } = await sendRaw(sender, engine.address);
    counts[end] = (counts[end] ?? 0) + 1;
  }
  sender.close();
  await engine.close();
  return counts;
};

// MIXED: guards against a response without a length that is reset on the way appearing complete.
test('a response without a length is incomplete if its connection is reset right after a part of it', async () => {
  assert.deepEqual(await outcomesOf((socket) => socket.resetAndDestroy()), { mayHaveRun: responses });
});

test('a response without a length is complete if its connection is closed in order', async () => {
  assert.deepEqual(await outcomesOf((socket) => socket.end()), { whole: responses });
});
