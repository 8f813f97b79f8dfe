import assert from 'node:assert/strict';
import net from 'node:net';
import { describe, test } from 'node:test';
import fc from 'fast-check';
import { HttpBackEndSender } from '../source/shared/back-end/httpBackEnds';
import { AnswerReader, type AnswerEvent } from '../source/shared/back-end/keptConns/answerReader';
import { ConnShares } from '../source/shared/back-end/keptConns/connShares';
import { IdleLimitDefaults, IdleLimits } from '../source/shared/back-end/keptConns/idleLimits';
import { KeepAlive } from '../source/shared/back-end/keptConns/keepAlive';
import { KeptConnDefaults, KeptConnSender } from '../source/shared/back-end/keptConns/keptConnSender';
import type { BackEndSender, SendHandle, SendOrder } from '../source/shared/back-end/protocol';
import { realClock } from '../source/shared/effects/clock/realClock';
import { HandClock, RawEngine, sendRaw, type RawAct } from './support/rawEngine';

const answer = (body: string, headers = ''): string =>
  `HTTP/1.1 200 OK\r\n${headers}content-length: ${body.length}\r\n\r\n${body}`;
const turns = async (count = 20): Promise<void> => {
  for (let turn = 0; turn < count; turn += 1) await new Promise((resolve) => setImmediate(resolve));
};

const kept = (clock = new HandClock(), bound = { kept: 16, most: 64 }): KeptConnSender =>
  new KeptConnSender(clock, KeptConnDefaults, () => bound);

const withEngine = async (
  act: RawAct,
  work: (engine: RawEngine) => Promise<void>,
  onConn?: (socket: net.Socket, count: number) => void,
): Promise<void> => {
  const engine = await RawEngine.open(act, onConn);
  try {
    await work(engine);
  } finally {
    await engine.close();
  }
};

