/**
 * Guards against requests with a short limit closing a connection that they share with requests of a longer limit.
 *
 * A proxy asks the agent that holds the work queue for a slot with a limit of 60 ms, and polls the same agent for gossip with 500 ms. A
 * short request that timed out, and since which nothing had been received, closed the connection, and the responses to all other
 * requests on it were lost. Under load proxies then reported a live agent as silent after 7 to 256 ms, and received its gossip late.
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { realClock } from '../source/shared/effects/clock/realClock';
import { TcpTransport } from '../source/shared/effects/transport/tcpTransport';
import type { Message } from '../source/shared/effects/transport/transport';

const wait = (milliseconds: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, milliseconds));

const withListener = async (
  handler: (message: Message) => Promise<Message>,
  run: (transport: TcpTransport, address: string) => Promise<void>,
): Promise<void> => {
  const transport = new TcpTransport(realClock);
  const listener = await transport.listen('127.0.0.1:0', handler);
  try {
    await run(transport, listener.address);
  } finally {
    await transport.close();
  }
};

describe('requests with different limits on one connection', () => {
  test('a short request that times out does not discard the responses to longer ones', async () => {
    const handler = async ({ kind }: Message): Promise<Message> => {
      await wait(kind === 'news' ? 200 : 300);
      return { kind: 'heard' };
    };
    await withListener(handler, async (transport, address) => {
      const gossip = transport.ask(address, { kind: 'news' }, 1_000_000);
      const slot = transport.ask(address, { kind: 'reserve' }, 40_000);
      assert.equal((await slot).kind, 'silent');
      assert.equal((await gossip).kind, 'answered');
    });
  });

  test('closes a connection on which nothing is received for long, although each request on it is short', async () => {
    let closedConnections = 0;
    const receivedKinds = new Set<string>();
    const handler = ({ kind }: Message): Promise<Message> => {
      receivedKinds.add(kind);
      return new Promise<Message>(() => undefined);
    };
    await withListener(handler, async (transport, address) => {
      const held = transport.ask(address, { kind: 'held' }, 5_000_000).then((answer) => {
        closedConnections += 1;
        return answer;
      });
      for (let requests = 0; requests < 16 && closedConnections === 0; requests += 1)
        await transport.ask(address, { kind: 'reserve' }, 40_000);
      assert.equal(closedConnections, 1, 'the held request ended with its connection');
      assert.equal((await held).kind, 'silent');
      assert.ok(receivedKinds.has('reserve'));
    });
  });
});
