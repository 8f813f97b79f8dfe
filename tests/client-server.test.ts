import assert from 'node:assert/strict';
import net from 'node:net';
import { describe, test } from 'node:test';
import fc from 'fast-check';
import { PlatformClientApiFormat } from '../platform/callers/clientApiFormat';
import { ClientServer, type ClientServerOptions } from '../source/edge-proxy/client-api/clientServer';
import { ReadinessServer } from '../source/edge-proxy/client-api/readinessServer';
import type { EdgeProxy } from '../source/edge-proxy/edgeProxy';
import type { ResponseSink, ProxyRequest } from '../source/edge-proxy/pipeline/request';
import { GracefulStops } from '../source/edge-proxy/shutdown/gracefulStops';
import type { ClientLimits } from '../source/shared/configuration/types';
import { realRandom } from '../source/shared/effects/random/random';
import { HttpLimits } from '../source/shared/http/httpLimits';
import { Metrics } from '../source/shared/metrics/metrics';
import { RawClient } from './support/rawClient';
import { ManualClock } from './support/rawEngine';

type ReceivedRequest = Readonly<{ order: ProxyRequest; answer: ResponseSink }>;

/** A client server whose proxy is a stub that keeps the requests it receives and handles them as the test says. */
class ServerHarness {
  public readonly received: ReceivedRequest[] = [];
  public readonly clock = new ManualClock();
  private readonly listeners: (() => void)[] = [];

  public constructor(
    private readonly handle: (received: ReceivedRequest) => void,
    public server: ClientServer = undefined as unknown as ClientServer,
  ) {}

  public static async open(
    handle: (received: ReceivedRequest) => void,
    limits: Partial<HttpLimits> = {},
    options: Partial<ClientServerOptions> = {},
    bodyBytes = 100_000,
  ): Promise<ServerHarness> {
    const harness = new ServerHarness(handle);
    const proxy = {
      handle: (order: ProxyRequest, answer: ResponseSink) => {
        const received = { order, answer };
        harness.received.push(received);
        for (const notify of harness.listeners.splice(0)) notify();
        harness.handle(received);
        return Promise.resolve();
      },
      metrics: new Metrics(),
      fresh: () => true,
    } as unknown as EdgeProxy;
    harness.server = await ClientServer.open(
      proxy,
      '127.0.0.1:0',
      { ...HttpLimits.usual, ...limits },
      bodyBytes,
      harness.clock,
      realRandom,
      { apiFormat: PlatformClientApiFormat, ...options },
    );
    return harness;
  }

  public async untilReceived(count: number): Promise<ReceivedRequest> {
    while (this.received.length < count) await new Promise<void>((resolve) => this.listeners.push(resolve));
    return this.received[count - 1] as ReceivedRequest;
  }

  public connect(): Promise<RawClient> {
    return RawClient.open(this.server.address);
  }
}

const respond =
  (text: string) =>
  ({ answer }: ReceivedRequest): void => {
    answer.head({ status: 200, headers: { 'content-length': String(text.length) } });
    void answer.part(Buffer.from(text));
    answer.end();
  };
const requestId = (order: ProxyRequest): string => order.id;
const head = (number: number | string, extra = 'content-length: 0'): string =>
  `POST /p/${number}?q=${number} HTTP/1.1\r\nhost: h.example\r\npostdrum-request-id: r${number}\r\n${extra}\r\n\r\n`;
const eventLoopTurns = async (count = 20): Promise<void> => {
  for (let turn = 0; turn < count; turn += 1) await new Promise((resolve) => setImmediate(resolve));
};

/** How a connection ends for a client that sends this request, and the text that it has received by then. */
const endOfConnection = (address: string, request: string): Promise<Readonly<{ text: string; end: string }>> =>
  new Promise((resolve) => {
    const [host, port] = address.split(':');
    const socket = net.connect({ host, port: Number(port) });
    let text = '';
    let end = 'none';
    socket.on('data', (chunk: Buffer) => (text += chunk.toString('latin1')));
    // The peer's address is missing if the reset arrived together with data; Node.js reports it as an end then.
    socket.on('end', () => (end = socket.remoteAddress === undefined ? 'reset' : 'closed'));
    socket.on('error', () => (end = 'reset'));
    socket.on('close', () => resolve({ text, end }));
    socket.write(request);
  });

