import type { Clock } from '../../shared/effects/clock/clock';
import { CopyPlacement, type CopyPlacementSettings } from '../../shared/demand/copyPlacement';
import { HeavyHitters } from '../../shared/demand/heavyHitters';
import { DemandLimits, PrefixDemand, type DemandEntry, type RankedPrefix } from '../../shared/demand/prefixDemand';
import { Rendezvous } from '../../shared/rendezvous/rendezvous';
import type { GossipStore } from '../../shared/gossip/gossipStore';
import { GossipKeys, MemberStates, type MemberEntry } from '../../shared/gossip/entryTypes';

export type DemandSettings = CopyPlacementSettings &
  Readonly<{
    /** If off, no demand is counted or published, and no decision depends on demand. */
    isOn: boolean;
    counters: number;
    halfLifeMicroseconds: number;
    /** Delay, per thousand tokens, of prefilling again what one more copy evicts. */
    copyMicrosecondsPerThousand: number;
    /**
     * A cache store that is fuller than this, in per mille of its memory, is sent only prefixes that are in demand or requested again.
     * 0: it is sent every prefix.
     */
    storeFillLimitPerMille: number;
    /** Least number of recent requests, at all proxies together, that make a prefix count as in demand. */
    minCount: number;
  }>;

export const DemandSettings = {
  usual: {
    isOn: true,
    counters: 64,
    halfLifeMicroseconds: 20_000_000,
    copiesPerMille: 1_500,
    mostCopies: 16,
    copyMicrosecondsPerThousand: 10_000,
    storeFillLimitPerMille: 600,
    minCount: 2,
  } satisfies DemandSettings,
  off: (settings: DemandSettings): DemandSettings => ({ ...settings, isOn: false }),
  /** Placement and copies follow the demand, but stores are sent every prefix that is prefilled. */
  withUnlimitedStoreFill: (settings: DemandSettings): DemandSettings => ({ ...settings, storeFillLimitPerMille: 0 }),
} as const;

type FleetDemand = Readonly<{
  version: string;
  atMicroseconds: number;
  wanted: readonly RankedPrefix[];
  byName: ReadonlyMap<string, RankedPrefix>;
}>;
type Assignment = Readonly<{ of: readonly RankedPrefix[]; places: ReadonlyMap<string, readonly string[]> }>;

const noDemand: FleetDemand = { version: '', atMicroseconds: -Infinity, wanted: [], byName: new Map() };

/** Shortest time between two rankings, and between two publications: gossip about demand arrives continuously. */
const refreshMicroseconds = 1_000_000;

/** Most pairs of a prefix and an engine that are weighed, and the least number of prefixes that are assigned to engines. */
const maxWeighedPairs = 16_384;
const minAssignedPrefixes = 16;
/** Most sets of engines whose assignments are cached. */
const maxCachedAssignments = 8;

/**
 * Which prefixes are most in demand: each proxy counts its own requests and publishes the counts, and ranks the prefixes by the
 * counts of the whole fleet.
 */
export class DemandView {
  private readonly counts: HeavyHitters;
  private fleetDemand: FleetDemand = noDemand;
  private readonly assignments = new Map<string, Assignment>();
  private readonly weights = new Map<string, Map<string, number>>();
  private publishedMicroseconds = -Infinity;

  public constructor(
    private readonly facts: GossipStore,
    private readonly clock: Clock,
    public readonly settings: DemandSettings,
  ) {
    this.counts = new HeavyHitters(settings.counters, settings.halfLifeMicroseconds);
  }

  /** Counts an accepted request that shares this prefix with others. */
  public countRequest(prefix: string): void {
    if (this.settings.isOn && prefix !== '') this.counts.record(prefix, this.clock.nowMicroseconds());
  }

  /** The counts to publish to the fleet; none if the last ones are less than a second old. */
  public countsToPublish(): Readonly<{ demand?: Omit<DemandEntry, 'agent'> }> {
    if (!this.settings.isOn) return {};
    const now = this.clock.nowMicroseconds();
    if (now - this.publishedMicroseconds < refreshMicroseconds) return {};
    this.publishedMicroseconds = now;
    const prefixes = this.counts
      .top(DemandLimits.maxPrefixesPerEntry, now)
      .map(({ name, count }) => [name, Math.round(count)] as const)
      .filter(([, count]) => count > 0);
    return { demand: { total: Math.round(this.counts.total(now)), prefixes } };
  }

