import type { Clock } from '../../shared/effects/clock/clock';
import type { KeeperCore } from '../register/keeperCore';

export type Ballot = Readonly<{ duty: string; candidate: string; term: number; leaseMicroseconds: number }>;
export type BallotAnswer = Readonly<{
  duty: string;
  granted: boolean;
  term: number;
  holder: string;
  waitMicroseconds: number;
}>;

type Lease = Readonly<{ holder: string; term: number; untilMicroseconds: number }>;

const mostLeaseMicroseconds = 10_000_000;
const mostDuties = 4096;

/**
 * One keeper's vote on duties: at most one holder a duty while a lease it gave runs. Why by the steady time: a boot clock
 * that leaps forward must not let a lease go while its holder still has it.
 */
export class DutyVoter {
  private readonly leases = new Map<string, Lease>();
  private votesFromMicroseconds: number;

  public constructor(
    private readonly core: KeeperCore,
    private readonly clock: Clock,
  ) {
    this.votesFromMicroseconds = clock.steadyMicroseconds();
  }

  /** Why wait: a keeper that restarted, or joined anew, has forgotten which leases it gave. */
  public waitOneLease(leaseMicroseconds: number): void {
    this.votesFromMicroseconds = this.clock.steadyMicroseconds() + leaseMicroseconds;
  }

  public holders(): Readonly<Record<string, Readonly<{ holder: string; term: number; leftMicroseconds: number }>>> {
    const now = this.clock.steadyMicroseconds();
    return Object.fromEntries(
      [...this.leases].map(([duty, lease]) => [
        duty,
        { holder: lease.holder, term: lease.term, leftMicroseconds: Math.max(0, lease.untilMicroseconds - now) },
      ]),
    );
  }

  public async vote(ballots: readonly Ballot[]): Promise<readonly BallotAnswer[]> {
    return Promise.all(ballots.slice(0, mostDuties).map((ballot) => this.voteOne(ballot)));
  }

  /** A candidate that missed its majority gives its votes back; it never acted under that term. */
  public withdraw(ballots: readonly Pick<Ballot, 'duty' | 'candidate' | 'term'>[]): void {
    for (const { duty, candidate, term } of ballots) {
      const lease = this.leases.get(duty);
      if (lease?.holder === candidate && lease.term === term) this.leases.delete(duty);
    }
  }

  private async voteOne(ballot: Ballot): Promise<BallotAnswer> {
    const now = this.clock.steadyMicroseconds();
    const stored = this.core.ledger.pending.duties[ballot.duty] ?? { term: 0, holder: '' };
    const no = (waitMicroseconds: number): BallotAnswer => ({
      duty: ballot.duty,
      granted: false,
      term: stored.term,
      holder: stored.holder,
      waitMicroseconds,
    });
    if (!this.core.votes()) return no(1_000_000);
    const leaseMicroseconds = Math.min(ballot.leaseMicroseconds, mostLeaseMicroseconds);
    const renewal = ballot.term === stored.term && ballot.candidate === stored.holder;
    // Why a renewal is fine while waiting: it asks for nothing that another could hold.
    if (now < this.votesFromMicroseconds && !renewal) return no(this.votesFromMicroseconds - now);
    const lease = this.leases.get(ballot.duty);
    if (lease !== undefined && lease.holder !== ballot.candidate && lease.untilMicroseconds > now)
      return no(lease.untilMicroseconds - now);
    if (!renewal) {
      if (ballot.term <= stored.term) return no(0);
      const written = await this.core.ledger.write([
        { kind: 'dutyGranted', duty: ballot.duty, term: ballot.term, holder: ballot.candidate },
      ]);
      if (written !== 'synced') return no(1_000_000);
      // Why look again: while the disk wrote, a later ballot may have taken the duty further.
      const after = this.core.ledger.pending.duties[ballot.duty];
      if (after?.term !== ballot.term) return no(0);
    }
    this.leases.set(ballot.duty, {
      holder: ballot.candidate,
      term: ballot.term,
      untilMicroseconds: this.clock.steadyMicroseconds() + leaseMicroseconds,
    });
    return { duty: ballot.duty, granted: true, term: ballot.term, holder: ballot.candidate, waitMicroseconds: 0 };
  }
}
