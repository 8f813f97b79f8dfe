import { KeepAlive } from './keepAlive';
import type { BackEndResponseHead } from '../protocol';

/** An element of a response in the order of the bytes. */
export type ResponseEvent =
  | Readonly<{ kind: 'head'; head: BackEndResponseHead }>
  | Readonly<{ kind: 'part'; bytes: Uint8Array }>
  /** `keepMicroseconds`: how long the connection may be idle; undefined: not stated; 0: it must not be reused. */
  | Readonly<{ kind: 'end'; keepMicroseconds: number | undefined }>
  | Readonly<{ kind: 'broken'; text: string }>;

type ParserState =
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
const maxChunkLineBytes = 1024;
/** Value of each byte as a hex digit; -1: not a hex digit. */
const hexDigits: readonly number[] = Array.from({ length: 256 }, (_, byte) => {
  const text = String.fromCharCode(byte);
  return /[0-9A-Fa-f]/.test(text) ? Number.parseInt(text, 16) : -1;
});
/** Most interim (1xx) heads before the final one; with more of them the response is invalid. */
const maxInterimHeads = 8;
const lineEnd = Buffer.from('\r\n');
const headEnd = Buffer.from('\r\n\r\n');

type ParsedHead =
  | Readonly<{ kind: 'read'; version: number; status: number; headers: Readonly<Record<string, string>> }>
  | Readonly<{ kind: 'broken'; text: string }>;

const parseHead = (text: string): ParsedHead => {
  const [first = '', ...lines] = text.split('\r\n');
  const status = statusLine.exec(first);
  if (status === null) return { kind: 'broken', text: 'invalid status line' };
  // The object has no prototype because a header may have any name.
  const headers = Object.create(null) as Record<string, string>;
  for (const line of lines) {
    const found = headerLine.exec(line);
    if (found === null) return { kind: 'broken', text: 'invalid header line' };
    const name = (found[1] ?? '').toLowerCase();
    const value = (found[2] ?? '').trimEnd();
    const existing = headers[name];
    headers[name] = existing === undefined ? value : `${existing}, ${value}`;
  }
  return { kind: 'read', version: Number(status[1]), status: Number(status[2]), headers: { ...headers } };
};

/** Parses a Content-Length header. Repeated equal values count as one; differing values are invalid. */
const parseContentLength = (header: string): number | undefined => {
  const lengths = new Set(header.split(',').map((length) => length.trim()));
  const [only = ''] = lengths;
  return lengths.size === 1 && /^\d{1,15}$/.test(only) ? Number(only) : undefined;
};

/**
 * Parses one HTTP/1 response of a back end, strictly: anything ambiguous is broken. It depends on neither socket nor
 * clock. Bytes are pushed in and events are pulled out one by one, so that a slow consumer can leave the rest buffered.
 */
export class ResponseParser {
  private parserState: ParserState = { kind: 'head' };
  private buffer: Buffer = Buffer.alloc(0);
  private interimHeads = 0;
  private keepMicroseconds: number | undefined;

  public constructor(
    private readonly method: string,
    private readonly maxHeadBytes: number,
  ) {}

  public push(bytes: Buffer): void {
    this.buffer = this.buffer.length === 0 ? bytes : Buffer.concat([this.buffer, bytes]);
  }

  /** Number of buffered bytes. */
  public get bufferedBytes(): number {
    return this.buffer.length;
  }

  /** Handles the end of the connection. Must be called only when `next` returns undefined. */
  public close(): ResponseEvent | undefined {
    if (this.parserState.kind === 'over') return undefined;
    const isComplete = this.parserState.kind === 'untilClose';
    this.parserState = { kind: 'over' };
    return isComplete
      ? { kind: 'end', keepMicroseconds: 0 }
      : { kind: 'broken', text: 'the connection closed before the response was complete' };
  }

  public next(): ResponseEvent | undefined {
    for (;;) {
      const { parserState } = this;
      switch (parserState.kind) {
        case 'over':
          return undefined;
        case 'ended':
          this.parserState = { kind: 'over' };
          return { kind: 'end', keepMicroseconds: this.keepMicroseconds };
        case 'untilClose':
          return this.takeBodyBytes(this.buffer.length);
        case 'counted': {
          const event = this.takeBodyBytes(parserState.left);
          if (event !== undefined) {
            const left = parserState.left - event.bytes.length;
            this.parserState = left === 0 ? { kind: 'ended' } : { kind: 'counted', left };
          }
          return event;
        }
        case 'chunk': {
          const event = this.takeBodyBytes(parserState.left);
          if (event !== undefined) {
            const left = parserState.left - event.bytes.length;
            this.parserState = left === 0 ? { kind: 'chunkEnd' } : { kind: 'chunk', left };
          }
          return event;
        }
        case 'head': {
          const event = this.head();
          if (event !== undefined || this.parserState === parserState) return event;
          break;
        }
        case 'chunkSize': {
          const plain = this.takePlainChunkSize();
          if (plain !== undefined) {
            this.parserState = plain === 0 ? { kind: 'trailers', bytes: 0 } : { kind: 'chunk', left: plain };
            break;
          }
          const line = this.takeLine(maxChunkLineBytes);
          if (line.kind === 'more') return undefined;
          const found = line.kind === 'line' ? chunkLine.exec(line.text) : null;
          if (found === null) return this.fail('invalid chunk size');
          const size = Number.parseInt(found[1] ?? '', 16);
          this.parserState = size === 0 ? { kind: 'trailers', bytes: 0 } : { kind: 'chunk', left: size };
          break;
        }
        case 'chunkEnd': {
          if (this.buffer.length < 2) return undefined;
          if (this.buffer[0] !== 13 || this.buffer[1] !== 10) return this.fail('chunk is longer than its size');
          this.buffer = this.buffer.subarray(2);
          this.parserState = { kind: 'chunkSize' };
          break;
        }
        case 'trailers': {
          const line = this.takeLine(this.maxHeadBytes - parserState.bytes);
          if (line.kind === 'more') return undefined;
          if (line.kind === 'tooLong') return this.fail('trailers exceed the size limit');
          if (line.text === '') this.parserState = { kind: 'ended' };
          else if (!headerLine.test(line.text)) return this.fail('invalid trailer line');
          else this.parserState = { kind: 'trailers', bytes: parserState.bytes + line.text.length + 2 };
          break;
        }
      }
    }
  }

