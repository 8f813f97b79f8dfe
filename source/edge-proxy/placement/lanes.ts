import type { Clock } from '../../shared/effects/clock/clock';
import { Rendezvous } from '../../shared/rendezvous/rendezvous';

export type LaneSettings = Readonly<{
  /** An order that is read faster than this is a short one. */
  shortMicroseconds: number;
  /** Over so long the mix of short and long orders is looked back at. */
  lookBackMicroseconds: number;
  /** Engines kept for short orders, in per mille of their part of the work. Short orders wait little, and fill them well. */
  headroomPerMille: number;
  /** Work of one token that is put out, where an engine runs one order alone. */
  outputMicroseconds: number;
}>;

export const LaneSettings = {
  usual: {
    shortMicroseconds: 30_000,
    lookBackMicroseconds: 6_000_000,
    headroomPerMille: 700,
    outputMicroseconds: 4_000,
  } satisfies LaneSettings,
} as const;

type Mix = { short: number; long: number; at: number };

/**
 * Engines of a pool that short orders have to themselves while there is room elsewhere. Why: an engine reads one long
 * prompt after the other, and a short order that comes while it does waits for all of it. Proxies learn of each
 * other's reading too late to step aside each time; which engines are kept free all of them work out alike.
 */
export class Lanes {
  private readonly mixes = new Map<string, Mix>();
  private readonly orders = new Map<string, Readonly<{ of: string; names: readonly string[] }>>();

  public constructor(
    private readonly clock: Clock,
    private readonly settings: LaneSettings,
  ) {}

  public isShort(readMicroseconds: number): boolean {
    return readMicroseconds < this.settings.shortMicroseconds;
  }

  /** One order was placed: how long reading what its engine lacks takes, and what it may put out there. */
  public saw(
    service: string,
    readMicroseconds: number,
    outputTokens: number,
    capacity: number,
    isShort: boolean,
  ): void {
    const mix = this.faded(service);
    const work = readMicroseconds + (outputTokens * this.settings.outputMicroseconds) / Math.max(1, capacity);
    if (isShort) mix.short += work;
    else mix.long += work;
    this.mixes.set(service, mix);
  }

  /** The engines kept for short orders; none while there is nothing to keep apart. */
  public of(service: string, engines: readonly string[]): ReadonlySet<string> {
    const { short, long } = this.faded(service);
    if (engines.length < 2 || short === 0 || long === 0) return new Set();
    const part = (short / (short + long)) * (this.settings.headroomPerMille / 1000);
    const count = Math.min(engines.length - 1, Math.max(1, Math.round(engines.length * part)));
    return new Set(this.ordered(service, engines).slice(0, count));
  }

  private ordered(service: string, engines: readonly string[]): readonly string[] {
    const of = engines.join(' ');
    const known = this.orders.get(service);
    if (known?.of === of) return known.names;
    const names = Rendezvous.order(`lanes/${service}`, engines);
    this.orders.set(service, { of, names });
    return names;
  }

  private faded(service: string): Mix {
    const now = this.clock.nowMicroseconds();
    const mix = this.mixes.get(service) ?? { short: 0, long: 0, at: now };
    const fade = Math.exp(-(now - mix.at) / this.settings.lookBackMicroseconds);
    return { short: mix.short * fade, long: mix.long * fade, at: now };
  }
}
