import { createHash } from 'node:crypto';
import { HashChains, type BlockKey } from '../../shared/directory/hashChain';
import { PromptParts, type PartKey, type PromptPart } from '../../shared/directory/promptParts';
import { LookUps, type LookUp } from '../../shared/directory/lookup';
import type { ShardBook } from '../../shared/directory/shardBook';
import type { Random } from '../../shared/effects/random/random';
import type { Metrics } from '../../shared/metrics/metrics';
import { Refusals } from '../../shared/verdict/verdict';
import type { Context, Order, Placed, Policy, Resolved, Step } from '../path/order';
import type { Candidate, EngineView } from './engineView';
import { Probes } from '../outliers/probes';
import type { Placement, Scored } from './placements';
import { Salts } from './salts';
import type { WorkPlacer } from './workPlacer';

export const mostBlocks = 128;

/** Starting value, ours: how much of an own burst is expected from each other proxy. */
const crowdPart = 0.5;

const nothing: LookUp = { kind: 'miss', reason: 'noBlocks' };

/** Starting value, ours: a prompt whose shared parts are shorter than this is not worth looking up. */
const leastSharedTokens = 512;

/** The keys of an order's prompt under one weight version, worked out once each. */
export class PromptKeys {
  private readonly chain: readonly string[];
  private readonly named: readonly PromptPart[];
  private readonly byWeights = new Map<string, readonly BlockKey[]>();
  private readonly salts = new Map<string, string>();
  private prefixName: string | undefined;

  public constructor(
    private readonly resolved: Resolved,
    order: Order,
  ) {
    const { service } = resolved;
    this.chain =
      service.kind === 'pool' && order.parts === undefined && typeof order.body === 'string'
        ? HashChains.blocks(promptIn(order.body), service.blockCharacters, mostBlocks)
        : [];
    const parts = order.parts ?? [];
    // Why without the last: it belongs to the order itself, and no other asks for it.
    const shared = parts.slice(0, -1).reduce((sum, { size }) => sum + size, 0);
    this.named = service.kind === 'pool' && shared >= leastSharedTokens ? parts : [];
  }

  public get blocks(): number {
    return this.chain.length + this.named.length;
  }

  /** Keys of blocks of a text, or of parts that the caller named. */
  public under(weights: string): readonly BlockKey[] {
    const known = this.byWeights.get(weights);
    if (known !== undefined) return known;
    const { service, trustDomain } = this.resolved;
    const keys =
      service.kind !== 'pool'
        ? []
        : this.named.length > 0
          ? PromptParts.keys(this.named, this.salt(weights))
          : HashChains.keys(this.chain, service, weights, trustDomain);
    this.byWeights.set(weights, keys);
    return keys;
  }

  /** The parts that the caller named; none where the prompt stands in the body or is short. */
  public parts(weights: string): readonly PartKey[] {
    return this.named.length > 0 ? (this.under(weights) as readonly PartKey[]) : [];
  }

  /**
   * Names what the order shares with others, whatever the weights: a demand outlives them. Empty: nothing worth it.
   * Why a digest: it travels, and says neither whose prefix it is nor what.
   */
  public prefix(): string {
    if (this.named.length === 0) return '';
    this.prefixName ??= createHash('sha256')
      .update([this.salt(''), ...this.named.slice(0, -1).map(({ name }) => name)].join('/'))
      .digest('hex')
      .slice(0, 12);
    return this.prefixName;
  }

  public salt(weights: string): string {
    const { service, trustDomain } = this.resolved;
    if (service.kind !== 'pool') return '';
    const known = this.salts.get(weights) ?? Salts.of(service, weights, trustDomain);
    this.salts.set(weights, known);
    return known;
  }
}

const promptIn = (body: string): string => {
  try {
    const messages = (JSON.parse(body) as { messages?: unknown }).messages;
    return Array.isArray(messages) ? HashChains.canonicalPrompt(messages) : '';
  } catch {
    return '';
  }
};

export type PlaceParts = Readonly<{
  view: EngineView;
  shards: ShardBook;
  placement: Placement;
  random: Random;
  metrics: Metrics;
  /** How an engine is chosen for an order whose prompt's parts are named. */
  byWork: WorkPlacer;
}>;

export const PlacePolicies = {
  /** `saw` hears of each order's shared prefix, once. */
  lookUp: (saw: (prefix: string) => void = () => undefined): Policy => ({
    name: 'lookUp',
    apply: (context) => {
      const resolved = context.resolved;
      if (resolved === undefined) throw new Error('no mapping resolved');
      const keys = context.keys ?? new PromptKeys(resolved, context.order);
      // Why only then: an order that comes again from holding has been counted.
      if (context.keys === undefined && context.rounds === 0) saw(keys.prefix());
      return Promise.resolve({ kind: 'onward', context: { ...context, keys } });
    },
  }),

  place: ({ view, shards, placement, random, metrics, byWork }: PlaceParts): Policy => ({
    name: 'place',
    apply: async (context: Context): Promise<Step> => {
      const { resolved, keys, order } = context;
      if (resolved === undefined || keys === undefined) throw new Error('no keys looked up');
      const service = resolved.mapping.service;
      const offered = view.candidates(service).filter(({ name }) => !context.avoided.includes(name));
      const isRepeatable = resolved.mapping.resumable || resolved.mapping.repeatable === true;
      // Why without shared blocks: what others keep of its prompt would be read again where it is tried.
      const isFit = isRepeatable && keys.blocks === 0;
      // Why only the first send: one that is made a second time goes where it will be answered.
      const mayProbe = view.outliers.mayProbe(service, isFit) && context.sends === 0;
      const candidates = Probes.among(offered, mayProbe);
      const lookUps = new Map<string, LookUp>();
      const lookUp = (weights: string): LookUp => {
        const found =
          lookUps.get(weights) ??
          (keys.blocks === 0
            ? nothing
            : LookUps.find(shards, keys.under(weights), (holder) => view.bootEpochOf(holder)));
        lookUps.set(weights, found);
        return found;
      };
      const placed =
        order.parts === undefined
          ? byPrefix(candidates, keys, lookUp, view, placement, random)
          : await byWork.place(candidates, order, resolved, keys, lookUp);
      if (placed === undefined)
        // Why held: another engine may be back in a moment, and its limit goes on.
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

const byPrefix = (
  candidates: readonly Candidate[],
  keys: PromptKeys,
  lookUp: (weights: string) => LookUp,
  view: EngineView,
  placement: Placement,
  random: Random,
): Placed | undefined => {
  const scored: readonly Scored[] = candidates.map((candidate) => {
    const found = lookUp(candidate.weights);
    const matched =
      found.kind === 'miss' ? 0 : (found.found.find(({ holder }) => holder === candidate.name)?.matched ?? 0);
    // Why: who sends several at once to one engine may take it that others do the same, and cannot see it yet.
    const crowd = Math.max(0, view.unseen(candidate.name) - 1) * (view.proxies() - 1) * crowdPart;
    return { ...candidate, matched, likelyInFlight: candidate.inFlight + crowd };
  });
  const chosen = placement.choose(scored, keys.blocks, random);
  return chosen === undefined
    ? undefined
    : {
        engine: chosen.name,
        address: chosen.address,
        bootEpoch: chosen.bootEpoch,
        weights: chosen.weights,
        matched: chosen.matched,
      };
};
