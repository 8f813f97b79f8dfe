import type { Clock } from '../../shared/effects/clock/clock';
import { ReplicaStates } from '../write-ahead-log/replicaState';
import type { ReplicaCore } from '../register/replicaCore';

/** A candidate's request to be granted, or to renew, the lease of a duty under `term`. */
export type LeaseRequest = Readonly<{ duty: string; candidate: string; term: number; leaseMicroseconds: number }>;
/** The vote of one replica, with the highest term and the holder that it knows for this duty. */
export type LeaseVote = Readonly<{
  duty: string;
  granted: boolean;
  term: number;
  holder: string;
  waitMicroseconds: number;
  /** A duty that this replica does not list needs a term above this one. */
  floor: number;
}>;

/** Retry delay for a candidate with an outdated member list: it gets the current list when it next reads from the control nodes. */
const outdatedMembersRetryMicroseconds = 200_000;

type Lease = Readonly<{ holder: string; term: number; untilMicroseconds: number }>;

/** Upper limit of a granted lease; a longer request is shortened to it. */
const maxLeaseMicroseconds = 10_000_000;
const maxRequestsPerMessage = 4096;

/** A duty that nobody requests for this time is removed from the state. */
const retentionMicroseconds = 600_000_000;
const pruneIntervalMicroseconds = 60_000_000;
/** After a longer gap without requests this replica counts as cut off from the agents, so missing requests prove nothing. */
const contactGapMicroseconds = 10_000_000;

/**
 * One replica's votes on leases: it grants each duty to at most one holder until the granted lease expires. Expiry uses the steady
 * clock because a boot clock that jumps forward would end a lease that its holder still uses.
 */
export class LeaseVoter {
  private readonly leases = new Map<string, Lease>();
  /** Time of the last request for each duty during the current period of contact with agents. */
  private readonly requestedAt = new Map<string, number>();
  private votesFromMicroseconds: number;
  private contactSince = -Infinity;
  private lastContact = -Infinity;
  private lastPruned = -Infinity;

  public constructor(
    private readonly core: ReplicaCore,
    private readonly clock: Clock,
  ) {
    this.votesFromMicroseconds = clock.steadyMicroseconds();
  }

  /** Delays new grants by one lease term: a replica that restarted or rejoined does not know which leases it granted before. */
  public delayGrants(leaseMicroseconds: number): void {
    this.votesFromMicroseconds = this.clock.steadyMicroseconds() + leaseMicroseconds;
  }

  /** The granted leases by duty, with the time left of each. */
  public grantedLeases(): Readonly<
    Record<string, Readonly<{ holder: string; term: number; leftMicroseconds: number }>>
  > {
    const now = this.clock.steadyMicroseconds();
    return Object.fromEntries(
      [...this.leases].map(([duty, lease]) => [
        duty,
        { holder: lease.holder, term: lease.term, leftMicroseconds: Math.max(0, lease.untilMicroseconds - now) },
      ]),
    );
  }

  /**
   * Votes on a batch of lease requests. A candidate that uses an older member list than this replica is refused: a majority of the old
   * list and a majority of the current list may be disjoint, and both could grant the same duty.
   */
  public async vote(requests: readonly LeaseRequest[], membersRevision: number): Promise<readonly LeaseVote[]> {
    const counted = requests.slice(0, maxRequestsPerMessage);
    this.recordRequests(counted);
    if (membersRevision < this.core.members().revision) return counted.map((request) => this.refuseOutdated(request));
    const answers = await Promise.all(counted.map((request) => this.voteOne(request)));
    // Pruning is not awaited: agents wait for the votes, and correctness does not depend on when it reaches the disk.
    void this.prune();
    return answers;
  }

  /** Releases the votes of a candidate that did not reach a majority; it never acted under that term. */
  public withdraw(requests: readonly Pick<LeaseRequest, 'duty' | 'candidate' | 'term'>[]): void {
    for (const { duty, candidate, term } of requests) {
      const lease = this.leases.get(duty);
      if (lease?.holder === candidate && lease.term === term) this.leases.delete(duty);
    }
  }

