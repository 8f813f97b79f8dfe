import type { Clock } from '../../shared/effects/clock/clock';

/** Starting value, ours: how long an engine's word that it is full may stand without fresher news. */
const fullMicroseconds = 300_000;

/** Starting value, ours: how long an engine that a send did not find is left alone without fresher news. */
const absentMicroseconds = 500_000;

type Full = Readonly<{ version: string; own: number; at: number }>;
type Absent = Readonly<{ version: string; at: number }>;

/** What engines said to sends that they did not run: that they are full, or that they are not the one that was meant. */
export class EngineRefusals {
  private readonly full = new Map<string, Full>();
  private readonly absent = new Map<string, Absent>();

  public constructor(
    private readonly clock: Clock,
    /** Version of the steward's word on an engine. */
    private readonly versionOf: (engine: string) => string,
    private readonly ownAt: (engine: string) => number,
  ) {}

  public get hasFull(): boolean {
    return this.full.size > 0;
  }

  public get hasAbsent(): boolean {
    return this.absent.size > 0;
  }

  /**
   * The engine's own word to a send that it has no room. It stands until there is fresher news of that engine, or an own
   * order ended there. Why without the send that was told so: it still counts as in flight, and its end makes no room.
   */
  public saidFull(engine: string): void {
    this.full.set(engine, {
      version: this.versionOf(engine),
      own: this.ownAt(engine) - 1,
      at: this.clock.nowMicroseconds(),
    });
  }

  /** At its address nobody is there, or another one. It stands as long as the word that an engine is full. */
  public saidAbsent(engine: string): void {
    this.absent.set(engine, { version: this.versionOf(engine), at: this.clock.nowMicroseconds() });
  }

  public isFull(engine: string): boolean {
    const said = this.full.get(engine);
    if (said === undefined) return false;
    // Why any of three: an own order that ended made room, the steward has looked since, or the word is simply old.
    const old = this.clock.nowMicroseconds() - said.at > fullMicroseconds;
    if (!old && said.version === this.versionOf(engine) && this.ownAt(engine) >= said.own) return true;
    this.full.delete(engine);
    return false;
  }

  public isAbsent(engine: string): boolean {
    const said = this.absent.get(engine);
    if (said === undefined) return false;
    // Why not for long: it may have been this proxy's link, and the steward sees more than one send.
    if (this.clock.nowMicroseconds() - said.at < absentMicroseconds && said.version === this.versionOf(engine))
      return true;
    this.absent.delete(engine);
    return false;
  }

  /** Drops what no longer stands. Why: the word on an engine that has left the list is asked for by nobody. */
  public review(): void {
    for (const engine of this.full.keys()) this.isFull(engine);
    for (const engine of this.absent.keys()) this.isAbsent(engine);
  }
}