  /**
   * Fast path for a chunk size without an extension, which nearly all chunks have. Undefined: the line has another form
   * or is incomplete.
   */
  private takePlainChunkSize(): number | undefined {
    const { buffer: bytes } = this;
    let size = 0;
    for (let at = 0; at < 8; at += 1) {
      const byte = bytes[at] ?? 0;
      const digit = hexDigits[byte] ?? -1;
      if (digit >= 0) size = size * 16 + digit;
      else {
        if (at === 0 || byte !== 13 || bytes[at + 1] !== 10) return undefined;
        this.buffer = bytes.subarray(at + 2);
        return size;
      }
    }
    return undefined;
  }

  private takeBodyBytes(maxBytes: number): Extract<ResponseEvent, { kind: 'part' }> | undefined {
    if (this.buffer.length === 0) return undefined;
    const bytes = this.buffer.subarray(0, maxBytes);
    this.buffer = this.buffer.subarray(bytes.length);
    return { kind: 'part', bytes };
  }

  private takeLine(
    maxBytes: number,
  ): Readonly<{ kind: 'line'; text: string }> | Readonly<{ kind: 'more' }> | Readonly<{ kind: 'tooLong' }> {
    const end = this.buffer.indexOf(lineEnd);
    if (end > maxBytes || (end < 0 && this.buffer.length > maxBytes)) return { kind: 'tooLong' };
    if (end < 0) return { kind: 'more' };
    const text = this.buffer.toString('latin1', 0, end);
    this.buffer = this.buffer.subarray(end + 2);
    return { kind: 'line', text };
  }

  private fail(text: string): ResponseEvent {
    this.parserState = { kind: 'over' };
    return { kind: 'broken', text };
  }

  private head(): ResponseEvent | undefined {
    const end = this.buffer.indexOf(headEnd);
    if (end > this.maxHeadBytes || (end < 0 && this.buffer.length > this.maxHeadBytes))
      return this.fail('head exceeds the size limit');
    if (end < 0) {
      // An invalid start is rejected at once: garbage may never contain the end of a head, and the client is waiting.
      const start = this.buffer.toString('latin1', 0, Math.min(5, this.buffer.length));
      return 'HTTP/'.startsWith(start) ? undefined : this.fail('invalid status line');
    }
    const parsed = parseHead(this.buffer.toString('latin1', 0, end));
    this.buffer = this.buffer.subarray(end + 4);
    if (parsed.kind === 'broken') return this.fail(parsed.text);
    const { status, headers, version } = parsed;
    if (status < 200) {
      this.interimHeads += 1;
      // The request asked for neither 100 Continue nor a protocol switch, so the bytes that follow cannot be trusted.
      if (status === 100 || status === 101 || this.interimHeads > maxInterimHeads)
        return this.fail(`unexpected interim response ${status}`);
      this.parserState = { kind: 'head' };
      return undefined;
    }
    const length = headers['content-length'];
    const coding = headers['transfer-encoding'];
    const contentLength = length === undefined ? undefined : parseContentLength(length);
    if (length !== undefined && contentLength === undefined) return this.fail('invalid content length');
    if (coding !== undefined && (length !== undefined || version === 0 || coding.toLowerCase() !== 'chunked'))
      return this.fail('unsupported transfer encoding');
    const empty = this.method === 'HEAD' || status === 204 || status === 304;
    const framed = empty || contentLength !== undefined || coding !== undefined;
    this.keepMicroseconds = framed ? KeepAlive.timeoutMicroseconds(version, headers) : 0;
    if (empty || contentLength === 0) this.parserState = { kind: 'ended' };
    else if (contentLength !== undefined) this.parserState = { kind: 'counted', left: contentLength };
    else this.parserState = { kind: coding === undefined ? 'untilClose' : 'chunkSize' };
    return { kind: 'head', head: { status, headers, framed } };
  }
}
