import type { PartKey } from '../../shared/directory/promptParts';
import type { Random } from '../../shared/effects/random/random';
import { Rendezvous } from '../../shared/rendezvous/rendezvous';
import type { Candidate } from './engineView';

/** What an engine would have to do for one order, and what it has to do besides. */
export type Offer = Candidate &
  Readonly<{
    /** Leading parts that it keeps, or is about to. */
    matched: number;
    /** Tokens it would read itself. */
    toRead: number;
    /** Time its import would take, before it reads; 0 without one. */
    moveMicroseconds: number;
    tokensPerMillisecond: number;
    /** Tokens that running orders and kept parts share; 0: not known. */
    keptTokens: number;
    /** What speaks against one more copy of its shared parts there; less than nothing: one is wanted there. Missing: nothing. */
    copyMicroseconds?: number;
    /** Kept for short orders while there is room elsewhere. */
    lane: boolean;
    /** No kept connection to it waits, so that one would have to be made. */
    needsConnection?: boolean;
  }>;

export type Demand = Readonly<{
  /** Tokens of the prompt and of what it may put out. */
  tokens: number;
  /** The names that the parts are kept under, the first one first. */
  parts: readonly PartKey[];
  zone: string;
  isShort: boolean;
  /** Where copies of its shared parts belong, the first one first; missing: nobody has said. */
  places?: readonly string[];
}>;

export type WorkPlacementSettings = Readonly<{
  /** What one more running order costs the others, in microseconds of delay that they feel. */
  sendMicroseconds: number;
  /** How much chance there is among engines that look alike; more of it among many proxies. */
  chanceMicroseconds: number;
  /** What waiting costs where all places are taken, for each whole turn of them. */
  turnMicroseconds: number;
  /** What it costs to fill an engine's memory to the brim, where running orders are put back. */
  crowdMicroseconds: number;
  /** The part of the memory that running orders may take before that, in per mille. */
  memoryPerMille: number;
  /** What bytes between zones are worth, for an order of so many tokens. */
  zoneMicroseconds: number;
  zoneMicrosecondsPerThousand: number;
  /** What keeps long orders out of engines that are kept for short ones, and short ones out of the others. */
  longInLaneMicroseconds: number;
  shortOutsideMicroseconds: number;
  /** What a part's first reader is drawn to its own engine by. */
  homeMicroseconds: number;
  /** What a new connection costs: its engine has work with it, and takes a bounded number of them from all proxies. */
  connectionMicroseconds: number;
  /** What keeps orders from an engine that some failed at lately. */
  suspectMicroseconds: number;
  /** What keeps long orders, and short ones, from an engine that is about to change its weights. */
  longChangesSoonMicroseconds: number;
  shortChangesSoonMicroseconds: number;
}>;

export const WorkPlacementSettings = {
  usual: {
    sendMicroseconds: 3_000,
    chanceMicroseconds: 3_000,
    turnMicroseconds: 200_000,
    crowdMicroseconds: 400_000,
    memoryPerMille: 800,
    zoneMicroseconds: 2_000,
    zoneMicrosecondsPerThousand: 1_000,
    longInLaneMicroseconds: 250_000,
    shortOutsideMicroseconds: 60_000,
    homeMicroseconds: 300_000,
    connectionMicroseconds: 5_000,
    suspectMicroseconds: 150_000,
    longChangesSoonMicroseconds: 120_000,
    // Why less than to leave a lane: one that is turned away is soon sent again, one behind a long read is late.
    shortChangesSoonMicroseconds: 30_000,
  } satisfies WorkPlacementSettings,
} as const;

/** Starting value, ours: among so many proxies what is known of the others' sends is nearly right. */
const promptProxies = 9;

/** Offers that a short request compares in each group where what is known of other proxies' load is long over. */
const leastCompared = 2;

/** So many members, drawn without one twice. */
const sampleOf = <Member>(members: readonly Member[], count: number, random: Random): readonly Member[] => {
  if (members.length <= count) return members;
  const left = [...members];
  const drawn: Member[] = [];
  while (drawn.length < count) drawn.push(...left.splice(Math.floor(random.fraction() * left.length), 1));
  return drawn;
};

/**
 * The offers that one short request compares: all of them among few proxies, a random few among many (power of two choices). A short
 * request ends before other proxies hear of it, so in a large fleet the engine that seems to have the least load would get the requests of
 * all proxies until the next news of it. Engines kept for short requests and the others are drawn from apart, so that both are compared.
 */
