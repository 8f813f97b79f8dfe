import type { Clock } from '../../shared/effects/clock/clock';
import type { WorkMix } from '../../shared/news/factTypes';
import { Rendezvous } from '../../shared/rendezvous/rendezvous';

export type LaneSettings = Readonly<{
  /** An order that is read faster than this is a short one. */
  shortMicroseconds: number;
  /** Over so long the mix of short and long orders is looked back at. */
  lookBackMicroseconds: number;
  /** Engines kept for short orders, in per mille of their part of the work; 0: none. Short orders wait little, and fill them well. */
  headroomPerMille: number;
  /** Work of one token that is put out, where an engine runs one order alone. */
  outputMicroseconds: number;
  /**
   * The part of their time, in per mille, that engines kept for short orders work at the most, where proxies choose by old news of each
   * other; 0: not bounded.
   */
  busyPerMille: number;
  /** Of all engines so many are kept for short orders at the most, in per mille, to keep that bound. */
  mostPerMille: number;
}>;

export const LaneSettings = {
  usual: {
    shortMicroseconds: 30_000,
    lookBackMicroseconds: 6_000_000,
    headroomPerMille: 700,
    outputMicroseconds: 4_000,
    busyPerMille: 450,
    mostPerMille: 500,
  } satisfies LaneSettings,
} as const;

type Mix = { short: number; long: number; at: number };

/** What mixes are told in. Why no finer: a mix that fades must not be news at each moment. */
const toldMicroseconds = 10_000;
const noMix: WorkMix = [0, 0];

/**
 * Engines of a pool that short orders have to themselves while there is room elsewhere. Why: an engine reads one long
 * prompt after the other, and a short order that comes while it does waits for all of it. Proxies learn of each
 * other's reading too late to step aside each time; which engines are kept free all of them work out alike, from the mix
 * of orders that all of them together have seen. Why not each from its own: in a large fleet one sees a long order now and
 * then, so their lanes would differ, and long orders of one would stand in the lane of another.
 */
export class Lanes {
  private readonly seen = new Map<string, Mix>();
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
    this.seen.set(service, mix);
  }

  /** What this proxy tells the others of its own orders, by pool. */
  public mixes(): Readonly<Record<string, WorkMix>> {
    return Object.fromEntries(
      [...this.seen.keys()].flatMap((service): readonly (readonly [string, WorkMix])[] => {
        const { short, long } = this.faded(service);
        const told: WorkMix = [Math.round(short / toldMicroseconds), Math.round(long / toldMicroseconds)];
        return told[0] + told[1] > 0 ? [[service, told]] : [];
      }),
    );
  }

  /**
   * The engines kept for short orders; none while there is nothing to keep apart. `others`: the mix of all other proxies. `isByOldNews`:
   * proxies choose among these engines by old news of each other, so that more room is needed.
   */
  public of(
    service: string,
    engines: readonly string[],
    others: WorkMix = noMix,
    isByOldNews = false,
  ): ReadonlySet<string> {
    const own = this.faded(service);
    const short = own.short + others[0] * toldMicroseconds;
    const long = own.long + others[1] * toldMicroseconds;
    const isOff = this.settings.headroomPerMille === 0;
    if (isOff || engines.length < 2 || short === 0 || long === 0) return new Set();
    const part = (short / (short + long)) * (this.settings.headroomPerMille / 1000);
    const least = isByOldNews ? this.leastFor(short, engines.length) : 1;
    const count = Math.min(engines.length - 1, Math.max(least, Math.round(engines.length * part)));
    return new Set(this.ordered(service, engines).slice(0, count));
  }

  /** Engines that short orders need, by the work of them that is looked back at. */
  private leastFor(shortMicroseconds: number, engines: number): number {
    const { busyPerMille, mostPerMille, lookBackMicroseconds } = this.settings;
    if (busyPerMille === 0) return 1;
    const needed = Math.ceil((shortMicroseconds * 1000) / (lookBackMicroseconds * busyPerMille));
    return Math.max(1, Math.min(needed, Math.floor((engines * mostPerMille) / 1000)));
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
    const mix = this.seen.get(service) ?? { short: 0, long: 0, at: now };
    const fade = Math.exp(-(now - mix.at) / this.settings.lookBackMicroseconds);
    return { short: mix.short * fade, long: mix.long * fade, at: now };
  }
}
