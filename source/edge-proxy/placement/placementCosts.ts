import type { PartKey } from '../../shared/directory/promptParts';
import type { Random } from '../../shared/effects/random/random';
import { Rendezvous } from '../../shared/rendezvous/rendezvous';
import type { Candidate } from './engineView';

/** One engine as a choice for a request: the work that the request would cause there, and the load it already has. */
export type PlacementOffer = Candidate &
  Readonly<{
    /** Leading prompt parts that it has cached or is computing. */
    matched: number;
    /** Tokens that it would prefill itself. */
    tokensToPrefill: number;
    /** Time to import cached parts before the prefill starts; 0 without an import. */
    importDelayMicroseconds: number;
    /** Prefill speed. */
    tokensPerMillisecond: number;
    /** Size of the memory, in tokens, that running requests and cached parts share; 0: not known. */
    keptTokens: number;
    /** Cost of one more copy of the shared parts there; negative: a copy is wanted there. Missing: 0. */
    copyMicroseconds?: number;
    /** Reserved for short requests while other engines have capacity. */
    isReserved: boolean;
    /** There is no idle connection to it, so a new one would have to be opened. */
    needsConnection?: boolean;
  }>;

/** The properties of a request that placement depends on. */
export type RequestNeeds = Readonly<{
  /** Tokens of the prompt plus the maximum output. */
  tokens: number;
  /** Cache keys of the prompt parts, in order. */
  parts: readonly PartKey[];
  /** Zone of this proxy. */
  zone: string;
  isShort: boolean;
  /** Engines that should hold copies of the shared parts, the preferred one first; missing: not determined. */
  places?: readonly string[];
}>;

/** The costs of placement, as microseconds of delay. */
export type PlacementCostSettings = Readonly<{
  /** Cost of each request in flight: the delay that requests on the same engine cause each other. */
  inFlightMicroseconds: number;
  /** Range of the random jitter that spreads requests among engines of similar cost; scaled up with the number of proxies. */
  jitterMicroseconds: number;
  /** Cost of queueing on an engine at full capacity, per full capacity of requests ahead. */
  queueMicroseconds: number;
  /** Cost of exceeding the memory limit by a whole memory; an engine with full memory preempts running requests. */
  memoryPressureMicroseconds: number;
  /** Share of the memory that running requests may use without that cost, in per mille. */
  memoryPerMille: number;
  /** Cost of traffic between zones: a fixed part, and a part per thousand tokens of the request. */
  zoneMicroseconds: number;
  zoneMicrosecondsPerThousand: number;
  /** Cost of a long request on an engine reserved for short ones, and of a short request on any other engine. */
  longOnReservedMicroseconds: number;
  shortOnUnreservedMicroseconds: number;
  /** Bonus of the engine that prefills a part by default when no engine has it cached. */
  homeMicroseconds: number;
  /** Cost of a new connection: it is work for the engine, and the engine accepts a bounded number from all proxies together. */
  connectionMicroseconds: number;
  /** Cost of an engine on which requests failed recently. */
  suspectMicroseconds: number;
  /** Cost of an engine that is about to change its weights, for long and for short requests. */
  longChangesSoonMicroseconds: number;
  shortChangesSoonMicroseconds: number;
}>;

export const PlacementCostSettings = {
  usual: {
    inFlightMicroseconds: 3_000,
    jitterMicroseconds: 3_000,
    queueMicroseconds: 200_000,
    memoryPressureMicroseconds: 400_000,
    memoryPerMille: 800,
    zoneMicroseconds: 2_000,
    zoneMicrosecondsPerThousand: 1_000,
    longOnReservedMicroseconds: 250_000,
    shortOnUnreservedMicroseconds: 60_000,
    homeMicroseconds: 300_000,
    connectionMicroseconds: 5_000,
    suspectMicroseconds: 150_000,
    longChangesSoonMicroseconds: 120_000,
    // Less than the cost of leaving the reserved engines: a refused request is soon sent again, but one queued behind a long prefill
    // is late.
    shortChangesSoonMicroseconds: 30_000,
  } satisfies PlacementCostSettings,
} as const;

/** Up to this number of proxies, what each knows of the load of the others is nearly accurate. */
const maxProxiesWithFreshLoads = 9;

/** Minimum number of offers that a short request compares in each group where the known load of other proxies is outdated. */
const minComparedPerGroup = 2;

/** Random sample of `count` members, without replacement. */
const sampleWithoutReplacement = <Member>(
  members: readonly Member[],
  count: number,
  random: Random,
): readonly Member[] => {
  if (members.length <= count) return members;
  const remaining = [...members];
  const drawn: Member[] = [];
  while (drawn.length < count) drawn.push(...remaining.splice(Math.floor(random.fraction() * remaining.length), 1));
  return drawn;
};

/**
 * The offers that one short request compares: all of them among few proxies, a random few among many (power of two choices). A short
 * request ends before other proxies hear of it, so in a large fleet the engine with the least known load would get the requests of all
 * proxies until its next load update. Reserved engines and the others are sampled separately, so that both groups are compared.
 */
