import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { pack, unpack } from 'msgpackr';
import { Messages, TransportLimits, type Message } from './transport';

/** Begins a deflated payload; no packed message begins with it. */
const deflatedMark = 0xc1;

/** Shorter answers are sent as they are: they gain little. */
const leastDeflatedBytes = 1024;
const deflateLevel = 3;

/** The field of an ask that says that its answer may come deflated; daemons of earlier builds do not know it. */
const takesDeflated = 'takesDeflated';

const plain = (message: Message): Buffer => pack(message);

/** Throws on anything that is not a message, or is longer than one may be. */
const read = (bytes: Buffer): Message => {
  const packed =
    bytes[0] === deflatedMark
      ? inflateRawSync(bytes.subarray(1), { maxOutputLength: TransportLimits.messageBytes })
      : bytes;
  const message: unknown = unpack(packed);
  if (!Messages.is(message)) throw new Error('not a message');
  return message;
};

/** The bytes of asks and answers. Long answers are deflated: most of what an agent says to all its proxies is text that repeats. */
export const Payloads = {
  ofAsk: (message: Message): Buffer => plain({ ...message, [takesDeflated]: true }),

  ofAnswer: (answer: Message, ask: Message): Buffer => {
    const packed = plain(answer);
    if (ask[takesDeflated] !== true || packed.length < leastDeflatedBytes) return packed;
    return Buffer.concat([Buffer.of(deflatedMark), deflateRawSync(packed, { level: deflateLevel })]);
  },

  read,
} as const;
