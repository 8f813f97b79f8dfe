import type { Service } from '../../shared/configuration/types';
import type { SchedulerOffer, SchedulerDecision } from '../../shared/scheduler/schedulerMessages';
import type { PartKey } from '../../shared/directory/promptParts';
import type { LookupResult } from '../../shared/directory/lookup';
import type { Random } from '../../shared/effects/random/random';
import type { Metrics } from '../../shared/metrics/metrics';
import type { DemandView } from '../demand/demandView';
import { tokensIn, type PartImports } from '../cache-imports/partImports';
import type { ProxyRequest, PlacedRequest, ResolvedRequest } from '../pipeline/request';
import { PlacementCosts, type RequestNeeds, type PlacementOffer, type PlacementCostSettings } from './placementCosts';
import type { Candidate, EngineView } from './engineView';
import type { SchedulerClient } from './schedulerClient';
import type { ReservedEngines } from './reservedEngines';
import type { PromptKeys } from './placementPolicies';
import type { PrefillSpeeds } from './prefillSpeeds';

/** Assumed output tokens of a request without a maximum. */
const defaultOutputTokens = 256;

/** Chooses an engine by the cost of the request there: prefill, import of cached parts, queueing and memory. */
export class CostPlacer {
  public constructor(
    private readonly view: EngineView,
    private readonly moves: PartImports,
    private readonly speeds: PrefillSpeeds,
    private readonly random: Random,
    private readonly zone: string,
    private readonly reservedEngines: ReservedEngines,
    private readonly schedulerClient: SchedulerClient,
    private readonly settings: PlacementCostSettings,
    private readonly demand: DemandView,
    private readonly metrics: Metrics,
    /** Whether there is an idle connection to an address. */
    private readonly hasIdle: (address: string) => boolean = () => true,
  ) {}

