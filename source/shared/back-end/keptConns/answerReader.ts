import { KeepAlive } from './keepAlive';
import type { SendHead } from '../protocol';

export type AnswerEvent =
  | Readonly<{ kind: 'head'; head: SendHead }>
  | Readonly<{ kind: 'part'; bytes: Uint8Array }>
  /** `keepMicroseconds`: how long the conn may wait for its next order; undefined: no hint; 0: not at all. */
  | Readonly<{ kind: 'end'; keepMicroseconds: number | undefined }>
  | Readonly<{ kind: 'broken'; text: string }>;

type Place =
  | Readonly<{ kind: 'head' }>
  | Readonly<{ kind: 'counted'; left: number }>
  | Readonly<{ kind: 'chunkSize' }>
  | Readonly<{ kind: 'chunk'; left: number }>
  | Readonly<{ kind: 'chunkEnd' }>
  | Readonly<{ kind: 'trailers'; bytes: number }>
  | Readonly<{ kind: 'untilClose' }>
  | Readonly<{ kind: 'ended' }>
  | Readonly<{ kind: 'over' }>;

const statusLine = /^HTTP\/1\.([01]) ([1-9]\d\d)(?: [\t\x20-\x7e\x80-\xff]*)?$/;
const headerLine = /^([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[\t ]*([\t\x20-\x7e\x80-\xff]*)$/;
const chunkLine = /^([0-9A-Fa-f]{1,8})[\t ]*(?:;[\t\x20-\x7e\x80-\xff]*)?$/;
const chunkLineMost = 1024;
/** The worth of each letter as a hex digit; -1: it is none. */
const hexDigits: readonly number[] = Array.from({ length: 256 }, (_, letter) => {
  const text = String.fromCharCode(letter);
  return /[0-9A-Fa-f]/.test(text) ? Number.parseInt(text, 16) : -1;
});
/** Heads that come before the answer's own; more of them are no answer. */
const interimMost = 8;
const lineEnd = Buffer.from('\r\n');
const headEnd = Buffer.from('\r\n\r\n');

type HeadRead =
  | Readonly<{ kind: 'read'; version: number; status: number; headers: Readonly<Record<string, string>> }>
  | Readonly<{ kind: 'broken'; text: string }>;

const readHead = (text: string): HeadRead => {
  const [first = '', ...lines] = text.split('\r\n');
  const status = statusLine.exec(first);
  if (status === null) return { kind: 'broken', text: 'the first line is no status' };
  // Why without a prototype: a header may have any name.
  const headers = Object.create(null) as Record<string, string>;
  for (const line of lines) {
    const found = headerLine.exec(line);
    if (found === null) return { kind: 'broken', text: 'a header is no header' };
    const name = (found[1] ?? '').toLowerCase();
    const value = (found[2] ?? '').trimEnd();
    const before = headers[name];
    headers[name] = before === undefined ? value : `${before}, ${value}`;
  }
  return { kind: 'read', version: Number(status[1]), status: Number(status[2]), headers: { ...headers } };
};

/** The length that a head tells; several equal ones are one. */
const lengthIn = (header: string): number | undefined => {
  const lengths = new Set(header.split(',').map((length) => length.trim()));
  const [only = ''] = lengths;
  return lengths.size === 1 && /^\d{1,15}$/.test(only) ? Number(only) : undefined;
};

/**
 * Reads one answer of a back end, strictly: whatever could be read in two ways is broken. It knows no conn and no time;
 * bytes are put in, events are taken out one by one, so that a slow reader can leave the rest where it is.
 */
export class AnswerReader {
  private place: Place = { kind: 'head' };
  private bytes: Buffer = Buffer.alloc(0);
  private interim = 0;
  private keepMicroseconds: number | undefined;

  public constructor(
    private readonly method: string,
    private readonly headBytes: number,
  ) {}

  public push(bytes: Buffer): void {
    this.bytes = this.bytes.length === 0 ? bytes : Buffer.concat([this.bytes, bytes]);
  }

  /** Bytes that were put in and not yet taken out. */
  public get left(): number {
    return this.bytes.length;
  }

  /** The conn's end was seen. Call it only when `next` gives nothing more. */
  public close(): AnswerEvent | undefined {
    if (this.place.kind === 'over') return undefined;
    const whole = this.place.kind === 'untilClose';
    this.place = { kind: 'over' };
    return whole
      ? { kind: 'end', keepMicroseconds: 0 }
      : { kind: 'broken', text: 'the conn closed before the answer was whole' };
  }

  public next(): AnswerEvent | undefined {
    for (;;) {
      const { place } = this;
      switch (place.kind) {
        case 'over':
          return undefined;
        case 'ended':
          this.place = { kind: 'over' };
          return { kind: 'end', keepMicroseconds: this.keepMicroseconds };
        case 'untilClose':
          return this.part(this.bytes.length);
        case 'counted': {
          const event = this.part(place.left);
          if (event !== undefined) {
            const left = place.left - event.bytes.length;
            this.place = left === 0 ? { kind: 'ended' } : { kind: 'counted', left };
          }
          return event;
        }
        case 'chunk': {
          const event = this.part(place.left);
          if (event !== undefined) {
            const left = place.left - event.bytes.length;
            this.place = left === 0 ? { kind: 'chunkEnd' } : { kind: 'chunk', left };
          }
          return event;
        }
        case 'head': {
          const event = this.head();
          if (event !== undefined || this.place === place) return event;
          break;
        }
        case 'chunkSize': {
          const plain = this.plainSize();
          if (plain !== undefined) {
            this.place = plain === 0 ? { kind: 'trailers', bytes: 0 } : { kind: 'chunk', left: plain };
            break;
          }
          const line = this.line(chunkLineMost);
          if (line.kind === 'more') return undefined;
          const found = line.kind === 'line' ? chunkLine.exec(line.text) : null;
          if (found === null) return this.broken('a chunk has no size');
          const size = Number.parseInt(found[1] ?? '', 16);
          this.place = size === 0 ? { kind: 'trailers', bytes: 0 } : { kind: 'chunk', left: size };
          break;
        }
        case 'chunkEnd': {
          if (this.bytes.length < 2) return undefined;
          if (this.bytes[0] !== 13 || this.bytes[1] !== 10) return this.broken('a chunk is longer than its size');
          this.bytes = this.bytes.subarray(2);
          this.place = { kind: 'chunkSize' };
          break;
        }
        case 'trailers': {
          const line = this.line(this.headBytes - place.bytes);
          if (line.kind === 'more') return undefined;
          if (line.kind === 'tooLong') return this.broken('the trailers are too long');
          if (line.text === '') this.place = { kind: 'ended' };
          else if (!headerLine.test(line.text)) return this.broken('a trailer is no header');
          else this.place = { kind: 'trailers', bytes: place.bytes + line.text.length + 2 };
          break;
        }
      }
    }
  }

  /** The size alone, as nearly all chunks have it; undefined: it is not so simple, or not all there. */
  private plainSize(): number | undefined {
    const { bytes } = this;
    let size = 0;
    for (let at = 0; at < 8; at += 1) {
      const letter = bytes[at] ?? 0;
      const digit = hexDigits[letter] ?? -1;
      if (digit >= 0) size = size * 16 + digit;
      else {
        if (at === 0 || letter !== 13 || bytes[at + 1] !== 10) return undefined;
        this.bytes = bytes.subarray(at + 2);
        return size;
      }
    }
    return undefined;
  }

  private part(most: number): Extract<AnswerEvent, { kind: 'part' }> | undefined {
    if (this.bytes.length === 0) return undefined;
    const bytes = this.bytes.subarray(0, most);
    this.bytes = this.bytes.subarray(bytes.length);
    return { kind: 'part', bytes };
  }

  private line(
    most: number,
  ): Readonly<{ kind: 'line'; text: string }> | Readonly<{ kind: 'more' }> | Readonly<{ kind: 'tooLong' }> {
    const end = this.bytes.indexOf(lineEnd);
    if (end > most || (end < 0 && this.bytes.length > most)) return { kind: 'tooLong' };
    if (end < 0) return { kind: 'more' };
    const text = this.bytes.toString('latin1', 0, end);
    this.bytes = this.bytes.subarray(end + 2);
    return { kind: 'line', text };
  }

  private broken(text: string): AnswerEvent {
    this.place = { kind: 'over' };
    return { kind: 'broken', text };
  }

  private head(): AnswerEvent | undefined {
    const end = this.bytes.indexOf(headEnd);
    if (end > this.headBytes || (end < 0 && this.bytes.length > this.headBytes))
      return this.broken('the head is too long');
    if (end < 0) {
      // Why at once: garbage may never have an end, and the caller waits.
      const start = this.bytes.toString('latin1', 0, Math.min(5, this.bytes.length));
      return 'HTTP/'.startsWith(start) ? undefined : this.broken('the first line is no status');
    }
    const read = readHead(this.bytes.toString('latin1', 0, end));
    this.bytes = this.bytes.subarray(end + 4);
    if (read.kind === 'broken') return this.broken(read.text);
    const { status, headers, version } = read;
    if (status < 200) {
      this.interim += 1;
      // Why: nobody asked to go on or to change the protocol, and what comes next could be anything.
      if (status === 100 || status === 101 || this.interim > interimMost)
        return this.broken(`an answer ${status} that nobody asked for`);
      this.place = { kind: 'head' };
      return undefined;
    }
    const length = headers['content-length'];
    const coding = headers['transfer-encoding'];
    const counted = length === undefined ? undefined : lengthIn(length);
    if (length !== undefined && counted === undefined) return this.broken('the length is no length');
    if (coding !== undefined && (length !== undefined || version === 0 || coding.toLowerCase() !== 'chunked'))
      return this.broken('the coding cannot be read');
    const empty = this.method === 'HEAD' || status === 204 || status === 304;
    const framed = empty || counted !== undefined || coding !== undefined;
    this.keepMicroseconds = framed ? KeepAlive.microseconds(version, headers) : 0;
    if (empty || counted === 0) this.place = { kind: 'ended' };
    else if (counted !== undefined) this.place = { kind: 'counted', left: counted };
    else this.place = { kind: coding === undefined ? 'untilClose' : 'chunkSize' };
    return { kind: 'head', head: { status, headers, framed } };
  }
}
