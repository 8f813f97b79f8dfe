import type { Clock } from '../../shared/effects/clock/clock';
import type { DemandFact } from '../../shared/demand/prefixDemand';
import { FactVersions, type Fact, type FactBook, type FactVersion } from '../../shared/news/facts';
import { FactKeys, type LoadFact } from '../../shared/news/factTypes';
import { DemandTeller } from '../demand/demandTeller';

export type ProxyLoad = Omit<LoadFact, 'agent' | 'isSilent'>;

/** Starting values, ours: up to so many proxies each says its load at once; how much longer one stands with each as many more. */
const promptProxies = 16;
const pauseMicroseconds = 120_000;

/** Own loads that are remembered, since an agent may have counted the one before the last. */
const mostKeptLoads = 6;

type SaidLoad = Readonly<{ version: FactVersion; load: LoadFact }>;

/**
 * What a proxy says of itself to the fleet, through whichever agent feeds it. The proxy is the only author of these facts but
 * for agents that call it silent: a higher incarnation refutes them, and what an earlier life of it said.
 */
export class ProxyFacts {
  private incarnation = 1;
  private sequence = 0;
  private saidMicroseconds = -Infinity;
  private said = '';
  private keptLoads: readonly SaidLoad[] = [];
  private readonly demand: DemandTeller;

  public constructor(
    private readonly name: string,
    private readonly facts: FactBook,
    private readonly clock: Clock,
    /** Proxies that seem to be there. */
    private readonly proxies: () => number,
    /** Name of the agent through which it is said. */
    private readonly agent: () => string,
  ) {
    this.demand = new DemandTeller(name, facts, clock, () => this.incarnation, proxies, agent);
  }

  /** Says what runs here now. A load that is as it was, or that comes too soon after the last one, is not said. */
  public sayLoad(given: ProxyLoad): void {
    const isRefuted = this.defend();
    const load: LoadFact = { agent: this.agent(), ...given };
    const text = JSON.stringify(load);
    const now = this.clock.nowMicroseconds();
    if (!isRefuted && (now - this.saidMicroseconds < this.pause() || text === this.said)) return;
    this.saidMicroseconds = now;
    this.said = text;
    this.sequence += 1;
    const version: FactVersion = [this.incarnation, this.sequence];
    this.facts.put({ key: FactKeys.load(this.name), version, value: load });
    this.keptLoads = [...this.keptLoads, { version, load }].slice(-mostKeptLoads);
  }

  /** The load that was said under a version; undefined: none, or too long ago. */
  public loadSaidAs(version: FactVersion): LoadFact | undefined {
    return this.keptLoads.find((said) => FactVersions.compare(said.version, version) === 0)?.load;
  }

  /** Says what is asked for most here, if it is time to. */
  public sayDemand(counted: Omit<DemandFact, 'agent'> | undefined): void {
    if (counted !== undefined) this.demand.hear(counted);
  }

  /** What an agent is to know of this proxy. */
  public own(): readonly Fact[] {
    return [FactKeys.load(this.name), FactKeys.demand(this.name)].flatMap((key) => this.facts.get(key) ?? []);
  }

  /** Whether somebody else has said something of this proxy under a later version; then its incarnation rises above it. */
  private defend(): boolean {
    const loads = this.facts.get(FactKeys.load(this.name))?.version ?? [0, 0];
    const demands = this.facts.get(FactKeys.demand(this.name))?.version ?? [0, 0];
    const isForeign = loads[0] > this.incarnation || loads[1] > this.sequence || demands[0] > this.incarnation;
    if (isForeign) this.incarnation = Math.max(loads[0], demands[0], this.incarnation) + 1;
    return isForeign;
  }

  /** Why longer in a large fleet: all loads together travel with each exchange, and what they count is soon over. */
  private pause(): number {
    return pauseMicroseconds * Math.max(0, this.proxies() / promptProxies - 1);
  }
}
