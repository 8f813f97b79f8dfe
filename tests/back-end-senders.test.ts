import assert from 'node:assert/strict';
import net from 'node:net';
import { describe, test } from 'node:test';
import fc from 'fast-check';
import { HttpBackEndSender } from '../source/shared/back-end/httpBackEnds';
import { ResponseParser, type ResponseEvent } from '../source/shared/back-end/connection-pool/responseParser';
import { ConnectionShares } from '../source/shared/back-end/connection-pool/connectionShares';
import { IdleLimitDefaults, IdleLimits } from '../source/shared/back-end/connection-pool/idleLimits';
import { KeepAlive } from '../source/shared/back-end/connection-pool/keepAlive';
import {
  ConnectionPoolDefaults,
  PooledSender,
  type ConnectionBounds,
} from '../source/shared/back-end/connection-pool/pooledSender';
import type { BackEndSender, RequestHandle, BackEndRequest } from '../source/shared/back-end/protocol';
import { realClock } from '../source/shared/effects/clock/realClock';
import { ManualClock, RawEngine, sendRaw, type RawResponder } from './support/rawEngine';

const response = (body: string, headers = ''): string =>
  `HTTP/1.1 200 OK\r\n${headers}content-length: ${body.length}\r\n\r\n${body}`;
const turns = async (count = 20): Promise<void> => {
  for (let turn = 0; turn < count; turn += 1) await new Promise((resolve) => setImmediate(resolve));
};

const pooledSender = (
  clock = new ManualClock(),
  bound: ConnectionBounds = { maxIdle: 16, maxOpen: 64 },
): PooledSender => new PooledSender(clock, ConnectionPoolDefaults, () => bound);

const withEngine = async (
  respond: RawResponder,
  work: (engine: RawEngine) => Promise<void>,
  onConnection?: (socket: net.Socket, count: number) => void,
): Promise<void> => {
  const engine = await RawEngine.open(respond, onConnection);
  try {
    await work(engine);
  } finally {
    await engine.close();
  }
};

