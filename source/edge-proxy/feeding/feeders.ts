import type { Clock } from '../../shared/effects/clock/clock';
import { Rendezvous } from '../../shared/rendezvous/rendezvous';

/** An agent that may feed this proxy. */
export type Feeder = Readonly<{ name: string; address: string; zone: string }>;

type Silence = Readonly<{ failures: number; untilMicroseconds: number }>;

/** Starting values, ours: how long a silent agent is left alone, doubled with each time it is silent again. */
const firstBackOffMicroseconds = 500_000;
const mostBackOffMicroseconds = 8_000_000;

/**
 * Which agent feeds this proxy: the one on its own machine where there is one, else one of its zone, else any. One that is
 * silent is left alone for a while, and the next in line is asked.
 */
export class Feeders {
  private readonly silences = new Map<string, Silence>();
  private readonly own: Feeder;
  private feeding: Feeder;
  private line: Readonly<{ of: readonly Feeder[]; order: readonly Feeder[] }> = { of: [], order: [] };
  private hasHeard = false;

  public constructor(
    self: Readonly<{ name: string; zone: string; agentAddress: string }>,
    private readonly clock: Clock,
    /** Agents that seem to be there; the same list while none came or went. */
    private readonly known: () => readonly Feeder[],
  ) {
    this.own = { name: self.name, zone: self.zone, address: self.agentAddress };
    this.feeding = this.own;
    this.line = { of: [], order: [this.own] };
  }

  /** Whom notes and grants go through: the agent that answered last. */
  public get address(): string {
    return this.feeding.address;
  }

  /** Name of that agent. */
  public get agent(): string {
    return this.feeding.name;
  }

  /** Nobody known feeds it, so that a first contact is needed. */
  public get isLost(): boolean {
    return !this.hasHeard || this.order().every(({ address }) => this.isSilent(address));
  }

  public heard(address: string): void {
    const feeder = this.order().find((one) => one.address === address);
    if (feeder === undefined) return;
    this.silences.delete(address);
    this.hasHeard = true;
    // Why not a later one while an earlier one answers too: notes and loads go one way.
    const order = this.order();
    const isBehind = order.indexOf(this.feeding) >= 0 && order.indexOf(this.feeding) < order.indexOf(feeder);
    if (!isBehind || this.silences.has(this.feeding.address)) this.feeding = feeder;
  }

  public unheard(address: string): void {
    const failures = (this.silences.get(address)?.failures ?? 0) + 1;
    const backOff = Math.min(mostBackOffMicroseconds, firstBackOffMicroseconds * 2 ** (failures - 1));
    this.silences.set(address, { failures, untilMicroseconds: this.clock.nowMicroseconds() + backOff });
  }

  /**
   * The agents to ask now, the best first: one, and beside it the one that answered last, so that trying another leaves no
   * gap; a further one where what the first knows has grown old.
   */
  public targets(isStale: boolean): readonly string[] {
    const order = this.order();
    const able = order.filter(({ address }) => !this.isSilent(address));
    const first = able[0] ?? this.soonest(order);
    const last = able.find(({ address }) => address === this.feeding.address);
    const further = isStale ? able[1] : undefined;
    return [...new Set([first, last, further].flatMap((feeder) => feeder?.address ?? []))];
  }

  private isSilent(address: string): boolean {
    const silence = this.silences.get(address);
    return silence !== undefined && this.clock.nowMicroseconds() < silence.untilMicroseconds;
  }

  private soonest(order: readonly Feeder[]): Feeder | undefined {
    const until = ({ address }: Feeder): number => this.silences.get(address)?.untilMicroseconds ?? 0;
    return [...order].sort((left, right) => until(left) - until(right))[0];
  }

  /** Why by rendezvous: the proxies of a zone spread over its agents, and those of a silent one over the others. */
  private order(): readonly Feeder[] {
    const known = this.known();
    if (this.line.of === known) return this.line.order;
    const others = new Map(known.filter(({ address }) => address !== this.own.address).map((one) => [one.name, one]));
    const ranked = Rendezvous.order(`feeder/${this.own.name}`, [...others.keys()]);
    const feeders = ranked.flatMap((name) => others.get(name) ?? []);
    const near = feeders.filter(({ zone }) => zone === this.own.zone);
    const far = feeders.filter(({ zone }) => zone !== this.own.zone);
    this.line = { of: known, order: [this.own, ...near, ...far] };
    for (const address of this.silences.keys())
      if (!this.line.order.some((one) => one.address === address)) this.silences.delete(address);
    return this.line.order;
  }
}
