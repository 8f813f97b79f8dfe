import type { Clock } from '../../shared/effects/clock/clock';
import { Rendezvous } from '../../shared/rendezvous/rendezvous';

/** An agent that this proxy may subscribe to. */
export type KnownAgent = Readonly<{ name: string; address: string; zone: string }>;

type BackOff = Readonly<{ failures: number; untilMicroseconds: number }>;

/** How long an agent that did not answer is not asked again; doubled with each further failure. */
const firstBackOffMicroseconds = 500_000;
const mostBackOffMicroseconds = 8_000_000;

/**
 * Selects the agent that this proxy subscribes to: the one on its own machine if there is one, else one of its zone, else any.
 * An agent that does not answer is skipped for a back-off time, and the next one is asked.
 */
export class AgentSelector {
  private readonly backOffs = new Map<string, BackOff>();
  private readonly localAgent: KnownAgent;
  private current: KnownAgent;
  private cachedRanking: Readonly<{ of: readonly KnownAgent[]; ranked: readonly KnownAgent[] }> = {
    of: [],
    ranked: [],
  };
  private hasAnswer = false;

  public constructor(
    self: Readonly<{ name: string; zone: string; agentAddress: string }>,
    private readonly clock: Clock,
    /** Agents that seem to be present; the same array as long as none joins or leaves. */
    private readonly known: () => readonly KnownAgent[],
  ) {
    this.localAgent = { name: self.name, zone: self.zone, address: self.agentAddress };
    this.current = this.localAgent;
    this.cachedRanking = { of: [], ranked: [this.localAgent] };
  }

  /** Address of the agent that answered last; directory notes and grant requests are sent to it. */
  public get address(): string {
    return this.current.address;
  }

  /** Name of that agent. */
  public get agent(): string {
    return this.current.name;
  }

  /** Whether no known agent answers, so that a seed must be asked. */
  public get needsSeed(): boolean {
    return !this.hasAnswer || this.order().every(({ address }) => this.isBackedOff(address));
  }

  public recordAnswer(address: string): void {
    const agent = this.order().find((one) => one.address === address);
    if (agent === undefined) return;
    this.backOffs.delete(address);
    this.hasAnswer = true;
    // A lower-ranked agent does not replace a higher-ranked one that answers too, so that notes and loads take one path.
    const order = this.order();
    const isLowerRanked = order.indexOf(this.current) >= 0 && order.indexOf(this.current) < order.indexOf(agent);
    if (!isLowerRanked || this.backOffs.has(this.current.address)) this.current = agent;
  }

  public recordFailure(address: string): void {
    const failures = (this.backOffs.get(address)?.failures ?? 0) + 1;
    const backOff = Math.min(mostBackOffMicroseconds, firstBackOffMicroseconds * 2 ** (failures - 1));
    this.backOffs.set(address, { failures, untilMicroseconds: this.clock.nowMicroseconds() + backOff });
  }

  /**
   * The agents to ask now, the best first: the best one, the one that answered last, so that trying another agent leaves no gap,
   * and a further one if the knowledge of the first is stale.
   */
  public targets(isStale: boolean): readonly string[] {
    const order = this.order();
    const available = order.filter(({ address }) => !this.isBackedOff(address));
    const first = available[0] ?? this.earliestRetry(order);
    const last = available.find(({ address }) => address === this.current.address);
    const further = isStale ? available[1] : undefined;
    return [...new Set([first, last, further].flatMap((agent) => agent?.address ?? []))];
  }

  private isBackedOff(address: string): boolean {
    const backOff = this.backOffs.get(address);
    return backOff !== undefined && this.clock.nowMicroseconds() < backOff.untilMicroseconds;
  }

  private earliestRetry(order: readonly KnownAgent[]): KnownAgent | undefined {
    const until = ({ address }: KnownAgent): number => this.backOffs.get(address)?.untilMicroseconds ?? 0;
    return [...order].sort((left, right) => until(left) - until(right))[0];
  }

  /**
   * Ranked by rendezvous hashing: the proxies of a zone spread over its agents, and those of an agent that does not answer spread
   * over the others.
   */
  private order(): readonly KnownAgent[] {
    const known = this.known();
    if (this.cachedRanking.of === known) return this.cachedRanking.ranked;
    const others = new Map(
      known.filter(({ address }) => address !== this.localAgent.address).map((one) => [one.name, one]),
    );
    const ranked = Rendezvous.order(`feeder/${this.localAgent.name}`, [...others.keys()]);
    const agents = ranked.flatMap((name) => others.get(name) ?? []);
    const sameZone = agents.filter(({ zone }) => zone === this.localAgent.zone);
    const otherZones = agents.filter(({ zone }) => zone !== this.localAgent.zone);
    this.cachedRanking = { of: known, ranked: [this.localAgent, ...sameZone, ...otherZones] };
    for (const address of this.backOffs.keys())
      if (!this.cachedRanking.ranked.some((one) => one.address === address)) this.backOffs.delete(address);
    return this.cachedRanking.ranked;
  }
}
