import type { Clock } from '../../shared/effects/clock/clock';
import { DemandLimits, PrefixDemand, type DemandEntry } from '../../shared/demand/prefixDemand';
import type { GossipStore } from '../../shared/gossip/gossipStore';
import { GossipKeys } from '../../shared/gossip/entryTypes';

/** Shortest time between two publications, in a fleet of up to `smallFleetDaemons` daemons. */
const publishIntervalMicroseconds = 2_000_000;
const smallFleetDaemons = 16;

/** Number of entries that all daemons publish together, and the smallest number that one daemon may publish. */
const fleetEntries = 288;
const minEntries = 4;

type PublishedDemand = Readonly<{ fact: DemandEntry; atMicroseconds: number; incarnation: number }>;

/** Publishes by gossip which shared prefixes are requested at this proxy: rarely, in few entries, and only on a change. */
export class DemandPublisher {
  private lastPublished: PublishedDemand | undefined;
  private sequence = 0;

  public constructor(
    private readonly name: string,
    private readonly facts: GossipStore,
    private readonly clock: Clock,
    private readonly incarnation: () => number,
    private readonly daemons: () => number,
    /** Name of the agent through which the fact is published. */
    private readonly agent: () => string = () => name,
  ) {}

  /** Publishes the demand that the proxy counted; ignores a value of any other shape. */
  public publish(counted: unknown): void {
    const fact: unknown =
      typeof counted === 'object' && counted !== null ? { ...counted, agent: this.agent() } : undefined;
    if (!PrefixDemand.isEntry(fact)) return;
    const entryCount = Math.max(
      minEntries,
      Math.min(DemandLimits.maxPrefixesPerEntry, Math.floor(fleetEntries / this.daemons())),
    );
    this.publishFact({ agent: fact.agent, total: fact.total, prefixes: fact.prefixes.slice(0, entryCount) });
  }

  /** Publishes that nothing is requested at this proxy any more. */
  public publishNone(): void {
    if (this.lastPublished !== undefined && this.lastPublished.fact.total > 0)
      this.publishFact({ agent: this.agent(), total: 0, prefixes: [] });
  }

  private publishFact(fact: DemandEntry): void {
    const now = this.clock.nowMicroseconds();
    const { lastPublished } = this;
    // The interval grows with the fleet, so that the traffic of all daemons does not grow with the square of their number.
    const interval = publishIntervalMicroseconds * Math.max(1, this.daemons() / smallFleetDaemons);
    const isCurrent =
      lastPublished !== undefined &&
      lastPublished.fact.agent === fact.agent &&
      lastPublished.incarnation === this.incarnation();
    if (isCurrent && (now - lastPublished.atMicroseconds < interval || !differs(lastPublished.fact, fact))) return;
    this.lastPublished = { fact, atMicroseconds: now, incarnation: this.incarnation() };
    this.sequence += 1;
    this.facts.put({ key: GossipKeys.demand(this.name), version: [this.incarnation(), this.sequence], value: fact });
  }
}

/** Whether a change is worth publishing: other prefixes, or a count that grew by half or shrank by a third. */
const differs = (before: DemandEntry, after: DemandEntry): boolean => {
  if (isSignificantChange(before.total, after.total) || before.prefixes.length !== after.prefixes.length) return true;
  const counts = new Map(before.prefixes);
  return after.prefixes.some(([name, count]) => isSignificantChange(counts.get(name) ?? 0, count));
};

const isSignificantChange = (before: number, after: number): boolean =>
  Math.abs(after - before) > 1 ? after * 2 > before * 3 || after * 3 < before * 2 : (before === 0) !== (after === 0);
