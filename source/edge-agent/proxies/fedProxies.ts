import type { Clock } from '../../shared/effects/clock/clock';
import type { DemandFact } from '../../shared/demand/prefixDemand';
import { Facts, type Fact, type FactBook } from '../../shared/news/facts';
import { FactKeys, type LoadFact } from '../../shared/news/factTypes';

/** Starting value, ours: after so long without a word from a proxy its agent says that it is silent. */
const silentMicroseconds = 1_500_000;

export type FedProxiesSettings = Readonly<{
  /** Name of this agent. */
  name: string;
  /** What is said of a proxy that is gone is forgotten after this. */
  forgetMicroseconds: number;
}>;

/**
 * The proxies that follow this agent. Each is the author of its own facts; this agent passes them on, and says for a proxy
 * that it no longer hears that it is silent. A higher incarnation of the proxy refutes that, wherever it has gone.
 */
export class FedProxies {
  private readonly heardAt = new Map<string, number>();
  private readonly goneSince = new Map<string, number>();
  private readonly startedMicroseconds: number;

  public constructor(
    private readonly facts: FactBook,
    private readonly clock: Clock,
    private readonly settings: FedProxiesSettings,
    private readonly isPresent: (agent: string) => boolean,
  ) {
    this.startedMicroseconds = clock.nowMicroseconds();
  }

  /** A proxy asked for news, and says facts of its own; facts of anything else are not taken from it. */
  public hear(proxy: string, said: unknown): void {
    this.heardAt.set(proxy, this.clock.nowMicroseconds());
    if (!Facts.isList(said)) return;
    const own = [FactKeys.load(proxy), FactKeys.demand(proxy)];
    for (const fact of said) if (own.includes(fact.key)) this.facts.put(fact);
  }

  /** When a proxy last asked; -Infinity: never. In microseconds of this process's clock. */
  public heardMicroseconds(proxy: string): number {
    return this.heardAt.get(proxy) ?? -Infinity;
  }

  /** Looks after those that were last said through this agent, and forgets those that are long gone. */
  public review(): void {
    for (const fact of this.facts.withPrefix('load/')) {
      const load = fact.value as LoadFact;
      const proxy = fact.key.slice(FactKeys.load('').length);
      if (load.agent === this.settings.name && load.isSilent !== true && this.isSilent(proxy))
        this.withdraw(proxy, fact);
      this.forgetLongGone(proxy, load);
    }
  }

  private isSilent(proxy: string): boolean {
    // Why since the start: what an agent of this name heard before it began anew is not known any more.
    const heard = this.heardAt.get(proxy) ?? this.startedMicroseconds;
    return this.clock.nowMicroseconds() - heard >= silentMicroseconds;
  }

  private withdraw(proxy: string, { version }: Fact): void {
    this.heardAt.delete(proxy);
    const agent = this.settings.name;
    const load: LoadFact = { agent, isSilent: true, engines: {}, classes: {}, waiting: {}, tenants: {} };
    this.facts.put({ key: FactKeys.load(proxy), version: [version[0] + 1, 0], value: load });
    const demand = this.facts.get(FactKeys.demand(proxy));
    if (demand === undefined) return;
    const none: DemandFact = { agent, total: 0, prefixes: [] };
    this.facts.put({ key: demand.key, version: [Math.max(version[0], demand.version[0]) + 1, 0], value: none });
  }

  private forgetLongGone(proxy: string, { agent, isSilent }: LoadFact): void {
    if (isSilent !== true && this.isPresent(agent)) {
      this.goneSince.delete(proxy);
      return;
    }
    const now = this.clock.nowMicroseconds();
    const since = this.goneSince.get(proxy) ?? now;
    this.goneSince.set(proxy, since);
    if (now - since < this.settings.forgetMicroseconds) return;
    this.facts.forget(FactKeys.load(proxy));
    this.facts.forget(FactKeys.demand(proxy));
    this.goneSince.delete(proxy);
  }
}
