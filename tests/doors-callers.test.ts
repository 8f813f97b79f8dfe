import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import fc from 'fast-check';
import { PlatformCallerWords } from '../platform/callers/words';
import { CallersDoor, type DoorOptions } from '../source/edge-proxy/door/callersDoor';
import { ReadinessDoor } from '../source/edge-proxy/door/readinessDoor';
import type { EdgeProxy } from '../source/edge-proxy/edgeProxy';
import type { ResponseSink, ProxyRequest } from '../source/edge-proxy/pipeline/request';
import { ProxyStops } from '../source/edge-proxy/proxyProgram';
import type { CallerLimits } from '../source/shared/blueprint/types';
import { realRandom } from '../source/shared/effects/random/random';
import { HttpLimits } from '../source/shared/http/httpLimits';
import { Metrics } from '../source/shared/metrics/metrics';
import { RawCaller } from './support/rawCaller';
import { HandClock } from './support/rawEngine';

type Taken = Readonly<{ order: ProxyRequest; answer: ResponseSink }>;

/** A door whose proxy does what a test says, and keeps what it was handed. */
class Stage {
  public readonly taken: Taken[] = [];
  public readonly clock = new HandClock();
  private readonly waiting: (() => void)[] = [];

  public constructor(
    private readonly act: (taken: Taken) => void,
    public door: CallersDoor = undefined as unknown as CallersDoor,
  ) {}

  public static async open(
    act: (taken: Taken) => void,
    limits: Partial<HttpLimits> = {},
    options: Partial<DoorOptions> = {},
    bodyBytes = 100_000,
  ): Promise<Stage> {
    const stage = new Stage(act);
    const proxy = {
      handle: (order: ProxyRequest, answer: ResponseSink) => {
        const taken = { order, answer };
        stage.taken.push(taken);
        for (const wake of stage.waiting.splice(0)) wake();
        stage.act(taken);
        return Promise.resolve();
      },
      metrics: new Metrics(),
      fresh: () => true,
    } as unknown as EdgeProxy;
    stage.door = await CallersDoor.open(
      proxy,
      '127.0.0.1:0',
      { ...HttpLimits.usual, ...limits },
      bodyBytes,
      stage.clock,
      realRandom,
      { words: PlatformCallerWords, ...options },
    );
    return stage;
  }

  public async until(count: number): Promise<Taken> {
    while (this.taken.length < count) await new Promise<void>((resolve) => this.waiting.push(resolve));
    return this.taken[count - 1] as Taken;
  }

  public caller(): Promise<RawCaller> {
    return RawCaller.open(this.door.address);
  }
}

const say =
  (text: string) =>
  ({ answer }: Taken): void => {
    answer.head({ status: 200, headers: { 'content-length': String(text.length) } });
    void answer.part(Buffer.from(text));
    answer.end();
  };
const id = (order: ProxyRequest): string => order.id;
const head = (number: number | string, extra = 'content-length: 0'): string =>
  `POST /p/${number}?q=${number} HTTP/1.1\r\nhost: h.example\r\npostdrum-request-id: r${number}\r\n${extra}\r\n\r\n`;
const turns = async (count = 20): Promise<void> => {
  for (let turn = 0; turn < count; turn += 1) await new Promise((resolve) => setImmediate(resolve));
};

