import type { LookUp } from '../../shared/directory/lookup';
import type { PartKey } from '../../shared/directory/promptParts';
import type { ShardBook } from '../../shared/directory/shardBook';
import type { Metrics } from '../../shared/metrics/metrics';
import { Rendezvous } from '../../shared/rendezvous/rendezvous';
import type { DemandView } from '../demand/demandView';
import type { PlacedRequest, ResolvedRequest } from '../pipeline/request';
import type { EngineView, Store } from '../placement/engineView';
import type { PromptKeys } from '../placement/placementPolicies';
import { Salts } from '../placement/salts';
import type { PrefillSpeeds } from '../placement/prefillSpeeds';
import { noFetch, type FetchPlan } from './fetchPlanner';
import type { PartMoves } from './partMoves';

/**
 * What an order of named parts tells its engine. Its parts are kept under a salt that carries wall and weights, so a
 * plan made under wrong news finds nothing and does no harm; there is nothing to register and nothing to grant.
 */
export class PartsPlanner {
  private readonly told = new Map<string, Readonly<{ mark: string; salts: ReadonlySet<string>; tokens: number }>>();

  public constructor(
    private readonly view: EngineView,
    private readonly shards: ShardBook,
    private readonly moves: PartMoves,
    private readonly speeds: PrefillSpeeds,
    private readonly metrics: Metrics,
    private readonly demand: DemandView,
  ) {}

  public plan(
    placed: PlacedRequest,
    { service, resolvedWith: under }: ResolvedRequest,
    keys: PromptKeys,
    lookUp: LookUp,
  ): FetchPlan {
    const salt = keys.salt(placed.weights);
    const parts = keys.parts(placed.weights);
    if (parts.length === 0 || service.kind !== 'pool') return { ...noFetch, salt };
    const engine = {
      name: placed.engine,
      zone: this.view.zoneOf(placed.engine) ?? '',
      tokensPerMillisecond: this.speeds.of(placed.engine),
    };
    const move = this.moves.best(engine, service, parts, placed.cachedParts, lookUp);
    const names = parts.map(({ name }) => name);
    const store = this.storeFor(parts);
    const fills =
      store !== undefined &&
      !this.holdsShared(store, parts) &&
      this.mayFill(store, keys, placed, lookUp, () => Salts.allCurrent(under, service, placed.weights));
    const guess = move === undefined ? this.guess(placed, parts, store, lookUp) : undefined;
    if (move !== undefined) this.metrics.count('postdrum_imports_total', { from: this.kindOf(move.holder) });
    return {
      ...noFetch,
      salt,
      target: fills ? { store: store.address, keys: names } : undefined,
      source:
        move === undefined
          ? guess
          : {
              holder: move.holder,
              address: move.address,
              bootEpoch: move.bootEpoch,
              at: move.at,
              keys: names.slice(move.at, move.matched),
            },
      move,
      fills: names.slice(placed.cachedParts, -1),
    };
  }

  /**
   * Where parts that nobody is known to keep may be all the same. Why guess: news of a part comes after it was read,
   * some never comes, and a guess that is wrong costs a millisecond where reading costs hundreds.
   */
  private guess(
    placed: PlacedRequest,
    parts: readonly PartKey[],
    store: Store | undefined,
    lookUp: LookUp,
  ): FetchPlan['source'] {
    const isKept = placed.cachedParts >= parts.length - 1;
    if (!(isKept ? this.moves.settings.spares : this.moves.settings.guesses)) return undefined;
    const holder = isKept ? this.spare(placed, parts, store, lookUp) : this.unknown(placed, store);
    const address = holder === undefined ? undefined : this.view.addressOf(holder);
    if (address === undefined || holder === undefined || holder === placed.engine) return undefined;
    this.metrics.count('postdrum_imports_total', { from: isKept ? 'spare' : 'guess' });
    const at = isKept ? 0 : placed.cachedParts;
    return { holder, address, bootEpoch: '', at, keys: parts.slice(at, -1).map(({ name }) => name) };
  }

