import type { Clock } from '../../shared/effects/clock/clock';
import type { WorkMix } from '../../shared/gossip/entryTypes';
import { Rendezvous } from '../../shared/rendezvous/rendezvous';

/** How many engines are reserved for short requests. */
export type ReservedEngineSettings = Readonly<{
  /** A request whose prefill takes less than this is short. */
  shortMicroseconds: number;
  /** Time constant of the exponential decay of the measured mix of short and long requests. */
  decayMicroseconds: number;
  /**
   * Share of engines reserved for short requests, in per mille of the share of work that these cause; 0: none. Less than 1000 suffices
   * because short requests wait little and use the engines well.
   */
  headroomPerMille: number;
  /** Work per output token on an engine that runs a single request. */
  outputMicroseconds: number;
  /**
   * Upper bound of the utilization of reserved engines, in per mille, where proxies choose by outdated load figures of each other; 0: no
   * bound.
   */
  maxUtilizationPerMille: number;
  /** Maximum share of all engines, in per mille, that is reserved to keep that bound. */
  maxReservedPerMille: number;
}>;

export const ReservedEngineSettings = {
  usual: {
    shortMicroseconds: 30_000,
    decayMicroseconds: 6_000_000,
    headroomPerMille: 700,
    outputMicroseconds: 4_000,
    maxUtilizationPerMille: 450,
    maxReservedPerMille: 500,
  } satisfies ReservedEngineSettings,
} as const;

/** Work of short and of long requests, in microseconds, decayed to the time `at`. */
type Mix = { short: number; long: number; at: number };

/** Unit in which mixes are sent to other proxies; coarse, so that a decaying mix is not sent as a change all the time. */
const mixUnitMicroseconds = 10_000;
const noMix: WorkMix = [0, 0];

/**
 * The engines of a pool that are reserved for short requests while other engines have capacity. An engine prefills long prompts one
 * after the other, and a short request that arrives meanwhile waits for all of it. Proxies learn of each other's prefills too late to
 * avoid this per request. All proxies therefore compute the same reserved engines, from the mix of requests that all of them together
 * have seen. The mix of a single proxy is not enough: in a large fleet it sees a long request only now and then, so the reservations
 * would differ, and long requests of one proxy would run on engines that another one reserves.
 */
export class ReservedEngines {
  private readonly mixesByPool = new Map<string, Mix>();
  private readonly orders = new Map<string, Readonly<{ of: string; names: readonly string[] }>>();

  public constructor(
    private readonly clock: Clock,
    private readonly settings: ReservedEngineSettings,
  ) {}

  /** Whether a request with this prefill time is short. */
  public isShort(readMicroseconds: number): boolean {
    return readMicroseconds < this.settings.shortMicroseconds;
  }

  /** Adds a placed request to the mix: the time to prefill what its engine has not cached, and its maximum output. */
  public recordPlacement(
    service: string,
    readMicroseconds: number,
    outputTokens: number,
    capacity: number,
    isShort: boolean,
  ): void {
    const mix = this.decayed(service);
    const work = readMicroseconds + (outputTokens * this.settings.outputMicroseconds) / Math.max(1, capacity);
    if (isShort) mix.short += work;
    else mix.long += work;
    this.mixesByPool.set(service, mix);
  }

  /** The mix of this proxy's own requests by pool, as sent to the other proxies. */
  public mixes(): Readonly<Record<string, WorkMix>> {
    return Object.fromEntries(
      [...this.mixesByPool.keys()].flatMap((service): readonly (readonly [string, WorkMix])[] => {
        const { short, long } = this.decayed(service);
        const sent: WorkMix = [Math.round(short / mixUnitMicroseconds), Math.round(long / mixUnitMicroseconds)];
        return sent[0] + sent[1] > 0 ? [[service, sent]] : [];
      }),
    );
  }

  /**
   * The engines reserved for short requests; none while there are only short or only long requests. `others`: the mix of all other
   * proxies. `hasStaleLoads`: proxies choose among these engines by outdated load figures of each other, so more spare capacity is needed.
   */
  public of(
    service: string,
    engines: readonly string[],
    others: WorkMix = noMix,
    hasStaleLoads = false,
  ): ReadonlySet<string> {
    const own = this.decayed(service);
    const short = own.short + others[0] * mixUnitMicroseconds;
    const long = own.long + others[1] * mixUnitMicroseconds;
    const isDisabled = this.settings.headroomPerMille === 0;
    if (isDisabled || engines.length < 2 || short === 0 || long === 0) return new Set();
    const reservedShare = (short / (short + long)) * (this.settings.headroomPerMille / 1000);
    const minimum = hasStaleLoads ? this.minimumFor(short, engines.length) : 1;
    const count = Math.min(engines.length - 1, Math.max(minimum, Math.round(engines.length * reservedShare)));
    return new Set(this.reservationOrder(service, engines).slice(0, count));
  }

  /** Number of engines that short requests need to stay within the utilization bound, by their recent work. */
  private minimumFor(shortMicroseconds: number, engines: number): number {
    const {
      maxUtilizationPerMille: busyPerMille,
      maxReservedPerMille: mostPerMille,
      decayMicroseconds: lookBackMicroseconds,
    } = this.settings;
    if (busyPerMille === 0) return 1;
    const needed = Math.ceil((shortMicroseconds * 1000) / (lookBackMicroseconds * busyPerMille));
    return Math.max(1, Math.min(needed, Math.floor((engines * mostPerMille) / 1000)));
  }

  private reservationOrder(service: string, engines: readonly string[]): readonly string[] {
    const of = engines.join(' ');
    const known = this.orders.get(service);
    if (known?.of === of) return known.names;
    const names = Rendezvous.order(`lanes/${service}`, engines);
    this.orders.set(service, { of, names });
    return names;
  }

  private decayed(service: string): Mix {
    const now = this.clock.nowMicroseconds();
    const mix = this.mixesByPool.get(service) ?? { short: 0, long: 0, at: now };
    const decay = Math.exp(-(now - mix.at) / this.settings.decayMicroseconds);
    return { short: mix.short * decay, long: mix.long * decay, at: now };
  }
}
