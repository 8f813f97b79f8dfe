import type { Clock } from '../../shared/effects/clock/clock';
import { KeeperStates } from '../ledger/keeperState';
import type { KeeperCore } from '../register/keeperCore';

export type Ballot = Readonly<{ duty: string; candidate: string; term: number; leaseMicroseconds: number }>;
export type BallotAnswer = Readonly<{
  duty: string;
  granted: boolean;
  term: number;
  holder: string;
  waitMicroseconds: number;
  /** A term that any duty not known here must go above. */
  floor: number;
}>;

/** A candidate with an older list of members learns the present one with its next reading of the core. */
const outdatedMicroseconds = 200_000;

type Lease = Readonly<{ holder: string; term: number; untilMicroseconds: number }>;

const mostLeaseMicroseconds = 10_000_000;
const mostDuties = 4096;

/** Starting values, ours: a duty that nobody asked for so long is forgotten, and how often that is looked at. */
const forgetMicroseconds = 600_000_000;
const forgetLookMicroseconds = 60_000_000;
/** Starting value, ours: agents that were not heard for longer were out of touch, and say nothing of what they hold. */
const quietMicroseconds = 10_000_000;

/**
 * One keeper's vote on duties: at most one holder a duty while a lease it gave runs. Why by the steady time: a boot clock
 * that leaps forward must not let a lease go while its holder still has it.
 */
export class DutyVoter {
  private readonly leases = new Map<string, Lease>();
  /** When each duty was last asked for, since this keeper is in touch with agents. */
  private readonly asked = new Map<string, number>();
  private votesFromMicroseconds: number;
  private inTouchSince = -Infinity;
  private lastHeard = -Infinity;
  private lookedAt = -Infinity;

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

  /**
   * Votes under the list of members that the candidate goes by. One that goes by an older list than this voter is refused:
   * a majority of that list may have nobody in common with one of the present list, and both would grant the same duty.
   */
  public async vote(ballots: readonly Ballot[], membersRevision: number): Promise<readonly BallotAnswer[]> {
    const counted = ballots.slice(0, mostDuties);
    this.heard(counted);
    if (membersRevision < this.core.members().revision) return counted.map((ballot) => this.outdated(ballot));
    const answers = await Promise.all(counted.map((ballot) => this.voteOne(ballot)));
    // Why not waited for: agents wait for the votes, and nothing hangs on when this reaches the disk.
    void this.forget();
    return answers;
  }

  /** A candidate that missed its majority gives its votes back; it never acted under that term. */
  public withdraw(ballots: readonly Pick<Ballot, 'duty' | 'candidate' | 'term'>[]): void {
    for (const { duty, candidate, term } of ballots) {
      const lease = this.leases.get(duty);
      if (lease?.holder === candidate && lease.term === term) this.leases.delete(duty);
    }
  }

  private heard(ballots: readonly Ballot[]): void {
    const now = this.clock.steadyMicroseconds();
    if (now - this.lastHeard > quietMicroseconds) {
      this.inTouchSince = now;
      this.asked.clear();
    }
    this.lastHeard = now;
    for (const { duty } of ballots) this.asked.set(duty, now);
  }

  /**
   * Duties of what is gone for long are forgotten, their highest term is not: each keeper alone, since each only promises for
   * itself. Why by the time it was in touch: after a cut a duty may well be held by the votes of others.
   */
  private async forget(): Promise<void> {
    const now = this.clock.steadyMicroseconds();
    if (now - this.lookedAt < forgetLookMicroseconds || !this.core.votes()) return;
    this.lookedAt = now;
    const duties = Object.keys(this.core.ledger.pending.duties).filter(
      (duty) =>
        now - (this.asked.get(duty) ?? this.inTouchSince) >= forgetMicroseconds &&
        (this.leases.get(duty)?.untilMicroseconds ?? -Infinity) <= now,
    );
    for (const duty of this.asked.keys()) if (duties.includes(duty)) this.asked.delete(duty);
    for (const duty of duties) this.leases.delete(duty);
    // Why the outcome does not matter: as long as it is not on the disk the duties are known as before.
    if (duties.length > 0) await this.core.ledger.write([{ kind: 'dutiesForgotten', duties }]);
  }

  private outdated({ duty }: Ballot): BallotAnswer {
    const { term, holder } = KeeperStates.duty(this.core.ledger.pending, duty);
    const floor = this.core.ledger.pending.dutyFloor;
    return { duty, granted: false, term, holder, waitMicroseconds: outdatedMicroseconds, floor };
  }

  private async voteOne(ballot: Ballot): Promise<BallotAnswer> {
    const now = this.clock.steadyMicroseconds();
    const stored = KeeperStates.duty(this.core.ledger.pending, ballot.duty);
    const floor = this.core.ledger.pending.dutyFloor;
    const no = (waitMicroseconds: number): BallotAnswer => ({
      duty: ballot.duty,
      granted: false,
      term: stored.term,
      holder: stored.holder,
      waitMicroseconds,
      floor,
    });
    if (!this.core.votes()) return no(1_000_000);
    const leaseMicroseconds = Math.min(ballot.leaseMicroseconds, mostLeaseMicroseconds);
    const renewal = stored.holder !== '' && ballot.term === stored.term && ballot.candidate === stored.holder;
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
    const { duty, term, candidate } = ballot;
    return { duty, granted: true, term, holder: candidate, waitMicroseconds: 0, floor };
  }
}