const contract = (name: string, make: () => BackEndSender): void => {
  describe(`sender contract: ${name}`, () => {
    test('matches sequential and concurrent responses to their requests', () =>
      withEngine(
        (socket, { body }) => socket.write(response(`<${body}>`)),
        async (engine) => {
          const sender = make();
          for (let number = 0; number < 5; number += 1)
            assert.equal((await sendRaw(sender, engine.address, { body: `${number}` })).text, `<${number}>`);
          const many = await Promise.all(
            Array.from({ length: 20 }, (_, number) => sendRaw(sender, engine.address, { body: `m${number}` })),
          );
          many.forEach(({ end, text }, number) => assert.deepEqual([end, text], ['whole', `<m${number}>`]));
          assert.equal(engine.requests.length, 25);
        },
      ));

    test('writes body, target and headers unchanged', () =>
      withEngine(
        (socket) => socket.write(response('')),
        async (engine) => {
          const bytes = Uint8Array.from({ length: 512 }, (_, place) => place % 256);
          const ended = await sendRaw(make(), engine.address, {
            path: '/a/b%2F?q=1&r=%20',
            headers: { 'x-one': 'a, b', host: 'other.example' },
            body: bytes,
          });
          assert.equal(ended.end, 'whole');
          const [request] = engine.requests;
          assert.equal(request?.body, Buffer.from(bytes).toString('latin1'));
          assert.match(request?.text ?? '', /^POST \/a\/b%2F\?q=1&r=%20 HTTP\/1\.1\r\n/);
          assert.match(request?.text ?? '', /\r\nx-one: a, b(\r\n|$)/i);
          assert.match(request?.text ?? '', /\r\nhost: other\.example(\r\n|$)/i);
        },
      ));

    test('never reports a response as complete that is cut off after any byte', async () => {
      const encodedResponses = {
        counted: response('hello world'),
        chunked: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n',
        trailers: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nx-sum: 1\r\n\r\n',
      };
      for (const text of Object.values(encodedResponses)) {
        let bytes = 0;
        await withEngine(
          (socket) => socket.end(text.slice(0, bytes), 'latin1'),
          async (engine) => {
            const sender = make();
            for (bytes = 0; bytes <= text.length; bytes += 1) {
              const ended = await sendRaw(sender, engine.address);
              const entire = bytes === text.length;
              assert.equal(ended.end, entire ? 'whole' : 'mayHaveRun', `${bytes} of ${text}`);
              assert.equal(ended.head !== undefined, bytes >= text.indexOf('\r\n\r\n') + 4);
            }
            assert.equal(engine.requests.length, text.length + 1);
          },
        );
      }
    });

    test('a response without a length ends with its connection and is marked as unframed', () =>
      withEngine(
        (socket) => socket.end('HTTP/1.1 200 OK\r\n\r\nall of it'),
        async (engine) => {
          const ended = await sendRaw(make(), engine.address);
          assert.deepEqual([ended.end, ended.text, ended.head?.framed], ['whole', 'all of it', false]);
        },
      ));

    for (const [what, text] of Object.entries({
      garbage: '\u0000\u0001 not http\r\n\r\n',
      'another protocol': 'SSH-2.0-OpenSSH_9.6\r\n',
      'an oversized head': `HTTP/1.1 200 OK\r\n${'x-long: '.concat('y'.repeat(20_000))}\r\ncontent-length: 0\r\n\r\n`,
      'two different lengths': 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nabc',
      'an invalid chunk size': 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n',
      'an unexpected 100 Continue': `HTTP/1.1 100 Continue\r\n\r\n${response('ok')}`,
      'an unexpected protocol switch': `HTTP/1.1 101 Switching\r\nupgrade: x\r\n\r\n${response('ok')}`,
    }))
      test(`${what}: the request may have run and was written once`, () =>
        withEngine(
          (socket) => socket.write(text, 'latin1'),
          async (engine) => {
            const ended = await sendRaw(make(), engine.address);
            assert.equal(ended.end, 'mayHaveRun');
            assert.equal(engine.requests.length, 1);
          },
        ));

    test('skips early hints', () =>
      withEngine(
        (socket) => socket.write(`HTTP/1.1 103 Early Hints\r\nlink: <x>\r\n\r\n${response('ok')}`),
        async (engine) => {
          const ended = await sendRaw(make(), engine.address);
          assert.deepEqual([ended.end, ended.head?.status, ended.text], ['whole', 200, 'ok']);
        },
      ));

    test('a reset before the head or in the middle of the body: the request may have run and was written once', async () => {
      for (const text of ['', 'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nab'])
        await withEngine(
          (socket) => {
            if (text === '') socket.resetAndDestroy();
            else socket.write(text, () => socket.resetAndDestroy());
          },
          async (engine) => {
            assert.equal((await sendRaw(make(), engine.address)).end, 'mayHaveRun');
            assert.equal(engine.requests.length, 1);
          },
        );
    });

    test('reports not run when the connection is refused or the request is cancelled before its first byte', () =>
      withEngine(
        (socket) => socket.write(response('')),
        async (engine) => {
          assert.equal((await sendRaw(make(), '127.0.0.1:1')).end, 'notRun');
          assert.equal((await sendRaw(make(), engine.address, {}, () => false)).end, 'notRun');
          assert.equal(engine.bytes, 0);
        },
      ));

    test('cut resets the connection to an unresponsive back end, and the sink is not called again', () =>
      withEngine(
        () => undefined,
        async (engine) => {
          let calls = 0;
          const count = (): void => void (calls += 1);
          const { cut } = make().send(
            { address: engine.address, method: 'POST', path: '/', headers: {}, body: 'x' },
            { maySend: () => true, head: count, chunk: () => undefined, end: count, failed: count },
          );
          await engine.until(() => engine.requests.length === 1);
          cut();
          await engine.until(() => engine.sockets.every(({ closed }) => closed));
          cut();
          await turns();
          assert.equal(calls, 0);
        },
      ));

    test('a slow consumer applies back pressure and receives every byte', () =>
      withEngine(
        (socket) => {
          socket.write('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n');
          const chunk = Buffer.alloc(65_536, 'y');
          let sent = 0;
          const more = (): void => {
            while (sent < 200) {
              sent += 1;
              socket.write('10000\r\n');
              socket.write(chunk);
              if (!socket.write('\r\n')) {
                socket.once('drain', more);
                return;
              }
            }
            socket.write('0\r\n\r\n');
          };
          more();
        },
        async (engine) => {
          let length = 0;
          let waiting = 0;
          let isReading = false;
          let go: () => void = () => undefined;
          const completed = new Promise<void>((resolve, reject) => {
            make().send(
              { address: engine.address, method: 'POST', path: '/', headers: {}, body: 'x' },
              {
                maySend: () => true,
                head: () => undefined,
                chunk: (bytes) => {
                  assert.equal(waiting, 0, 'no chunk is delivered while one waits');
                  length += bytes.length;
                  waiting += 1;
                  return new Promise((resolve) => {
                    go = (): void => {
                      waiting -= 1;
                      resolve();
                    };
                    if (isReading) setImmediate(go);
                  });
                },
                end: resolve,
                failed: ({ text }) => reject(new Error(text)),
              },
            );
          });
          await engine.until(() => engine.requests.length === 1);
          while (waiting === 0) await turns(1);
          await turns(200);
          assert.ok((engine.sockets[0]?.writableLength ?? 0) > 0, 'the back end has bytes that it cannot send');
          isReading = true;
          go();
          await completed;
          assert.equal(length, 200 * 65_536);
        },
      ));
  });
};

