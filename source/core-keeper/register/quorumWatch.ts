import type { Clock } from '../../shared/effects/clock/clock';
import { Stamps } from '../../shared/register/types';
import type { Log } from '../../shared/log/log';
import type { ReplicaCore } from './replicaCore';

/**
 * Tracks whether a majority of the members still answers this replica's heartbeats. A leader without a majority steps down by itself,
 * so that members that still receive its heartbeats (over a link cut in one direction) elect another leader.
 */
export class QuorumWatch {
  private readonly answeredAt = new Map<string, number>();
  private readonly unresponsiveMembers = new Set<string>();

  public constructor(
    private readonly core: ReplicaCore,
    private readonly clock: Clock,
    /** How long an answer to a heartbeat counts. */
    private readonly windowMicroseconds: number,
    private readonly log: Log = () => undefined,
  ) {}

  /** Logs which members have stopped answering, or answer again, since the last call. */
  public logChanges(): void {
    const windowStartMicroseconds = this.clock.nowMicroseconds() - this.windowMicroseconds;
    for (const [name, at] of this.answeredAt) {
      if (at < windowStartMicroseconds && !this.unresponsiveMembers.has(name)) {
        this.unresponsiveMembers.add(name);
        this.log(`${name} does not answer heartbeats.`);
      } else if (at >= windowStartMicroseconds && this.unresponsiveMembers.delete(name))
        this.log(`${name} answers heartbeats again.`);
    }
  }

  /** Records that a member has answered a heartbeat. */
  public recordAnswer(name: string): void {
    this.answeredAt.set(name, this.clock.nowMicroseconds());
  }

  /** Whether a majority of each member list answered within the window, or the window since `startMicroseconds` has not ended. */
  public hasQuorum(startMicroseconds: number): boolean {
    const windowStartMicroseconds = this.clock.nowMicroseconds() - this.windowMicroseconds;
    if (startMicroseconds > windowStartMicroseconds) return true;
    const answering = [...this.answeredAt].flatMap(([name, at]) => (at >= windowStartMicroseconds ? [name] : []));
    return Stamps.hasMajority(this.core.members().sets, [this.core.name, ...answering]);
  }

  /** How long each other member has not answered; undefined if it never has. */
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