describe("the callers' door", () => {
  test('bodies are the bytes they are, however they come', async () => {
    const stage = await Stage.open(say('ok'));
    const caller = await stage.caller();
    await fc.assert(
      fc.asyncProperty(
        fc.uint8Array({ maxLength: 3000 }),
        fc.boolean(),
        fc.array(fc.integer({ min: 1, max: 700 }), { minLength: 1, maxLength: 6 }),
        async (bytes, chunked, sizes) => {
          const count = stage.taken.length + 1;
          const pieces: Uint8Array[] = [];
          for (let at = 0, turn = 0; at < bytes.length; turn += 1) {
            const size = sizes[turn % sizes.length] ?? 1;
            pieces.push(bytes.subarray(at, at + size));
            at += size;
          }
          caller.text = '';
          caller.write(head(count, chunked ? 'transfer-encoding: chunked' : `content-length: ${bytes.length}`));
          for (const piece of pieces) {
            if (chunked)
              caller
                .write(`${piece.length.toString(16)}\r\n`)
                .write(piece)
                .write('\r\n');
            else caller.write(piece);
            await turns(1);
          }
          if (chunked) caller.write('0\r\n\r\n');
          const { order } = await stage.until(count);
          await caller.until((text) => text.endsWith('ok'));
          assert.deepEqual(Buffer.from(order.body as Uint8Array), Buffer.from(bytes));
          assert.deepEqual(
            [order.target, order.path, order.host],
            [`/p/${count}?q=${count}`, `/p/${count}`, 'h.example'],
          );
        },
      ),
      { seed: 31, numRuns: 60 },
    );
    await stage.door.close();
  });

  test('a head in many pieces is one order, and half of one is none', async () => {
    const stage = await Stage.open(say('ok'));
    const caller = await stage.caller();
    for (const letter of head(1)) {
      caller.write(letter);
      await turns(1);
    }
    await caller.until((text) => text.endsWith('ok'));
    assert.equal(stage.taken.length, 1);
    caller.write(head(2).slice(0, 30)).socket.end();
    await caller.until(() => false);
    assert.equal(stage.taken.length, 1);
    await stage.door.close();
  });

  test('half a head that never ends is answered 408 or closed in time; a conn that never speaks is closed silently', async () => {
    const stage = await Stage.open(say('ok'), { headMicroseconds: 50_000 });
    const [half, mute, body] = await Promise.all([stage.caller(), stage.caller(), stage.caller()]);
    half.write('POST /x HTTP/1.1\r\nhost: h');
    body.write(head(1, 'content-length: 5'));
    await Promise.all([half.until(() => false), mute.until(() => false)]);
    assert.deepEqual([half.statuses(), mute.text], [[408], '']);
    assert.equal(stage.taken.length, 0);
    body.socket.destroy();
    await stage.door.close();
  });

  test('half a body that never ends: 408, since nothing has run, and the order is never handed on', async () => {
    const stage = await Stage.open(say('ok'), { headMicroseconds: 50_000, bodyMicroseconds: 50_000 });
    const caller = await stage.caller();
    caller.write(head(1, 'content-length: 5')).write('abc');
    await caller.until(() => false);
    assert.deepEqual([caller.statuses(), stage.taken.length], [[408], 0]);
    await stage.door.close();
  });

  test('orders one behind the other on one conn are answered in their order', async () => {
    const stage = await Stage.open(() => undefined);
    const caller = await stage.caller();
    caller.write(head(1) + head(2) + head(3));
    await stage.until(3);
    for (const place of [2, 1, 0]) {
      const taken = stage.taken[place] as Taken;
      say(`<${id(taken.order)}>`)(taken);
    }
    const text = await caller.until((seen) => seen.includes('<r3>'));
    assert.deepEqual(
      [...text.matchAll(/<(r\d)>/g)].map(([, name]) => name),
      ['r1', 'r2', 'r3'],
    );
    await stage.door.close();
  });

  test('garbage behind a whole order: the order is answered, then the conn ends', async () => {
    const stage = await Stage.open(() => undefined);
    const caller = await stage.caller();
    caller.write(`${head(1)}\u0000garbage\r\n\r\n`);
    const taken = await stage.until(1);
    await turns();
    assert.equal(caller.text, '', 'no bare line that would pass for the answer');
    assert.equal(taken.answer.gone(), false);
    say('whole')(taken);
    await caller.until(() => false);
    assert.deepEqual([caller.statuses(), caller.text.endsWith('whole')], [[200], true]);
    await stage.door.close();
  });

  test('half an order behind a whole one that runs for long: the whole one is answered', async () => {
    const stage = await Stage.open(() => undefined, { headMicroseconds: 50_000, bodyMicroseconds: 50_000 });
    const caller = await stage.caller();
    const other = await stage.caller();
    caller.write(head(1) + head(2).slice(0, 20));
    other.write(head(2).slice(0, 20));
    const taken = await stage.until(1);
    // Why wait for the other: its time is up by then, so that of the first is too.
    await other.until(() => false);
    await turns();
    assert.deepEqual([other.statuses(), caller.text, caller.closed], [[408], '', false]);
    say('whole')(taken);
    await caller.until(() => false);
    assert.deepEqual([caller.statuses(), caller.text.endsWith('whole')], [[200], true]);
    await stage.door.close();
  });

  test('a broken chunk: 400, and an order before it on the conn is still answered first', async () => {
    const stage = await Stage.open(() => undefined);
    const caller = await stage.caller();
    caller.write(head(1)).write(`${head(2, 'transfer-encoding: chunked')}zz\r\n`);
    const taken = await stage.until(1);
    await turns();
    say('whole')(taken);
    await caller.until(() => false);
    assert.deepEqual([caller.statuses(), stage.taken.length], [[200, 400], 1]);
    await stage.door.close();
  });

  test('too large: a body that says so, one that grows so, and a head', async () => {
    const stage = await Stage.open(say('ok'), { headBytes: 2000 }, {}, 1000);
    const said = await stage.caller();
    said.write(head(1, 'content-length: 1001'));
    await said.until((text) => text.includes('tooLarge'));
    const grown = await stage.caller();
    grown.write(head(2, 'transfer-encoding: chunked')).write(`3e9\r\n${'x'.repeat(1001)}\r\n`);
    await grown.until((text) => text.includes('tooLarge'));
    const long = await stage.caller();
    long.write(head(3, `x: ${'y'.repeat(3000)}`));
    await long.until(() => false);
    assert.deepEqual([said.statuses(), grown.statuses(), long.statuses()], [[413], [413], [431]]);
    assert.equal(stage.taken.length, 0);
    await stage.door.close();
  });

  test('a refusal reaches a caller that still writes, and the conn is good for the next order', async () => {
    const stage = await Stage.open(say('ok'), {}, {}, 1000);
    const caller = await stage.caller();
    caller.write(head(1, 'content-length: 200000')).write('x'.repeat(100_000));
    await caller.until((text) => text.includes('tooLarge'));
    caller.write('x'.repeat(100_000)).write(head(2));
    await caller.until((text) => text.endsWith('ok'));
    assert.deepEqual(caller.statuses(), [413, 200]);
    await stage.door.close();
  });

  test('a caller that leaves is told of, before and within its answer', async () => {
    const stage = await Stage.open(() => undefined);
    for (const begun of [false, true]) {
      const caller = await stage.caller();
      const count = stage.taken.length + 1;
      caller.write(head(count));
      const { answer } = await stage.until(count);
      if (begun) {
        answer.head({ status: 200, headers: {} });
        await caller.until((text) => text.includes('200'));
      }
      const gone = new Promise<void>((resolve) => answer.onClientGone(resolve));
      caller.socket.destroy();
      await gone;
      assert.equal(answer.gone(), true);
      answer.end();
    }
    await stage.door.close();
  });

  test('a cut answer looks cut', async () => {
    const stage = await Stage.open(({ answer }) => {
      answer.head({ status: 200, headers: {} });
      void answer.part(Buffer.from('part'));
      setImmediate(() => answer.cut());
    });
    const caller = await stage.caller();
    caller.write(head(1));
    const text = await caller.until(() => false);
    assert.ok(text.includes('part') && !text.includes('0\r\n\r\n'));
    await stage.door.close();
  });

  test('a head without a part goes out at once, and with its first part otherwise', async () => {
    const stage = await Stage.open(({ answer }) => answer.head({ status: 200, headers: { 'x-a': '1' } }));
    const caller = await stage.caller();
    caller.write(head(1));
    await caller.until((text) => text.includes('x-a: 1'));
    await stage.door.close();
  });

  test("operators' limits hold as soon as they change, and are told to callers", async () => {
    const said: { limits?: CallerLimits } = {};
    const stage = await Stage.open(say('ok'), {}, { limits: () => said.limits }, 1000);
    const ask = async (bytes: number): Promise<RawCaller> => {
      const caller = await stage.caller();
      caller.write(head(bytes, `content-length: ${bytes}`)).write('x'.repeat(bytes));
      await caller.until((text) => /ok$|tooLarge/.test(text));
      return caller;
    };
    assert.deepEqual((await ask(900)).statuses(), [200]);
    said.limits = { headBytes: 300, bodyBytes: 800, headMicroseconds: 0, idleMicroseconds: 15_000_000 };
    assert.deepEqual((await ask(900)).statuses(), [413]);
    const fine = await ask(700);
    assert.match(fine.text, /keep-alive: timeout=15\r\n/);
    const long = await stage.caller();
    long.write(head(1, `x: ${'y'.repeat(400)}`));
    await long.until(() => false);
    assert.deepEqual(long.statuses(), [431]);
    await stage.door.close();
  });

  test('an order with a limit of its own counts from its head, others from the end of their body', async () => {
    const stage = await Stage.open(say('ok'));
    for (const [extra, expected] of [
      ['postdrum-deadline-ms: 50\r\n', 0],
      ['', 7000],
    ] as const) {
      const caller = await stage.caller();
      const count = stage.taken.length + 1;
      const began = stage.clock.nowMicroseconds();
      caller.write(head(count, `${extra}content-length: 1\r\nexpect: 100-continue`));
      await caller.until((text) => text.includes('100 Continue'));
      stage.clock.pass(7000);
      caller.write('x');
      const { order } = await stage.until(count);
      assert.equal(order.arrivedMicroseconds - began, expected);
      assert.equal(order.passed?.['expect'], undefined);
    }
    await stage.door.close();
  });
});