contract('new connections', () => new HttpBackEndSender(500_000));
contract('pooled connections', () => new PooledSender(realClock));

describe('pooled connections', () => {
  test('reuses the most recently used connection first and opens none while one is idle', () =>
    withEngine(
      (socket, { body }) => {
        if (body !== 'wait') socket.write(response(body));
      },
      async (engine) => {
        const sender = pooledSender();
        for (let number = 0; number < 10; number += 1) await sendRaw(sender, engine.address);
        assert.equal(engine.connections, 1);
        const running = sendRaw(sender, engine.address, { body: 'wait' });
        await engine.until(() => engine.requests.length === 11);
        await sendRaw(sender, engine.address);
        assert.equal(engine.connections, 2);
        engine.sockets[0]?.write(response('late'));
        assert.equal((await running).text, 'late');
        await sendRaw(sender, engine.address);
        assert.deepEqual([engine.connections, engine.requests.at(-1)?.connection], [2, 1]);
        assert.deepEqual(sender.counts(engine.address), { conns: 2, idle: 2 });
      },
    ));

  test('does not reuse a connection after connection: close, HTTP/1.0 or an expired keep-alive', async () => {
    for (const text of [
      response('a', 'Connection: Close\r\n'),
      response('a', 'connection: x, close\r\n'),
      response('a', 'keep-alive: timeout=0\r\n'),
      response('a', 'keep-alive: timeout=5, max=0\r\n'),
      response('a').replace('HTTP/1.1', 'HTTP/1.0'),
    ])
      await withEngine(
        (socket) => socket.write(text),
        async (engine) => {
          const sender = pooledSender();
          assert.equal((await sendRaw(sender, engine.address)).end, 'whole');
          assert.equal((await sendRaw(sender, engine.address)).end, 'whole');
          assert.equal(engine.connections, 2, text);
        },
      );
  });

  test('observes the Keep-Alive timeout with a margin, also after the process was frozen', () =>
    withEngine(
      (socket) => socket.write(response('a', 'keep-alive: timeout=5\r\n')),
      async (engine) => {
        const clock = new ManualClock();
        const sender = pooledSender(clock);
        await sendRaw(sender, engine.address);
        clock.pass(3_900_000);
        await sendRaw(sender, engine.address);
        assert.equal(engine.connections, 1);
        clock.pass(4_000_000);
        assert.deepEqual(sender.counts(engine.address), { conns: 0, idle: 0 });
        await sendRaw(sender, engine.address);
        assert.equal(engine.connections, 2);
        clock.pass(60_000_000, true);
        await sendRaw(sender, engine.address);
        assert.equal(engine.connections, 3);
      },
    ));

  test('closes an idle connection after the default timeout', () =>
    withEngine(
      (socket) => socket.write(response('a')),
      async (engine) => {
        const clock = new ManualClock();
        const sender = pooledSender(clock);
        await sendRaw(sender, engine.address);
        clock.pass(ConnectionPoolDefaults.idleMicroseconds);
        assert.equal(sender.counts(engine.address).conns, 0);
      },
    ));

  test('does not use a connection that was idle for long for a request that must run at most once', () =>
    withEngine(
      (socket) => socket.write(response('a')),
      async (engine) => {
        const clock = new ManualClock();
        const sender = pooledSender(clock);
        await sendRaw(sender, engine.address);
        clock.pass(ConnectionPoolDefaults.maxIdleForOnceMicroseconds - 1);
        await sendRaw(sender, engine.address, { runsOnce: true });
        assert.equal(engine.connections, 1);
        clock.pass(ConnectionPoolDefaults.maxIdleForOnceMicroseconds);
        await sendRaw(sender, engine.address);
        assert.equal(engine.connections, 1);
        clock.pass(ConnectionPoolDefaults.maxIdleForOnceMicroseconds);
        await sendRaw(sender, engine.address, { runsOnce: true });
        assert.equal(engine.connections, 2);
      },
    ));

  test('uses such a connection for longer if the back end states a keep-alive timeout', () =>
    withEngine(
      (socket) => socket.write(response('a', 'keep-alive: timeout=60\r\n')),
      async (engine) => {
        const clock = new ManualClock();
        const sender = pooledSender(clock);
        await sendRaw(sender, engine.address);
        clock.pass(ConnectionPoolDefaults.maxStatedIdleForOnceMicroseconds - 1);
        await sendRaw(sender, engine.address, { runsOnce: true });
        assert.equal(engine.connections, 1);
        clock.pass(ConnectionPoolDefaults.maxStatedIdleForOnceMicroseconds);
        await sendRaw(sender, engine.address, { runsOnce: true });
        assert.equal(engine.connections, 2);
      },
    ));

  test('never uses a connection that the back end closed or reset while it was idle', async () => {
    for (const how of ['end', 'resetAndDestroy'] as const)
      await withEngine(
        (socket) => socket.write(response('a')),
        async (engine) => {
          const sender = pooledSender();
          await sendRaw(sender, engine.address);
          engine.sockets[0]?.[how]();
          while (sender.counts(engine.address).conns > 0) await turns(1);
          assert.equal((await sendRaw(sender, engine.address, { runsOnce: true })).end, 'whole');
          assert.equal(engine.connections, 2);
        },
      );
  });

  test('does not send a request again when a reused connection is reset as the request arrives', () =>
    withEngine(
      (socket, _request, count) => {
        if (count === 1) socket.write(response('a'));
        else socket.resetAndDestroy();
      },
      async (engine) => {
        const sender = pooledSender();
        await sendRaw(sender, engine.address);
        assert.equal((await sendRaw(sender, engine.address)).end, 'mayHaveRun');
        assert.deepEqual([engine.connections, engine.requests.length], [1, 2]);
      },
    ));

  /** An engine that drops idle connections without notice: it resets them on the next request, and reads none of it. */
  const withDroppingEngine = (
    work: (engine: RawEngine, setDropping: (drops: boolean) => void) => Promise<void>,
  ): Promise<void> => {
    let isDropping = false;
    const served = new Set<net.Socket>();
    return withEngine(
      (socket) => {
        if (isDropping && served.has(socket)) socket.resetAndDestroy();
        else socket.write(response('a'));
        served.add(socket);
      },
      (engine) => work(engine, (drops) => (isDropping = drops)),
    );
  };

  test('detects a connection that the back end dropped, writes the request once and lowers the idle limit', () =>
    withDroppingEngine(async (engine, setDropping) => {
      const clock = new ManualClock();
      const sender = pooledSender(clock);
      await sendRaw(sender, engine.address);
      setDropping(true);
      clock.pass(2_000_000);
      const ended = await sendRaw(sender, engine.address);
      assert.deepEqual([ended.end, ended.forgotten, engine.requests.length], ['mayHaveRun', true, 2]);
      await sendRaw(sender, engine.address);
      clock.pass(999_999);
      setDropping(false);
      await sendRaw(sender, engine.address);
      assert.equal(engine.connections, 2, 'idle for less than half of that time: reused');
      clock.pass(1_000_000);
      await sendRaw(sender, engine.address);
      assert.equal(engine.connections, 3, 'idle for half of that time: closed unused');
      clock.pass(500_000);
      await sendRaw(sender, engine.address, { runsOnce: true });
      assert.equal(engine.connections, 4, 'the limit is half of that for a request that must run at most once');
      clock.pass(499_999);
      await sendRaw(sender, engine.address, { runsOnce: true });
      assert.equal(engine.connections, 4);
    }));

  test('raises the idle limit again over time', () =>
    withDroppingEngine(async (engine, setDropping) => {
      const clock = new ManualClock();
      const sender = pooledSender(clock);
      await sendRaw(sender, engine.address);
      setDropping(true);
      clock.pass(400_000);
      assert.equal((await sendRaw(sender, engine.address)).forgotten, true);
      setDropping(false);
      clock.pass(30_000_000);
      await sendRaw(sender, engine.address);
      const { connections: conns } = engine;
      clock.pass(1_500_000);
      await sendRaw(sender, engine.address, { runsOnce: false });
      assert.equal(engine.connections, conns, '0.2 s doubled three times');
    }));

  test('does not count a reset as a dropped connection on a new or barely idle one, or long after the request', () =>
    withDroppingEngine(async (engine, setDropping) => {
      const clock = new ManualClock();
      const sender = pooledSender(clock);
      await sendRaw(sender, engine.address);
      setDropping(true);
      clock.pass(ConnectionPoolDefaults.idleLimit.minDroppedIdleMicroseconds - 1);
      const busy = await sendRaw(sender, engine.address);
      assert.deepEqual([busy.end, busy.forgotten], ['mayHaveRun', false]);
      await withEngine(
        (socket) => socket.resetAndDestroy(),
        async (other) => assert.equal((await sendRaw(sender, other.address)).forgotten, false),
      );
      await withEngine(
        (socket, _request, count) => {
          if (count === 1) socket.write(response('a'));
        },
        async (other) => {
          await sendRaw(sender, other.address);
          clock.pass(2_000_000);
          const late = sendRaw(sender, other.address);
          await other.until(() => other.requests.length === 2);
          clock.pass(ConnectionPoolDefaults.idleLimit.maxResetDelayMicroseconds + 1);
          other.sockets[0]?.resetAndDestroy();
          assert.deepEqual([(await late).end, (await late).forgotten], ['mayHaveRun', false]);
        },
      );
    }));

  test('idle limits never rise on a reset, never fall below the minimum, and double with each quiet period', () => {
    const settings = IdleLimitDefaults;
    fc.assert(
      fc.property(
        fc.array(
          fc.tuple(fc.nat(20_000_000), fc.integer({ min: settings.minDroppedIdleMicroseconds, max: 15_000_000 })),
        ),
        (resets) => {
          let state = IdleLimits.initial;
          let now = 0;
          for (const [pause, idle] of resets) {
            now += pause;
            const before = IdleLimits.limitOf(state, 'a', now, settings);
            state = IdleLimits.recordDropped(state, 'a', idle, now, settings);
            const after = IdleLimits.limitOf(state, 'a', now, settings);
            assert.ok(after >= settings.minDroppedIdleMicroseconds && after <= Math.max(idle, before));
            assert.ok(after <= before || before < settings.minDroppedIdleMicroseconds);
            assert.equal(IdleLimits.limitOf(state, 'a', now + settings.doublingMicroseconds, settings), after * 2);
            assert.equal(IdleLimits.limitOf(state, 'b', now, settings), Infinity);
          }
          assert.deepEqual(
            IdleLimits.removeExpired(state, now + 20 * settings.doublingMicroseconds, 15_000_000, settings),
            {},
          );
        },
      ),
    );
  });

  test('closes the connection on surplus bytes with or after a response and keeps the response', async () => {
    await withEngine(
      (socket) => socket.write(response('a') + response('surplus')),
      async (engine) => {
        const sender = pooledSender();
        assert.equal((await sendRaw(sender, engine.address)).text, 'a');
        assert.equal((await sendRaw(sender, engine.address)).text, 'a');
        assert.equal(engine.connections, 2);
      },
    );
    await withEngine(
      (socket) => socket.write(response('a')),
      async (engine) => {
        const sender = pooledSender();
        await sendRaw(sender, engine.address);
        engine.sockets[0]?.write(response('late surplus'));
        while (sender.counts(engine.address).conns > 0) await turns(1);
        assert.equal((await sendRaw(sender, engine.address)).text, 'a');
        assert.equal(engine.connections, 2);
      },
    );
  });

  test('does not reuse a connection whose request was answered before it was fully written', async (context) => {
    const heads: string[][] = [];
    const sockets: net.Socket[] = [];
    const server = net.createServer((socket) => {
      const seen: string[] = [];
      heads.push(seen);
      sockets.push(socket);
      socket.on('error', () => undefined);
      socket.once('data', (chunk: Buffer) => {
        seen.push(chunk.toString('latin1').slice(0, 6));
        socket.pause();
        socket.write('HTTP/1.1 503 Busy\r\npostdrum-not-run: 1\r\ncontent-length: 0\r\n\r\n');
      });
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    context.after(() => {
      for (const socket of sockets) socket.destroy();
      server.close();
    });
    const address = `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
    const sender = pooledSender();
    const body = Buffer.alloc(16 * 1024 * 1024, 'x');
    const first = await sendRaw(sender, address, { body });
    assert.equal(`${first.head?.status} ${first.end}`, '503 whole');
    assert.deepEqual(sender.counts(address), { conns: 0, idle: 0 });
    const second = await sendRaw(sender, address, { body: 'short' });
    assert.equal(`${second.head?.status} ${second.end}`, '503 whole');
    assert.deepEqual(heads, [['POST /'], ['POST /']], 'each request came first on its own connection');
    sender.close();
  });

  test('cut on the head of a surplus response closes the connection', () =>
    withEngine(
      (socket, _request, count) => {
        if (count === 2) socket.write(response('surplus', 'x-id: 1\r\n') + response('right', 'x-id: 2\r\n'));
        else socket.write(response('right', `x-id: ${count}\r\n`));
      },
      async (engine) => {
        const sender = pooledSender();
        await sendRaw(sender, engine.address);
        const seen = await new Promise<string>((resolve, reject) => {
          const handle: RequestHandle = sender.send(
            { address: engine.address, method: 'POST', path: '/', headers: {}, body: 'x' },
            {
              maySend: () => true,
              head: ({ headers }) => {
                handle.cut();
                resolve(headers['x-id'] ?? '');
              },
              chunk: () => {
                reject(new Error('body of another response'));
                return undefined;
              },
              end: () => reject(new Error('end of another response')),
              failed: () => reject(new Error('failed after cut')),
            },
          );
        });
        assert.equal(seen, '1');
        assert.equal(sender.counts(engine.address).conns, 0);
        assert.equal((await sendRaw(sender, engine.address)).head?.headers['x-id'], '3');
        assert.equal(engine.connections, 2);
      },
    ));

  test('leave reads a discarded response to its end and reuses the connection', () =>
    withEngine(
      (socket, _request, count) =>
        socket.write(count === 1 ? response('no room').replace('200 OK', '503 Busy') : response('a')),
      async (engine) => {
        const sender = pooledSender();
        await new Promise<void>((resolve) => {
          const handle: RequestHandle = sender.send(
            { address: engine.address, method: 'POST', path: '/', headers: {}, body: 'x' },
            {
              maySend: () => true,
              head: () => {
                handle.leave?.();
                resolve();
              },
              chunk: () => assert.fail('body after leave'),
              end: () => assert.fail('end after leave'),
              failed: () => assert.fail('failure after leave'),
            },
          );
        });
        while (sender.counts(engine.address).idle === 0) await turns(1);
        assert.equal((await sendRaw(sender, engine.address)).text, 'a');
        assert.equal(engine.connections, 1);
      },
    ));

  test('cut after the end does not affect a later request on the same connection', () =>
    withEngine(
      (socket, { body }) => {
        if (body !== 'wait') socket.write(response('a'));
      },
      async (engine) => {
        const sender = pooledSender();
        const handle = await new Promise<RequestHandle>((resolve) => {
          const sent: RequestHandle = sender.send(
            { address: engine.address, method: 'POST', path: '/', headers: {}, body: 'x' },
            {
              maySend: () => true,
              head: () => undefined,
              chunk: () => undefined,
              end: () => resolve(sent),
              failed: () => undefined,
            },
          );
        });
        const second = sendRaw(sender, engine.address, { body: 'wait' });
        await engine.until(() => engine.requests.length === 2);
        handle.cut();
        handle.leave?.();
        engine.sockets[0]?.write(response('still'));
        assert.equal((await second).text, 'still');
        assert.equal(engine.connections, 1);
      },
    ));

  test('observes the limits of open and idle connections', () =>
    withEngine(
      (socket, { body }) => {
        if (body !== 'wait') socket.write(response('a'));
      },
      async (engine) => {
        const sender = pooledSender(new ManualClock(), { maxIdle: 2, maxOpen: 4 });
        const running = Array.from({ length: 4 }, () => sendRaw(sender, engine.address, { body: 'wait' }));
        await engine.until(() => engine.requests.length === 4);
        const over = await sendRaw(sender, engine.address);
        assert.deepEqual([over.end, over.failureText], ['notRun', 'no connection is free']);
        assert.equal(engine.connections, 4);
        for (const socket of engine.sockets) socket.write(response('b'));
        for (const { end } of await Promise.all(running)) assert.equal(end, 'whole');
        assert.deepEqual(sender.counts(engine.address), { conns: 2, idle: 2 });
      },
    ));

  test('replaces a connection that was idle too long for the request when the limit is reached', () =>
    withEngine(
      (socket) => socket.write(response('a')),
      async (engine) => {
        const clock = new ManualClock();
        const sender = pooledSender(clock, { maxIdle: 1, maxOpen: 1 });
        await sendRaw(sender, engine.address);
        clock.pass(ConnectionPoolDefaults.maxIdleForOnceMicroseconds);
        assert.equal((await sendRaw(sender, engine.address, { runsOnce: true })).end, 'whole');
        assert.equal(engine.connections, 2);
      },
    ));

  test('keeps a connection whose request was cancelled before it was sent for the next request', () =>
    withEngine(
      (socket) => socket.write(response('a')),
      async (engine) => {
        const sender = pooledSender();
        const unexpected = (): void => assert.fail('the sink was called after cut');
        sender
          .send(
            { address: engine.address, method: 'POST', path: '/', headers: {}, body: 'x' },
            { maySend: () => true, head: unexpected, chunk: () => undefined, end: unexpected, failed: unexpected },
          )
          .cut();
        while (sender.counts(engine.address).idle === 0) await turns(1);
        assert.equal((await sendRaw(sender, engine.address, {}, () => false)).end, 'notRun');
        assert.equal((await sendRaw(sender, engine.address)).end, 'whole');
        assert.deepEqual([engine.connections, engine.requests.length], [1, 1]);
      },
    ));

  test('reports not run when the connection times out', async () => {
    const clock = new ManualClock();
    const sender = pooledSender(clock);
    // This address is reserved for documentation: nothing responds there, or the system reports an error at once.
    const ended = sendRaw(sender, '192.0.2.1:9');
    clock.pass(ConnectionPoolDefaults.connectMicroseconds);
    assert.equal((await ended).end, 'notRun');
    assert.equal(sender.counts('192.0.2.1:9').conns, 0);
  });

  test('never writes a request that could be parsed as two or as none', () =>
    withEngine(
      (socket) => socket.write(response('a')),
      async (engine) => {
        const sender = pooledSender();
        const invalid: readonly Partial<BackEndRequest>[] = [
          { path: '/a HTTP/1.1\r\nx: y' },
          { path: '/a b' },
          { path: '' },
          { method: 'GE T' },
          { headers: { 'x-a': 'b\r\nc: d' } },
          { headers: { 'x a': 'b' } },
        ];
        for (const request of invalid)
          assert.equal((await sendRaw(sender, engine.address, request)).end, 'notRun', JSON.stringify(request));
        assert.equal(engine.bytes, 0);
        await sendRaw(sender, engine.address, {
          headers: { 'Content-Length': '987654321', 'transfer-encoding': 'chunked', connection: 'upgrade' },
        });
        assert.equal(engine.requests.length, 1);
        assert.doesNotMatch(engine.requests[0]?.text ?? '', /987654321|chunked|upgrade/i);
      },
    ));

  test('close closes idle connections, opens none and lets running requests finish', () =>
    withEngine(
      (socket, { body }) => {
        if (body !== 'wait') socket.write(response('a'));
      },
      async (engine) => {
        const sender = pooledSender();
        const running = sendRaw(sender, engine.address, { body: 'wait' });
        await engine.until(() => engine.requests.length === 1);
        await sendRaw(sender, engine.address);
        sender.close();
        assert.deepEqual(sender.counts(engine.address), { conns: 1, idle: 0 });
        assert.equal((await sendRaw(sender, engine.address)).end, 'notRun');
        engine.sockets[0]?.write(response('b'));
        assert.equal((await running).text, 'b');
        assert.equal(sender.counts(engine.address).conns, 0);
      },
    ));
});

describe('the response parser', () => {
  const read = (reader: ResponseParser, chunks: readonly Buffer[]): readonly ResponseEvent[] => {
    const events: ResponseEvent[] = [];
    for (const chunk of chunks) {
      reader.push(chunk);
      for (let event = reader.next(); event !== undefined; event = reader.next()) events.push(event);
    }
    return events;
  };
  const bodyOf = (events: readonly ResponseEvent[]): string =>
    events.map((event) => (event.kind === 'part' ? Buffer.from(event.bytes).toString('latin1') : '')).join('');

  test('parses the same response however its bytes are split and leaves surplus bytes', () => {
    fc.assert(
      fc.property(
        fc.array(fc.uint8Array({ minLength: 1, maxLength: 300 }), { maxLength: 8 }),
        fc.boolean(),
        fc.array(fc.nat(2000), { maxLength: 30 }),
        fc.uint8Array({ maxLength: 20 }),
        (parts, chunked, cuts, surplus) => {
          const body = Buffer.concat(parts);
          const encoded = chunked
            ? Buffer.concat([
                Buffer.from('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'),
                ...parts.flatMap((part) => [
                  Buffer.from(`${part.length.toString(16)};x=y\r\n`),
                  part,
                  Buffer.from('\r\n'),
                ]),
                Buffer.from('0\r\nx: y\r\n\r\n'),
              ])
            : Buffer.concat([Buffer.from(`HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n`), body]);
          const all = Buffer.concat([encoded, surplus]);
          const splits = [...new Set([0, ...cuts.map((cut) => cut % all.length), all.length])].sort((a, b) => a - b);
          const chunks = splits.slice(1).map((end, index) => all.subarray(splits[index], end));
          const reader = new ResponseParser('POST', 16_384);
          const events = read(reader, chunks);
          assert.equal(bodyOf(events), body.toString('latin1'));
          assert.deepEqual(
            [events[0]?.kind, events.at(-1)?.kind, events.filter(({ kind }) => kind === 'end').length],
            ['head', 'end', 1],
          );
          assert.equal(reader.bufferedBytes, surplus.length);
        },
      ),
      { seed: 11, numRuns: 400 },
    );
  });

  test('never throws and never completes a response on random bytes', () => {
    fc.assert(
      fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
        const reader = new ResponseParser('POST', 128);
        const events = read(reader, [Buffer.from(bytes)]);
        const closed = reader.close();
        assert.ok(![...events, closed].some((event) => event?.kind === 'end'));
      }),
      { seed: 12, numRuns: 500 },
    );
  });

  test('rejects ambiguous heads', () => {
    for (const head of [
      'HTTP/1.1 200 OK\r\ncontent-length: 1\r\ntransfer-encoding: chunked',
      'HTTP/1.1 200 OK\r\ntransfer-encoding: gzip, chunked',
      'HTTP/1.1 200 OK\r\ncontent-length: +1',
      'HTTP/1.1 200 OK\r\ncontent-length : 1',
      'HTTP/1.1 200 OK\r\n folded: 1',
      'HTTP/1.1 200 OK\r\nx: a\nb: c',
      'HTTP/1.1 099 OK',
      'HTTP/2 200 OK',
      'HTTP/1.1  200 OK',
    ])
      assert.equal(
        read(new ResponseParser('GET', 16_384), [Buffer.from(`${head}\r\n\r\n`)]).at(-1)?.kind,
        'broken',
        head,
      );
  });

  test('204, 304 and responses to HEAD have no body, whatever their length header says', () => {
    for (const [method, head] of [
      ['GET', 'HTTP/1.1 204 No'],
      ['GET', 'HTTP/1.1 304 No\r\ncontent-length: 10'],
      ['HEAD', 'HTTP/1.1 200 OK\r\ncontent-length: 10'],
    ] as const) {
      const events = read(new ResponseParser(method, 16_384), [Buffer.from(`${head}\r\n\r\n`)]);
      assert.deepEqual(
        events.map(({ kind }) => kind),
        ['head', 'end'],
      );
    }
  });
});

test('the usable time is the stated timeout less the margin, or half of it if it does not exceed the margin', () => {
  const usable = (hint: number | undefined): number => KeepAlive.usableMicroseconds(hint, 1_000_000, 15_000_000);
  assert.deepEqual(
    [5_000_000, 1_000_000, 0, 60_000_000, undefined].map(usable),
    [4_000_000, 500_000, 0, 15_000_000, 15_000_000],
  );
});

test('the connection limit of an engine is divided between the daemons and observed in total', () => {
  const engine = { kind: 'engine', service: 's', address: '10.0.0.1:1', zone: 'z', state: 'ready' } as const;
  const pool = { kind: 'pool', shape: { conns: 210 } };
  const shares = (daemons: number): ConnectionShares =>
    new ConnectionShares(
      () => ({ engines: { e: engine } }),
      () => ({ services: { s: pool } }) as never,
      () => daemons,
    );
  for (const daemons of [1, 9, 40]) {
    const { maxIdle: idle, maxOpen: most } = shares(daemons).of('10.0.0.1:1');
    assert.ok(idle >= 2 && idle <= most && (most * daemons <= 210 || most === 2));
  }
  assert.ok(shares(9).of('10.0.0.2:1').maxOpen > 0);
});
