import type { Clock } from '../../shared/effects/clock/clock';
import type { DemandEntry } from '../../shared/demand/prefixDemand';
import { EntryVersions, type GossipEntry, type GossipStore, type EntryVersion } from '../../shared/gossip/gossipStore';
import { GossipKeys, type LoadEntry } from '../../shared/gossip/entryTypes';
import { DemandPublisher } from '../demand/demandPublisher';

export type ProxyLoad = Omit<LoadEntry, 'agent' | 'isSilent'>;

/** Up to this many proxies publish each change of load at once; the shortest interval grows by this much with each as many more. */
const smallFleetProxies = 16;
const intervalStepMicroseconds = 120_000;

/** Number of this proxy's published loads that are remembered, since an agent may have counted an earlier one than the last. */
const maxRememberedLoads = 6;

type PublishedLoad = Readonly<{ version: EntryVersion; load: LoadEntry }>;

/**
 * Publishes the facts of a proxy about itself through the agent that it subscribes to. The proxy is the only author of these
 * facts, except that agents may report it as silent: a higher incarnation refutes such reports and the facts of an earlier
 * process of the same proxy.
 */
export class ProxyFacts {
  private incarnation = 1;
  private sequence = 0;
  private publishedMicroseconds = -Infinity;
  private publishedText = '';
  private rememberedLoads: readonly PublishedLoad[] = [];
  private readonly demandPublisher: DemandPublisher;

  public constructor(
    private readonly name: string,
    private readonly facts: GossipStore,
    private readonly clock: Clock,
    /** Number of proxies that seem to be present. */
    private readonly proxies: () => number,
    /** Name of the agent through which facts are published. */
    private readonly agent: () => string,
  ) {
    this.demandPublisher = new DemandPublisher(name, facts, clock, () => this.incarnation, proxies, agent);
  }

  /** Publishes the present load, unless it is unchanged or comes too soon after the last one. */
  public publishLoad(proxyLoad: ProxyLoad): void {
    const isRefuted = this.refute();
    const load: LoadEntry = { agent: this.agent(), ...proxyLoad };
    const text = JSON.stringify(load);
    const now = this.clock.nowMicroseconds();
    if (!isRefuted && (now - this.publishedMicroseconds < this.interval() || text === this.publishedText)) return;
    this.publishedMicroseconds = now;
    this.publishedText = text;
    this.sequence += 1;
    const version: EntryVersion = [this.incarnation, this.sequence];
    this.facts.put({ key: GossipKeys.load(this.name), version, value: load });
    this.rememberedLoads = [...this.rememberedLoads, { version, load }].slice(-maxRememberedLoads);
  }

  /** The load published under a version; undefined: none, or it is no longer remembered. */
  public publishedLoad(version: EntryVersion): LoadEntry | undefined {
    return this.rememberedLoads.find((published) => EntryVersions.compare(published.version, version) === 0)?.load;
  }

  /** Publishes the prefixes most requested at this proxy, if the interval since the last publication has passed. */
  public publishDemand(counted: Omit<DemandEntry, 'agent'> | undefined): void {
    if (counted !== undefined) this.demandPublisher.publish(counted);
  }

  /** The facts of this proxy that are sent to its agent. */
  public ownFacts(): readonly GossipEntry[] {
    return [GossipKeys.load(this.name), GossipKeys.demand(this.name)].flatMap((key) => this.facts.get(key) ?? []);
  }

  /** Whether another author has published a fact of this proxy under a later version; if so, raises the incarnation above it. */
  private refute(): boolean {
    const loads = this.facts.get(GossipKeys.load(this.name))?.version ?? [0, 0];
    const demands = this.facts.get(GossipKeys.demand(this.name))?.version ?? [0, 0];
    const isForeign = loads[0] > this.incarnation || loads[1] > this.sequence || demands[0] > this.incarnation;
    if (isForeign) this.incarnation = Math.max(loads[0], demands[0], this.incarnation) + 1;
    return isForeign;
  }

  /** The interval grows with the fleet because all loads travel with each gossip exchange, and the sends they count soon end. */
  private interval(): number {
    return intervalStepMicroseconds * Math.max(0, this.proxies() / smallFleetProxies - 1);
  }
}
