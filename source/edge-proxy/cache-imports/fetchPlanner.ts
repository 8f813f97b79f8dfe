import type { CacheSource, CacheTarget } from '../../shared/back-end/protocol';
import { HashChains, type BlockKey, type NamedKey } from '../../shared/directory/hashChain';
import type { LookupResult } from '../../shared/directory/lookup';
import type { ShardCatalog } from '../../shared/directory/shardCatalog';
import type { FillReport, FillGrantAnswer } from '../../shared/directory/shardDirectory';
import type { ShardHead } from '../../shared/directory/shardIndex';
import type { Metrics } from '../../shared/metrics/metrics';
import type { HolderHeartbeats } from '../../shared/gossip/holderHeartbeats';
import type { PlacedRequest, Policy } from '../pipeline/request';
import type { EngineView } from '../placement/engineView';
import type { LinkSpeeds } from './linkSpeeds';
import type { PartImport } from './partImports';
import type { PartsPlanner } from './partsPlanner';

/** The cache instructions that a request gives its engine, and the notes that the cache directory receives about the request. */
export type FetchPlan = Readonly<{
  target: CacheTarget | undefined;
  source: (CacheSource & Readonly<{ holder: string }>) | undefined;
  /** The engine's shard at planning; it must still be the present one when the request is sent. */
  shardHead: ShardHead | undefined;
  /** Notes for the start of the send, for the first event of its response, for an end without a response, and for no send. */
  startNotes: readonly FillReport[];
  firstEventNotes: readonly FillReport[];
  noResponseNotes: readonly FillReport[];
  notSentNotes: readonly FillReport[];
  /** The planned import of named parts, with its expected cost. */
  move?: PartImport | undefined;
  /** Names of the parts that the engine will cache because of this request. */
  fills: readonly string[];
}>;

export type FetchSettings = Readonly<{
  imports: boolean;
  prefillMicrosecondsPerBlock: number;
  importFixedMicroseconds: number;
  margin: number;
  grantMicroseconds: number;
}>;

export interface GrantClient {
  readonly grant: (engine: string, fill: string, epoch: number, keys: readonly NamedKey[]) => Promise<FillGrantAnswer>;
}

export const noFetch: FetchPlan = {
  target: undefined,
  source: undefined,
  shardHead: undefined,
  startNotes: [],
  firstEventNotes: [],
  noResponseNotes: [],
  notSentNotes: [],
  fills: [],
};

type ImportSource = Readonly<{ holder: string; matched: number; bootEpoch: string; epoch: number }>;
type Fill = Readonly<{
  holder: string;
  name: string;
  bootEpoch: string;
  weights: string;
  register: FillReport | undefined;
}>;

/** Plans which cached blocks a request uses, imports from another holder, and writes to a cache store. */
export class FetchPlanner {
  public constructor(
    private readonly view: EngineView,
    private readonly shards: ShardCatalog,
    private readonly heartbeats: HolderHeartbeats,
    private readonly speeds: LinkSpeeds,
    private readonly grants: GrantClient,
    private readonly settings: FetchSettings,
    private readonly metrics: Metrics,
    private readonly parts: PartsPlanner,
  ) {}

  public policy(): Policy {
    return {
      name: 'planFetch',
      apply: async (context) => {
        const { keys, placed, lookUp, request, resolved } = context;
        if (keys === undefined || placed === undefined || lookUp === undefined || resolved === undefined)
          throw new Error('planFetch runs before a request is resolved and placed');
        // Nothing is awaited here: the names of parts are derived and not allocated, so no grant has to be requested.
        if (request.parts !== undefined)
          return {
            kind: 'onward',
            context: { ...context, fetch: this.parts.plan(placed, resolved, keys, lookUp) },
          };
        const fetch =
          keys.blocks === 0
            ? noFetch
            : await this.plan(`${request.id}.${context.sends}`, placed, keys.keysFor(placed.weights), lookUp);
        return { kind: 'onward', context: { ...context, fetch } };
      },
    };
  }

  /** Called right before the send: whether the block names of the plan are still valid. */
  public isStillValid({ shardHead: under }: FetchPlan): boolean {
    if (under === undefined) return true;
    const present = this.shards.get(under.holder)?.present;
    return (
      present !== undefined &&
      present.term === under.term &&
      present.epoch === under.epoch &&
      this.heartbeats.isFresh(under.holder, under.term, under.epoch)
    );
  }

