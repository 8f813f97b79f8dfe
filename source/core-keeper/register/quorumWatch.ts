/**
 * Whether a majority of the members still answers this replica's heartbeats. A leader that nobody answers steps down
 * by itself, so that members that still hear it (a link cut one way) look for another leader.
 */
import type { Clock } from '../../shared/effects/clock/clock';
import { Stamps } from '../../shared/register/types';
import type { Log } from '../../shared/log/log';
import type { KeeperCore } from './keeperCore';

export class QuorumWatch {
  private readonly answeredAt = new Map<string, number>();
  private readonly silent = new Set<string>();

  public constructor(
    private readonly core: KeeperCore,
    private readonly clock: Clock,
    /** How long an answer counts. */
    private readonly windowMicroseconds: number,
    private readonly notice: Log = () => undefined,
  ) {}

  /** Says which members have stopped answering, or answer again, since the last look. */
  public look(): void {
    const from = this.clock.nowMicroseconds() - this.windowMicroseconds;
    for (const [name, at] of this.answeredAt) {
      if (at < from && !this.silent.has(name)) {
        this.silent.add(name);
        this.notice(`${name} does not answer heartbeats.`);
      } else if (at >= from && this.silent.delete(name)) this.notice(`${name} answers heartbeats again.`);
    }
  }

  /** A member has answered a heartbeat. */
  public answered(name: string): void {
    this.answeredAt.set(name, this.clock.nowMicroseconds());
  }

  /** A majority of each list answered within the window, or the window since `startMicroseconds` is not over. */
  public isReached(startMicroseconds: number): boolean {
    const from = this.clock.nowMicroseconds() - this.windowMicroseconds;
    if (startMicroseconds > from) return true;
    const answering = [...this.answeredAt].flatMap(([name, at]) => (at >= from ? [name] : []));
    return Stamps.reached(this.core.members().sets, [this.core.name, ...answering]);
  }

  /** For how long each other member has not answered; undefined: it never did. */
  public silenceMicroseconds(): Readonly<Record<string, number | undefined>> {
    const now = this.clock.nowMicroseconds();
    return Object.fromEntries(
      this.core.others().map(([name]) => {
        const at = this.answeredAt.get(name);
        return [name, at === undefined ? undefined : now - at];
      }),
    );
  }
}