  private unknown({ defaultEngine: home, engine }: PlacedRequest, store: Store | undefined): string | undefined {
    // Why the store first where nothing is known of it: it outlives a restart of all daemons, and has what was ever read.
    const byStore =
      store !== undefined && (home === undefined || home === engine || this.shards.get(store.name) === undefined);
    return byStore ? store.name : home;
  }

  /**
   * Where the engine would take its parts from if it had dropped them. Why name one although it keeps them: an engine
   * drops what was used longest ago as soon as it needs room, and word of that comes after the order has gone. What it
   * still keeps it does not take again.
   */
  private spare(
    { engine }: PlacedRequest,
    parts: readonly PartKey[],
    store: Store | undefined,
    lookUp: LookUp,
  ): string | undefined {
    if (store !== undefined && this.holdsShared(store, parts)) return store.name;
    const others = lookUp.kind === 'miss' ? [] : lookUp.found;
    const other = others.find(({ holder, matched }) => holder !== engine && matched >= parts.length - 1);
    return other?.holder ?? store?.name;
  }

  /**
   * Whether the store had better keep these parts. Why not all: it drops what was used longest ago, and what is asked for once
   * pushes out what is asked for again and again. A part that somebody keeps already has been asked for before.
   */
  private mayFill(
    { name }: Store,
    keys: PromptKeys,
    { cachedParts: matched }: PlacedRequest,
    lookUp: LookUp,
    salts: () => ReadonlySet<string>,
  ): boolean {
    const { settings } = this.demand;
    const room = ((this.view.storeShape(name)?.keptTokens ?? 0) * settings.storeRoomPerMille) / 1000;
    if (!settings.isOn || room === 0 || this.toldTokens(name, salts()) < room) return true;
    const isAskedAgain = matched > 0 || (lookUp.kind !== 'miss' && lookUp.found.length > 0);
    const fills = isAskedAgain || this.demand.isWanted(keys.prefix());
    this.metrics.count('postdrum_store_fills_total', { fill: fills ? 'wanted' : 'spared' });
    return fills;
  }

  /**
   * Tokens of the parts that the holder is known to keep and that may be asked for. Why without the others: parts of the weights
   * before are the first that make room. Why kept by the version: a store has thousands of them.
   */
  private toldTokens(holder: string, salts: ReadonlySet<string>): number {
    const shard = this.shards.get(holder);
    if (shard === undefined) return 0;
    const { term, epoch, version } = shard.present;
    const mark = `${term}/${epoch}/${version}`;
    const known = this.told.get(holder);
    if (known?.mark === mark && known.salts === salts) return known.tokens;
    const tokens = shard
      .entries()
      .reduce((sum, { name, size = 0 }) => (salts.has(name.slice(0, name.lastIndexOf('/'))) ? sum + size : sum), 0);
    this.told.set(holder, { mark, salts, tokens });
    return tokens;
  }

  private holdsShared({ name }: Store, parts: readonly PartKey[]): boolean {
    const shard = this.shards.get(name);
    const shared = parts.slice(0, -1).map(({ physical }) => physical);
    return shard !== undefined && shard.matched(shared) === shared.length;
  }

  private kindOf(holder: string): string {
    return this.view.storeShape(holder) === undefined ? 'engine' : 'store';
  }

  /** The store that keeps the shared parts of such an order. */
  private storeFor(parts: readonly PartKey[]): Store | undefined {
    const stores = this.view.stores();
    const first = parts[0];
    if (first === undefined || stores.length === 0) return undefined;
    // Why by rendezvous: every daemon names the same store for the same parts, and none holds them twice.
    const name = Rendezvous.first(
      first.name,
      stores.map((store) => store.name),
    );
    return stores.find((item) => item.name === name);
  }
}