describe('a response that is cut short never appears complete', () => {
  for (const [version, length] of [
    ['1.1', undefined],
    ['1.1', '100'],
    ['1.0', undefined],
    ['1.0', '100'],
  ] as const)
    // MIXED: guards against a response to an HTTP/1.0 client that is complete at the end of its connection although it was cut.
    test(`for HTTP/${version}, ${length === undefined ? 'without a length' : 'with a length'}`, async () => {
      const harness = await ServerHarness.open(({ answer }) => {
        answer.head({ status: 200, headers: length === undefined ? {} : { 'content-length': length } });
        void answer.part(Buffer.from('a part'));
        setImmediate(() => answer.cut());
      });
      const request = head(1).replace('HTTP/1.1', `HTTP/${version}`);
      for (let turn = 0; turn < 20; turn += 1) {
        const { text, end } = await endOfConnection(harness.server.address, request);
        const isFramed = /transfer-encoding: chunked|content-length: 100/i.test(text);
        assert.ok(!text.endsWith('0\r\n\r\n'), 'without the last chunk');
        assert.equal(end, isFramed ? 'closed' : 'reset', `after ${text}`);
        assert.ok(!isFramed || text.includes('a part'), 'what was written before the cut arrives');
      }
      await harness.server.close();
    });
});

