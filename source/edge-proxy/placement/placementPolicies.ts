import { createHash } from 'node:crypto';
import { HashChains, type BlockKey } from '../../shared/directory/hashChain';
import { PromptParts, type PartKey, type PromptPart } from '../../shared/directory/promptParts';
import { Lookups, type LookupResult } from '../../shared/directory/lookup';
import type { ShardCatalog } from '../../shared/directory/shardCatalog';
import type { Random } from '../../shared/effects/random/random';
import type { Metrics } from '../../shared/metrics/metrics';
import { Refusals } from '../../shared/verdict/verdict';
import type {
  RequestContext,
  ProxyRequest,
  PlacedRequest,
  Policy,
  ResolvedRequest,
  PolicyResult,
} from '../pipeline/request';
import type { Candidate, EngineView } from './engineView';
import { Probes } from '../outliers/probes';
import type { Placement, ScoredCandidate } from './placements';
import { Salts } from './salts';
import type { CostPlacer } from './costPlacer';

/** Maximum number of prompt blocks that are looked up. */
export const mostBlocks = 128;

/** Share of this proxy's own burst that is expected from each other proxy as well. */
const expectedBurstShare = 0.5;

const noBlocksMiss: LookupResult = { kind: 'miss', reason: 'noBlocks' };

/** A prompt whose shared parts have fewer tokens than this is not looked up. */
const minSharedTokens = 512;

/** The cache keys of a request's prompt, computed once per weight version. */
export class PromptKeys {
  private readonly blockChain: readonly string[];
  private readonly named: readonly PromptPart[];
  private readonly keysByWeights = new Map<string, readonly BlockKey[]>();
  private readonly saltsByWeights = new Map<string, string>();
  private prefixName: string | undefined;

  public constructor(
    private readonly resolved: ResolvedRequest,
    request: ProxyRequest,
  ) {
    const { service } = resolved;
    this.blockChain =
      service.kind === 'pool' && request.parts === undefined && typeof request.body === 'string'
        ? HashChains.blocks(promptInBody(request.body), service.blockCharacters, mostBlocks)
        : [];
    const parts = request.parts ?? [];
    // Without the last part: it is specific to this request, so no other request looks it up.
    const shared = parts.slice(0, -1).reduce((sum, { size }) => sum + size, 0);
    this.named = service.kind === 'pool' && shared >= minSharedTokens ? parts : [];
  }

  /** Number of blocks or parts that have keys. */
  public get blocks(): number {
    return this.blockChain.length + this.named.length;
  }

  /** Keys of the blocks of a text, or of the parts that the client named. */
  public keysFor(weights: string): readonly BlockKey[] {
    const known = this.keysByWeights.get(weights);
    if (known !== undefined) return known;
    const { service, trustDomain } = this.resolved;
    const keys =
      service.kind !== 'pool'
        ? []
        : this.named.length > 0
          ? PromptParts.keys(this.named, this.salt(weights))
          : HashChains.keys(this.blockChain, service, weights, trustDomain);
    this.keysByWeights.set(weights, keys);
    return keys;
  }

  /** Keys of the parts that the client named; none if the prompt is in the body or its shared parts are short. */
  public parts(weights: string): readonly PartKey[] {
    return this.named.length > 0 ? (this.keysFor(weights) as readonly PartKey[]) : [];
  }

  /**
   * Name of the prefix that the request shares with others, independent of the weights because the demand for a prefix outlives them.
   * Empty: there is no prefix worth counting. It is a digest because it is sent to other processes and must reveal neither the tenant
   * nor the content.
   */
  public prefix(): string {
    if (this.named.length === 0) return '';
    this.prefixName ??= createHash('sha256')
      .update([this.salt(''), ...this.named.slice(0, -1).map(({ name }) => name)].join('/'))
      .digest('hex')
      .slice(0, 12);
    return this.prefixName;
  }

  /** Salt of the keys under a weight version. */
  public salt(weights: string): string {
    const { service, trustDomain } = this.resolved;
    if (service.kind !== 'pool') return '';
    const known = this.saltsByWeights.get(weights) ?? Salts.of(service, weights, trustDomain);
    this.saltsByWeights.set(weights, known);
    return known;
  }
}

/** The prompt in a request body, in canonical form; empty if there is none. */
const promptInBody = (body: string): string => {
  try {
    const messages = (JSON.parse(body) as { messages?: unknown }).messages;
    return Array.isArray(messages) ? HashChains.canonicalPrompt(messages) : '';
  } catch {
    return '';
  }
};

