const lineFeed = 0x0a;
const carriageReturn = 0x0d;

/** A longer event is forwarded in pieces, and the response can no longer be resumed after it. */
const maxEventBytes = 1024 * 1024;

/**
 * Splits a stream of server-sent events at event boundaries, so that only whole events are forwarded. A response that
 * breaks off is resumed after the last event that the client has; half an event could be neither repeated nor left out.
 */
export class ServerSentEventBuffer {
  private buffered: Buffer = Buffer.alloc(0);
  private lastEventId: string | undefined;
  private hasOversizedEvent = false;

  /** The id of the last whole event that was forwarded; undefined if there is none or an event was too long. */
  public get lastId(): string | undefined {
    return this.hasOversizedEvent ? undefined : this.lastEventId;
  }

  /** Whether the stream so far ends in the middle of an event. */
  public get isWithinEvent(): boolean {
    return this.buffered.length > 0;
  }

  /** Adds bytes and returns those up to the last event boundary, if any. */
  public append(bytes: Uint8Array): Buffer | undefined {
    const joined = this.buffered.length === 0 ? Buffer.from(bytes) : Buffer.concat([this.buffered, bytes]);
    const boundaryIndex = ServerSentEventBuffer.boundaryIn(joined, Math.max(0, this.buffered.length - 3));
    if (boundaryIndex === 0) {
      this.buffered = joined;
      if (joined.length <= maxEventBytes) return undefined;
      this.hasOversizedEvent = true;
      return this.flush();
    }
    this.buffered = joined.subarray(boundaryIndex);
    const complete = joined.subarray(0, boundaryIndex);
    this.lastEventId = ServerSentEventBuffer.lastIdIn(complete) ?? this.lastEventId;
    return complete;
  }

  /** Returns the remaining bytes when the response has ended normally. */
  public flush(): Buffer | undefined {
    const rest = this.buffered;
    this.buffered = Buffer.alloc(0);
    return rest.length === 0 ? undefined : rest;
  }

  /** The index after the last empty line; 0 if there is none. */
  private static boundaryIn(bytes: Buffer, from: number): number {
    for (let end = bytes.length - 1; end > from; end -= 1) {
      if (bytes[end] !== lineFeed) continue;
      const before = bytes[end - 1] === carriageReturn ? end - 2 : end - 1;
      if (before >= 0 && bytes[before] === lineFeed) return end + 1;
    }
    return 0;
  }

  private static lastIdIn(whole: Buffer): string | undefined {
    const text = whole.toString('latin1');
    let idIndex = text.lastIndexOf('\nid:');
    if (idIndex < 0) idIndex = text.startsWith('id:') ? -1 : -2;
    if (idIndex === -2) return undefined;
    const start = idIndex + 4;
    const end = text.indexOf('\n', start);
    return text
      .slice(start, end < 0 ? undefined : end)
      .replace(/\r$/, '')
      .replace(/^ /, '');
  }
}
