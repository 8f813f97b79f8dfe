import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { deflateRawSync } from 'node:zlib';
import { pack } from 'msgpackr';
import { Payloads } from '../source/shared/effects/transport/payloads';
import { TransportLimits, type Message } from '../source/shared/effects/transport/transport';

const deflatedMark = 0xc1;
const long: Message = { kind: 'newsBack', facts: Array.from({ length: 200 }, (_, index) => `engine/i-${index}`) };
const ask = Payloads.read(Payloads.ofAsk({ kind: 'news' }));

describe('payloads of asks and answers', () => {
  test('a long answer comes deflated to one that takes it so, and is read whole', () => {
    const bytes = Payloads.ofAnswer(long, ask);
    assert.equal(bytes[0], deflatedMark);
    assert.ok(bytes.length < pack(long).length / 2);
    assert.deepEqual(Payloads.read(bytes), long);
  });

  test('a daemon of an earlier build gets it as it can read it', () => {
    assert.deepEqual(Payloads.ofAnswer(long, { kind: 'news' }), pack(long));
  });

  test('a short answer stays as it is', () => {
    assert.deepEqual(Payloads.ofAnswer({ kind: 'pong' }, ask), pack({ kind: 'pong' }));
  });

  test('bytes that inflate beyond what a message may have are refused', () => {
    const bomb = deflateRawSync(Buffer.alloc(TransportLimits.messageBytes + 1));
    assert.throws(() => Payloads.read(Buffer.concat([Buffer.of(deflatedMark), bomb])));
  });

  test('bytes that are no deflated message are refused', () => {
    assert.throws(() => Payloads.read(Buffer.of(deflatedMark, 1, 2, 3)));
    assert.throws(() => Payloads.read(Buffer.concat([Buffer.of(deflatedMark), deflateRawSync(pack('word'))])));
  });
});
