/**
 * What users saw: a loaded agent seemed to fall silent again and again to the proxies that it feeds, though it lived; they were fed late.
 *
 * What happened: asks of different patience share a connection. A proxy asks the agent that holds the work queue for a place, and
 * waits 60 ms; the same agent feeds it news, with half a second. Where the short ask was not answered in time, and nothing else had come
 * since, the connection was taken for dead and closed, and the answers to all other asks on it were lost.
 *
 * Evidence: on a busy day proxies named one live agent as silent after 7 to 256 ms, while the limit of that ask is 500 ms; it held the work queue.
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { realClock } from '../source/shared/effects/clock/realClock';
import { TcpTransport } from '../source/shared/effects/transport/tcpTransport';
import type { Message } from '../source/shared/effects/transport/transport';

const wait = (milliseconds: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, milliseconds));

const withListener = async (
  handler: (message: Message) => Promise<Message>,
  play: (transport: TcpTransport, address: string) => Promise<void>,
): Promise<void> => {
  const transport = new TcpTransport(realClock);
  const listener = await transport.listen('127.0.0.1:0', handler);
  try {
    await play(transport, listener.address);
  } finally {
    await transport.close();
  }
};

describe('asks of different patience on one connection', () => {
  test('a short ask that is given up leaves the answers to longer ones alone', async () => {
    const handler = async ({ kind }: Message): Promise<Message> => {
      await wait(kind === 'news' ? 200 : 300);
      return { kind: 'heard' };
    };
    await withListener(handler, async (transport, address) => {
      const news = transport.ask(address, { kind: 'news' }, 1_000_000);
      const place = transport.ask(address, { kind: 'reserve' }, 40_000);
      assert.equal((await place).kind, 'silent');
      assert.equal((await news).kind, 'answered');
    });
  });

  test('a connection on which nothing comes for long is given up, though each ask on it is short', async () => {
    let connections = 0;
    const seen = new Set<string>();
    const handler = ({ kind }: Message): Promise<Message> => {
      seen.add(kind);
      return new Promise<Message>(() => undefined);
    };
    await withListener(handler, async (transport, address) => {
      const held = transport.ask(address, { kind: 'held' }, 5_000_000).then((answer) => {
        connections += 1;
        return answer;
      });
      for (let asks = 0; asks < 16 && connections === 0; asks += 1)
        await transport.ask(address, { kind: 'reserve' }, 40_000);
      assert.equal(connections, 1, 'the held ask ended with its connection');
      assert.equal((await held).kind, 'silent');
      assert.ok(seen.has('reserve'));
    });
  });
});