const comparedOffers = (
  offers: readonly PlacementOffer[],
  proxies: number,
  random: Random,
): readonly PlacementOffer[] => {
  if (!PlacementCosts.hasStaleLoads(proxies)) return offers;
  const sampledFraction = (maxProxiesWithFreshLoads / proxies) ** 2;
  return [true, false].flatMap((lane) => {
    const group = offers.filter((offer) => offer.isReserved === lane);
    return sampleWithoutReplacement(
      group,
      Math.max(minComparedPerGroup, Math.round(group.length * sampledFraction)),
      random,
    );
  });
};

/** Chooses the engine for a request with named prompt parts: the one with the lowest cost, where all costs count as delay. */
export const PlacementCosts = {
  /** Whether there are so many proxies that they learn each other's load too late for short requests. */
  hasStaleLoads: (proxies: number): boolean => proxies > maxProxiesWithFreshLoads,

  /** The total cost of an offer. */
  cost: (
    offer: PlacementOffer,
    needs: RequestNeeds,
    home: string | undefined,
    settings: PlacementCostSettings,
  ): number => {
    const { work, tokensToPrefill: toRead, tokensPerMillisecond } = offer;
    const prefillMicroseconds = ((work.pendingPrefillTokens + toRead) * 1000) / tokensPerMillisecond;
    return (
      prefillMicroseconds +
      (offer.copyMicroseconds ?? 0) +
      PlacementCosts.costWithoutPrefill(offer, needs, settings) -
      (offer.name === home ? settings.homeMicroseconds : 0)
    );
  },

  /** The cost of an offer without the prefill, its own and that of earlier requests, and without copies. */
  costWithoutPrefill: (offer: PlacementOffer, needs: RequestNeeds, settings: PlacementCostSettings): number => {
    const { work, capacity, inFlight, keptTokens } = offer;
    const queuedTurns = Math.max(0, inFlight + 1 - capacity) / Math.max(1, capacity);
    const memoryLimit = (keptTokens * settings.memoryPerMille) / 1000;
    const memoryExcess = keptTokens === 0 ? 0 : Math.max(0, (work.tokens + needs.tokens - memoryLimit) / keptTokens);
    const zoneCost =
      offer.zone === needs.zone
        ? 0
        : settings.zoneMicroseconds + (settings.zoneMicrosecondsPerThousand * needs.tokens) / 1000;
    const reservationCost =
      needs.isShort === offer.isReserved
        ? 0
        : needs.isShort
          ? settings.shortOnUnreservedMicroseconds
          : settings.longOnReservedMicroseconds;
    const weightChangeCost =
      offer.changesSoon !== true
        ? 0
        : needs.isShort
          ? settings.shortChangesSoonMicroseconds
          : settings.longChangesSoonMicroseconds;
    return (
      reservationCost +
      (offer.standing === 'suspected' ? settings.suspectMicroseconds : 0) +
      weightChangeCost +
      (offer.needsConnection === true && needs.isShort ? settings.connectionMicroseconds : 0) +
      offer.importDelayMicroseconds +
      inFlight * settings.inFlightMicroseconds +
      queuedTurns * settings.queueMicroseconds +
      memoryExcess * settings.memoryPressureMicroseconds +
      zoneCost
    );
  },

  /**
   * The engine that prefills parts by default when no engine is known to have them cached. It is the same for all proxies, so that two
   * proxies that find the parts nowhere choose the same engine and the parts are prefilled once.
   */
  defaultEngineOf: (parts: readonly PartKey[], offers: readonly PlacementOffer[]): string | undefined => {
    const first = parts[0];
    if (first === undefined) return undefined;
    const unreserved = offers.filter(({ isReserved: lane }) => !lane);
    const names = (unreserved.length > 0 ? unreserved : offers).map(({ name }) => name);
    return Rendezvous.first(first.name, names);
  },

  /** The offer with the lowest cost plus jitter. */
  choose: (
    offers: readonly PlacementOffer[],
    needs: RequestNeeds,
    random: Random,
    settings: PlacementCostSettings,
    /** Number of proxies that choose by the same load figures. */
    proxies = 1,
  ): PlacementOffer | undefined => {
    const isCached = offers.some(
      ({ matched, importDelayMicroseconds: moveMicroseconds }) => matched > 0 || moveMicroseconds > 0,
    );
    const home = isCached ? undefined : (needs.places?.[0] ?? PlacementCosts.defaultEngineOf(needs.parts, offers));
    // Jitter keeps proxies that see the same figures from all choosing the same engine. It grows with the number of proxies because all
    // of them use load figures that are half a second old, and the engine with the least load then would get all requests.
    const jitter = settings.jitterMicroseconds * Math.max(1, proxies / maxProxiesWithFreshLoads);
    let best: Readonly<{ offer: PlacementOffer; cost: number }> | undefined;
    for (const offer of needs.isShort ? comparedOffers(offers, proxies, random) : offers) {
      const cost = PlacementCosts.cost(offer, needs, home, settings) + random.fraction() * jitter;
      if (best === undefined || cost < best.cost) best = { offer, cost };
    }
    return best?.offer;
  },
} as const;
