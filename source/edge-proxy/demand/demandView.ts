import type { Clock } from '../../shared/effects/clock/clock';
import { CopyPlaces, type CopyPlacesSettings } from '../../shared/demand/copyPlaces';
import { HeavyHitters } from '../../shared/demand/heavyHitters';
import { DemandLimits, PrefixDemand, type DemandFact, type Wanted } from '../../shared/demand/prefixDemand';
import { Rendezvous } from '../../shared/rendezvous/rendezvous';
import type { FactBook } from '../../shared/news/facts';
import { FactKeys, MemberStates, type MemberFact } from '../../shared/news/factTypes';

export type DemandSettings = CopyPlacesSettings &
  Readonly<{
    /** Off: nothing is counted or told, and every decision is as it was before there was any of this. */
    isOn: boolean;
    counters: number;
    halfLifeMicroseconds: number;
    /** What one more copy pushes out costs to read again, for a thousand tokens, in microseconds of delay. */
    copyMicrosecondsPerThousand: number;
    /** A store that is fuller than this is sent only what is wanted or asked for again; in per mille of its memory. 0: it is sent all. */
    storeRoomPerMille: number;
    /** How often all proxies together were asked lately for a prefix that counts as wanted. */
    leastCount: number;
  }>;

export const DemandSettings = {
  /** Starting values, ours. */
  usual: {
    isOn: true,
    counters: 64,
    halfLifeMicroseconds: 20_000_000,
    copiesPerMille: 1_500,
    mostCopies: 16,
    copyMicrosecondsPerThousand: 10_000,
    storeRoomPerMille: 600,
    leastCount: 2,
  } satisfies DemandSettings,
  off: (settings: DemandSettings): DemandSettings => ({ ...settings, isOn: false }),
  /** Places and copies by the demand; stores are sent every prefix that is read. */
  fillingStores: (settings: DemandSettings): DemandSettings => ({ ...settings, storeRoomPerMille: 0 }),
} as const;

type Agreed = Readonly<{
  mark: string;
  atMicroseconds: number;
  wanted: readonly Wanted[];
  byName: ReadonlyMap<string, Wanted>;
}>;
type Places = Readonly<{ of: readonly Wanted[]; places: ReadonlyMap<string, readonly string[]> }>;

const nobody: Agreed = { mark: '', atMicroseconds: -Infinity, wanted: [], byName: new Map() };

/** Starting value, ours: so long what was worked out stands, and what is told to the agent. Why: news of it comes all the time. */
const standsMicroseconds = 1_000_000;

/** Starting values, ours: pairs of a prefix and an engine that are weighed, and prefixes that get places at the least. */
const mostWeighed = 16_384;
const leastAssigned = 16;
const mostAssignments = 8;

/** Which prefixes are most in demand: counted here, told to the fleet, and agreed on from what all have told. */
export class DemandView {
  private readonly counts: HeavyHitters;
  private agreed: Agreed = nobody;
  private readonly assigned = new Map<string, Places>();
  private readonly weights = new Map<string, Map<string, number>>();
  private toldMicroseconds = -Infinity;

  public constructor(
    private readonly facts: FactBook,
    private readonly clock: Clock,
    public readonly settings: DemandSettings,
  ) {
    this.counts = new HeavyHitters(settings.counters, settings.halfLifeMicroseconds);
  }

  /** An order was taken that shares this prefix with others. */
  public saw(prefix: string): void {
    if (this.settings.isOn && prefix !== '') this.counts.saw(prefix, this.clock.nowMicroseconds());
  }

  /** What is said of it to the fleet; nothing shortly after the last time. */
  public telling(): Readonly<{ demand?: Omit<DemandFact, 'agent'> }> {
    if (!this.settings.isOn) return {};
    const now = this.clock.nowMicroseconds();
    if (now - this.toldMicroseconds < standsMicroseconds) return {};
    this.toldMicroseconds = now;
    const prefixes = this.counts
      .top(DemandLimits.perFact, now)
      .map(({ name, count }) => [name, Math.round(count)] as const)
      .filter(([, count]) => count > 0);
    return { demand: { total: Math.round(this.counts.total(now)), prefixes } };
  }

  /** The most wanted first; the same wherever the same was told. */
  public wanted(): readonly Wanted[] {
    return this.now().wanted;
  }

  public isWanted(prefix: string): boolean {
    return (this.now().byName.get(prefix)?.count ?? 0) >= this.settings.leastCount;
  }

  /** Those of the engines that the prefix's copies belong on, the first one first. */
  public places(prefix: string, engines: readonly string[]): readonly string[] {
    const { wanted, byName } = this.now();
    if (!byName.has(prefix)) return CopyPlaces.usual(prefix, engines);
    const names = engines.join(' ');
    const known = this.assigned.get(names);
    const places = known?.of === wanted ? known.places : this.assign(wanted, engines, names);
    return places.get(prefix) ?? CopyPlaces.usual(prefix, engines);
  }

  private assign(
    wanted: readonly Wanted[],
    engines: readonly string[],
    names: string,
  ): ReadonlyMap<string, readonly string[]> {
    // Why bounded: each of them is weighed against each engine, and in a large pool the first few are most of the demand.
    const first = wanted.slice(0, Math.max(leastAssigned, Math.floor(mostWeighed / engines.length)));
    // Why sorted: lists that come in another order must lead to the same places.
    const places = CopyPlaces.assign(first, [...engines].sort(), this.settings, (prefix, engine) =>
      this.weight(prefix, engine, engines.length),
    );
    // Why several: which engines are kept for short orders changes to and fro.
    this.assigned.delete(names);
    this.assigned.set(names, { of: wanted, places });
    const [oldest] = this.assigned.keys();
    if (this.assigned.size > mostAssignments && oldest !== undefined) this.assigned.delete(oldest);
    return places;
  }

  /** Why kept: places are worked out anew with every change of the demand or of the engines, and weights stay what they are. */
  private weight(prefix: string, engine: string, engines: number): number {
    const before = this.weights.get(prefix);
    // Why anew at last: names of engines that are gone would stay for ever.
    const known = before === undefined || before.size > 2 * engines ? new Map<string, number>() : before;
    const weight = known.get(engine) ?? Rendezvous.weight(prefix, engine);
    known.set(engine, weight);
    // Why deleted first: the map is in the order of the last use, and the oldest give way.
    this.weights.delete(prefix);
    this.weights.set(prefix, known);
    const [oldest] = this.weights.keys();
    if (this.weights.size > 2 * DemandLimits.ranked && oldest !== undefined) this.weights.delete(oldest);
    return weight;
  }

  private now(): Agreed {
    if (!this.settings.isOn) return nobody;
    const mark = `${this.facts.changesOf('demand')}/${this.facts.changesOf('member')}`;
    const now = this.clock.nowMicroseconds();
    if (this.agreed.mark === mark || now - this.agreed.atMicroseconds < standsMicroseconds) return this.agreed;
    const said = this.facts.withPrefix('demand/').flatMap(({ value }) => {
      if (!PrefixDemand.isFact(value)) return [];
      const member = this.facts.value<MemberFact>(FactKeys.member(value.agent));
      // Why only of those that are there: what others were asked for is asked elsewhere by now, and counted there.
      return member !== undefined && MemberStates.isPresent(member) ? [value] : [];
    });
    const wanted = PrefixDemand.ranked(said);
    this.agreed = { mark, atMicroseconds: now, wanted, byName: new Map(wanted.map((item) => [item.name, item])) };
    return this.agreed;
  }
}
