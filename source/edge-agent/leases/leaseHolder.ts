import type { Effects } from '../../shared/effects/effects';
import type { Log } from '../../shared/log/log';
import { Stamps } from '../../shared/register/types';
import type { ControlLink } from '../control-link/controlLink';
import type { MembersView } from '../../shared/register/majorityRead';

/** The state of a lease at the agent: not held, requested, or held until a time on the agent's clock. */
export type LeaseState =
  | Readonly<{ kind: 'idle' }>
  | Readonly<{ kind: 'asking'; term: number }>
  | Readonly<{ kind: 'holding'; term: number; untilMicroseconds: number }>;

export type LeaseEvent =
  | Readonly<{ kind: 'asked'; term: number }>
  | Readonly<{ kind: 'granted'; term: number; untilMicroseconds: number }>
  | Readonly<{ kind: 'ended' }>;

/** One voter's answer to one ballot. */
type BallotAnswer = Readonly<{
  duty: string;
  granted: boolean;
  term: number;
  holder: string;
  waitMicroseconds: number;
  /** The highest term of any lease that the voter has forgotten. Missing: the voter runs an earlier build, which forgets none. */
  floor?: number;
}>;

/** The state machine of one lease on the holder's side. */
export const LeaseStates = {
  next: (state: LeaseState, event: LeaseEvent): LeaseState => {
    switch (event.kind) {
      case 'asked':
        return state.kind === 'holding' ? state : { kind: 'asking', term: event.term };
      case 'granted':
        return { kind: 'holding', term: event.term, untilMicroseconds: event.untilMicroseconds };
      case 'ended':
        return { kind: 'idle' };
    }
  },
} as const;

/**
 * The part of a lease that its holder does not use. Voters measure the lease by their own clocks: two clocks that each drift by up to
 * 5 per mille differ by 1 per cent, and the holder must still stop first.
 */
export const leaseMarginPerMille = 11;

/** The most leases named in one log line. */
const maxLoggedLeases = 6;

export type LeaseHolderSettings = Readonly<{ leaseMicroseconds: number; askMicroseconds: number }>;

/** The holder's side of all leases of one agent. By its own clock a lease ends before any voter may grant it to another candidate. */
export class LeaseHolder {
  private readonly states = new Map<string, LeaseState>();
  private readonly retryNotBefore = new Map<string, number>();
  private readonly highestTerms = new Map<string, number>();
  /** Terms of released leases, so that a renewal still in flight at the release does not bring the lease back. */
  private readonly releasedTerms = new Map<string, number>();
  /** The highest term of any lease that voters have forgotten, as reported by them. */
  private forgottenTermFloor = 0;

  public constructor(
    private readonly self: string,
    private readonly link: ControlLink,
    private readonly effects: Effects,
    private readonly settings: LeaseHolderSettings,
    private readonly notice: Log = () => undefined,
  ) {}

  /** The term of a lease that is held at this moment, else undefined. Checked right before each action under the lease. */
  public term(lease: string): number | undefined {
    const state = this.states.get(lease);
    return state?.kind === 'holding' && this.effects.clock.nowMicroseconds() < state.untilMicroseconds
      ? state.term
      : undefined;
  }

  public heldLeases(): readonly string[] {
    return [...this.states.keys()].filter((lease) => this.term(lease) !== undefined);
  }

  public observeTerm(lease: string, term: number): void {
    if (term > (this.highestTerms.get(lease) ?? 0)) this.highestTerms.set(lease, term);
  }

  public endLease(lease: string): void {
    this.transition(lease, { kind: 'ended' });
  }

  /** Releases leases: they are no longer held here, and voters may grant them to others at once. */
  public async release(leases: readonly string[]): Promise<void> {
    const ballots = leases.flatMap((duty) => {
      const term = this.term(duty);
      return term === undefined ? [] : [{ duty, candidate: this.self, term }];
    });
    for (const { duty, term } of ballots) {
      this.endLease(duty);
      this.releasedTerms.set(duty, term);
    }
    if (ballots.length > 0) await this.withdraw(ballots);
  }

  /** Runs a voting round for each lease named, renewals and new ones together, with one message per control node. */
  public async requestLeases(wanted: readonly string[]): Promise<void> {
    this.logLapsed();
    const outdated = await this.runRound(wanted);
    // The second round follows at once: an agent that has just started knows no terms and has learned them from the refusals.
    if (outdated.length > 0) await this.runRound(outdated);
  }