  /** Records the requests, and starts a new period of contact after a gap. */
  private recordRequests(requests: readonly LeaseRequest[]): void {
    const now = this.clock.steadyMicroseconds();
    if (now - this.lastContact > contactGapMicroseconds) {
      this.contactSince = now;
      this.requestedAt.clear();
    }
    this.lastContact = now;
    for (const { duty } of requests) this.requestedAt.set(duty, now);
  }

  /**
   * Removes duties that nobody has requested for a long time, but keeps their highest term as the floor. Each replica does this on its
   * own, since its promises bind only itself. Only time in contact with agents counts: during a network partition a duty may be held by
   * the votes of other replicas.
   */
  private async prune(): Promise<void> {
    const now = this.clock.steadyMicroseconds();
    if (now - this.lastPruned < pruneIntervalMicroseconds || !this.core.votes()) return;
    this.lastPruned = now;
    const duties = Object.keys(this.core.ledger.pending.duties).filter(
      (duty) =>
        now - (this.requestedAt.get(duty) ?? this.contactSince) >= retentionMicroseconds &&
        (this.leases.get(duty)?.untilMicroseconds ?? -Infinity) <= now,
    );
    for (const duty of this.requestedAt.keys()) if (duties.includes(duty)) this.requestedAt.delete(duty);
    for (const duty of duties) this.leases.delete(duty);
    // The result is ignored: if the write fails, the duties simply remain in the state.
    if (duties.length > 0) await this.core.ledger.write([{ kind: 'dutiesForgotten', duties }]);
  }

  private refuseOutdated({ duty }: LeaseRequest): LeaseVote {
    const { term, holder } = ReplicaStates.dutyTerm(this.core.ledger.pending, duty);
    const floor = this.core.ledger.pending.dutyFloor;
    return { duty, granted: false, term, holder, waitMicroseconds: outdatedMembersRetryMicroseconds, floor };
  }

  private async voteOne(request: LeaseRequest): Promise<LeaseVote> {
    const now = this.clock.steadyMicroseconds();
    const stored = ReplicaStates.dutyTerm(this.core.ledger.pending, request.duty);
    const floor = this.core.ledger.pending.dutyFloor;
    const refuse = (waitMicroseconds: number): LeaseVote => ({
      duty: request.duty,
      granted: false,
      term: stored.term,
      holder: stored.holder,
      waitMicroseconds,
      floor,
    });
    if (!this.core.votes()) return refuse(1_000_000);
    const leaseMicroseconds = Math.min(request.leaseMicroseconds, maxLeaseMicroseconds);
    const renewal = stored.holder !== '' && request.term === stored.term && request.candidate === stored.holder;
    // A renewal is granted during the delay: no other candidate can hold the same term.
    if (now < this.votesFromMicroseconds && !renewal) return refuse(this.votesFromMicroseconds - now);
    const lease = this.leases.get(request.duty);
    if (lease !== undefined && lease.holder !== request.candidate && lease.untilMicroseconds > now)
      return refuse(lease.untilMicroseconds - now);
    if (!renewal) {
      if (request.term <= stored.term) return refuse(0);
      const written = await this.core.ledger.write([
        { kind: 'dutyGranted', duty: request.duty, term: request.term, holder: request.candidate },
      ]);
      if (written !== 'synced') return refuse(1_000_000);
      // The term is checked again because a later request may have raised it while the write was under way.
      const after = this.core.ledger.pending.duties[request.duty];
      if (after?.term !== request.term) return refuse(0);
    }
    this.leases.set(request.duty, {
      holder: request.candidate,
      term: request.term,
      untilMicroseconds: this.clock.steadyMicroseconds() + leaseMicroseconds,
    });
    const { duty, term, candidate } = request;
    return { duty, granted: true, term, holder: candidate, waitMicroseconds: 0, floor };
  }
}
