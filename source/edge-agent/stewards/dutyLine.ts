import type { Clock } from '../../shared/effects/clock/clock';
import type { FactBook } from '../../shared/news/facts';
import { FactKeys, type StewardFact } from '../../shared/news/factTypes';
import { FleetPace } from '../../shared/pace/fleetPace';
import { Rendezvous } from '../../shared/rendezvous/rendezvous';
import type { Membership } from '../membership/membership';
import type { DutyHolder } from './dutyHolder';

/** A duty and the news that tells who has it. */
export type DutySubject = Readonly<{ duty: string; factKey: string; name: string }>;

export const DutySubjects = {
  engine: (name: string): DutySubject => ({ duty: `engine/${name}`, factKey: FactKeys.steward(name), name }),
  /** Reading the list of engines, where something outside the fleet keeps it. */
  list: { duty: 'list', factKey: FactKeys.listDuty, name: 'list' } satisfies DutySubject,
} as const;

export type DutyLineSettings = Readonly<{
  vacantAfterMicroseconds: number;
  rankMicroseconds: number;
  settleMicroseconds: number;
  giveBackMicroseconds: number;
  /** How often a holder that goes on says so; 0: at each ballot. */
  heartbeatMicroseconds: number;
}>;

/** Starting value, ours: how much longer word of a holder may take in a large fleet. */
const mostPatience = 2.5;

/** Who is next in line for a duty: when to stand for one that seems vacant, when to hand one over. */
export class DutyLine {
  private readonly vacantSince = new Map<string, number>();
  private readonly misplacedSince = new Map<string, number>();
  private readonly heartbeats = new Map<string, Readonly<{ mark: string; atMicroseconds: number }>>();
  private readonly startedMicroseconds: number;
  private readonly said = new Map<string, number>();
  private minor = 0;
  /** Places in line by subject, as long as the members are the same. */
  private ranks: Readonly<{ of: readonly string[]; bySubject: Map<string, number> }> = { of: [], bySubject: new Map() };

  public constructor(
    private readonly self: string,
    private readonly duties: DutyHolder,
    private readonly membership: Membership,
    private readonly facts: FactBook,
    private readonly clock: Clock,
    private readonly settings: DutyLineSettings,
  ) {
    this.startedMicroseconds = clock.nowMicroseconds();
  }

  public holderOf(subject: DutySubject): StewardFact | undefined {
    return this.facts.value<StewardFact>(subject.factKey);
  }

  /**
   * For how long at least no directive had left when the term right before this one was given up. Why only that one:
   * of a term between nobody here knows whether it was held.
   */
  public restBefore(subject: DutySubject, term: number): number {
    const fact = this.holderOf(subject);
    return fact !== undefined && fact.holder === '' && fact.term === term - 1 ? (fact.restMicroseconds ?? 0) : 0;
  }

  /** What goes on is said again only so often: others need it to see that the holder is there, and no more. */
  public saySometimes(subject: DutySubject, term: number, holder: string): void {
    const now = this.clock.nowMicroseconds();
    const known = this.facts.value<StewardFact>(subject.factKey);
    const said = this.said.get(subject.duty) ?? -Infinity;
    if (known?.holder !== holder || known.term !== term || now - said >= this.settings.heartbeatMicroseconds)
      this.say(subject, term, holder);
  }

  public say(subject: DutySubject, term: number, holder: string, restMicroseconds?: number): void {
    this.said.set(subject.duty, this.clock.nowMicroseconds());
    this.minor += 1;
    const rest = restMicroseconds === undefined ? {} : { restMicroseconds };
    const value: StewardFact = { engine: subject.name, holder, term, ...rest };
    this.facts.put({ key: subject.factKey, version: [term, this.minor], value });
  }

  /** Whether a duty should be asked for: vacant for as long as this agent's place in line demands. */
  public standsFor(subject: DutySubject, names: readonly string[]): boolean {
    const { duty } = subject;
    const now = this.clock.nowMicroseconds();
    const fact = this.facts.get(subject.factKey);
    const value = fact?.value as StewardFact | undefined;
    if (fact !== undefined && value !== undefined) {
      this.duties.sawTerm(duty, value.term);
      const mark = fact.version.join('.');
      const beat = this.heartbeats.get(duty);
      if (beat?.mark !== mark) this.heartbeats.set(duty, { mark, atMicroseconds: now });
      const fresh = now - (this.heartbeats.get(duty)?.atMicroseconds ?? 0) < this.vacantAfter(names.length);
      if (fresh && value.holder !== this.self && this.membership.alive(value.holder)) {
        this.vacantSince.delete(duty);
        return false;
      }
    }
    // Why wait at the start: an agent that knows only itself would win every duty.
    if (now - this.startedMicroseconds < this.settings.settleMicroseconds) return false;
    const since = this.vacantSince.get(duty) ?? now;
    this.vacantSince.set(duty, since);
    return now - since >= Math.max(0, this.rankOf(subject, names)) * this.settings.rankMicroseconds;
  }

  /** Why kept: while a large fleet starts, every daemon looks at every duty again and again. */
  private rankOf({ name }: DutySubject, names: readonly string[]): number {
    if (this.ranks.of !== names) this.ranks = { of: names, bySubject: new Map() };
    const known = this.ranks.bySubject.get(name);
    if (known !== undefined) return known;
    const rank = Rendezvous.rank(`steward/${name}`, this.self, names);
    this.ranks.bySubject.set(name, rank);
    return rank;
  }

  /** Why longer among many: word of the holder goes from one to the next, and must not seem to have ended on its way. */
  private vacantAfter(daemons: number): number {
    return this.settings.vacantAfterMicroseconds * FleetPace.of(daemons, mostPatience);
  }

  /** The one to hand the duty over to, once this agent has not been first in line for long enough. */
  public handsOver(subject: DutySubject, names: readonly string[]): string | undefined {
    const { duty } = subject;
    const now = this.clock.nowMicroseconds();
    const first = Rendezvous.first(`steward/${subject.name}`, names);
    if (first === this.self || first === undefined) {
      this.misplacedSince.delete(duty);
      return undefined;
    }
    const since = this.misplacedSince.get(duty) ?? now;
    this.misplacedSince.set(duty, since);
    if (now - since < this.settings.giveBackMicroseconds) return undefined;
    this.misplacedSince.delete(duty);
    this.vacantSince.set(duty, now + this.settings.giveBackMicroseconds);
    return first;
  }
}
