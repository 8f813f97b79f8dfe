import type { Effects } from '../../shared/effects/effects';
import type { Log } from '../../shared/log/log';
import { Stamps } from '../../shared/register/types';
import type { CoreLink } from '../core-link/coreLink';
import type { MembersView } from '../../shared/register/majorityRead';

export type DutyState =
  | Readonly<{ kind: 'idle' }>
  | Readonly<{ kind: 'asking'; term: number }>
  | Readonly<{ kind: 'holding'; term: number; untilMicroseconds: number }>;

export type DutyEvent =
  | Readonly<{ kind: 'asked'; term: number }>
  | Readonly<{ kind: 'granted'; term: number; untilMicroseconds: number }>
  | Readonly<{ kind: 'ended' }>;

type BallotAnswer = Readonly<{
  duty: string;
  granted: boolean;
  term: number;
  holder: string;
  waitMicroseconds: number;
  /** Missing: the keeper is of an earlier build, and forgets none. */
  floor?: number;
}>;

export const DutyStates = {
  step: (state: DutyState, event: DutyEvent): DutyState => {
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
 * Part of a lease that its holder does not use. Why: voters count the lease by their own clocks. Two clocks that each run
 * wrong by up to 5 per mille are 1 per cent apart, and the holder must stop first all the same.
 */
export const unusedPerMille = 11;

/** Starting value, ours: so many duties are named in one sentence. */
const mostNamed = 6;

export type DutySettings = Readonly<{ leaseMicroseconds: number; askMicroseconds: number }>;

/** One agent's side of all duties. It stops by its own clock before any voter may let the duty go. */
export class DutyHolder {
  private readonly states = new Map<string, DutyState>();
  private readonly notBefore = new Map<string, number>();
  private readonly highestTerms = new Map<string, number>();
  /** Why kept: a renewal may still be on its way when a duty is given back, and must not bring it back to life. */
  private readonly givenBack = new Map<string, number>();
  /** The highest term that voters say any duty they have forgotten may have had. */
  private floor = 0;

  public constructor(
    private readonly self: string,
    private readonly link: CoreLink,
    private readonly effects: Effects,
    private readonly settings: DutySettings,
    private readonly notice: Log = () => undefined,
  ) {}

  /** The term when held at this very moment. Asked right before each act of a steward. */
  public term(duty: string): number | undefined {
    const state = this.states.get(duty);
    return state?.kind === 'holding' && this.effects.clock.nowMicroseconds() < state.untilMicroseconds
      ? state.term
      : undefined;
  }

  public held(): readonly string[] {
    return [...this.states.keys()].filter((duty) => this.term(duty) !== undefined);
  }

  public sawTerm(duty: string, term: number): void {
    if (term > (this.highestTerms.get(duty) ?? 0)) this.highestTerms.set(duty, term);
  }

  public end(duty: string): void {
    this.step(duty, { kind: 'ended' });
  }

  /** Gives duties up: it holds them no more, and voters may let others have them at once. */
  public async giveBack(duties: readonly string[]): Promise<void> {
    const ballots = duties.flatMap((duty) => {
      const term = this.term(duty);
      return term === undefined ? [] : [{ duty, candidate: this.self, term }];
    });
    for (const { duty, term } of ballots) {
      this.end(duty);
      this.givenBack.set(duty, term);
    }
    if (ballots.length > 0) await this.withdraw(ballots);
  }

  /** A round of ballots for each duty named, renewals and new ones together; one message a keeper. */
  public async ballot(wanted: readonly string[]): Promise<void> {
    this.tellLapsed();
    const outdated = await this.round(wanted);
    // Why at once: who has just started knows no terms, and has learned them by now.
    if (outdated.length > 0) await this.round(outdated);
  }

  /** Why one sentence for all: when the core is away every duty lapses at once. */
  private tellLapsed(): void {
    const lapsed = [...this.states].flatMap(([duty, state]) =>
      state.kind === 'holding' && this.term(duty) === undefined ? [duty] : [],
    );
    if (lapsed.length === 0) return;
    for (const duty of lapsed) this.step(duty, { kind: 'ended' });
    const more = lapsed.length > mostNamed ? ` and ${lapsed.length - mostNamed} more` : '';
    this.notice(`Duties lapsed without renewal: ${lapsed.slice(0, mostNamed).join(', ')}${more}.`);
  }

  /** Returns the duties whose ballots were refused for their low term alone. */
  private async round(wanted: readonly string[]): Promise<readonly string[]> {
    const asked = this.effects.clock.nowMicroseconds();
    const duties = wanted.filter((duty) => this.term(duty) !== undefined || asked >= (this.notBefore.get(duty) ?? 0));
    if (duties.length === 0) return [];
    const ballots = duties.map((duty) => {
      const held = this.term(duty);
      const term = held ?? Math.max(this.floor, this.highestTerms.get(duty) ?? 0) + 1;
      if (held === undefined) this.step(duty, { kind: 'asked', term });
      return { duty, candidate: this.self, term, leaseMicroseconds: this.settings.leaseMicroseconds };
    });
    const membersRevision = this.link.membersRevision();
    const sets = this.link.sets();
    const votes = new Map<string, string[]>();
    const outdated = new Set<string>();
    const keepers = Object.entries(this.link.keepers());
    await Promise.all(
      keepers.map(async ([keeper, { address }]) => {
        const answer = await this.effects.transport.ask(
          address,
          { kind: 'ballots', ballots, membersRevision },
          this.settings.askMicroseconds,
        );
        if (answer.kind !== 'answered' || answer.message.kind !== 'ballots') return;
        const view = answer.message['view'];
        if (view !== undefined) this.link.learnView(view as MembersView);
        for (const vote of answer.message['answers'] as readonly BallotAnswer[]) {
          this.sawTerm(vote.duty, vote.term);
          this.floor = Math.max(this.floor, vote.floor ?? 0);
          if (!vote.granted && vote.waitMicroseconds === 0) outdated.add(vote.duty);
          if (vote.granted) votes.set(vote.duty, [...(votes.get(vote.duty) ?? []), keeper]);
        }
      }),
    );
    const missed: typeof ballots = [];
    const again: string[] = [];
    for (const ballot of ballots) {
      const { duty, term } = ballot;
      if (this.givenBack.get(duty) === term) continue;
      // Why from the moment of asking: the voters count from later, so this end comes first.
      if (Stamps.reached(sets, votes.get(duty) ?? []))
        this.step(duty, {
          kind: 'granted',
          term,
          untilMicroseconds: asked + Math.floor((this.settings.leaseMicroseconds * (1000 - unusedPerMille)) / 1000),
        });
      else if (this.term(duty) === undefined) {
        this.step(duty, { kind: 'ended' });
        missed.push(ballot);
        // Why not for those that were granted somewhere: a split vote is ended by chance, not in haste.
        if (outdated.has(duty) && (votes.get(duty) ?? []).length === 0) {
          again.push(duty);
          continue;
        }
        // Why by chance: candidates that split the votes once would split them again in step.
        this.notBefore.set(
          duty,
          this.effects.clock.nowMicroseconds() +
            Math.floor(this.effects.random.fraction() * this.settings.leaseMicroseconds * 0.4),
        );
      } else this.notBefore.delete(duty);
    }
    if (missed.length > 0) await this.withdraw(missed);
    return again;
  }

  private async withdraw(
    ballots: readonly Readonly<{ duty: string; candidate: string; term: number }>[],
  ): Promise<void> {
    const message = { kind: 'withdraw', ballots };
    await Promise.all(
      Object.values(this.link.keepers()).map(({ address }) =>
        this.effects.transport.ask(address, message, this.settings.askMicroseconds),
      ),
    );
  }

  private step(duty: string, event: DutyEvent): void {
    this.states.set(duty, DutyStates.step(this.states.get(duty) ?? { kind: 'idle' }, event));
  }
}
