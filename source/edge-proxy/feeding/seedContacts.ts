import type { Clock } from '../../shared/effects/clock/clock';
import { FleetVotes, type FleetName } from '../../shared/fleet/fleetName';

/** Starting value, ours: how often a proxy that nobody feeds asks a seed. */
const pauseMicroseconds = 200_000;

export type SeedContactsSettings = Readonly<{
  seeds: readonly string[];
  /** No address here ever belongs to another fleet, so one seed that answers is enough to find the fleet. */
  isOnlyFleet: boolean;
}>;

/** The first contacts of a proxy without an agent of its own: one after the other, and which fleet they lead to. */
export class SeedContacts {
  private readonly said = new Map<string, string>();
  private seeds: readonly string[];
  private turn = 0;
  private askedMicroseconds = -Infinity;

  public constructor(
    private readonly clock: Clock,
    private readonly fleet: FleetName,
    private readonly settings: SeedContactsSettings,
  ) {
    this.seeds = settings.seeds;
  }

  /** Other first contacts than those that were told at the start. */
  public seedsAre(seeds: readonly string[]): void {
    this.seeds = seeds;
  }

  /** The seed to ask now; undefined: there is none, or one was asked a moment ago. */
  public next(): string | undefined {
    const now = this.clock.nowMicroseconds();
    if (now - this.askedMicroseconds < pauseMicroseconds) return undefined;
    this.askedMicroseconds = now;
    this.turn += 1;
    return this.seeds[this.turn % Math.max(1, this.seeds.length)];
  }

  /** A seed said which fleet it leads to; empty: it does not know. */
  public heard(seed: string, fleet: string): void {
    this.said.set(seed, fleet);
    const names = [...this.said].filter(([one]) => this.seeds.includes(one)).map(([, name]) => name);
    const chosen = this.settings.isOnlyFleet ? FleetVotes.judgeOnly(names) : FleetVotes.judge(names, this.seeds.length);
    if (chosen !== '') this.fleet.learn(chosen);
  }
}
