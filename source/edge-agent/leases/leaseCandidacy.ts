import type { Clock } from '../../shared/effects/clock/clock';
import type { GossipStore } from '../../shared/gossip/gossipStore';
import { GossipKeys, type ControllerEntry } from '../../shared/gossip/entryTypes';
import { IntervalScaling } from '../../shared/flow-control/intervalScaling';
import { Rendezvous } from '../../shared/rendezvous/rendezvous';
import type { Membership } from '../membership/membership';
import type { LeaseHolder } from './leaseHolder';

/** A lease and the key of the gossip entry that names its holder. */
export type LeaseSubject = Readonly<{ lease: string; factKey: string; name: string }>;

export const LeaseSubjects = {
  /** The control of one engine or store. */
  engine: (name: string): LeaseSubject => ({ lease: `engine/${name}`, factKey: GossipKeys.controller(name), name }),
  /** Reading the list of engines from a source outside the fleet. */
  list: { lease: 'list', factKey: GossipKeys.listLease, name: 'list' } satisfies LeaseSubject,
} as const;

export type LeaseCandidacySettings = Readonly<{
  /** A holder whose gossip entry has not changed for this time counts as absent. */
  vacantAfterMicroseconds: number;
  /** The delay of a candidacy per place in the rendezvous order. */
  rankMicroseconds: number;
  /** The time after the start without candidacies. */
  settleMicroseconds: number;
  /** A holder hands its lease over when another agent has been first in the rendezvous order for this time. */
  giveBackMicroseconds: number;
  /** How often a holder refreshes its gossip entry when nothing else has changed; 0: at each ballot. */
  heartbeatMicroseconds: number;
}>;

/** The largest factor by which the absence timeout grows in a large fleet. */
const maxAbsenceFactor = 2.5;

/** Decides when this agent becomes a candidate for a lease that seems vacant and when it hands one over; announces holders by gossip. */
export class LeaseCandidacy {
  private readonly vacantSince = new Map<string, number>();
  private readonly notFirstSince = new Map<string, number>();
  private readonly heartbeats = new Map<string, Readonly<{ version: string; atMicroseconds: number }>>();
  private readonly startedMicroseconds: number;
  private readonly announcedMicroseconds = new Map<string, number>();
  private announcements = 0;
  /** Cached places in the rendezvous order by lease, valid while the members stay the same. */
  private ranks: Readonly<{ members: readonly string[]; byName: Map<string, number> }> = {
    members: [],
    byName: new Map(),
  };

  public constructor(
    private readonly self: string,
    private readonly leases: LeaseHolder,
    private readonly membership: Membership,
    private readonly facts: GossipStore,
    private readonly clock: Clock,
    private readonly settings: LeaseCandidacySettings,
  ) {
    this.startedMicroseconds = clock.nowMicroseconds();
  }

  public holderOf(subject: LeaseSubject): ControllerEntry | undefined {
    return this.facts.value<ControllerEntry>(subject.factKey);
  }

  /**
   * A lower bound of the time without a directive at the release of the previous term; 0 if unknown. It is unknown if the last entry is
   * of an older term, because an agent may have held a term in between.
   */
  public previousNoDirectiveMicroseconds(subject: LeaseSubject, term: number): number {
    const fact = this.holderOf(subject);
    return fact !== undefined && fact.holder === '' && fact.term === term - 1 ? (fact.restMicroseconds ?? 0) : 0;
  }

  /** Refreshes an unchanged entry only at the heartbeat interval: others need it just to see that the holder is alive. */
  public announceHeartbeat(subject: LeaseSubject, term: number, holder: string): void {
    const now = this.clock.nowMicroseconds();
    const known = this.facts.value<ControllerEntry>(subject.factKey);
    const announced = this.announcedMicroseconds.get(subject.lease) ?? -Infinity;
    if (known?.holder !== holder || known.term !== term || now - announced >= this.settings.heartbeatMicroseconds)
      this.announce(subject, term, holder);
  }

  public announce(subject: LeaseSubject, term: number, holder: string, restMicroseconds?: number): void {
    this.announcedMicroseconds.set(subject.lease, this.clock.nowMicroseconds());
    this.announcements += 1;
    const rest = restMicroseconds === undefined ? {} : { restMicroseconds };
    const value: ControllerEntry = { engine: subject.name, holder, term, ...rest };
    this.facts.put({ key: subject.factKey, version: [term, this.announcements], value });
  }

  /** Whether this agent should request a lease: it has been vacant for the delay that belongs to the agent's place in the order. */
  public shouldRequest(subject: LeaseSubject, names: readonly string[]): boolean {
    const { lease } = subject;
    const now = this.clock.nowMicroseconds();
    const fact = this.facts.get(subject.factKey);
    const value = fact?.value as ControllerEntry | undefined;
    if (fact !== undefined && value !== undefined) {
      this.leases.observeTerm(lease, value.term);
      const version = fact.version.join('.');
      const heartbeat = this.heartbeats.get(lease);
      if (heartbeat?.version !== version) this.heartbeats.set(lease, { version, atMicroseconds: now });
      const isFresh =
        now - (this.heartbeats.get(lease)?.atMicroseconds ?? 0) < this.absenceTimeoutMicroseconds(names.length);
      if (isFresh && value.holder !== this.self && this.membership.isPresent(value.holder)) {
        this.vacantSince.delete(lease);
        return false;
      }
    }
    // There are no candidacies right after the start, because an agent that does not know the others yet would win every lease.
    if (now - this.startedMicroseconds < this.settings.settleMicroseconds) return false;
    const since = this.vacantSince.get(lease) ?? now;
    this.vacantSince.set(lease, since);
    return now - since >= Math.max(0, this.rankOf(subject, names)) * this.settings.rankMicroseconds;
  }

  /** The ranks are cached, because every agent checks every lease again and again while a large fleet starts. */
  private rankOf({ name }: LeaseSubject, names: readonly string[]): number {
    if (this.ranks.members !== names) this.ranks = { members: names, byName: new Map() };
    const known = this.ranks.byName.get(name);
    if (known !== undefined) return known;
    const rank = Rendezvous.rank(`steward/${name}`, this.self, names);
    this.ranks.byName.set(name, rank);
    return rank;
  }

  /** Grows with the fleet, because the holder's heartbeat spreads by gossip over more hops and must not look expired on its way. */
  private absenceTimeoutMicroseconds(agents: number): number {
    return this.settings.vacantAfterMicroseconds * IntervalScaling.of(agents, maxAbsenceFactor);
  }

  /** The agent to hand the lease over to, once another one has been first in the order for long enough. */
  public handoverTarget(subject: LeaseSubject, names: readonly string[]): string | undefined {
    const { lease } = subject;
    const now = this.clock.nowMicroseconds();
    const first = Rendezvous.first(`steward/${subject.name}`, names);
    if (first === this.self || first === undefined) {
      this.notFirstSince.delete(lease);
      return undefined;
    }
    const since = this.notFirstSince.get(lease) ?? now;
    this.notFirstSince.set(lease, since);
    if (now - since < this.settings.giveBackMicroseconds) return undefined;
    this.notFirstSince.delete(lease);
    // A time in the future delays this agent's next request, so that the other agent can acquire the lease first.
    this.vacantSince.set(lease, now + this.settings.giveBackMicroseconds);
    return first;
  }
}