describe('the HTTP server for clients', () => {
  test('passes on bodies byte for byte, however they are split and framed', async () => {
    const harness = await ServerHarness.open(respond('ok'));
    const client = await harness.connect();
    await fc.assert(
      fc.asyncProperty(
        fc.uint8Array({ maxLength: 3000 }),
        fc.boolean(),
        fc.array(fc.integer({ min: 1, max: 700 }), { minLength: 1, maxLength: 6 }),
        async (bytes, chunked, sizes) => {
          const count = harness.received.length + 1;
          const pieces: Uint8Array[] = [];
          for (let at = 0, turn = 0; at < bytes.length; turn += 1) {
            const size = sizes[turn % sizes.length] ?? 1;
            pieces.push(bytes.subarray(at, at + size));
            at += size;
          }
          client.text = '';
          client.write(head(count, chunked ? 'transfer-encoding: chunked' : `content-length: ${bytes.length}`));
          for (const piece of pieces) {
            if (chunked)
              client
                .write(`${piece.length.toString(16)}\r\n`)
                .write(piece)
                .write('\r\n');
            else client.write(piece);
            await eventLoopTurns(1);
          }
          if (chunked) client.write('0\r\n\r\n');
          const { order } = await harness.untilReceived(count);
          await client.until((text) => text.endsWith('ok'));
          assert.deepEqual(Buffer.from(order.body as Uint8Array), Buffer.from(bytes));
          assert.deepEqual(
            [order.target, order.path, order.host],
            [`/p/${count}?q=${count}`, `/p/${count}`, 'h.example'],
          );
        },
      ),
      { seed: 31, numRuns: 60 },
    );
    await harness.server.close();
  });

  test('reads a head that arrives in many pieces as one request, and half a head as none', async () => {
    const harness = await ServerHarness.open(respond('ok'));
    const client = await harness.connect();
    for (const letter of head(1)) {
      client.write(letter);
      await eventLoopTurns(1);
    }
    await client.until((text) => text.endsWith('ok'));
    assert.equal(harness.received.length, 1);
    client.write(head(2).slice(0, 30)).socket.end();
    await client.until(() => false);
    assert.equal(harness.received.length, 1);
    await harness.server.close();
  });

  test('answers half a head with 408 in time, and closes a connection that sends nothing without a response', async () => {
    const harness = await ServerHarness.open(respond('ok'), { headMicroseconds: 50_000 });
    const [half, silent, body] = await Promise.all([harness.connect(), harness.connect(), harness.connect()]);
    half.write('POST /x HTTP/1.1\r\nhost: h');
    body.write(head(1, 'content-length: 5'));
    await Promise.all([half.until(() => false), silent.until(() => false)]);
    assert.deepEqual([half.statuses(), silent.text], [[408], '']);
    assert.equal(harness.received.length, 0);
    body.socket.destroy();
    await harness.server.close();
  });

  test('answers half a body with 408 and does not pass the request on', async () => {
    const harness = await ServerHarness.open(respond('ok'), { headMicroseconds: 50_000, bodyMicroseconds: 50_000 });
    const client = await harness.connect();
    client.write(head(1, 'content-length: 5')).write('abc');
    await client.until(() => false);
    assert.deepEqual([client.statuses(), harness.received.length], [[408], 0]);
    await harness.server.close();
  });

  test('answers pipelined requests in their order', async () => {
    const harness = await ServerHarness.open(() => undefined);
    const client = await harness.connect();
    client.write(head(1) + head(2) + head(3));
    await harness.untilReceived(3);
    for (const place of [2, 1, 0]) {
      const received = harness.received[place] as ReceivedRequest;
      respond(`<${requestId(received.order)}>`)(received);
    }
    const text = await client.until((seen) => seen.includes('<r3>'));
    assert.deepEqual(
      [...text.matchAll(/<(r\d)>/g)].map(([, name]) => name),
      ['r1', 'r2', 'r3'],
    );
    await harness.server.close();
  });

  test('answers a request that is followed by garbage, then closes the connection', async () => {
    const harness = await ServerHarness.open(() => undefined);
    const client = await harness.connect();
    client.write(`${head(1)}\u0000garbage\r\n\r\n`);
    const received = await harness.untilReceived(1);
    await eventLoopTurns();
    assert.equal(client.text, '', 'no error response that the client would take for the response to its request');
    assert.equal(received.answer.gone(), false);
    respond('whole')(received);
    await client.until(() => false);
    assert.deepEqual([client.statuses(), client.text.endsWith('whole')], [[200], true]);
    await harness.server.close();
  });

  test('answers a long-running request that is followed by half a request', async () => {
    const harness = await ServerHarness.open(() => undefined, { headMicroseconds: 50_000, bodyMicroseconds: 50_000 });
    const client = await harness.connect();
    const other = await harness.connect();
    client.write(head(1) + head(2).slice(0, 20));
    other.write(head(2).slice(0, 20));
    const received = await harness.untilReceived(1);
    // When the time limit of the other connection is over, that of the first is over as well.
    await other.until(() => false);
    await eventLoopTurns();
    assert.deepEqual([other.statuses(), client.text, client.closed], [[408], '', false]);
    respond('whole')(received);
    await client.until(() => false);
    assert.deepEqual([client.statuses(), client.text.endsWith('whole')], [[200], true]);
    await harness.server.close();
  });

  test('answers a malformed chunk with 400, after the response to an earlier request on the connection', async () => {
    const harness = await ServerHarness.open(() => undefined);
    const client = await harness.connect();
    client.write(head(1)).write(`${head(2, 'transfer-encoding: chunked')}zz\r\n`);
    const received = await harness.untilReceived(1);
    await eventLoopTurns();
    respond('whole')(received);
    await client.until(() => false);
    assert.deepEqual([client.statuses(), harness.received.length], [[200, 400], 1]);
    await harness.server.close();
  });

  test('refuses a body too large by its content-length or by its chunks, and a head that is too large', async () => {
    const harness = await ServerHarness.open(respond('ok'), { headBytes: 2000 }, {}, 1000);
    const declared = await harness.connect();
    declared.write(head(1, 'content-length: 1001'));
    await declared.until((text) => text.includes('tooLarge'));
    const grown = await harness.connect();
    grown.write(head(2, 'transfer-encoding: chunked')).write(`3e9\r\n${'x'.repeat(1001)}\r\n`);
    await grown.until((text) => text.includes('tooLarge'));
    const long = await harness.connect();
    long.write(head(3, `x: ${'y'.repeat(3000)}`));
    await long.until(() => false);
    assert.deepEqual([declared.statuses(), grown.statuses(), long.statuses()], [[413], [413], [431]]);
    assert.equal(harness.received.length, 0);
    await harness.server.close();
  });

  test('delivers a refusal to a client that is still writing and keeps the connection usable', async () => {
    const harness = await ServerHarness.open(respond('ok'), {}, {}, 1000);
    const client = await harness.connect();
    client.write(head(1, 'content-length: 200000')).write('x'.repeat(100_000));
    await client.until((text) => text.includes('tooLarge'));
    client.write('x'.repeat(100_000)).write(head(2));
    await client.until((text) => text.endsWith('ok'));
    assert.deepEqual(client.statuses(), [413, 200]);
    await harness.server.close();
  });

  test('reports a client that disconnects before or during its response', async () => {
    const harness = await ServerHarness.open(() => undefined);
    for (const begun of [false, true]) {
      const client = await harness.connect();
      const count = harness.received.length + 1;
      client.write(head(count));
      const { answer } = await harness.untilReceived(count);
      if (begun) {
        answer.head({ status: 200, headers: {} });
        await client.until((text) => text.includes('200'));
      }
      const gone = new Promise<void>((resolve) => answer.onClientGone(resolve));
      client.socket.destroy();
      await gone;
      assert.equal(answer.gone(), true);
      answer.end();
    }
    await harness.server.close();
  });

  test('ends a cut response without its last chunk', async () => {
    const harness = await ServerHarness.open(({ answer }) => {
      answer.head({ status: 200, headers: {} });
      void answer.part(Buffer.from('part'));
      setImmediate(() => answer.cut());
    });
    const client = await harness.connect();
    client.write(head(1));
    const text = await client.until(() => false);
    assert.ok(text.includes('part') && !text.includes('0\r\n\r\n'));
    await harness.server.close();
  });

  test('sends a head at once if no part of the body follows', async () => {
    const harness = await ServerHarness.open(({ answer }) => answer.head({ status: 200, headers: { 'x-a': '1' } }));
    const client = await harness.connect();
    client.write(head(1));
    await client.until((text) => text.includes('x-a: 1'));
    await harness.server.close();
  });

  test("applies changed operators' limits at once and announces the idle timeout", async () => {
    const operators: { limits?: ClientLimits } = {};
    const harness = await ServerHarness.open(respond('ok'), {}, { limits: () => operators.limits }, 1000);
    const ask = async (bytes: number): Promise<RawClient> => {
      const client = await harness.connect();
      client.write(head(bytes, `content-length: ${bytes}`)).write('x'.repeat(bytes));
      await client.until((text) => /ok$|tooLarge/.test(text));
      return client;
    };
    assert.deepEqual((await ask(900)).statuses(), [200]);
    operators.limits = { headBytes: 300, bodyBytes: 800, headMicroseconds: 0, idleMicroseconds: 15_000_000 };
    assert.deepEqual((await ask(900)).statuses(), [413]);
    const fine = await ask(700);
    assert.match(fine.text, /keep-alive: timeout=15\r\n/);
    const long = await harness.connect();
    long.write(head(1, `x: ${'y'.repeat(400)}`));
    await long.until(() => false);
    assert.deepEqual(long.statuses(), [431]);
    await harness.server.close();
  });

  test('counts the time of a request from its head if it has a deadline, else from the end of its body', async () => {
    const harness = await ServerHarness.open(respond('ok'));
    for (const [extra, expected] of [
      ['postdrum-deadline-ms: 50\r\n', 0],
      ['', 7000],
    ] as const) {
      const client = await harness.connect();
      const count = harness.received.length + 1;
      const startedMicroseconds = harness.clock.nowMicroseconds();
      client.write(head(count, `${extra}content-length: 1\r\nexpect: 100-continue`));
      await client.until((text) => text.includes('100 Continue'));
      harness.clock.pass(7000);
      client.write('x');
      const { order } = await harness.untilReceived(count);
      assert.equal(order.arrivedMicroseconds - startedMicroseconds, expected);
      assert.equal(order.passed?.['expect'], undefined);
    }
    await harness.server.close();
  });
});