const comparedBy = (offers: readonly Offer[], proxies: number, random: Random): readonly Offer[] => {
  if (!ByWork.isByOldNews(proxies)) return offers;
  const part = (promptProxies / proxies) ** 2;
  return [true, false].flatMap((lane) => {
    const group = offers.filter((offer) => offer.lane === lane);
    return sampleOf(group, Math.max(leastCompared, Math.round(group.length * part)), random);
  });
};

/** Which engine an order of named parts goes to: the one whose answer begins soonest, all costs counted as time. */
export const ByWork = {
  /** Whether so many proxies know each other's load too late for short orders. */
  isByOldNews: (proxies: number): boolean => proxies > promptProxies,

  cost: (offer: Offer, demand: Demand, home: string | undefined, settings: WorkPlacementSettings): number => {
    const { work, toRead, tokensPerMillisecond } = offer;
    const reading = ((work.reading + toRead) * 1000) / tokensPerMillisecond;
    return (
      reading +
      (offer.copyMicroseconds ?? 0) +
      ByWork.costBesides(offer, demand, settings) -
      (offer.name === home ? settings.homeMicroseconds : 0)
    );
  },

  /** All that speaks against an offer but reading and waiting for what others have read. */
  costBesides: (offer: Offer, demand: Demand, settings: WorkPlacementSettings): number => {
    const { work, capacity, inFlight, keptTokens } = offer;
    const turns = Math.max(0, inFlight + 1 - capacity) / Math.max(1, capacity);
    const room = (keptTokens * settings.memoryPerMille) / 1000;
    const crowd = keptTokens === 0 ? 0 : Math.max(0, (work.tokens + demand.tokens - room) / keptTokens);
    const away =
      offer.zone === demand.zone
        ? 0
        : settings.zoneMicroseconds + (settings.zoneMicrosecondsPerThousand * demand.tokens) / 1000;
    const apart =
      demand.isShort === offer.lane
        ? 0
        : demand.isShort
          ? settings.shortOutsideMicroseconds
          : settings.longInLaneMicroseconds;
    const soon =
      offer.changesSoon !== true
        ? 0
        : demand.isShort
          ? settings.shortChangesSoonMicroseconds
          : settings.longChangesSoonMicroseconds;
    return (
      apart +
      (offer.standing === 'suspected' ? settings.suspectMicroseconds : 0) +
      soon +
      (offer.needsConnection === true && demand.isShort ? settings.connectionMicroseconds : 0) +
      offer.moveMicroseconds +
      inFlight * settings.sendMicroseconds +
      turns * settings.turnMicroseconds +
      crowd * settings.crowdMicroseconds +
      away
    );
  },

  /**
   * The engine that reads a part nobody is known to keep. Why one for all: two proxies that both find it nowhere then
   * choose the same, and one of them reads it.
   */
  homeOf: (
    parts: readonly PartKey[],
    offers: readonly Readonly<{ name: string; lane: boolean }>[],
  ): string | undefined => {
    const first = parts[0];
    if (first === undefined) return undefined;
    const outside = offers.filter(({ lane }) => !lane);
    const names = (outside.length > 0 ? outside : offers).map(({ name }) => name);
    return Rendezvous.first(first.name, names);
  },

  choose: (
    offers: readonly Offer[],
    demand: Demand,
    random: Random,
    settings: WorkPlacementSettings,
    /** Proxies that choose by the same numbers. */
    proxies = 1,
  ): Offer | undefined => {
    const known = offers.some(({ matched, moveMicroseconds }) => matched > 0 || moveMicroseconds > 0);
    const home = known ? undefined : (demand.places?.[0] ?? ByWork.homeOf(demand.parts, offers));
    // Why chance: proxies that see the same numbers must not all choose the same engine. Why more among many: all place
    // orders by what was so half a second ago, and the engine that had least to do then would get them all.
    const spread = settings.chanceMicroseconds * Math.max(1, proxies / promptProxies);
    let best: Readonly<{ offer: Offer; cost: number }> | undefined;
    for (const offer of demand.isShort ? comparedBy(offers, proxies, random) : offers) {
      const cost = ByWork.cost(offer, demand, home, settings) + random.fraction() * spread;
      if (best === undefined || cost < best.cost) best = { offer, cost };
    }
    return best?.offer;
  },
} as const;
