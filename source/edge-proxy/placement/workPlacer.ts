import type { Service } from '../../shared/blueprint/types';
import type { DeskOffer, DeskWord } from '../../shared/desk/messages';
import type { PartKey } from '../../shared/directory/promptParts';
import type { LookUp } from '../../shared/directory/lookup';
import type { Random } from '../../shared/effects/random/random';
import type { Metrics } from '../../shared/metrics/metrics';
import type { DemandView } from '../demand/demandView';
import { tokensIn, type PartMoves } from '../fetch/partMoves';
import type { Order, Placed, Resolved } from '../path/order';
import { ByWork, type Demand, type Offer, type WorkPlacementSettings } from './byWork';
import type { Candidate, EngineView } from './engineView';
import type { DeskLink } from './deskLink';
import type { Lanes } from './lanes';
import type { PromptKeys } from './placePolicies';
import type { ReadSpeeds } from './readSpeeds';

/** Where nobody says how much an order may put out. */
const usualOutput = 256;

/** Chooses an engine by all that it would have to do: read, move, wait for what it has, and make room. */
export class WorkPlacer {
  public constructor(
    private readonly view: EngineView,
    private readonly moves: PartMoves,
    private readonly speeds: ReadSpeeds,
    private readonly random: Random,
    private readonly zone: string,
    private readonly lanes: Lanes,
    private readonly desk: DeskLink,
    private readonly settings: WorkPlacementSettings,
    private readonly demand: DemandView,
    private readonly metrics: Metrics,
    /** Whether a kept connection to an address waits. */
    private readonly hasIdle: (address: string) => boolean = () => true,
  ) {}

  public async place(
    candidates: readonly Candidate[],
    order: Order,
    { service, mapping }: Resolved,
    keys: PromptKeys,
    lookUp: (weights: string) => LookUp,
  ): Promise<Placed | undefined> {
    const lanes = this.lanes.of(
      mapping.service,
      candidates.map(({ name }) => name),
      this.view.others.mix(mapping.service),
      ByWork.isByOldNews(this.view.proxies()),
    );
    const prompt = order.promptTokens ?? (order.parts ?? []).reduce((sum, { size }) => sum + size, 0);
    const books = new Map<string, Kept>();
    const offered = candidates.map((candidate): Offer => {
      const book = books.get(candidate.weights) ?? keptUnder(keys, candidate.weights, lookUp);
      // Why once for each weights: a large pool has many engines, and most run on the same.
      books.set(candidate.weights, book);
      const { parts, found } = book;
      const kept = book.matched.get(candidate.name) ?? 0;
      const matched =
        parts.length === 0 ? 0 : this.view.work.matched(candidate.name, candidate.bootEpoch, book.names, kept);
      const engine = {
        name: candidate.name,
        zone: candidate.zone,
        tokensPerMillisecond: this.speeds.of(candidate.name),
      };
      const move =
        found === undefined || service.kind !== 'pool'
          ? undefined
          : this.moves.best(engine, service, parts, matched, found);
      return {
        ...candidate,
        matched,
        toRead: Math.max(0, prompt - tokensIn(parts, 0, move?.matched ?? matched)),
        moveMicroseconds: move?.microseconds ?? 0,
        tokensPerMillisecond: engine.tokensPerMillisecond,
        keptTokens: service.kind === 'pool' ? (service.shape?.keptTokens ?? 0) : 0,
        lane: lanes.has(candidate.name),
        needsConnection: !this.hasIdle(candidate.address),
      };
    });
    const first = candidates[0];
    const places = this.placesOf(keys, offered);
    const demand = {
      tokens: prompt + (order.mostTokens ?? usualOutput),
      parts: first === undefined ? [] : keys.parts(first.weights),
      zone: this.zone,
      isShort: this.lanes.isShort((prompt * 1000) / (first === undefined ? 1 : this.speeds.of(first.name))),
      ...(places === undefined ? {} : { places }),
    };
    const offers = this.withCopies(offered, demand);
    const prefix = prefixOf(demand.parts);
    const word = demand.isShort ? undefined : await this.askDesk(order, offers, demand, prompt, service);
    const own = offers.find(({ name }) => name === word?.engine);
    if (own !== undefined) await this.desk.read(prefix, word?.waitMicroseconds ?? 0);
    const chosen = own ?? ByWork.choose(offers, demand, this.random, this.settings, this.view.proxies());
    if (chosen === undefined) return undefined;
    const joined = own !== undefined && word?.joined === true;
    const matched = joined ? Math.max(chosen.matched, demand.parts.length - 1) : chosen.matched;
    const comes = joined || (own !== undefined && word !== undefined && word.keeper !== '');
    const toRead = comes ? Math.min(chosen.toRead, restOf(demand.parts, prompt)) : chosen.toRead;
    this.lanes.saw(
      mapping.service,
      ((demand.isShort ? prompt : toRead) * 1000) / chosen.tokensPerMillisecond,
      order.mostTokens ?? usualOutput,
      chosen.capacity,
      demand.isShort,
    );
    const keeper = word?.keeper === undefined || word.keeper === '' ? undefined : word.keeper;
    this.countCopy(chosen, matched, demand);
    const home = keeper ?? places?.[0] ?? (demand.parts.length === 0 ? undefined : ByWork.homeOf(demand.parts, offers));
    return {
      engine: chosen.name,
      address: chosen.address,
      bootEpoch: chosen.bootEpoch,
      weights: chosen.weights,
      matched,
      toRead,
      ...(home === undefined || home === chosen.name ? {} : { home }),
      ...(own === undefined ? {} : { reserved: true }),
    };
  }