const contract = (name: string, make: () => BackEndSender): void => {
  describe(`sender contract: ${name}`, () => {
    test('whole answers, one after the other and many at once, each to its own order', () =>
      withEngine(
        (socket, { body }) => socket.write(answer(`<${body}>`)),
        async (engine) => {
          const sender = make();
          for (let number = 0; number < 5; number += 1)
            assert.equal((await sendRaw(sender, engine.address, { body: `${number}` })).text, `<${number}>`);
          const many = await Promise.all(
            Array.from({ length: 20 }, (_, number) => sendRaw(sender, engine.address, { body: `m${number}` })),
          );
          many.forEach(({ end, text }, number) => assert.deepEqual([end, text], ['whole', `<m${number}>`]));
          assert.equal(engine.orders.length, 25);
        },
      ));

    test('bodies are the bytes they are, and the target and headers are written as given', () =>
      withEngine(
        (socket) => socket.write(answer('')),
        async (engine) => {
          const bytes = Uint8Array.from({ length: 512 }, (_, place) => place % 256);
          const ended = await sendRaw(make(), engine.address, {
            path: '/a/b%2F?q=1&r=%20',
            headers: { 'x-one': 'a, b', host: 'other.example' },
            body: bytes,
          });
          assert.equal(ended.end, 'whole');
          const [order] = engine.orders;
          assert.equal(order?.body, Buffer.from(bytes).toString('latin1'));
          assert.match(order?.text ?? '', /^POST \/a\/b%2F\?q=1&r=%20 HTTP\/1\.1\r\n/);
          assert.match(order?.text ?? '', /\r\nx-one: a, b(\r\n|$)/i);
          assert.match(order?.text ?? '', /\r\nhost: other\.example(\r\n|$)/i);
        },
      ));

    test('an answer cut at every byte is never whole, and half a head is no head', async () => {
      const whole = {
        counted: answer('hello world'),
        chunked: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n',
        trailers: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nx-sum: 1\r\n\r\n',
      };
      for (const text of Object.values(whole)) {
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
            assert.equal(engine.orders.length, text.length + 1);
          },
        );
      }
    });

    test('an answer without length is as long as its conn, and says so', () =>
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
      'a head over the bound': `HTTP/1.1 200 OK\r\n${'x-long: '.concat('y'.repeat(20_000))}\r\ncontent-length: 0\r\n\r\n`,
      'two lengths that differ': 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nabc',
      'a chunk size that is none': 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n',
      'a 100 nobody asked for': `HTTP/1.1 100 Continue\r\n\r\n${answer('ok')}`,
      'a change of protocol': `HTTP/1.1 101 Switching\r\nupgrade: x\r\n\r\n${answer('ok')}`,
    }))
      test(`${what}: may have run, and the order was written once`, () =>
        withEngine(
          (socket) => socket.write(text, 'latin1'),
          async (engine) => {
            const ended = await sendRaw(make(), engine.address);
            assert.equal(ended.end, 'mayHaveRun');
            assert.equal(engine.orders.length, 1);
          },
        ));

    test('an early hint is passed over', () =>
      withEngine(
        (socket) => socket.write(`HTTP/1.1 103 Early Hints\r\nlink: <x>\r\n\r\n${answer('ok')}`),
        async (engine) => {
          const ended = await sendRaw(make(), engine.address);
          assert.deepEqual([ended.end, ended.head?.status, ended.text], ['whole', 200, 'ok']);
        },
      ));

    test('reset before the head and in the middle of a body: may have run, written once', async () => {
      for (const text of ['', 'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nab'])
        await withEngine(
          (socket) => {
            if (text === '') socket.resetAndDestroy();
            else socket.write(text, () => socket.resetAndDestroy());
          },
          async (engine) => {
            assert.equal((await sendRaw(make(), engine.address)).end, 'mayHaveRun');
            assert.equal(engine.orders.length, 1);
          },
        );
    });

    test('nobody listens, or the last look says no: not run, and not a byte was written', () =>
      withEngine(
        (socket) => socket.write(answer('')),
        async (engine) => {
          assert.equal((await sendRaw(make(), '127.0.0.1:1')).end, 'notRun');
          assert.equal((await sendRaw(make(), engine.address, {}, () => false)).end, 'notRun');
          assert.equal(engine.bytes, 0);
        },
      ));

    test('a silent back end: cut resets its conn, and nothing more is said', () =>
      withEngine(
        () => undefined,
        async (engine) => {
          let said = 0;
          const say = (): void => void (said += 1);
          const { cut } = make().send(
            { address: engine.address, method: 'POST', path: '/', headers: {}, body: 'x' },
            { mayGo: () => true, head: say, part: () => undefined, end: say, failed: say },
          );
          await engine.until(() => engine.orders.length === 1);
          cut();
          await engine.until(() => engine.sockets.every(({ closed }) => closed));
          cut();
          await turns();
          assert.equal(said, 0);
        },
      ));

    test('a slow reader holds the back end back, and gets every byte', () =>
      withEngine(
        (socket) => {
          socket.write('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n');
          const piece = Buffer.alloc(65_536, 'y');
          let sent = 0;
          const more = (): void => {
            while (sent < 200) {
              sent += 1;
              socket.write('10000\r\n');
              socket.write(piece);
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
          let reads = false;
          let go: () => void = () => undefined;
          const whole = new Promise<void>((resolve, reject) => {
            make().send(
              { address: engine.address, method: 'POST', path: '/', headers: {}, body: 'x' },
              {
                mayGo: () => true,
                head: () => undefined,
                part: (bytes) => {
                  assert.equal(waiting, 0, 'no part comes while one waits');
                  length += bytes.length;
                  waiting += 1;
                  return new Promise((resolve) => {
                    go = (): void => {
                      waiting -= 1;
                      resolve();
                    };
                    if (reads) setImmediate(go);
                  });
                },
                end: resolve,
                failed: ({ text }) => reject(new Error(text)),
              },
            );
          });
          await engine.until(() => engine.orders.length === 1);
          while (waiting === 0) await turns(1);
          await turns(200);
          assert.ok((engine.sockets[0]?.writableLength ?? 0) > 0, 'the back end has bytes that do not go out');
          reads = true;
          go();
          await whole;
          assert.equal(length, 200 * 65_536);
        },
      ));
  });
};