  /** The prefixes by falling demand; the same ranking at every proxy that has received the same counts. */
  public ranking(): readonly RankedPrefix[] {
    return this.current().wanted;
  }

  public isWanted(prefix: string): boolean {
    return (this.current().byName.get(prefix)?.count ?? 0) >= this.settings.minCount;
  }

  /** Those of the engines that should keep a copy of the prefix, the preferred one first. */
  public places(prefix: string, engines: readonly string[]): readonly string[] {
    const { wanted, byName } = this.current();
    if (!byName.has(prefix)) return CopyPlacement.defaultPlacement(prefix, engines);
    const names = engines.join(' ');
    const known = this.assignments.get(names);
    const places = known?.of === wanted ? known.places : this.assign(wanted, engines, names);
    return places.get(prefix) ?? CopyPlacement.defaultPlacement(prefix, engines);
  }

  private assign(
    wanted: readonly RankedPrefix[],
    engines: readonly string[],
    names: string,
  ): ReadonlyMap<string, readonly string[]> {
    // The number is bounded because each prefix is weighed against each engine, and in a large pool the first few prefixes make
    // up most of the demand.
    const topPrefixes = wanted.slice(0, Math.max(minAssignedPrefixes, Math.floor(maxWeighedPairs / engines.length)));
    // The engines are sorted so that the same engines in another order lead to the same places.
    const places = CopyPlacement.assign(topPrefixes, [...engines].sort(), this.settings, (prefix, engine) =>
      this.weight(prefix, engine, engines.length),
    );
    // Several assignments are cached because the set of engines reserved for short requests changes back and forth.
    this.assignments.delete(names);
    this.assignments.set(names, { of: wanted, places });
    const [oldest] = this.assignments.keys();
    if (this.assignments.size > maxCachedAssignments && oldest !== undefined) this.assignments.delete(oldest);
    return places;
  }

  /** Weights are cached because they are constant, while places are computed again on every change of the demand or the engines. */
  private weight(prefix: string, engine: string, engines: number): number {
    const before = this.weights.get(prefix);
    // An oversized map is dropped, since it would keep the names of removed engines forever.
    const byEngine = before === undefined || before.size > 2 * engines ? new Map<string, number>() : before;
    const weight = byEngine.get(engine) ?? Rendezvous.weight(prefix, engine);
    byEngine.set(engine, weight);
    // Deleting first keeps the map in the order of the last use, so that the least recently used entry is evicted.
    this.weights.delete(prefix);
    this.weights.set(prefix, byEngine);
    const [oldest] = this.weights.keys();
    if (this.weights.size > 2 * DemandLimits.maxRankedPrefixes && oldest !== undefined) this.weights.delete(oldest);
    return weight;
  }

  private current(): FleetDemand {
    if (!this.settings.isOn) return noDemand;
    const mark = `${this.facts.changesOf('demand')}/${this.facts.changesOf('member')}`;
    const now = this.clock.nowMicroseconds();
    if (this.fleetDemand.version === mark || now - this.fleetDemand.atMicroseconds < refreshMicroseconds)
      return this.fleetDemand;
    const published = this.facts.withPrefix('demand/').flatMap(({ value }) => {
      if (!PrefixDemand.isEntry(value)) return [];
      const member = this.facts.value<MemberEntry>(GossipKeys.member(value.agent));
      // Only the counts of present members are used: the requests of an absent one go to other proxies by now, and are counted there.
      return member !== undefined && MemberStates.isPresent(member) ? [value] : [];
    });
    const wanted = PrefixDemand.rank(published);
    this.fleetDemand = {
      version: mark,
      atMicroseconds: now,
      wanted,
      byName: new Map(wanted.map((item) => [item.name, item])),
    };
    return this.fleetDemand;
  }
}
