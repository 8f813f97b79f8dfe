import type { CacheSource, CacheTarget } from '../../shared/back-end/protocol';
import { HashChains, type BlockKey, type NamedKey } from '../../shared/directory/hashChain';
import type { LookUp } from '../../shared/directory/lookup';
import type { ShardBook } from '../../shared/directory/shardBook';
import type { DirectoryNote, GrantAnswer } from '../../shared/directory/shardDirectory';
import type { ShardHead } from '../../shared/directory/shardNews';
import type { Metrics } from '../../shared/metrics/metrics';
import type { Pulses } from '../../shared/news/pulses';
import type { PlacedRequest, Policy } from '../pipeline/request';
import type { EngineView } from '../placement/engineView';
import type { LinkSpeeds } from './linkSpeeds';
import type { Move } from './partMoves';
import type { PartsPlanner } from './partsPlanner';

/** What an order tells its engine of kept prompts, and what the directory must be told of the order. */
export type FetchPlan = Readonly<{
  target: CacheTarget | undefined;
  source: (CacheSource & Readonly<{ holder: string }>) | undefined;
  /** The engine's shard when it was planned; it must still be the present one when the order is sent. */
  under: ShardHead | undefined;
  /** Said when the send begins, at the first event of its answer, and when it ends without one. */
  began: readonly DirectoryNote[];
  attested: readonly DirectoryNote[];
  abandoned: readonly DirectoryNote[];
  notSent: readonly DirectoryNote[];
  /** What the order's parts are kept under; empty where they have one-off names. */
  salt: string;
  /** The import of named parts, as it was reckoned. */
  move?: Move | undefined;
  /** Names of the parts that the engine will keep because of this order. */
  fills: readonly string[];
}>;

export type FetchSettings = Readonly<{
  imports: boolean;
  prefillMicrosecondsPerBlock: number;
  importFixedMicroseconds: number;
  margin: number;
  grantMicroseconds: number;
}>;

export interface Grants {
  readonly grant: (engine: string, fill: string, epoch: number, keys: readonly NamedKey[]) => Promise<GrantAnswer>;
}

export const noFetch: FetchPlan = {
  target: undefined,
  source: undefined,
  under: undefined,
  began: [],
  attested: [],
  abandoned: [],
  notSent: [],
  salt: '',
  fills: [],
};

type Better = Readonly<{ holder: string; matched: number; bootEpoch: string; epoch: number }>;
type Fill = Readonly<{
  holder: string;
  name: string;
  bootEpoch: string;
  weights: string;
  register: DirectoryNote | undefined;
}>;

export class FetchPlanner {
  public constructor(
    private readonly view: EngineView,
    private readonly shards: ShardBook,
    private readonly pulses: Pulses,
    private readonly speeds: LinkSpeeds,
    private readonly grants: Grants,
    private readonly settings: FetchSettings,
    private readonly metrics: Metrics,
    private readonly parts: PartsPlanner,
  ) {}

  public policy(): Policy {
    return {
      name: 'planFetch',
      apply: async (context) => {
        const { keys, placed, lookUp, order, resolved } = context;
        if (keys === undefined || placed === undefined || lookUp === undefined || resolved === undefined)
          throw new Error('nothing placed');
        // Why no waiting here: names of parts are derived, so nobody has to be asked for a grant.
        if (order.parts !== undefined)
          return {
            kind: 'onward',
            context: { ...context, fetch: this.parts.plan(placed, resolved, keys, lookUp) },
          };
        const fetch =
          keys.blocks === 0
            ? noFetch
            : await this.plan(`${order.id}.${context.sends}`, placed, keys.keysFor(placed.weights), lookUp);
        return { kind: 'onward', context: { ...context, fetch } };
      },
    };
  }

  /** Right before the send: whether the names planned with may still be used. */
  public stillGood({ under }: FetchPlan): boolean {
    if (under === undefined) return true;
    const now = this.shards.get(under.holder)?.present;
    return (
      now !== undefined &&
      now.term === under.term &&
      now.epoch === under.epoch &&
      this.pulses.fresh(under.holder, under.term, under.epoch)
    );
  }

  /** Whether an import pays: blocks not read anew against the time the link needs for them. */
  public pays(from: string, to: string, blocks: number): boolean {
    const gain = blocks * this.settings.prefillMicrosecondsPerBlock;
    const cost = this.settings.importFixedMicroseconds + blocks * this.speeds.blockMicroseconds(from, to);
    return gain > cost * this.settings.margin;
  }

