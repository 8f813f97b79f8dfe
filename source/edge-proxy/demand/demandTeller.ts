import type { Clock } from '../../shared/effects/clock/clock';
import { DemandLimits, PrefixDemand, type DemandFact } from '../../shared/demand/prefixDemand';
import type { FactBook } from '../../shared/news/facts';
import { FactKeys } from '../../shared/news/factTypes';

/** Starting values, ours: how long a word stands before the next, in a fleet of up to so many daemons. */
const sayMicroseconds = 2_000_000;
const promptDaemons = 16;

/** Starting values, ours: entries that all daemons tell together, and the least that one tells. */
const entriesOfAll = 288;
const leastEntries = 4;

type Told = Readonly<{ fact: DemandFact; atMicroseconds: number; incarnation: number }>;

/** Says to the fleet what this proxy is asked for: seldom, little, and only when it has changed. */
export class DemandTeller {
  private told: Told | undefined;
  private sequence = 0;

  public constructor(
    private readonly name: string,
    private readonly facts: FactBook,
    private readonly clock: Clock,
    private readonly incarnation: () => number,
    private readonly daemons: () => number,
    /** Name of the agent through which it is said. */
    private readonly agent: () => string = () => name,
  ) {}

  /** What the proxy counted; anything else is no news. */
  public hear(said: unknown): void {
    const fact: unknown = typeof said === 'object' && said !== null ? { ...said, agent: this.agent() } : undefined;
    if (!PrefixDemand.isFact(fact)) return;
    const most = Math.max(leastEntries, Math.min(DemandLimits.perFact, Math.floor(entriesOfAll / this.daemons())));
    this.say({ agent: fact.agent, total: fact.total, prefixes: fact.prefixes.slice(0, most) });
  }

  /** Nobody asks for anything here. */
  public clear(): void {
    if (this.told !== undefined && this.told.fact.total > 0) this.say({ agent: this.agent(), total: 0, prefixes: [] });
  }

  private say(fact: DemandFact): void {
    const now = this.clock.nowMicroseconds();
    const { told } = this;
    // Why longer in a large fleet: what all say together must not grow with the square of their number.
    const pause = sayMicroseconds * Math.max(1, this.daemons() / promptDaemons);
    const stands = told !== undefined && told.fact.agent === fact.agent && told.incarnation === this.incarnation();
    if (stands && (now - told.atMicroseconds < pause || !differs(told.fact, fact))) return;
    this.told = { fact, atMicroseconds: now, incarnation: this.incarnation() };
    this.sequence += 1;
    this.facts.put({ key: FactKeys.demand(this.name), version: [this.incarnation(), this.sequence], value: fact });
  }
}

/** Whether it is worth telling: other prefixes, or a count half as large again or a third smaller. */
const differs = (before: DemandFact, after: DemandFact): boolean => {
  if (isOther(before.total, after.total) || before.prefixes.length !== after.prefixes.length) return true;
  const counts = new Map(before.prefixes);
  return after.prefixes.some(([name, count]) => isOther(counts.get(name) ?? 0, count));
};

const isOther = (before: number, after: number): boolean =>
  Math.abs(after - before) > 1 ? after * 2 > before * 3 || after * 3 < before * 2 : (before === 0) !== (after === 0);
