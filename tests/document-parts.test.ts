import assert from 'node:assert/strict';
import { createHash } from 'node:crypto';
import { describe, test } from 'node:test';
import fc from 'fast-check';
import type { RequestOutcome, Message, Transport } from '../source/shared/effects/transport/transport';
import { partBytes } from '../source/shared/freshness/documentBodies';
import { DocumentParts, DocumentTransfers } from '../source/shared/freshness/documentParts';
import { TextDeltas } from '../source/shared/freshness/textDelta';
import { Freshness } from '../source/shared/freshness/freshness';
import { timerlessClock } from './support/timerlessClock';
import { configurationOf } from './support/largeConfiguration';

const digestOf = (text: string): string => createHash('sha256').update(text).digest('hex').slice(0, 32);
const textOf = (weights: string, routes = 1_500): string => JSON.stringify(configurationOf(routes, weights));

const hear = (freshness: Freshness, revision: number, text: string): void =>
  freshness.applyStatement({ key: 'blueprint', revision, digest: digestOf(text), ageMicroseconds: 0, weights: {} }, 0);

const holderOf = (revision: number, text: string): Freshness => {
  const holder = new Freshness(timerlessClock());
  hear(holder, revision, text);
  assert.ok(holder.applyBody({ key: 'blueprint', revision, digest: digestOf(text), text }));
  return holder;
};

type Ask = Readonly<{ address: string; message: Message; settle: (answer: RequestOutcome) => void }>;

/** A transport whose answers are given by the test. */
const heldTransport = () => {
  const asks: Ask[] = [];
  const transport: Transport = {
    ask: (address, message) => new Promise((settle) => asks.push({ address, message, settle })),
    listen: () => Promise.reject(new Error('this transport does not listen')),
    close: () => Promise.resolve(),
  };
  return { asks, transport };
};

const pendingPromisesRun = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

const setUp = (revision: number, text: string) => {
  const receiver = new Freshness(timerlessClock());
  hear(receiver, revision, text);
  const { asks, transport } = heldTransport();
  const clock = timerlessClock();
  const transfers = new DocumentTransfers(receiver, transport, clock);
  /** The default `tookMicroseconds` is that of a slow sender, so that parts stay small. */
  const answerNext = async (holder: Freshness, tookMicroseconds = 700_000): Promise<Message> => {
    const ask = asks.shift();
    assert.ok(ask !== undefined);
    clock.now += tookMicroseconds;
    ask.settle({ kind: 'answered', message: DocumentParts.answer(holder, ask.message) });
    await pendingPromisesRun();
    return ask.message;
  };
  return { receiver, asks, transfers, answerNext };
};

describe('delta between two texts', () => {
  const piece = fc.constantFrom('{a},', '{b},', '{c},', 'x', '},', '', '[{');
  const text = fc.array(piece, { maxLength: 12 }).map((pieces) => pieces.join(''));

  test('applying the delta to the base gives the new text', () => {
    fc.assert(
      fc.property(text, text, (before, after) => {
        const delta: unknown = JSON.parse(JSON.stringify(TextDeltas.diff(before, after)));
        assert.equal(TextDeltas.apply(before, delta), after);
      }),
    );
  });

  test('the delta of a long list with one changed item is short, and an invalid delta is not applied', () => {
    const [before, after] = [textOf('w1'), textOf('w2')];
    const delta = TextDeltas.diff(before, after);
    assert.ok(JSON.stringify(delta).length < 2_000, JSON.stringify(delta).slice(0, 200));
    for (const wrong of [{}, [5], [[0]], [[0, 1e9]], [[-1, 1]], [null]])
      assert.equal(TextDeltas.apply(before, wrong), undefined);
  });
});