  private async plan(
    fill: string,
    placed: PlacedRequest,
    keys: readonly BlockKey[],
    lookUp: LookUp,
  ): Promise<FetchPlan> {
    const shard = this.shards.get(placed.engine);
    const head = shard?.present;
    // Why nothing at all: any doubt about whom the names belong to is a clean miss and a fresh prefill.
    if (
      shard === undefined ||
      head === undefined ||
      head.bootEpoch !== placed.bootEpoch ||
      head.weights !== placed.weights ||
      !this.pulses.fresh(placed.engine, head.term, head.epoch)
    )
      return noFetch;
    const fresh = HashChains.named(keys, fill);
    const kept = shard.names(keys.map(({ physical }) => physical));
    const better = this.better(placed.engine, kept.length, lookUp);
    const moved = better === undefined ? [] : fresh.slice(kept.length, better.matched);
    const source =
      better !== undefined && moved.length > 0
        ? await this.sourceOf(placed.engine, fill, head.epoch, better, kept.length, keys, moved)
        : undefined;
    const made = fresh.slice(kept.length + (source === undefined ? 0 : moved.length));
    const fills: Fill[] = [];
    if (made.length > 0)
      fills.push({
        holder: placed.engine,
        name: `${fill}.new`,
        bootEpoch: placed.bootEpoch,
        weights: placed.weights,
        register: {
          kind: 'register',
          holder: placed.engine,
          epoch: head.epoch,
          fill: `${fill}.new`,
          moves: false,
          keys: made,
        },
      });
    if (source !== undefined)
      fills.push({
        holder: placed.engine,
        name: fill,
        bootEpoch: placed.bootEpoch,
        weights: placed.weights,
        register: undefined,
      });
    const names = [...kept, ...fresh.slice(kept.length).map(({ name }) => name)];
    const store = this.storeFill(
      fill,
      keys.map((key, index) => ({ ...key, name: names[index] ?? '' })),
    );
    if (store !== undefined) fills.push(store.fill);
    return {
      ...noFetch,
      target: { store: store?.address ?? '', keys: names },
      source,
      under: head,
      began: fills.flatMap(({ register }) => register ?? []),
      attested: fills.map(({ holder, name, bootEpoch, weights }) => ({
        kind: 'attest',
        holder,
        fill: name,
        bootEpoch,
        weights,
      })),
      abandoned: fills.map(({ holder, name }) => ({ kind: 'abandon', holder, fill: name })),
      notSent: fills.map(({ holder, name }) => ({ kind: 'notSent', holder, fill: name })),
    };
  }

  private async sourceOf(
    engine: string,
    fill: string,
    epoch: number,
    better: Better,
    at: number,
    keys: readonly BlockKey[],
    moved: readonly NamedKey[],
  ): Promise<FetchPlan['source']> {
    const address = this.view.addressOf(better.holder);
    const names =
      this.shards.get(better.holder)?.names(keys.slice(0, better.matched).map(({ physical }) => physical)) ?? [];
    if (address === undefined || names.length < better.matched) return undefined;
    const answer = await this.grants.grant(engine, fill, epoch, moved);
    this.metrics.count('postdrum_grants_total', {
      answer: answer.kind,
      ...(answer.kind === 'refused' ? { reason: answer.reason } : {}),
    });
    return answer.kind === 'granted'
      ? { holder: better.holder, address, bootEpoch: better.bootEpoch, at, keys: names.slice(at) }
      : undefined;
  }

  private storeFill(fill: string, keys: readonly NamedKey[]): Readonly<{ address: string; fill: Fill }> | undefined {
    const store = this.view.store();
    const shard = store === undefined ? undefined : this.shards.get(store.name);
    if (store === undefined || shard === undefined || shard.present.bootEpoch !== store.bootEpoch) return undefined;
    const missing = keys.filter(({ physical }) => !shard.holds(physical));
    if (missing.length === 0) return undefined;
    const name = `${fill}.store`;
    return {
      address: store.address,
      fill: {
        holder: store.name,
        name,
        bootEpoch: store.bootEpoch,
        weights: '',
        register: {
          kind: 'register',
          holder: store.name,
          epoch: shard.present.epoch,
          fill: name,
          moves: false,
          keys: missing,
        },
      },
    };
  }

  private better(engine: string, matched: number, lookUp: LookUp): Better | undefined {
    if (!this.settings.imports || lookUp.kind === 'miss') return undefined;
    const paying = lookUp.found.filter(
      (item) =>
        item.holder !== engine && item.matched > matched && this.pays(item.holder, engine, item.matched - matched),
    );
    const cost = (item: Better): number =>
      (item.matched - matched) *
      (this.speeds.blockMicroseconds(item.holder, engine) - this.settings.prefillMicrosecondsPerBlock);
    return paying.sort((left, right) => cost(left) - cost(right))[0];
  }
}