  /** Where copies of its shared parts belong; undefined: it shares none, or nobody counts. */
  private placesOf(keys: PromptKeys, offers: readonly Offer[]): readonly string[] | undefined {
    if (!this.demand.settings.isOn || keys.prefix() === '') return undefined;
    const outside = offers.filter(({ lane }) => !lane);
    const names = (outside.length > 0 ? outside : offers).map(({ name }) => name);
    const places = this.demand.places(keys.prefix(), names);
    return places.length === 0 ? undefined : places;
  }

  /**
   * What one more copy costs. Why it does: an engine makes room for it by dropping what others may ask for next, and that is
   * read again. Why less than nothing on an engine where one belongs: the next orders find it there, for a move now.
   */
  private withCopies(offers: readonly Offer[], { parts, places }: Demand): readonly Offer[] {
    const shared = parts.length - 1;
    // Why not where nobody keeps them: somebody has to read them, wherever that is.
    if (places === undefined || !offers.some(({ matched }) => matched >= shared)) return offers;
    const { copyMicrosecondsPerThousand } = this.demand.settings;
    return offers.map((offer) => {
      if (offer.matched >= shared) return offer;
      const missing = tokensIn(parts, offer.matched, shared);
      const copyMicroseconds = places.includes(offer.name)
        ? -offer.moveMicroseconds
        : (missing * copyMicrosecondsPerThousand) / 1000;
      return { ...offer, copyMicroseconds };
    });
  }

  private countCopy(chosen: Offer, matched: number, { parts, places }: Demand): void {
    if (places === undefined) return;
    const copy = matched >= parts.length - 1 ? 'kept' : places.includes(chosen.name) ? 'belongs' : 'elsewhere';
    this.metrics.count('postdrum_prefix_copies_total', { copy });
  }

  /** Long orders of all proxies are placed one after the other, so that none is read twice or waits in vain. */
  private askDesk(
    order: Order,
    offers: readonly Offer[],
    demand: Demand,
    prompt: number,
    pool: Service,
  ): Promise<DeskWord | undefined> {
    if (offers.length < 2) return Promise.resolve(undefined);
    const { parts } = demand;
    return this.desk.reserve({
      order: order.id,
      prefix: prefixOf(parts),
      offers: offers.map((offer): DeskOffer => {
        const { copyMicroseconds: copy } = offer;
        const five = [
          offer.name,
          Math.round(ByWork.costBesides(offer, demand, this.settings)),
          Math.round((offer.toRead * 1000) / offer.tokensPerMillisecond),
          Math.round((Math.min(offer.toRead, restOf(parts, prompt)) * 1000) / offer.tokensPerMillisecond),
          Math.round(this.moves.usualMicroseconds(pool, tokensIn(parts, 0, parts.length - 1))),
        ] as const;
        return copy === undefined ? five : [...five, Math.round(copy)];
      }),
    });
  }
}

/** What is known of an order's parts under one weight version, by holder. */
type Kept = Readonly<{
  parts: readonly PartKey[];
  names: readonly string[];
  found: LookUp | undefined;
  matched: ReadonlyMap<string, number>;
}>;

const keptUnder = (keys: PromptKeys, weights: string, lookUp: (weights: string) => LookUp): Kept => {
  const parts = keys.parts(weights);
  const found = parts.length === 0 ? undefined : lookUp(weights);
  const holders = found === undefined || found.kind === 'miss' ? [] : found.found;
  return {
    parts,
    names: parts.map(({ name }) => name),
    found,
    matched: new Map(holders.map(({ holder, matched }) => [holder, matched])),
  };
};

/** Names all that an order shares with others; empty: nothing. */
const prefixOf = (parts: readonly PartKey[]): string => parts[parts.length - 2]?.name ?? '';

/** Tokens that are left to read where all shared parts are kept. */
const restOf = (parts: readonly PartKey[], prompt: number): number =>
  Math.max(0, prompt - tokensIn(parts, 0, parts.length - 1));
