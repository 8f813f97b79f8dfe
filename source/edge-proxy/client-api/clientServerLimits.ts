import type { ClientLimits } from '../../shared/configuration/types';
import type { HttpLimits } from '../../shared/http/httpLimits';

/** Added to the announced idle timeout, so that client and server never close a connection at the same moment. */
const idleMarginMicroseconds = 1_000_000;

/** Limits on clients: the operators' where they set them, else the defaults of the program. */
export class ClientServerLimits {
  private appliedLimits: ClientLimits | undefined;
  private effective: HttpLimits;

  public constructor(
    private readonly defaults: HttpLimits,
    private readonly defaultBodyBytes: number,
    private readonly operatorLimits: () => ClientLimits | undefined,
  ) {
    this.effective = defaults;
  }

  /** Returns the same object until the operators' limits change. */
  public httpLimits(): HttpLimits {
    const limits = this.operatorLimits();
    if (limits !== this.appliedLimits) {
      this.appliedLimits = limits;
      const { defaults } = this;
      this.effective = {
        ...defaults,
        headBytes: limits?.headBytes || defaults.headBytes,
        headMicroseconds: limits?.headMicroseconds || defaults.headMicroseconds,
        ...(limits?.idleMicroseconds ? { idleMicroseconds: limits.idleMicroseconds + idleMarginMicroseconds } : {}),
      };
    }
    return this.effective;
  }

  public bodyBytes(): number {
    return this.operatorLimits()?.bodyBytes || this.defaultBodyBytes;
  }

  /** Idle timeout announced to clients in whole seconds; undefined if none is announced. */
  public idleSeconds(): number | undefined {
    const idleMicroseconds = this.operatorLimits()?.idleMicroseconds;
    return idleMicroseconds === undefined || idleMicroseconds < 1_000_000
      ? undefined
      : Math.floor(idleMicroseconds / 1_000_000);
  }
}