describe('long documents in parts', () => {
  test('requests one part after the other and applies the document with the last', async () => {
    const text = textOf('w1');
    const holder = holderOf(3, text);
    const { receiver, asks, transfers, answerNext } = setUp(3, text);
    transfers.handleAnswer('a:1', { blueprint: 2 });
    assert.equal(asks.length, 0, 'this sender does not have the revision yet');
    transfers.handleAnswer('a:1', { blueprint: 3 });
    transfers.handleAnswer('b:1', { blueprint: 3 });
    let parts = 0;
    for (; receiver.revision('blueprint') === 0; parts += 1) {
      assert.equal(asks.length, 1, 'one request at a time, to one sender');
      const { from, mostBytes } = await answerNext(holder);
      assert.equal(from, [0, 4, 6, 7, 8, 9][parts]! * partBytes);
      assert.equal(mostBytes, Math.max(partBytes, (4 * partBytes) / 2 ** parts), 'half as much after each slow part');
    }
    assert.ok(parts >= 2, `${parts} parts`);
    assert.equal(asks.length, 0);
    assert.equal(receiver.applied('blueprint')?.text, text);
  });

  test('parts of a fast sender grow, and the smallest size is requested after a timeout', async () => {
    const text = textOf('w1', 4_000);
    const holder = holderOf(3, text);
    const { receiver, asks, transfers, answerNext } = setUp(3, text);
    transfers.handleAnswer('a:1', { blueprint: 3 });
    assert.equal((await answerNext(holder, 100_000))['mostBytes'], 4 * partBytes);
    assert.equal(asks[0]?.message['mostBytes'], 8 * partBytes);
    asks.shift()?.settle({ kind: 'silent', reason: 'limit passed' });
    await pendingPromisesRun();
    transfers.handleAnswer('a:1', { blueprint: 3 });
    assert.equal((await answerNext(holder, 300_000))['mostBytes'], partBytes);
    assert.equal(asks[0]?.message['mostBytes'], partBytes, 'neither fast nor slow');
    for (let asked = 0; receiver.revision('blueprint') === 0 && asked < 100; asked += 1)
      await answerNext(holder, 100_000);
    assert.equal(receiver.applied('blueprint')?.text, text);
  });

  test('another sender continues the transfer when a sender stops answering', async () => {
    const text = textOf('w1');
    const holder = holderOf(3, text);
    const { receiver, asks, transfers, answerNext } = setUp(3, text);
    transfers.handleAnswer('a:1', { blueprint: 3 });
    await answerNext(holder);
    transfers.handleTimeout('a:1');
    transfers.handleAnswer('b:1', { blueprint: 3 });
    assert.deepEqual(
      asks.map(({ address, message }) => [address, message['from']]),
      [
        ['a:1', 4 * partBytes],
        ['b:1', 4 * partBytes],
      ],
    );
    await answerNext(holder);
    for (let asked = 0; receiver.revision('blueprint') === 0 && asked < 100; asked += 1) await answerNext(holder);
    assert.equal(receiver.applied('blueprint')?.text, text);
  });

  test('a transfer that has begun is finished when a newer revision appears, which follows it', async () => {
    const [first, second] = [textOf('w1'), textOf('w2')];
    const holder = holderOf(3, first);
    const { receiver, transfers, answerNext } = setUp(3, first);
    transfers.handleAnswer('a:1', { blueprint: 3 });
    await answerNext(holder);
    hear(holder, 4, second);
    assert.ok(holder.applyBody({ key: 'blueprint', revision: 4, digest: digestOf(second), text: second }));
    hear(receiver, 4, second);
    transfers.handleAnswer('a:1', { blueprint: 4 });
    const applied: number[] = [];
    for (let asked = 0; receiver.revision('blueprint') < 4 && asked < 100; asked += 1) {
      await answerNext(holder);
      if (applied.at(-1) !== receiver.revision('blueprint')) applied.push(receiver.revision('blueprint'));
      transfers.handleAnswer('a:1', { blueprint: 4 });
    }
    assert.deepEqual(applied, [0, 3, 4]);
  });

  test('requests the present revision of a sender that does not have the wanted one any more', async () => {
    const [first, second] = [textOf('w1'), textOf('w2')];
    const { receiver, transfers, answerNext } = setUp(3, first);
    transfers.handleAnswer('a:1', { blueprint: 4 });
    await answerNext(holderOf(4, second));
    hear(receiver, 4, second);
    const holder = holderOf(4, second);
    for (let asked = 0; receiver.revision('blueprint') === 0 && asked < 100; asked += 1) {
      transfers.handleAnswer('a:1', { blueprint: 4 });
      await answerNext(holder);
    }
    assert.equal(receiver.revision('blueprint'), 4);
  });

  test('a receiver with the previous text is sent a delta in one part', async () => {
    const [first, second] = [textOf('w1'), textOf('w2')];
    const sender = holderOf(3, first);
    const { receiver, transfers, answerNext, asks } = setUp(3, first);
    assert.ok(receiver.applyBody({ key: 'blueprint', revision: 3, digest: digestOf(first), text: first }));
    sender.encodedBody('blueprint');
    for (const freshness of [sender, receiver]) hear(freshness, 4, second);
    assert.ok(sender.applyBody({ key: 'blueprint', revision: 4, digest: digestOf(second), text: second }));
    transfers.handleAnswer('a:1', { blueprint: 4 });
    await answerNext(sender);
    assert.equal(receiver.applied('blueprint')?.text, second);
    assert.equal(asks.length, 0);
  });

  test('a receiver whose text the sender skipped is sent a delta against an earlier common text in one part', async () => {
    const [first, second, third] = [textOf('w1'), textOf('w2'), textOf('w3')];
    const sender = holderOf(3, first);
    sender.encodedBody('blueprint');
    const { receiver, transfers, answerNext, asks } = setUp(3, first);
    assert.ok(receiver.applyBody({ key: 'blueprint', revision: 3, digest: digestOf(first), text: first }));
    hear(receiver, 4, second);
    assert.ok(receiver.applyBody({ key: 'blueprint', revision: 4, digest: digestOf(second), text: second }));
    for (const freshness of [sender, receiver]) hear(freshness, 5, third);
    assert.ok(sender.applyBody({ key: 'blueprint', revision: 5, digest: digestOf(third), text: third }));
    transfers.handleAnswer('a:1', { blueprint: 5 });
    await answerNext(sender);
    assert.equal(receiver.applied('blueprint')?.text, third);
    assert.equal(asks.length, 0);
  });

  test('a receiver is sent a delta against a text that the sender applied but never sent, in one part', async () => {
    const [first, second] = [textOf('w1'), textOf('w2')];
    const sender = holderOf(3, first);
    const { receiver, transfers, answerNext, asks } = setUp(3, first);
    assert.ok(receiver.applyBody({ key: 'blueprint', revision: 3, digest: digestOf(first), text: first }));
    for (const freshness of [sender, receiver]) hear(freshness, 4, second);
    assert.ok(sender.applyBody({ key: 'blueprint', revision: 4, digest: digestOf(second), text: second }));
    transfers.handleAnswer('a:1', { blueprint: 4 });
    await answerNext(sender);
    assert.equal(receiver.applied('blueprint')?.text, second);
    assert.equal(asks.length, 0);
  });

  test('requests the whole document after an invalid delta', async () => {
    const [first, second] = [textOf('w1'), textOf('w2')];
    const { receiver, transfers, answerNext, asks } = setUp(3, first);
    assert.ok(receiver.applyBody({ key: 'blueprint', revision: 3, digest: digestOf(first), text: first }));
    hear(receiver, 4, second);
    transfers.handleAnswer('a:1', { blueprint: 4 });
    const bytes = Buffer.from('no delta');
    const message = { kind: 'bodyPart', digest: digestOf(second), base: digestOf(first), from: 0, total: 8, bytes };
    asks.shift()?.settle({ kind: 'answered', message });
    await pendingPromisesRun();
    transfers.handleAnswer('a:1', { blueprint: 4 });
    assert.equal(asks[0]?.message['base'], '');
    const sender = holderOf(4, second);
    for (let asked = 0; receiver.revision('blueprint') < 4 && asked < 100; asked += 1) await answerNext(sender);
    assert.equal(receiver.applied('blueprint')?.text, second);
  });

  test('ignores malformed parts and parts of another document', async () => {
    const text = textOf('w1');
    const { receiver, asks, transfers } = setUp(3, text);
    for (const message of [
      { kind: 'bodyPart', digest: 'another', base: '', from: 0, total: 3, bytes: new Uint8Array(3) },
      { kind: 'bodyPart', digest: digestOf(text), base: '', from: 0, total: 3, bytes: new Uint8Array(0) },
      { kind: 'bodyPart', digest: digestOf(text), base: '', from: 0, total: 3, bytes: new Uint8Array(3) },
      { kind: 'heard' },
    ]) {
      transfers.handleAnswer('a:1', { blueprint: 3 });
      asks.shift()?.settle({ kind: 'answered', message });
      await pendingPromisesRun();
    }
    assert.equal(receiver.revision('blueprint'), 0);
    assert.equal(
      DocumentParts.answer(receiver, { kind: 'bodyPart', key: 'blueprint', digest: 'x', from: 0 }).kind,
      'noBody',
    );
  });
});
