import Emittery from 'emittery';
import { once } from 'remeda';
import type { Clock } from '../../shared/effects/clock/clock';
import type { Log } from '../../shared/log/log';
import type { GossipStore } from '../../shared/gossip/gossipStore';
import {
  GossipKeys,
  MemberStates,
  MemberVersions,
  type MemberEntry,
  type MemberState,
} from '../../shared/gossip/entryTypes';
import { Rendezvous } from '../../shared/rendezvous/rendezvous';

export type MembershipSettings = Readonly<{
  colleagues: number;
  watchers: number;
  goneMicroseconds: number;
  forgetMicroseconds: number;
}>;

export type AgentIdentity = Readonly<{
  name: string;
  zone: string;
  address: string;
  proxyAddress: string;
  pagesAddress: string;
  boot: string;
}>;

/** Values derived from the list of members; valid until a member's gossip entry changes. */
type DerivedMembers = Readonly<{
  memberChanges: number;
  all: readonly MemberEntry[];
  present: readonly MemberEntry[];
  names: readonly string[];
  gossipPeers: () => readonly string[];
  zonePeers: () => readonly string[];
  probeTargets: () => readonly string[];
  zoneSize: number;
}>;

/** The members of the fleet as known by gossip. It guides placement and candidacies for leases; correctness never depends on it. */
export class Membership {
  public readonly events = new Emittery<{ changed: MemberEntry }>();
  private incarnation = 1;
  private readonly notAliveSince = new Map<string, number>();
  private readonly failedProbes = new Map<string, number>();
  private derived: DerivedMembers | undefined;

  public constructor(
    private readonly self: AgentIdentity,
    private readonly facts: GossipStore,
    private readonly clock: Clock,
    private readonly settings: MembershipSettings,
    private readonly log: Log,
  ) {
    this.publish(self.name, 'alive', this.incarnation);
  }

  public get selfIncarnation(): number {
    return this.incarnation;
  }

  public all(): readonly MemberEntry[] {
    return this.derivedNow().all;
  }

  public present(): readonly MemberEntry[] {
    return this.derivedNow().present;
  }

  /** The names of the present members; the same array object until a member's gossip entry changes. */
  public presentNames(): readonly string[] {
    return this.derivedNow().names;
  }

  public isPresent(name: string): boolean {
    const member = this.member(name);
    return member !== undefined && MemberStates.isPresent(member);
  }

  public member(name: string): MemberEntry | undefined {
    return this.facts.value<MemberEntry>(GossipKeys.member(name));
  }

  /** The small set of agents that this agent gossips with. */
  public gossipPeers(): readonly MemberEntry[] {
    return this.membersNamed(this.derivedNow().gossipPeers());
  }

  /** A second set of the same size within the own zone: gossip with these crosses no link between zones. */
  public zonePeers(): readonly MemberEntry[] {
    return this.membersNamed(this.derivedNow().zonePeers());
  }

  /** The number of agents in the own zone, this one included. */
  public zoneSize(): number {
    return this.derivedNow().zoneSize;
  }

  /** The agents that this agent probes; each agent is probed by the same number of others. */
  public probeTargets(): readonly MemberEntry[] {
    return this.membersNamed(this.derivedNow().probeTargets());
  }

  /** Called after gossip came in: refutes a worse state of this agent, or an entry of its earlier process, with a higher incarnation. */
  public refuteSuspicion(): void {
    const fact = this.facts.get(GossipKeys.member(this.self.name));
    const value = fact?.value as MemberEntry | undefined;
    if (fact === undefined || (value?.state === 'alive' && value.boot === this.self.boot)) return;
    this.incarnation = Math.max(this.incarnation, fact.version[0]) + 1;
    this.publish(this.self.name, 'alive', this.incarnation);
  }

  public recordAnswer(name: string): void {
    this.failedProbes.delete(name);
  }

  /** Counts a failed probe; true once other agents should be asked to probe before the member is suspected. */
  public recordFailedProbe(name: string): boolean {
    const count = (this.failedProbes.get(name) ?? 0) + 1;
    this.failedProbes.set(name, count);
    return count >= 2;
  }

  public suspect(name: string): void {
    const fact = this.facts.get(GossipKeys.member(name));
    const member = fact?.value as MemberEntry | undefined;
    if (fact === undefined || member?.state !== 'alive') return;
    this.publish(name, 'suspect', fact.version[0]);
    this.log(`Agent ${name} is suspected to have failed.`);
  }

  public leave(): void {
    this.publish(this.self.name, 'left', this.incarnation);
  }

  public tick(): void {
    const now = this.clock.nowMicroseconds();
    for (const member of this.all()) {
      if (member.state === 'alive') {
        this.notAliveSince.delete(member.name);
        continue;
      }
      const since = this.notAliveSince.get(member.name) ?? now;
      this.notAliveSince.set(member.name, since);
      const fact = this.facts.get(GossipKeys.member(member.name));
      if (member.state === 'suspect' && now - since >= this.settings.goneMicroseconds) {
        this.publish(member.name, 'gone', fact?.version[0] ?? 0);
        this.notAliveSince.set(member.name, now);
        this.log(`Agent ${member.name} is considered dead.`);
      } else if (member.state !== 'suspect' && now - since >= this.settings.forgetMicroseconds) {
        this.facts.forget(GossipKeys.member(member.name));
        this.notAliveSince.delete(member.name);
      }
    }
  }

  /**
   * The derived values are cached, because the assignment of probes costs the square of the fleet's size and members change seldom. Each
   * is computed on first use, because while a whole fleet starts members change far more often than probes are sent.
   */
  private derivedNow(): DerivedMembers {
    const memberChanges = this.facts.changesOf('member');
    if (this.derived?.memberChanges === memberChanges) return this.derived;
    const { self, settings } = this;
    const all = this.facts.withPrefix('member/').map(({ value }) => value as MemberEntry);
    const present = all.filter(MemberStates.isPresent);
    const names = present.map(({ name }) => name);
    const sameZone = present.filter(({ zone }) => zone === self.zone).map(({ name }) => name);
    const isProbeTarget = (name: string): boolean => {
      const others = names.filter((other) => other !== name);
      const rank = Rendezvous.rank(name, self.name, others);
      return rank >= 0 && rank < settings.watchers;
    };
    this.derived = {
      memberChanges,
      all,
      present,
      names,
      gossipPeers: once(() => Rendezvous.peers(self.name, names, settings.colleagues)),
      zonePeers: once(() => Rendezvous.peers(self.name, sameZone, settings.colleagues)),
      zoneSize: sameZone.length,
      probeTargets: once(() => names.filter((name) => name !== self.name && isProbeTarget(name))),
    };
    return this.derived;
  }

  private membersNamed(names: readonly string[]): readonly MemberEntry[] {
    return names.flatMap((name) => this.member(name) ?? []);
  }

  private publish(name: string, state: MemberState, incarnation: number): void {
    const value: MemberEntry =
      name === this.self.name ? { ...this.self, state } : { ...(this.member(name) as MemberEntry), state };
    this.facts.put({ key: GossipKeys.member(name), version: MemberVersions.of(incarnation, state), value });
    void this.events.emit('changed', value);
  }
}