  /** Whether an import is worthwhile: the prefill time saved against the time the link takes for the blocks. */
  public isWorthwhile(from: string, to: string, blocks: number): boolean {
    const gain = blocks * this.settings.prefillMicrosecondsPerBlock;
    const cost = this.settings.importFixedMicroseconds + blocks * this.speeds.blockMicroseconds(from, to);
    return gain > cost * this.settings.margin;
  }

  private async plan(
    fill: string,
    placed: PlacedRequest,
    keys: readonly BlockKey[],
    lookUp: LookupResult,
  ): Promise<FetchPlan> {
    const shard = this.shards.get(placed.engine);
    const head = shard?.present;
    // Any doubt about which engine process the names belong to is treated as a cache miss with a full prefill.
    if (
      shard === undefined ||
      head === undefined ||
      head.bootEpoch !== placed.bootEpoch ||
      head.weights !== placed.weights ||
      !this.heartbeats.isFresh(placed.engine, head.term, head.epoch)
    )
      return noFetch;
    const newKeys = HashChains.withFillNames(keys, fill);
    const cached = shard.names(keys.map(({ physical }) => physical));
    const importSource = this.bestSource(placed.engine, cached.length, lookUp);
    const imported = importSource === undefined ? [] : newKeys.slice(cached.length, importSource.matched);
    const source =
      importSource !== undefined && imported.length > 0
        ? await this.sourceOf(placed.engine, fill, head.epoch, importSource, cached.length, keys, imported)
        : undefined;
    const computed = newKeys.slice(cached.length + (source === undefined ? 0 : imported.length));
    const fills: Fill[] = [];
    if (computed.length > 0)
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
          keys: computed,
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
    const names = [...cached, ...newKeys.slice(cached.length).map(({ name }) => name)];
    const store = this.storeFill(
      fill,
      keys.map((key, index) => ({ ...key, name: names[index] ?? '' })),
    );
    if (store !== undefined) fills.push(store.fill);
    return {
      ...noFetch,
      target: { store: store?.address ?? '', keys: names },
      source,
      shardHead: head,
      startNotes: fills.flatMap(({ register }) => register ?? []),
      firstEventNotes: fills.map(({ holder, name, bootEpoch, weights }) => ({
        kind: 'attest',
        holder,
        fill: name,
        bootEpoch,
        weights,
      })),
      noResponseNotes: fills.map(({ holder, name }) => ({ kind: 'abandon', holder, fill: name })),
      notSentNotes: fills.map(({ holder, name }) => ({ kind: 'notSent', holder, fill: name })),
    };
  }

  private async sourceOf(
    engine: string,
    fill: string,
    epoch: number,
    importSource: ImportSource,
    at: number,
    keys: readonly BlockKey[],
    imported: readonly NamedKey[],
  ): Promise<FetchPlan['source']> {
    const address = this.view.addressOf(importSource.holder);
    const names =
      this.shards
        .get(importSource.holder)
        ?.names(keys.slice(0, importSource.matched).map(({ physical }) => physical)) ?? [];
    if (address === undefined || names.length < importSource.matched) return undefined;
    const answer = await this.grants.grant(engine, fill, epoch, imported);
    this.metrics.count('postdrum_grants_total', {
      answer: answer.kind,
      ...(answer.kind === 'refused' ? { reason: answer.reason } : {}),
    });
    return answer.kind === 'granted'
      ? { holder: importSource.holder, address, bootEpoch: importSource.bootEpoch, at, keys: names.slice(at) }
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

  private bestSource(engine: string, matched: number, lookUp: LookupResult): ImportSource | undefined {
    if (!this.settings.imports || lookUp.kind === 'miss') return undefined;
    const worthwhile = lookUp.found.filter(
      (item) =>
        item.holder !== engine &&
        item.matched > matched &&
        this.isWorthwhile(item.holder, engine, item.matched - matched),
    );
    const cost = (item: ImportSource): number =>
      (item.matched - matched) *
      (this.speeds.blockMicroseconds(item.holder, engine) - this.settings.prefillMicrosecondsPerBlock);
    return worthwhile.sort((left, right) => cost(left) - cost(right))[0];
  }
}