  /** Chooses an engine; undefined: there is no candidate. */
  public async place(
    candidates: readonly Candidate[],
    request: ProxyRequest,
    { service, mapping }: ResolvedRequest,
    keys: PromptKeys,
    lookUp: (weights: string) => LookupResult,
  ): Promise<PlacedRequest | undefined> {
    const reserved = this.reservedEngines.of(
      mapping.service,
      candidates.map(({ name }) => name),
      this.view.others.mix(mapping.service),
      PlacementCosts.hasStaleLoads(this.view.proxies()),
    );
    const prompt = request.promptTokens ?? (request.parts ?? []).reduce((sum, { size }) => sum + size, 0);
    const cachedByWeights = new Map<string, CachedParts>();
    const offered = candidates.map((candidate): PlacementOffer => {
      const cached = cachedByWeights.get(candidate.weights) ?? cachedPartsUnder(keys, candidate.weights, lookUp);
      // Looked up once per weight version: a large pool has many engines, and most have the same weights.
      cachedByWeights.set(candidate.weights, cached);
      const { parts, found } = cached;
      const kept = cached.matched.get(candidate.name) ?? 0;
      const matched =
        parts.length === 0 ? 0 : this.view.work.matched(candidate.name, candidate.bootEpoch, cached.names, kept);
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
        tokensToPrefill: Math.max(0, prompt - tokensIn(parts, 0, move?.matched ?? matched)),
        importDelayMicroseconds: move?.microseconds ?? 0,
        tokensPerMillisecond: engine.tokensPerMillisecond,
        keptTokens: service.kind === 'pool' ? (service.shape?.keptTokens ?? 0) : 0,
        isReserved: reserved.has(candidate.name),
        needsConnection: !this.hasIdle(candidate.address),
      };
    });
    const first = candidates[0];
    const places = this.placesOf(keys, offered);
    const demand = {
      tokens: prompt + (request.maxOutputTokens ?? defaultOutputTokens),
      parts: first === undefined ? [] : keys.parts(first.weights),
      zone: this.zone,
      isShort: this.reservedEngines.isShort((prompt * 1000) / (first === undefined ? 1 : this.speeds.of(first.name))),
      ...(places === undefined ? {} : { places }),
    };
    const offers = this.withCopies(offered, demand);
    const prefix = sharedPrefixOf(demand.parts);
    const decision = demand.isShort ? undefined : await this.askScheduler(request, offers, demand, prompt, service);
    const scheduled = offers.find(({ name }) => name === decision?.engine);
    if (scheduled !== undefined) await this.schedulerClient.read(prefix, decision?.waitMicroseconds ?? 0);
    const chosen = scheduled ?? PlacementCosts.choose(offers, demand, this.random, this.settings, this.view.proxies());
    if (chosen === undefined) return undefined;
    const joinsPrefill = scheduled !== undefined && decision?.joined === true;
    const matched = joinsPrefill ? Math.max(chosen.matched, demand.parts.length - 1) : chosen.matched;
    const sharedIsCached =
      joinsPrefill || (scheduled !== undefined && decision !== undefined && decision.keeper !== '');
    const toRead = sharedIsCached
      ? Math.min(chosen.tokensToPrefill, unsharedTokens(demand.parts, prompt))
      : chosen.tokensToPrefill;
    this.reservedEngines.recordPlacement(
      mapping.service,
      ((demand.isShort ? prompt : toRead) * 1000) / chosen.tokensPerMillisecond,
      request.maxOutputTokens ?? defaultOutputTokens,
      chosen.capacity,
      demand.isShort,
    );
    const keeper = decision?.keeper === undefined || decision.keeper === '' ? undefined : decision.keeper;
    this.countCopy(chosen, matched, demand);
    const home =
      keeper ??
      places?.[0] ??
      (demand.parts.length === 0 ? undefined : PlacementCosts.defaultEngineOf(demand.parts, offers));
    return {
      engine: chosen.name,
      address: chosen.address,
      bootEpoch: chosen.bootEpoch,
      weights: chosen.weights,
      cachedParts: matched,
      tokensToPrefill: toRead,
      ...(home === undefined || home === chosen.name ? {} : { defaultEngine: home }),
      ...(scheduled === undefined ? {} : { reserved: true }),
    };
  }

  /** Engines that should hold copies of the shared parts; undefined: there are no shared parts, or demand is not measured. */
  private placesOf(keys: PromptKeys, offers: readonly PlacementOffer[]): readonly string[] | undefined {
    if (!this.demand.settings.isOn || keys.prefix() === '') return undefined;
    const unreserved = offers.filter(({ isReserved: lane }) => !lane);
    const names = (unreserved.length > 0 ? unreserved : offers).map(({ name }) => name);
    const places = this.demand.places(keys.prefix(), names);
    return places.length === 0 ? undefined : places;
  }

  /**
   * Adds the cost of a new copy of the shared parts. The engine evicts other parts for the copy, and they must be prefilled again if they
   * are needed next. On an engine that is meant to hold a copy, the import cost is waived instead: later requests find the parts there.
   */
  private withCopies(offers: readonly PlacementOffer[], { parts, places }: RequestNeeds): readonly PlacementOffer[] {
    const shared = parts.length - 1;
    // No cost if no engine has the parts cached: one engine has to prefill them anyway.
    if (places === undefined || !offers.some(({ matched }) => matched >= shared)) return offers;
    const { copyMicrosecondsPerThousand } = this.demand.settings;
    return offers.map((offer) => {
      if (offer.matched >= shared) return offer;
      const missing = tokensIn(parts, offer.matched, shared);
      const copyMicroseconds = places.includes(offer.name)
        ? -offer.importDelayMicroseconds
        : (missing * copyMicrosecondsPerThousand) / 1000;
      return { ...offer, copyMicroseconds };
    });
  }

  /** Counts whether the chosen engine has the shared parts cached. */
  private countCopy(chosen: PlacementOffer, matched: number, { parts, places }: RequestNeeds): void {
    if (places === undefined) return;
    const copy = matched >= parts.length - 1 ? 'kept' : places.includes(chosen.name) ? 'belongs' : 'elsewhere';
    this.metrics.count('postdrum_prefix_copies_total', { copy });
  }

  /**
   * Asks the scheduler for an engine. It places the long requests of all proxies one after another, so that no prefix is prefilled twice
   * and no request waits in vain.
   */
  private askScheduler(
    request: ProxyRequest,
    offers: readonly PlacementOffer[],
    demand: RequestNeeds,
    prompt: number,
    pool: Service,
  ): Promise<SchedulerDecision | undefined> {
    if (offers.length < 2) return Promise.resolve(undefined);
    const { parts } = demand;
    return this.schedulerClient.reserve({
      order: request.id,
      prefix: sharedPrefixOf(parts),
      offers: offers.map((offer): SchedulerOffer => {
        const { copyMicroseconds: copy } = offer;
        const fields = [
          offer.name,
          Math.round(PlacementCosts.costWithoutPrefill(offer, demand, this.settings)),
          Math.round((offer.tokensToPrefill * 1000) / offer.tokensPerMillisecond),
          Math.round(
            (Math.min(offer.tokensToPrefill, unsharedTokens(parts, prompt)) * 1000) / offer.tokensPerMillisecond,
          ),
          Math.round(this.moves.expectedMicroseconds(pool, tokensIn(parts, 0, parts.length - 1))),
        ] as const;
        return copy === undefined ? fields : [...fields, Math.round(copy)];
      }),
    });
  }
}

/** A request's parts under one weight version; `matched`: how many of them, from the first on, each holder has cached. */
type CachedParts = Readonly<{
  parts: readonly PartKey[];
  names: readonly string[];
  found: LookupResult | undefined;
  matched: ReadonlyMap<string, number>;
}>;

const cachedPartsUnder = (
  keys: PromptKeys,
  weights: string,
  lookUp: (weights: string) => LookupResult,
): CachedParts => {
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

/** Key of the longest prefix that a request can share with others: all its parts except the last; empty: there is none. */
const sharedPrefixOf = (parts: readonly PartKey[]): string => parts[parts.length - 2]?.name ?? '';

/** Tokens to prefill where all shared parts are cached. */
const unsharedTokens = (parts: readonly PartKey[], prompt: number): number =>
  Math.max(0, prompt - tokensIn(parts, 0, parts.length - 1));