/** What the placement policy works with. */
export type PlacementDependencies = Readonly<{
  view: EngineView;
  shards: ShardCatalog;
  placement: Placement;
  random: Random;
  metrics: Metrics;
  /** Chooses the engine for a request whose prompt parts are named. */
  byWork: CostPlacer;
}>;

/** The pipeline policies that choose an engine. */
export const PlacementPolicies = {
  /** Computes the cache keys. `onPrefix` is called once per request, with the prefix that it shares with others. */
  computeKeys: (onPrefix: (prefix: string) => void = () => undefined): Policy => ({
    name: 'lookUp',
    apply: (context) => {
      const resolved = context.resolved;
      if (resolved === undefined) throw new Error('request has no resolved mapping');
      const keys = context.keys ?? new PromptKeys(resolved, context.request);
      // Only the first time: a request that comes back from the queue has been counted already.
      if (context.keys === undefined && context.rounds === 0) onPrefix(keys.prefix());
      return Promise.resolve({ kind: 'onward', context: { ...context, keys } });
    },
  }),

  /** Chooses an engine, or queues the request if there is none. */
  place: ({ view, shards, placement, random, metrics, byWork }: PlacementDependencies): Policy => ({
    name: 'place',
    apply: async (context: RequestContext): Promise<PolicyResult> => {
      const { resolved, keys, request: order } = context;
      if (resolved === undefined || keys === undefined) throw new Error('request has no prompt keys');
      const service = resolved.mapping.service;
      const available = view.candidates(resolved.pool).filter(({ name }) => !context.avoidedEngines.includes(name));
      const isRepeatable = resolved.mapping.resumable || resolved.mapping.repeatable === true;
      // Only without prompt blocks: the probed engine would have to prefill again what other engines have cached.
      const isProbeSafe = isRepeatable && keys.blocks === 0;
      // Only on the first send: a retry goes to an engine that is expected to answer.
      const mayProbe = view.outliers.mayProbe(service, isProbeSafe) && context.sends === 0;
      const candidates = Probes.among(available, mayProbe);
      const lookUps = new Map<string, LookupResult>();
      const lookUp = (weights: string): LookupResult => {
        const found =
          lookUps.get(weights) ??
          (keys.blocks === 0
            ? noBlocksMiss
            : Lookups.find(shards, keys.keysFor(weights), (holder) => view.bootEpochOf(holder)));
        lookUps.set(weights, found);
        return found;
      };
      const placed =
        order.parts === undefined
          ? placeByPrefix(candidates, keys, lookUp, view, placement, random)
          : await byWork.place(candidates, order, resolved, keys, lookUp);
      if (placed === undefined)
        // Queued because an engine may become available soon; the time limit of the request keeps running.
        return {
          kind: 'hold',
          context,
          refusal: Refusals.make(503, 'notRun', 'noEngine', 'No engine can take it now.', 1),
        };
      const found = lookUp(placed.weights);
      if (keys.blocks > 0 && context.sends === 0)
        metrics.count(
          'postdrum_lookups_total',
          found.kind === 'miss' ? { result: 'miss', reason: found.reason } : { result: found.kind },
        );
      return { kind: 'onward', context: { ...context, placed, lookUp: found } };
    },
  }),
} as const;

/** Chooses an engine for a request whose prompt is in the body. */
const placeByPrefix = (
  candidates: readonly Candidate[],
  keys: PromptKeys,
  lookUp: (weights: string) => LookupResult,
  view: EngineView,
  placement: Placement,
  random: Random,
): PlacedRequest | undefined => {
  const scored: readonly ScoredCandidate[] = candidates.map((candidate) => {
    const found = lookUp(candidate.weights);
    const matched =
      found.kind === 'miss' ? 0 : (found.found.find(({ holder }) => holder === candidate.name)?.matched ?? 0);
    // A proxy that sends several requests to one engine at once assumes that others do the same and that it cannot see this yet.
    const expectedBurst = Math.max(0, view.recentSends(candidate.name) - 1) * (view.proxies() - 1) * expectedBurstShare;
    return { ...candidate, matched, likelyInFlight: candidate.inFlight + expectedBurst };
  });
  const chosen = placement.choose(scored, keys.blocks, random);
  return chosen === undefined
    ? undefined
    : {
        engine: chosen.name,
        address: chosen.address,
        bootEpoch: chosen.bootEpoch,
        weights: chosen.weights,
        cachedParts: chosen.matched,
      };
};
