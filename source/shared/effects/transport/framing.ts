import { TransportLimits } from './transport';

export type FrameKind = 'ask' | 'answer';
export type Frame = Readonly<{ kind: FrameKind; last: boolean; number: number; bytes: Buffer }>;
export type FramedMessage = Readonly<{ kind: FrameKind; number: number; bytes: Buffer }>;

const headerBytes = 9;
const responseBit = 1;
const lastFrameBit = 2;

/**
 * Splits messages into frames. A frame is a header of 9 bytes (length of the body, flags, number of the request) and the
 * body.
 */
export const Framing = {
  encode: (kind: FrameKind, number: number, bytes: Buffer): readonly Buffer[] => {
    const count = Math.max(1, Math.ceil(bytes.length / TransportLimits.frameBytes));
    return Array.from({ length: count }, (_, index) => {
      const body = bytes.subarray(index * TransportLimits.frameBytes, (index + 1) * TransportLimits.frameBytes);
      const header = Buffer.alloc(headerBytes);
      header.writeUInt32BE(body.length, 0);
      header.writeUInt8((kind === 'answer' ? responseBit : 0) | (index === count - 1 ? lastFrameBit : 0), 4);
      header.writeUInt32BE(number, 5);
      return Buffer.concat([header, body]);
    });
  },
} as const;

/** Reassembles messages from frames. It throws if a limit is exceeded; the connection is closed then. */
export class FrameReader {
  private buffered: Buffer = Buffer.alloc(0);
  private readonly incompleteMessages = new Map<string, Buffer[]>();
  private incompleteBytes = 0;

  public read(chunk: Buffer): readonly FramedMessage[] {
    this.buffered = this.buffered.length === 0 ? chunk : Buffer.concat([this.buffered, chunk]);
    const messages: FramedMessage[] = [];
    for (;;) {
      if (this.buffered.length < headerBytes) return messages;
      const length = this.buffered.readUInt32BE(0);
      const flags = this.buffered.readUInt8(4);
      // The length is checked before the body is buffered, so that bytes of an untrusted peer cannot make this process
      // allocate memory.
      if (length > TransportLimits.frameBytes || flags > 3) throw new Error('invalid frame header');
      if (this.buffered.length < headerBytes + length) return messages;
      const number = this.buffered.readUInt32BE(5);
      const body = this.buffered.subarray(headerBytes, headerBytes + length);
      this.buffered = this.buffered.subarray(headerBytes + length);
      const message = this.addFrame({
        kind: (flags & responseBit) !== 0 ? 'answer' : 'ask',
        last: (flags & lastFrameBit) !== 0,
        number,
        bytes: body,
      });
      if (message !== undefined) messages.push(message);
    }
  }

  private addFrame(frame: Frame): FramedMessage | undefined {
    const key = `${frame.kind}${frame.number}`;
    const bodies = this.incompleteMessages.get(key) ?? [];
    this.incompleteBytes += frame.bytes.length;
    if (this.incompleteBytes > TransportLimits.messageBytes) throw new Error('message exceeds the size limit');
    if (!frame.last) {
      if (this.incompleteMessages.size >= TransportLimits.openRequests) throw new Error('too many incomplete messages');
      this.incompleteMessages.set(key, [...bodies, Buffer.from(frame.bytes)]);
      return undefined;
    }
    this.incompleteMessages.delete(key);
    const bytes = Buffer.concat([...bodies, frame.bytes]);
    this.incompleteBytes -= bytes.length;
    return { kind: frame.kind, number: frame.number, bytes };
  }
}
