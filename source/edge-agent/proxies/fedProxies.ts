import type { Clock } from '../../shared/effects/clock/clock';
import type { DemandFact } from '../../shared/demand/prefixDemand';
import { Facts, type Fact, type FactBook } from '../../shared/news/facts';
import { FactKeys, type LoadFact } from '../../shared/news/factTypes';

/** An agent reports a proxy as silent after this time without a request from it. */
const silenceLimitMicroseconds = 1_500_000;

export type FedProxiesSettings = Readonly<{
  /** Name of this agent. */
  name: string;
  /** The gossip entries of a proxy that is gone are removed after this time. */
  forgetMicroseconds: number;
}>;

/**
 * The proxies that get their updates from this agent. Each proxy writes its own gossip entries; this agent distributes
 * them, and marks a proxy as silent when its requests stop. The proxy refutes that with a higher incarnation, through any
 * agent.
 */
export class FedProxies {
  private readonly lastRequestAt = new Map<string, number>();
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

  /** Records a gossip request of a proxy and stores its own entries; entries of any other process are ignored. */
  public hear(proxy: string, entries: unknown): void {
    this.lastRequestAt.set(proxy, this.clock.nowMicroseconds());
    if (!Facts.isList(entries)) return;
    const own = [FactKeys.load(proxy), FactKeys.demand(proxy)];
    for (const fact of entries) if (own.includes(fact.key)) this.facts.put(fact);
  }

  /** The time of a proxy's last request by the clock of this process; -Infinity: none. */
  public heardMicroseconds(proxy: string): number {
    return this.lastRequestAt.get(proxy) ?? -Infinity;
  }

  /** Marks silent proxies whose latest entries came through this agent, and removes the entries of proxies long gone. */
  public review(): void {
    for (const fact of this.facts.withPrefix('load/')) {
      const load = fact.value as LoadFact;
      const proxy = fact.key.slice(FactKeys.load('').length);
      if (load.agent === this.settings.name && load.isSilent !== true && this.isSilent(proxy))
        this.withdraw(proxy, fact);
      this.removeLongGone(proxy, load);
    }
  }

  private isSilent(proxy: string): boolean {
    // Without a request, the time counts from the start: contacts before a restart of this agent are not known any more.
    const lastRequest = this.lastRequestAt.get(proxy) ?? this.startedMicroseconds;
    return this.clock.nowMicroseconds() - lastRequest >= silenceLimitMicroseconds;
  }

  private withdraw(proxy: string, { version }: Fact): void {
    this.lastRequestAt.delete(proxy);
    const agent = this.settings.name;
    const load: LoadFact = { agent, isSilent: true, engines: {}, classes: {}, waiting: {}, tenants: {} };
    this.facts.put({ key: FactKeys.load(proxy), version: [version[0] + 1, 0], value: load });
    const demand = this.facts.get(FactKeys.demand(proxy));
    if (demand === undefined) return;
    const emptyDemand: DemandFact = { agent, total: 0, prefixes: [] };
    this.facts.put({ key: demand.key, version: [Math.max(version[0], demand.version[0]) + 1, 0], value: emptyDemand });
  }

  private removeLongGone(proxy: string, { agent, isSilent }: LoadFact): void {
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
