import type { Clock } from '../../shared/effects/clock/clock';
import { FleetVotes, type FleetName } from '../../shared/fleet/fleetName';

/** Shortest interval between requests to seeds while no agent answers. */
const requestIntervalMicroseconds = 200_000;

export type SeedSelectorSettings = Readonly<{
  seeds: readonly string[];
  /** No address in this network ever belongs to another fleet, so the answer of one seed is enough to find the fleet. */
  isOnlyFleet: boolean;
}>;

/** The seeds of a proxy that no agent answers: asks them in turn and determines the fleet from their answers. */
export class SeedSelector {
  private readonly fleetBySeed = new Map<string, string>();
  private seeds: readonly string[];
  private nextIndex = 0;
  private askedMicroseconds = -Infinity;

  public constructor(
    private readonly clock: Clock,
    private readonly fleet: FleetName,
    private readonly settings: SeedSelectorSettings,
  ) {
    this.seeds = settings.seeds;
  }

  /** Replaces the seeds given at the start. */
  public setSeeds(seeds: readonly string[]): void {
    this.seeds = seeds;
  }

  /** The seed to ask now; undefined: there is none, or the interval since the last request has not passed. */
  public next(): string | undefined {
    const now = this.clock.nowMicroseconds();
    if (now - this.askedMicroseconds < requestIntervalMicroseconds) return undefined;
    this.askedMicroseconds = now;
    this.nextIndex += 1;
    return this.seeds[this.nextIndex % Math.max(1, this.seeds.length)];
  }

  /** A seed answered with the name of its fleet; empty: it does not know it. */
  public recordAnswer(seed: string, fleet: string): void {
    this.fleetBySeed.set(seed, fleet);
    const names = [...this.fleetBySeed].filter(([one]) => this.seeds.includes(one)).map(([, name]) => name);
    const chosen = this.settings.isOnlyFleet
      ? FleetVotes.unanimous(names)
      : FleetVotes.majority(names, this.seeds.length);
    if (chosen !== '') this.fleet.learn(chosen);
  }
}
