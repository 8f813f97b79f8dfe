/**
 * Whether a majority of the members still answers this replica's heartbeats. A leader that nobody answers steps down
 * by itself, so that members that still hear it (a link cut one way) look for another leader.
 */
import type { Clock } from '../../shared/effects/clock/clock';
import { Stamps } from '../../shared/register/types';
import type { KeeperCore } from './keeperCore';

export class QuorumWatch {
  private readonly answeredAt = new Map<string, number>();

  public constructor(
    private readonly core: KeeperCore,
    private readonly clock: Clock,
    /** How long an answer counts. */
    private readonly windowMicroseconds: number,
  ) {}

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
