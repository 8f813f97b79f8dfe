import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { deflateRawSync } from 'node:zlib';
import { pack } from 'msgpackr';
import { Payloads } from '../source/shared/effects/transport/payloads';
import { TransportLimits, type Message } from '../source/shared/effects/transport/transport';

const compressedMarker = 0xc1;
const long: Message = { kind: 'newsBack', facts: Array.from({ length: 200 }, (_, index) => `engine/i-${index}`) };
const request = Payloads.decode(Payloads.encodeRequest({ kind: 'news' }));

describe('payloads of requests and responses', () => {
  test('compresses a long response for a client that accepts it', () => {
    const bytes = Payloads.encodeResponse(long, request);
    assert.equal(bytes[0], compressedMarker);
    assert.ok(bytes.length < pack(long).length / 2);
    assert.deepEqual(Payloads.decode(bytes), long);
  });

  test('does not compress for a daemon of an earlier build', () => {
    assert.deepEqual(Payloads.encodeResponse(long, { kind: 'news' }), pack(long));
  });

  test('does not compress a short response', () => {
    assert.deepEqual(Payloads.encodeResponse({ kind: 'pong' }, request), pack({ kind: 'pong' }));
  });

  test('rejects a payload that exceeds the size limit when decompressed', () => {
    const bomb = deflateRawSync(Buffer.alloc(TransportLimits.messageBytes + 1));
    assert.throws(() => Payloads.decode(Buffer.concat([Buffer.of(compressedMarker), bomb])));
  });

  test('rejects a compressed payload that is not a message', () => {
    assert.throws(() => Payloads.decode(Buffer.of(compressedMarker, 1, 2, 3)));
    assert.throws(() => Payloads.decode(Buffer.concat([Buffer.of(compressedMarker), deflateRawSync(pack('word'))])));
  });
});