describe('a planned stop', () => {
  const { drain } = ProxyStops.within(8_000_000);

  test('it listens until those who send callers have noticed, then finishes what it read', async () => {
    const stage = await Stage.open(() => undefined);
    const kept = await stage.caller();
    kept.write(head(1));
    say('one')(await stage.until(1));
    await kept.until((text) => text.endsWith('one'));
    assert.doesNotMatch(kept.text, /connection: close/i);
    let over = false;
    const drained = stage.door.drain(drain).then(() => {
      over = true;
    });
    // A kept conn is served still, and told to end.
    kept.text = '';
    kept.write(head(2));
    say('two')(await stage.until(2));
    await kept.until(() => false);
    assert.match(kept.text, /connection: close/i);
    assert.ok(kept.text.endsWith('two'));
    // New ones are taken until nobody has come for a while.
    for (let round = 0; round < 3; round += 1) {
      stage.clock.pass(1_000_000);
      await turns();
      const caller = await stage.caller();
      caller.write(head(round + 3));
      say('late')(await stage.until(round + 3));
      await caller.until(() => false);
      assert.ok(caller.text.endsWith('late'));
    }
    const last = await stage.caller();
    last.write(head(9));
    const running = await stage.until(6);
    for (let step = 0; step < 6; step += 1) {
      stage.clock.pass(250_000);
      await turns();
    }
    await assert.rejects(stage.caller());
    assert.equal(over, false);
    say('last')(running);
    await last.until(() => false);
    assert.ok(last.text.endsWith('last'));
    await drained;
  });

  test('orders that stand one behind the other when it begins, or come then, are all answered', async () => {
    const stage = await Stage.open(() => undefined);
    const caller = await stage.caller();
    caller.write(head(1) + head(2));
    await stage.until(2);
    const drained = stage.door.drain();
    caller.write(head(3));
    await stage.until(3);
    for (const taken of stage.taken) say(id(taken.order))(taken);
    await caller.until(() => false);
    assert.deepEqual(caller.statuses(), [200, 200, 200]);
    assert.equal(caller.text.match(/connection: close/gi)?.length, 1);
    await drained;
  });

  test('callers that go on coming do not hold it up for ever', async () => {
    const stage = await Stage.open(say('ok'));
    const drained = stage.door.drain(drain);
    for (let passed = 0; passed < drain.mostMicroseconds; passed += 500_000) {
      const caller = await stage.caller();
      caller.write(head(passed));
      await caller.until(() => false);
      assert.deepEqual(caller.statuses(), [200]);
      stage.clock.pass(500_000);
      await turns();
    }
    await drained;
    await assert.rejects(stage.caller());
  });

  test('an order that comes late and may outlast it is told to go elsewhere; one that may not is answered', async (context) => {
    const stage = await Stage.open(say('ok'));
    // A door that is left open holds the whole file up when this test fails.
    context.after(() => stage.door.close());
    const kept = await stage.caller();
    const within = (milliseconds: number): string => `postdrum-deadline-ms: ${milliseconds}\r\ncontent-length: 0`;
    kept.write(head(1, within(6000)));
    await kept.until((text) => text.endsWith('ok'));
    const drained = stage.door.drain(drain);
    const statusAt = async (microseconds: number, milliseconds: number): Promise<number | undefined> => {
      stage.clock.pass(microseconds);
      await turns();
      const caller = await stage.caller();
      caller.write(head(`${microseconds}`, within(milliseconds)));
      await caller.until(() => false);
      assert.match(caller.text, /connection: close/i);
      return caller.statuses()[0];
    };
    assert.equal(await statusAt(2_000_000, 6000), 200, 'whoever sends callers has not noticed yet');
    assert.equal(await statusAt(1_000_000, 6000), 503, 'it may run for longer than this proxy');
    assert.equal(await statusAt(0, 4000), 200);
    kept.text = '';
    kept.write(head(2, within(6000)));
    await kept.until(() => false);
    assert.deepEqual(kept.statuses(), [503], 'on a conn that was open before as well');
    assert.equal(stage.taken.length, 3);
    stage.clock.pass(drain.mostMicroseconds);
    await turns();
    await drained;
  });

  test('half an order does not hold it up', async () => {
    const stage = await Stage.open(say('ok'));
    const half = await stage.caller();
    half.write('POST /x HTTP/1.1\r\nhost: h');
    await turns();
    await stage.door.drain({ ...drain, leastMicroseconds: 0, quietMicroseconds: 0, lateMicroseconds: 10_000 });
    await half.until(() => false);
    assert.equal(half.text, '');
  });

  test('it ends well before it would be killed', () => {
    for (const grace of [4_000_000, 8_000_000, 30_000_000]) {
      const stops = ProxyStops.within(grace);
      assert.ok(stops.stopLimitMicroseconds < grace);
      assert.ok(stops.drain.mostMicroseconds < stops.stopLimitMicroseconds);
    }
  });
});

test('readiness is told by status alone, and follows at once', async () => {
  let ready = false;
  const door = await ReadinessDoor.open('127.0.0.1:0', '/-/ready', () => ready);
  const caller = await RawCaller.open(door.address);
  for (const [now, path, status] of [
    [false, '/-/ready', 503],
    [true, '/-/ready', 200],
    [true, '/other', 404],
    [false, '/-/ready', 503],
  ] as const) {
    ready = now;
    caller.text = '';
    caller.write(`GET ${path} HTTP/1.1\r\nhost: x\r\n\r\n`);
    await caller.until((text) => text.includes('\r\n\r\n'));
    assert.deepEqual(caller.statuses(), [status]);
  }
  await door.close();
});
