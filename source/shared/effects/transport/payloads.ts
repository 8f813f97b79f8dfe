import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { pack, unpack } from 'msgpackr';
import { Messages, TransportLimits, type Message } from './transport';

/** First byte of a compressed payload; no MessagePack message begins with it. */
const compressedMarker = 0xc1;

/** Shorter responses are sent uncompressed, because compression saves little on them. */
const minCompressedBytes = 1024;
const compressionLevel = 3;

/** Field of a request that allows a compressed response; daemons of earlier builds do not send it. */
const acceptsCompressedField = 'takesDeflated';

const encode = (message: Message): Buffer => pack(message);

/** Throws on anything that is not a message or exceeds the size limit. */
const decode = (bytes: Buffer): Message => {
  const packed =
    bytes[0] === compressedMarker
      ? inflateRawSync(bytes.subarray(1), { maxOutputLength: TransportLimits.messageBytes })
      : bytes;
  const message: unknown = unpack(packed);
  if (!Messages.is(message)) throw new Error('not a message');
  return message;
};

/**
 * Codec of requests and responses. Long responses are compressed, because most of what an agent sends to all its proxies
 * is repetitive text.
 */
export const Payloads = {
  encodeRequest: (message: Message): Buffer => encode({ ...message, [acceptsCompressedField]: true }),

  encodeResponse: (response: Message, request: Message): Buffer => {
    const packed = encode(response);
    if (request[acceptsCompressedField] !== true || packed.length < minCompressedBytes) return packed;
    return Buffer.concat([Buffer.of(compressedMarker), deflateRawSync(packed, { level: compressionLevel })]);
  },

  decode: decode,
} as const;