describe('a graceful shutdown', () => {
  const { drain } = GracefulStops.within(8_000_000);

  test('accepts connections until load balancers have reacted, then finishes the requests it has read', async () => {
    const harness = await ServerHarness.open(() => undefined);
    const persistent = await harness.connect();
    persistent.write(head(1));
    respond('one')(await harness.untilReceived(1));
    await persistent.until((text) => text.endsWith('one'));
    assert.doesNotMatch(persistent.text, /connection: close/i);
    let isDrained = false;
    const drained = harness.server.drain(drain).then(() => {
      isDrained = true;
    });
    // An open connection is still served, with `connection: close`.
    persistent.text = '';
    persistent.write(head(2));
    respond('two')(await harness.untilReceived(2));
    await persistent.until(() => false);
    assert.match(persistent.text, /connection: close/i);
    assert.ok(persistent.text.endsWith('two'));
    // New connections are accepted until none has arrived for a while.
    for (let round = 0; round < 3; round += 1) {
      harness.clock.pass(1_000_000);
      await eventLoopTurns();
      const client = await harness.connect();
      client.write(head(round + 3));
      respond('late')(await harness.untilReceived(round + 3));
      await client.until(() => false);
      assert.ok(client.text.endsWith('late'));
    }
    const last = await harness.connect();
    last.write(head(9));
    const running = await harness.untilReceived(6);
    for (let step = 0; step < 6; step += 1) {
      harness.clock.pass(250_000);
      await eventLoopTurns();
    }
    await assert.rejects(harness.connect());
    assert.equal(isDrained, false);
    respond('last')(running);
    await last.until(() => false);
    assert.ok(last.text.endsWith('last'));
    await drained;
  });

  test('answers all requests that are pipelined before or during the shutdown', async () => {
    const harness = await ServerHarness.open(() => undefined);
    const client = await harness.connect();
    client.write(head(1) + head(2));
    await harness.untilReceived(2);
    const drained = harness.server.drain();
    client.write(head(3));
    await harness.untilReceived(3);
    for (const received of harness.received) respond(requestId(received.order))(received);
    await client.until(() => false);
    assert.deepEqual(client.statuses(), [200, 200, 200]);
    assert.equal(client.text.match(/connection: close/gi)?.length, 1);
    await drained;
  });

  test('ends although new clients keep arriving', async () => {
    const harness = await ServerHarness.open(respond('ok'));
    const drained = harness.server.drain(drain);
    for (let passed = 0; passed < drain.maxListenMicroseconds; passed += 500_000) {
      const client = await harness.connect();
      client.write(head(passed));
      await client.until(() => false);
      assert.deepEqual(client.statuses(), [200]);
      harness.clock.pass(500_000);
      await eventLoopTurns();
    }
    await drained;
    await assert.rejects(harness.connect());
  });

  test('refuses a late request that may outlast the shutdown and answers one that can finish', async (context) => {
    const harness = await ServerHarness.open(respond('ok'));
    // A server left open keeps the whole file running when this test fails.
    context.after(() => harness.server.close());
    const persistent = await harness.connect();
    const within = (milliseconds: number): string => `postdrum-deadline-ms: ${milliseconds}\r\ncontent-length: 0`;
    persistent.write(head(1, within(6000)));
    await persistent.until((text) => text.endsWith('ok'));
    const drained = harness.server.drain(drain);
    const statusAt = async (microseconds: number, milliseconds: number): Promise<number | undefined> => {
      harness.clock.pass(microseconds);
      await eventLoopTurns();
      const client = await harness.connect();
      client.write(head(`${microseconds}`, within(milliseconds)));
      await client.until(() => false);
      assert.match(client.text, /connection: close/i);
      return client.statuses()[0];
    };
    assert.equal(await statusAt(2_000_000, 6000), 200, 'load balancers have not reacted yet');
    assert.equal(await statusAt(1_000_000, 6000), 503, 'it may run longer than this proxy');
    assert.equal(await statusAt(0, 4000), 200);
    persistent.text = '';
    persistent.write(head(2, within(6000)));
    await persistent.until(() => false);
    assert.deepEqual(persistent.statuses(), [503], 'also on a connection that was already open');
    assert.equal(harness.received.length, 3);
    harness.clock.pass(drain.maxListenMicroseconds);
    await eventLoopTurns();
    await drained;
  });

  test('does not wait for half a request', async () => {
    const harness = await ServerHarness.open(respond('ok'));
    const half = await harness.connect();
    half.write('POST /x HTTP/1.1\r\nhost: h');
    await eventLoopTurns();
    await harness.server.drain({
      ...drain,
      minListenMicroseconds: 0,
      quietMicroseconds: 0,
      incompleteRequestMicroseconds: 10_000,
    });
    await half.until(() => false);
    assert.equal(half.text, '');
  });

  test('ends before the process is killed', () => {
    for (const grace of [4_000_000, 8_000_000, 30_000_000]) {
      const stops = GracefulStops.within(grace);
      assert.ok(stops.stopLimitMicroseconds < grace);
      assert.ok(stops.drain.maxListenMicroseconds < stops.stopLimitMicroseconds);
    }
  });
});

test('readiness is shown by the status code alone and changes at once', async () => {
  let ready = false;
  const server = await ReadinessServer.open('127.0.0.1:0', '/-/ready', () => ready);
  const client = await RawClient.open(server.address);
  for (const [now, path, status] of [
    [false, '/-/ready', 503],
    [true, '/-/ready', 200],
    [true, '/other', 404],
    [false, '/-/ready', 503],
  ] as const) {
    ready = now;
    client.text = '';
    client.write(`GET ${path} HTTP/1.1\r\nhost: x\r\n\r\n`);
    await client.until((text) => text.includes('\r\n\r\n'));
    assert.deepEqual(client.statuses(), [status]);
  }
  await server.close();
});
