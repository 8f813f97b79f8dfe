import type { Clock } from '../../shared/effects/clock/clock';

/** How long an engine counts as full after it has reported so, without newer information. */
const fullExpiryMicroseconds = 300_000;

/** How long an engine counts as absent after a send did not reach it, without newer information. */
const absentExpiryMicroseconds = 500_000;

/** State when the engine refused: version of its report, other sends of this proxy, and time. */
type Full = Readonly<{ version: string; own: number; at: number }>;
type Absent = Readonly<{ version: string; at: number }>;

/** Remembers engines that refused a send without running it: because they are full, or because the address is no longer theirs. */
export class EngineRefusals {
  private readonly full = new Map<string, Full>();
  private readonly absent = new Map<string, Absent>();

  public constructor(
    private readonly clock: Clock,
    /** Version of the monitoring agent's report on an engine. */
    private readonly versionOf: (engine: string) => string,
    /** Number of sends of this proxy in flight at an engine. */
    private readonly ownSendsAt: (engine: string) => number,
  ) {}

  public get hasFull(): boolean {
    return this.full.size > 0;
  }

  public get hasAbsent(): boolean {
    return this.absent.size > 0;
  }

  /**
   * Records that an engine refused a send because it is full. This holds until there is newer information about the engine or
   * one of this proxy's requests ends there. The refused send itself is not counted: it is still in flight, but its end frees no
   * capacity.
   */
  public markFull(engine: string): void {
    this.full.set(engine, {
      version: this.versionOf(engine),
      own: this.ownSendsAt(engine) - 1,
      at: this.clock.nowMicroseconds(),
    });
  }

  /** Records that nothing, or another engine, answers at its address. This holds until newer information or until it expires. */
  public markAbsent(engine: string): void {
    this.absent.set(engine, { version: this.versionOf(engine), at: this.clock.nowMicroseconds() });
  }

  public isFull(engine: string): boolean {
    const report = this.full.get(engine);
    if (report === undefined) return false;
    // Any of three things ends it: a request of this proxy ended there, the agent has reported since, or it has expired.
    const isExpired = this.clock.nowMicroseconds() - report.at > fullExpiryMicroseconds;
    if (!isExpired && report.version === this.versionOf(engine) && this.ownSendsAt(engine) >= report.own) return true;
    this.full.delete(engine);
    return false;
  }

  public isAbsent(engine: string): boolean {
    const report = this.absent.get(engine);
    if (report === undefined) return false;
    // Expires soon because the fault may be this proxy's own link, and the monitoring agent sees more than one send.
    if (
      this.clock.nowMicroseconds() - report.at < absentExpiryMicroseconds &&
      report.version === this.versionOf(engine)
    )
      return true;
    this.absent.delete(engine);
    return false;
  }

  /** Drops expired entries, because nothing looks up those of engines that have left the list. */
  public dropExpired(): void {
    for (const engine of this.full.keys()) this.isFull(engine);
    for (const engine of this.absent.keys()) this.isAbsent(engine);
  }
}