contract('a fresh conn for each send', () => new HttpBackEndSender(500_000));
contract('kept conns', () => new KeptConnSender(realClock));

describe('kept conns', () => {
  test('are used again, the one used last first, and none is made while one is idle', () =>
    withEngine(
      (socket, { body }) => {
        if (body !== 'wait') socket.write(answer(body));
      },
      async (engine) => {
        const sender = kept();
        for (let number = 0; number < 10; number += 1) await sendRaw(sender, engine.address);
        assert.equal(engine.conns, 1);
        const held = sendRaw(sender, engine.address, { body: 'wait' });
        await engine.until(() => engine.orders.length === 11);
        await sendRaw(sender, engine.address);
        assert.equal(engine.conns, 2);
        engine.sockets[0]?.write(answer('late'));
        assert.equal((await held).text, 'late');
        await sendRaw(sender, engine.address);
        assert.deepEqual([engine.conns, engine.orders.at(-1)?.conn], [2, 1]);
        assert.deepEqual(sender.counts(engine.address), { conns: 2, idle: 2 });
      },
    ));

  test('connection: close, HTTP/1.0 and an answer without length end the conn', async () => {
    for (const text of [
      answer('a', 'Connection: Close\r\n'),
      answer('a', 'connection: x, close\r\n'),
      answer('a', 'keep-alive: timeout=0\r\n'),
      answer('a', 'keep-alive: timeout=5, max=0\r\n'),
      answer('a').replace('HTTP/1.1', 'HTTP/1.0'),
    ])
      await withEngine(
        (socket) => socket.write(text),
        async (engine) => {
          const sender = kept();
          assert.equal((await sendRaw(sender, engine.address)).end, 'whole');
          assert.equal((await sendRaw(sender, engine.address)).end, 'whole');
          assert.equal(engine.conns, 2, text);
        },
      );
  });

  test('Keep-Alive is obeyed with a margin, also by a process that was frozen', () =>
    withEngine(
      (socket) => socket.write(answer('a', 'keep-alive: timeout=5\r\n')),
      async (engine) => {
        const clock = new HandClock();
        const sender = kept(clock);
        await sendRaw(sender, engine.address);
        clock.pass(3_900_000);
        await sendRaw(sender, engine.address);
        assert.equal(engine.conns, 1);
        clock.pass(4_000_000);
        assert.deepEqual(sender.counts(engine.address), { conns: 0, idle: 0 });
        await sendRaw(sender, engine.address);
        assert.equal(engine.conns, 2);
        clock.pass(60_000_000, true);
        await sendRaw(sender, engine.address);
        assert.equal(engine.conns, 3);
      },
    ));

  test('without a hint a conn is idle for a bounded time', () =>
    withEngine(
      (socket) => socket.write(answer('a')),
      async (engine) => {
        const clock = new HandClock();
        const sender = kept(clock);
        await sendRaw(sender, engine.address);
        clock.pass(KeptConnDefaults.idleMicroseconds);
        assert.equal(sender.counts(engine.address).conns, 0);
      },
    ));

  test('an order that may run once goes on no conn that was idle for long; others do', () =>
    withEngine(
      (socket) => socket.write(answer('a')),
      async (engine) => {
        const clock = new HandClock();
        const sender = kept(clock);
        await sendRaw(sender, engine.address);
        clock.pass(KeptConnDefaults.onceIdleMicroseconds - 1);
        await sendRaw(sender, engine.address, { runsOnce: true });
        assert.equal(engine.conns, 1);
        clock.pass(KeptConnDefaults.onceIdleMicroseconds);
        await sendRaw(sender, engine.address);
        assert.equal(engine.conns, 1);
        clock.pass(KeptConnDefaults.onceIdleMicroseconds);
        await sendRaw(sender, engine.address, { runsOnce: true });
        assert.equal(engine.conns, 2);
      },
    ));

  test('where a back end names how long it keeps a conn, such an order may go on it for longer', () =>
    withEngine(
      (socket) => socket.write(answer('a', 'keep-alive: timeout=60\r\n')),
      async (engine) => {
        const clock = new HandClock();
        const sender = kept(clock);
        await sendRaw(sender, engine.address);
        clock.pass(KeptConnDefaults.onceNamedIdleMicroseconds - 1);
        await sendRaw(sender, engine.address, { runsOnce: true });
        assert.equal(engine.conns, 1);
        clock.pass(KeptConnDefaults.onceNamedIdleMicroseconds);
        await sendRaw(sender, engine.address, { runsOnce: true });
        assert.equal(engine.conns, 2);
      },
    ));

  test('a conn that the back end closed or reset while idle is never used', async () => {
    for (const how of ['end', 'resetAndDestroy'] as const)
      await withEngine(
        (socket) => socket.write(answer('a')),
        async (engine) => {
          const sender = kept();
          await sendRaw(sender, engine.address);
          engine.sockets[0]?.[how]();
          while (sender.counts(engine.address).conns > 0) await turns(1);
          assert.equal((await sendRaw(sender, engine.address, { runsOnce: true })).end, 'whole');
          assert.equal(engine.conns, 2);
        },
      );
  });

  test('a kept conn reset as the order reaches it: may have run, and it is not sent again', () =>
    withEngine(
      (socket, _order, count) => {
        if (count === 1) socket.write(answer('a'));
        else socket.resetAndDestroy();
      },
      async (engine) => {
        const sender = kept();
        await sendRaw(sender, engine.address);
        assert.equal((await sendRaw(sender, engine.address)).end, 'mayHaveRun');
        assert.deepEqual([engine.conns, engine.orders.length], [1, 2]);
      },
    ));

  /** An engine that forgets a conn without notice: it resets the next thing sent on it, and reads none of it. */
  const forgetful = (work: (engine: RawEngine, forget: (does: boolean) => void) => Promise<void>): Promise<void> => {
    let forgets = false;
    const served = new Set<net.Socket>();
    return withEngine(
      (socket) => {
        if (forgets && served.has(socket)) socket.resetAndDestroy();
        else socket.write(answer('a'));
        served.add(socket);
      },
      (engine) => work(engine, (does) => (forgets = does)),
    );
  };

  test('a conn that its back end forgot: told apart, never written twice, and others are trusted for a shorter time', () =>
    forgetful(async (engine, forget) => {
      const clock = new HandClock();
      const sender = kept(clock);
      await sendRaw(sender, engine.address);
      forget(true);
      clock.pass(2_000_000);
      const ended = await sendRaw(sender, engine.address);
      assert.deepEqual([ended.end, ended.forgotten, engine.orders.length], ['mayHaveRun', true, 2]);
      await sendRaw(sender, engine.address);
      clock.pass(999_999);
      forget(false);
      await sendRaw(sender, engine.address);
      assert.equal(engine.conns, 2, 'idle for less than half of that time: used');
      clock.pass(1_000_000);
      await sendRaw(sender, engine.address);
      assert.equal(engine.conns, 3, 'idle for half of that time: given up unused');
      clock.pass(500_000);
      await sendRaw(sender, engine.address, { runsOnce: true });
      assert.equal(engine.conns, 4, 'an order that may run once trusts it for half of that again');
      clock.pass(499_999);
      await sendRaw(sender, engine.address, { runsOnce: true });
      assert.equal(engine.conns, 4);
    }));

  test('after a time conns are trusted for longer again', () =>
    forgetful(async (engine, forget) => {
      const clock = new HandClock();
      const sender = kept(clock);
      await sendRaw(sender, engine.address);
      forget(true);
      clock.pass(400_000);
      assert.equal((await sendRaw(sender, engine.address)).forgotten, true);
      forget(false);
      clock.pass(30_000_000);
      await sendRaw(sender, engine.address);
      const { conns } = engine;
      clock.pass(1_500_000);
      await sendRaw(sender, engine.address, { runsOnce: false });
      assert.equal(engine.conns, conns, '0.2 s doubled three times');
    }));

  test('a reset is no forgetting on a new conn, on one that was hardly idle, or long after the order', () =>
    forgetful(async (engine, forget) => {
      const clock = new HandClock();
      const sender = kept(clock);
      await sendRaw(sender, engine.address);
      forget(true);
      clock.pass(KeptConnDefaults.forgetting.leastForgottenMicroseconds - 1);
      const busy = await sendRaw(sender, engine.address);
      assert.deepEqual([busy.end, busy.forgotten], ['mayHaveRun', false]);
      await withEngine(
        (socket) => socket.resetAndDestroy(),
        async (other) => assert.equal((await sendRaw(sender, other.address)).forgotten, false),
      );
      await withEngine(
        (socket, _order, count) => {
          if (count === 1) socket.write(answer('a'));
        },
        async (other) => {
          await sendRaw(sender, other.address);
          clock.pass(2_000_000);
          const late = sendRaw(sender, other.address);
          await other.until(() => other.orders.length === 2);
          clock.pass(KeptConnDefaults.forgetting.resetWithinMicroseconds + 1);
          other.sockets[0]?.resetAndDestroy();
          assert.deepEqual([(await late).end, (await late).forgotten], ['mayHaveRun', false]);
        },
      );
    }));

  test('idle limits: never longer for a reset, never below the least, and twice as long with each quiet time', () => {
    const settings = IdleLimitDefaults;
    fc.assert(
      fc.property(
        fc.array(
          fc.tuple(fc.nat(20_000_000), fc.integer({ min: settings.leastForgottenMicroseconds, max: 15_000_000 })),
        ),
        (resets) => {
          let state = IdleLimits.start;
          let now = 0;
          for (const [pause, idle] of resets) {
            now += pause;
            const before = IdleLimits.of(state, 'a', now, settings);
            state = IdleLimits.forgotten(state, 'a', idle, now, settings);
            const after = IdleLimits.of(state, 'a', now, settings);
            assert.ok(after >= settings.leastForgottenMicroseconds && after <= Math.max(idle, before));
            assert.ok(after <= before || before < settings.leastForgottenMicroseconds);
            assert.equal(IdleLimits.of(state, 'a', now + settings.doubleMicroseconds, settings), after * 2);
            assert.equal(IdleLimits.of(state, 'b', now, settings), Infinity);
          }
          assert.deepEqual(IdleLimits.tidy(state, now + 20 * settings.doubleMicroseconds, 15_000_000, settings), {});
        },
      ),
    );
  });

  test('surplus bytes with an answer or after it: the conn is thrown away, the answer stands', async () => {
    await withEngine(
      (socket) => socket.write(answer('a') + answer('surplus')),
      async (engine) => {
        const sender = kept();
        assert.equal((await sendRaw(sender, engine.address)).text, 'a');
        assert.equal((await sendRaw(sender, engine.address)).text, 'a');
        assert.equal(engine.conns, 2);
      },
    );
    await withEngine(
      (socket) => socket.write(answer('a')),
      async (engine) => {
        const sender = kept();
        await sendRaw(sender, engine.address);
        engine.sockets[0]?.write(answer('late surplus'));
        while (sender.counts(engine.address).conns > 0) await turns(1);
        assert.equal((await sendRaw(sender, engine.address)).text, 'a');
        assert.equal(engine.conns, 2);
      },
    );
  });

  test('an answer that came before its long order was read: the rest of that order is read by nobody as another one', async (context) => {
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
    const sender = kept();
    const body = Buffer.alloc(16 * 1024 * 1024, 'x');
    const first = await sendRaw(sender, address, { body });
    assert.equal(`${first.head?.status} ${first.end}`, '503 whole');
    assert.deepEqual(sender.counts(address), { conns: 0, idle: 0 });
    const second = await sendRaw(sender, address, { body: 'short' });
    assert.equal(`${second.head?.status} ${second.end}`, '503 whole');
    assert.deepEqual(heads, [['POST /'], ['POST /']], 'each order came first on a conn of its own');
    sender.close();
  });

  test('a surplus answer in the place of the next one: who rejects its head has thrown the conn away', () =>
    withEngine(
      (socket, _order, count) => {
        if (count === 2) socket.write(answer('surplus', 'x-id: 1\r\n') + answer('right', 'x-id: 2\r\n'));
        else socket.write(answer('right', `x-id: ${count}\r\n`));
      },
      async (engine) => {
        const sender = kept();
        await sendRaw(sender, engine.address);
        const seen = await new Promise<string>((resolve, reject) => {
          const handle: SendHandle = sender.send(
            { address: engine.address, method: 'POST', path: '/', headers: {}, body: 'x' },
            {
              mayGo: () => true,
              head: ({ headers }) => {
                handle.cut();
                resolve(headers['x-id'] ?? '');
              },
              part: () => {
                reject(new Error('a part of another answer'));
                return undefined;
              },
              end: () => reject(new Error('an end of another answer')),
              failed: () => reject(new Error('failed after the cut')),
            },
          );
        });
        assert.equal(seen, '1');
        assert.equal(sender.counts(engine.address).conns, 0);
        assert.equal((await sendRaw(sender, engine.address)).head?.headers['x-id'], '3');
        assert.equal(engine.conns, 2);
      },
    ));

  test('a sound answer that nobody wants runs out, and its conn is used again', () =>
    withEngine(
      (socket, _order, count) =>
        socket.write(count === 1 ? answer('no room').replace('200 OK', '503 Busy') : answer('a')),
      async (engine) => {
        const sender = kept();
        await new Promise<void>((resolve) => {
          const handle: SendHandle = sender.send(
            { address: engine.address, method: 'POST', path: '/', headers: {}, body: 'x' },
            {
              mayGo: () => true,
              head: () => {
                handle.leave?.();
                resolve();
              },
              part: () => assert.fail('a part after it was left'),
              end: () => assert.fail('an end after it was left'),
              failed: () => assert.fail('a failure after it was left'),
            },
          );
        });
        while (sender.counts(engine.address).idle === 0) await turns(1);
        assert.equal((await sendRaw(sender, engine.address)).text, 'a');
        assert.equal(engine.conns, 1);
      },
    ));

  test('cut after the end touches no later order on the same conn', () =>
    withEngine(
      (socket, { body }) => {
        if (body !== 'wait') socket.write(answer('a'));
      },
      async (engine) => {
        const sender = kept();
        const handle = await new Promise<SendHandle>((resolve) => {
          const made: SendHandle = sender.send(
            { address: engine.address, method: 'POST', path: '/', headers: {}, body: 'x' },
            {
              mayGo: () => true,
              head: () => undefined,
              part: () => undefined,
              end: () => resolve(made),
              failed: () => undefined,
            },
          );
        });
        const second = sendRaw(sender, engine.address, { body: 'wait' });
        await engine.until(() => engine.orders.length === 2);
        handle.cut();
        handle.leave?.();
        engine.sockets[0]?.write(answer('still'));
        assert.equal((await second).text, 'still');
        assert.equal(engine.conns, 1);
      },
    ));

  test('the bounds: no more conns than may stand, and no more kept than is said', () =>
    withEngine(
      (socket, { body }) => {
        if (body !== 'wait') socket.write(answer('a'));
      },
      async (engine) => {
        const sender = kept(new HandClock(), { kept: 2, most: 4 });
        const held = Array.from({ length: 4 }, () => sendRaw(sender, engine.address, { body: 'wait' }));
        await engine.until(() => engine.orders.length === 4);
        const over = await sendRaw(sender, engine.address);
        assert.deepEqual([over.end, over.why], ['notRun', 'no conn is free']);
        assert.equal(engine.conns, 4);
        for (const socket of engine.sockets) socket.write(answer('b'));
        for (const { end } of await Promise.all(held)) assert.equal(end, 'whole');
        assert.deepEqual(sender.counts(engine.address), { conns: 2, idle: 2 });
      },
    ));

  test('a place taken by a conn that is too old for an order is given to a new one', () =>
    withEngine(
      (socket) => socket.write(answer('a')),
      async (engine) => {
        const clock = new HandClock();
        const sender = kept(clock, { kept: 1, most: 1 });
        await sendRaw(sender, engine.address);
        clock.pass(KeptConnDefaults.onceIdleMicroseconds);
        assert.equal((await sendRaw(sender, engine.address, { runsOnce: true })).end, 'whole');
        assert.equal(engine.conns, 2);
      },
    ));

  test('a conn made for an order that was cut meanwhile, or that may not go, serves the next one', () =>
    withEngine(
      (socket) => socket.write(answer('a')),
      async (engine) => {
        const sender = kept();
        const none = (): void => assert.fail('something was said after the cut');
        sender
          .send(
            { address: engine.address, method: 'POST', path: '/', headers: {}, body: 'x' },
            { mayGo: () => true, head: none, part: () => undefined, end: none, failed: none },
          )
          .cut();
        while (sender.counts(engine.address).idle === 0) await turns(1);
        assert.equal((await sendRaw(sender, engine.address, {}, () => false)).end, 'notRun');
        assert.equal((await sendRaw(sender, engine.address)).end, 'whole');
        assert.deepEqual([engine.conns, engine.orders.length], [1, 1]);
      },
    ));

  test('a conn that is not made in time: not run', async () => {
    const clock = new HandClock();
    const sender = kept(clock);
    // Why this address: it is set aside for documents, nobody answers there or the machine says so at once.
    const ended = sendRaw(sender, '192.0.2.1:9');
    clock.pass(KeptConnDefaults.connectMicroseconds);
    assert.equal((await ended).end, 'notRun');
    assert.equal(sender.counts('192.0.2.1:9').conns, 0);
  });

  test('what could be read as two orders, or as none, is never written', () =>
    withEngine(
      (socket) => socket.write(answer('a')),
      async (engine) => {
        const sender = kept();
        const bad: readonly Partial<SendOrder>[] = [
          { path: '/a HTTP/1.1\r\nx: y' },
          { path: '/a b' },
          { path: '' },
          { method: 'GE T' },
          { headers: { 'x-a': 'b\r\nc: d' } },
          { headers: { 'x a': 'b' } },
        ];
        for (const order of bad)
          assert.equal((await sendRaw(sender, engine.address, order)).end, 'notRun', JSON.stringify(order));
        assert.equal(engine.bytes, 0);
        await sendRaw(sender, engine.address, {
          headers: { 'Content-Length': '987654321', 'transfer-encoding': 'chunked', connection: 'upgrade' },
        });
        assert.equal(engine.orders.length, 1);
        assert.doesNotMatch(engine.orders[0]?.text ?? '', /987654321|chunked|upgrade/i);
      },
    ));

  test('close ends idle conns and makes none; running orders go on', () =>
    withEngine(
      (socket, { body }) => {
        if (body !== 'wait') socket.write(answer('a'));
      },
      async (engine) => {
        const sender = kept();
        const held = sendRaw(sender, engine.address, { body: 'wait' });
        await engine.until(() => engine.orders.length === 1);
        await sendRaw(sender, engine.address);
        sender.close();
        assert.deepEqual(sender.counts(engine.address), { conns: 1, idle: 0 });
        assert.equal((await sendRaw(sender, engine.address)).end, 'notRun');
        engine.sockets[0]?.write(answer('b'));
        assert.equal((await held).text, 'b');
        assert.equal(sender.counts(engine.address).conns, 0);
      },
    ));
});

