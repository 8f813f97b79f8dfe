import type { CallerLimits } from '../../shared/blueprint/types';
import type { HttpLimits } from '../../shared/http/httpLimits';

/** Longer than the time that callers are told, so that both never end at the same moment. */
const idleMarginMicroseconds = 1_000_000;

/** The operators' limits on callers where there are some, else the program's own. */
export class DoorLimits {
  private seen: CallerLimits | undefined;
  private present: HttpLimits;

  public constructor(
    private readonly own: HttpLimits,
    private readonly ownBodyBytes: number,
    private readonly said: () => CallerLimits | undefined,
  ) {
    this.present = own;
  }

  /** The same object as long as nothing changed. */
  public http(): HttpLimits {
    const said = this.said();
    if (said !== this.seen) {
      this.seen = said;
      const { own } = this;
      this.present = {
        ...own,
        headBytes: said?.headBytes || own.headBytes,
        headMicroseconds: said?.headMicroseconds || own.headMicroseconds,
        ...(said?.idleMicroseconds ? { idleMicroseconds: said.idleMicroseconds + idleMarginMicroseconds } : {}),
      };
    }
    return this.present;
  }

  public bodyBytes(): number {
    return this.said()?.bodyBytes || this.ownBodyBytes;
  }

  /** What callers are told of how long an idle conn stands; undefined: nothing. */
  public idleSeconds(): number | undefined {
    const micros = this.said()?.idleMicroseconds;
    return micros === undefined || micros < 1_000_000 ? undefined : Math.floor(micros / 1_000_000);
  }
}
