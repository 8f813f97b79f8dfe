import type { Clock } from '../../shared/effects/clock/clock';
import type { DemandEntry } from '../../shared/demand/prefixDemand';
import { GossipValidation, type GossipEntry, type GossipStore } from '../../shared/gossip/gossipStore';
import { GossipKeys, type LoadEntry } from '../../shared/gossip/entryTypes';

/** An agent reports a proxy as silent after this time without a request from it. */
const silenceLimitMicroseconds = 1_500_000;

export type AttachedProxiesSettings = Readonly<{
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
export class AttachedProxies {
  private readonly lastRequestAt = new Map<string, number>();
  private readonly goneSince = new Map<string, number>();
  private readonly startedMicroseconds: number;

  public constructor(
    private readonly facts: GossipStore,
    private readonly clock: Clock,
    private readonly settings: AttachedProxiesSettings,
    private readonly isPresent: (agent: string) => boolean,
  ) {
    this.startedMicroseconds = clock.nowMicroseconds();
  }

  /** Records a gossip request of a proxy and stores its own entries; entries of any other process are ignored. */
  public recordRequest(proxy: string, entries: unknown): void {
    this.lastRequestAt.set(proxy, this.clock.nowMicroseconds());
    if (!GossipValidation.isList(entries)) return;
    const own = [GossipKeys.load(proxy), GossipKeys.demand(proxy)];
    for (const fact of entries) if (own.includes(fact.key)) this.facts.put(fact);
  }

  /** The time of a proxy's last request by the clock of this process; -Infinity: none. */
  public lastRequestMicroseconds(proxy: string): number {
    return this.lastRequestAt.get(proxy) ?? -Infinity;
  }

  /** Marks silent proxies whose latest entries came through this agent, and removes the entries of proxies long gone. */
  public updatePresence(): void {
    for (const fact of this.facts.withPrefix('load/')) {
      const load = fact.value as LoadEntry;
      const proxy = fact.key.slice(GossipKeys.load('').length);
      if (load.agent === this.settings.name && load.isSilent !== true && this.isSilent(proxy))
        this.markSilent(proxy, fact);
      this.removeLongGone(proxy, load);
    }
  }

  private isSilent(proxy: string): boolean {
    // Without a request, the time counts from the start: contacts before a restart of this agent are not known any more.
    const lastRequest = this.lastRequestAt.get(proxy) ?? this.startedMicroseconds;
    return this.clock.nowMicroseconds() - lastRequest >= silenceLimitMicroseconds;
  }

  private markSilent(proxy: string, { version }: GossipEntry): void {
    this.lastRequestAt.delete(proxy);
    const agent = this.settings.name;
    const load: LoadEntry = { agent, isSilent: true, engines: {}, classes: {}, waiting: {}, tenants: {} };
    this.facts.put({ key: GossipKeys.load(proxy), version: [version[0] + 1, 0], value: load });
    const demand = this.facts.get(GossipKeys.demand(proxy));
    if (demand === undefined) return;
    const emptyDemand: DemandEntry = { agent, total: 0, prefixes: [] };
    this.facts.put({ key: demand.key, version: [Math.max(version[0], demand.version[0]) + 1, 0], value: emptyDemand });
  }

  private removeLongGone(proxy: string, { agent, isSilent }: LoadEntry): void {
    if (isSilent !== true && this.isPresent(agent)) {
      this.goneSince.delete(proxy);
      return;
    }
    const now = this.clock.nowMicroseconds();
    const since = this.goneSince.get(proxy) ?? now;
    this.goneSince.set(proxy, since);
    if (now - since < this.settings.forgetMicroseconds) return;
    this.facts.forget(GossipKeys.load(proxy));
    this.facts.forget(GossipKeys.demand(proxy));
    this.goneSince.delete(proxy);
  }
}