describe('the answer reader', () => {
  const read = (reader: AnswerReader, chunks: readonly Buffer[]): readonly AnswerEvent[] => {
    const events: AnswerEvent[] = [];
    for (const chunk of chunks) {
      reader.push(chunk);
      for (let event = reader.next(); event !== undefined; event = reader.next()) events.push(event);
    }
    return events;
  };
  const bodyOf = (events: readonly AnswerEvent[]): string =>
    events.map((event) => (event.kind === 'part' ? Buffer.from(event.bytes).toString('latin1') : '')).join('');

  test('reads the same however the bytes are cut, and leaves what is not its own', () => {
    fc.assert(
      fc.property(
        fc.array(fc.uint8Array({ minLength: 1, maxLength: 300 }), { maxLength: 8 }),
        fc.boolean(),
        fc.array(fc.nat(2000), { maxLength: 30 }),
        fc.uint8Array({ maxLength: 20 }),
        (parts, chunked, cuts, surplus) => {
          const body = Buffer.concat(parts);
          const wire = chunked
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
          const all = Buffer.concat([wire, surplus]);
          const places = [...new Set([0, ...cuts.map((cut) => cut % all.length), all.length])].sort((a, b) => a - b);
          const chunks = places.slice(1).map((end, index) => all.subarray(places[index], end));
          const reader = new AnswerReader('POST', 16_384);
          const events = read(reader, chunks);
          assert.equal(bodyOf(events), body.toString('latin1'));
          assert.deepEqual(
            [events[0]?.kind, events.at(-1)?.kind, events.filter(({ kind }) => kind === 'end').length],
            ['head', 'end', 1],
          );
          assert.equal(reader.left, surplus.length);
        },
      ),
      { seed: 11, numRuns: 400 },
    );
  });

  test('never throws and never says whole for bytes that are no answer', () => {
    fc.assert(
      fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
        const reader = new AnswerReader('POST', 128);
        const events = read(reader, [Buffer.from(bytes)]);
        const closed = reader.close();
        assert.ok(![...events, closed].some((event) => event?.kind === 'end'));
      }),
      { seed: 12, numRuns: 500 },
    );
  });

  test('what could be read in two ways is broken', () => {
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
        read(new AnswerReader('GET', 16_384), [Buffer.from(`${head}\r\n\r\n`)]).at(-1)?.kind,
        'broken',
        head,
      );
  });

  test('204, 304 and the answer to HEAD have no body, whatever they say', () => {
    for (const [method, head] of [
      ['GET', 'HTTP/1.1 204 No'],
      ['GET', 'HTTP/1.1 304 No\r\ncontent-length: 10'],
      ['HEAD', 'HTTP/1.1 200 OK\r\ncontent-length: 10'],
    ] as const) {
      const events = read(new AnswerReader(method, 16_384), [Buffer.from(`${head}\r\n\r\n`)]);
      assert.deepEqual(
        events.map(({ kind }) => kind),
        ['head', 'end'],
      );
    }
  });
});

test('a hint has a margin, or half of itself where it is no longer than that', () => {
  const usable = (hint: number | undefined): number => KeepAlive.usableMicroseconds(hint, 1_000_000, 15_000_000);
  assert.deepEqual(
    [5_000_000, 1_000_000, 0, 60_000_000, undefined].map(usable),
    [4_000_000, 500_000, 0, 15_000_000, 15_000_000],
  );
});

test('the conns of an engine are shared out over the daemons, and all together keep to them', () => {
  const engine = { kind: 'engine', service: 's', address: '10.0.0.1:1', zone: 'z', state: 'ready' } as const;
  const pool = { kind: 'pool', shape: { conns: 210 } };
  const shares = (daemons: number): ConnShares =>
    new ConnShares(
      () => ({ engines: { e: engine } }),
      () => ({ services: { s: pool } }) as never,
      () => daemons,
    );
  for (const daemons of [1, 9, 40]) {
    const { kept: few, most } = shares(daemons).of('10.0.0.1:1');
    assert.ok(few >= 2 && few <= most && (most * daemons <= 210 || most === 2));
  }
  assert.ok(shares(9).of('10.0.0.2:1').most > 0);
});
