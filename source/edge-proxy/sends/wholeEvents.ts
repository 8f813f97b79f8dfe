const lineFeed = 0x0a;
const carriageReturn = 0x0d;

/** Starting value, ours: an event longer than this is passed on in pieces, and can no longer be taken up after. */
const mostEventBytes = 1024 * 1024;

/**
 * Cuts a series of events at their borders, so that only whole ones are passed on. Why: an answer that breaks off is
 * taken up after the last event that the caller has, and half an event could be neither repeated nor left out.
 */
export class WholeEvents {
  private rest: Buffer = Buffer.alloc(0);
  private last: string | undefined;
  private tooLong = false;

  /** The id of the last whole event that was passed on; undefined: none yet, or it had none. */
  public get lastId(): string | undefined {
    return this.tooLong ? undefined : this.last;
  }

  /** Whether the bytes so far end in the middle of an event. */
  public get isWithinEvent(): boolean {
    return this.rest.length > 0;
  }

  /** Bytes up to the last border, or none. */
  public feed(bytes: Uint8Array): Buffer | undefined {
    const joined = this.rest.length === 0 ? Buffer.from(bytes) : Buffer.concat([this.rest, bytes]);
    const border = WholeEvents.borderIn(joined, Math.max(0, this.rest.length - 3));
    if (border === 0) {
      this.rest = joined;
      if (joined.length <= mostEventBytes) return undefined;
      this.tooLong = true;
      return this.flush();
    }
    this.rest = joined.subarray(border);
    const whole = joined.subarray(0, border);
    this.last = WholeEvents.idIn(whole) ?? this.last;
    return whole;
  }

  /** What is left when the answer has ended well. */
  public flush(): Buffer | undefined {
    const rest = this.rest;
    this.rest = Buffer.alloc(0);
    return rest.length === 0 ? undefined : rest;
  }

  /** The place after the last empty line; 0 where there is none. */
  private static borderIn(bytes: Buffer, from: number): number {
    for (let end = bytes.length - 1; end > from; end -= 1) {
      if (bytes[end] !== lineFeed) continue;
      const before = bytes[end - 1] === carriageReturn ? end - 2 : end - 1;
      if (before >= 0 && bytes[before] === lineFeed) return end + 1;
    }
    return 0;
  }

  private static idIn(whole: Buffer): string | undefined {
    const text = whole.toString('latin1');
    let at = text.lastIndexOf('\nid:');
    if (at < 0) at = text.startsWith('id:') ? -1 : -2;
    if (at === -2) return undefined;
    const start = at + 4;
    const end = text.indexOf('\n', start);
    return text
      .slice(start, end < 0 ? undefined : end)
      .replace(/\r$/, '')
      .replace(/^ /, '');
  }
}
