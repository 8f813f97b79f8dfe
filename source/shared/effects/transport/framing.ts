import { TransportLimits } from './transport';

export type FrameKind = 'ask' | 'answer';
export type Part = Readonly<{ kind: FrameKind; last: boolean; number: number; bytes: Buffer }>;
export type Whole = Readonly<{ kind: FrameKind; number: number; bytes: Buffer }>;

const headBytes = 9;
const kindBit = 1;
const lastBit = 2;

export const Framing = {
  split: (kind: FrameKind, number: number, bytes: Buffer): readonly Buffer[] => {
    const count = Math.max(1, Math.ceil(bytes.length / TransportLimits.partBytes));
    return Array.from({ length: count }, (_, index) => {
      const body = bytes.subarray(index * TransportLimits.partBytes, (index + 1) * TransportLimits.partBytes);
      const head = Buffer.alloc(headBytes);
      head.writeUInt32BE(body.length, 0);
      head.writeUInt8((kind === 'answer' ? kindBit : 0) | (index === count - 1 ? lastBit : 0), 4);
      head.writeUInt32BE(number, 5);
      return Buffer.concat([head, body]);
    });
  },
} as const;

/** Puts parts together again. Throws on anything out of bounds; the conn is then closed. */
export class FrameReader {
  private rest: Buffer = Buffer.alloc(0);
  private readonly open = new Map<string, Buffer[]>();
  private openBytes = 0;

  public read(chunk: Buffer): readonly Whole[] {
    this.rest = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
    const wholes: Whole[] = [];
    for (;;) {
      if (this.rest.length < headBytes) return wholes;
      const length = this.rest.readUInt32BE(0);
      const flags = this.rest.readUInt8(4);
      // Why refuse here: a stranger's bytes must not make us reserve memory.
      if (length > TransportLimits.partBytes || flags > 3) throw new Error('part out of bounds');
      if (this.rest.length < headBytes + length) return wholes;
      const number = this.rest.readUInt32BE(5);
      const body = this.rest.subarray(headBytes, headBytes + length);
      this.rest = this.rest.subarray(headBytes + length);
      const whole = this.join({
        kind: (flags & kindBit) !== 0 ? 'answer' : 'ask',
        last: (flags & lastBit) !== 0,
        number,
        bytes: body,
      });
      if (whole !== undefined) wholes.push(whole);
    }
  }

  private join(part: Part): Whole | undefined {
    const name = `${part.kind}${part.number}`;
    const parts = this.open.get(name) ?? [];
    this.openBytes += part.bytes.length;
    if (this.openBytes > TransportLimits.messageBytes) throw new Error('message too long');
    if (!part.last) {
      if (this.open.size >= TransportLimits.openAsks) throw new Error('too many open messages');
      this.open.set(name, [...parts, Buffer.from(part.bytes)]);
      return undefined;
    }
    this.open.delete(name);
    const bytes = Buffer.concat([...parts, part.bytes]);
    this.openBytes -= bytes.length;
    return { kind: part.kind, number: part.number, bytes };
  }
}