  /** Logs one line for all lapsed leases, because all of them lapse together when the control nodes are unreachable. */
  private logLapsed(): void {
    const lapsed = [...this.states].flatMap(([lease, state]) =>
      state.kind === 'holding' && this.term(lease) === undefined ? [lease] : [],
    );
    if (lapsed.length === 0) return;
    for (const lease of lapsed) this.transition(lease, { kind: 'ended' });
    const more = lapsed.length > maxLoggedLeases ? ` and ${lapsed.length - maxLoggedLeases} more` : '';
    this.notice(`Duties lapsed without renewal: ${lapsed.slice(0, maxLoggedLeases).join(', ')}${more}.`);
  }

  /** Returns the leases whose ballots were refused only because of an outdated term. */
  private async runRound(wanted: readonly string[]): Promise<readonly string[]> {
    const startMicroseconds = this.effects.clock.nowMicroseconds();
    const leases = wanted.filter(
      (duty) => this.term(duty) !== undefined || startMicroseconds >= (this.retryNotBefore.get(duty) ?? 0),
    );
    if (leases.length === 0) return [];
    const ballots = leases.map((duty) => {
      const heldTerm = this.term(duty);
      const term = heldTerm ?? Math.max(this.forgottenTermFloor, this.highestTerms.get(duty) ?? 0) + 1;
      if (heldTerm === undefined) this.transition(duty, { kind: 'asked', term });
      return { duty, candidate: this.self, term, leaseMicroseconds: this.settings.leaseMicroseconds };
    });
    const membersRevision = this.link.membersRevision();
    const sets = this.link.memberSets();
    const votes = new Map<string, string[]>();
    const outdated = new Set<string>();
    const controlNodes = Object.entries(this.link.controlNodes());
    await Promise.all(
      controlNodes.map(async ([voter, { address }]) => {
        const answer = await this.effects.transport.ask(
          address,
          { kind: 'ballots', ballots, membersRevision },
          this.settings.askMicroseconds,
        );
        if (answer.kind !== 'answered' || answer.message.kind !== 'ballots') return;
        const view = answer.message['view'];
        if (view !== undefined) this.link.updateMembersView(view as MembersView);
        for (const vote of answer.message['answers'] as readonly BallotAnswer[]) {
          this.observeTerm(vote.duty, vote.term);
          this.forgottenTermFloor = Math.max(this.forgottenTermFloor, vote.floor ?? 0);
          if (!vote.granted && vote.waitMicroseconds === 0) outdated.add(vote.duty);
          if (vote.granted) votes.set(vote.duty, [...(votes.get(vote.duty) ?? []), voter]);
        }
      }),
    );
    const failedBallots: typeof ballots = [];
    const retryAtOnce: string[] = [];
    for (const ballot of ballots) {
      const { duty, term } = ballot;
      if (this.releasedTerms.get(duty) === term) continue;
      // The lease is counted from the sending of the request: voters count from a later moment, so it ends here first.
      if (Stamps.hasMajority(sets, votes.get(duty) ?? []))
        this.transition(duty, {
          kind: 'granted',
          term,
          untilMicroseconds:
            startMicroseconds + Math.floor((this.settings.leaseMicroseconds * (1000 - leaseMarginPerMille)) / 1000),
        });
      else if (this.term(duty) === undefined) {
        this.transition(duty, { kind: 'ended' });
        failedBallots.push(ballot);
        // A ballot that some voter granted is a split vote and is not retried at once; the random delay below resolves it.
        if (outdated.has(duty) && (votes.get(duty) ?? []).length === 0) {
          retryAtOnce.push(duty);
          continue;
        }
        // The delay is random, because candidates that split the votes once would split them again if they retried in step.
        this.retryNotBefore.set(
          duty,
          this.effects.clock.nowMicroseconds() +
            Math.floor(this.effects.random.fraction() * this.settings.leaseMicroseconds * 0.4),
        );
      } else this.retryNotBefore.delete(duty);
    }
    if (failedBallots.length > 0) await this.withdraw(failedBallots);
    return retryAtOnce;
  }

  private async withdraw(
    ballots: readonly Readonly<{ duty: string; candidate: string; term: number }>[],
  ): Promise<void> {
    const message = { kind: 'withdraw', ballots };
    await Promise.all(
      Object.values(this.link.controlNodes()).map(({ address }) =>
        this.effects.transport.ask(address, message, this.settings.askMicroseconds),
      ),
    );
  }

  private transition(lease: string, event: LeaseEvent): void {
    this.states.set(lease, LeaseStates.next(this.states.get(lease) ?? { kind: 'idle' }, event));
  }
}
