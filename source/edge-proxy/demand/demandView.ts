import type { Clock } from '../../shared/effects/clock/clock';
import { CopyPlaces, type CopyPlacesSettings } from '../../shared/demand/copyPlaces';
import { HeavyHitters } from '../../shared/demand/heavyHitters';
import { DemandLimits, PrefixDemand, type DemandFact, type Wanted } from '../../shared/demand/prefixDemand';
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
    /** A store that is fuller than this is sent only what is wanted or asked for again; in per mille of its memory. */
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
} as const;

type Agreed = Readonly<{ mark: string; wanted: readonly Wanted[]; byName: ReadonlyMap<string, Wanted> }>;
type Places = Readonly<{ of: readonly Wanted[]; engines: string; places: ReadonlyMap<string, readonly string[]> }>;

const nobody: Agreed = { mark: '', wanted: [], byName: new Map() };

/** Which prefixes are most in demand: counted here, told to the fleet, and agreed on from what all have told. */
export class DemandView {
  private readonly counts: HeavyHitters;
  private agreed: Agreed = nobody;
  private readonly assigned = new Map<string, Places>();

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

  /** For the agent beside it, which says it to the fleet. */
  public telling(): Readonly<{ demand?: Omit<DemandFact, 'agent'> }> {
    if (!this.settings.isOn) return {};
    const now = this.clock.nowMicroseconds();
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

  /** The engines of a service that the prefix's copies belong on, the first one first. */
  public places(service: string, prefix: string, engines: readonly string[]): readonly string[] {
    const { wanted, byName } = this.now();
    if (!byName.has(prefix)) return CopyPlaces.usual(prefix, engines);
    const names = engines.join(' ');
    const known = this.assigned.get(service);
    if (known?.of === wanted && known.engines === names) return known.places.get(prefix) ?? [];
    // Why sorted: lists that come in another order must lead to the same places.
    const places = CopyPlaces.assign(wanted, [...engines].sort(), this.settings);
    this.assigned.set(service, { of: wanted, engines: names, places });
    return places.get(prefix) ?? [];
  }

  private now(): Agreed {
    if (!this.settings.isOn) return nobody;
    const mark = `${this.facts.changesOf('demand')}/${this.facts.changesOf('member')}`;
    if (this.agreed.mark === mark) return this.agreed;
    const said = this.facts.withPrefix('demand/').flatMap(({ value }) => {
      if (!PrefixDemand.isFact(value)) return [];
      const member = this.facts.value<MemberFact>(FactKeys.member(value.agent));
      // Why only of those that are there: what others were asked for is asked elsewhere by now, and counted there.
      return member !== undefined && MemberStates.isPresent(member) ? [value] : [];
    });
    const wanted = PrefixDemand.ranked(said);
    this.agreed = { mark, wanted, byName: new Map(wanted.map((item) => [item.name, item])) };
    return this.agreed;
  }
}
