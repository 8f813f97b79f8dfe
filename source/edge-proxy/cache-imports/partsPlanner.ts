import type { LookupResult } from '../../shared/directory/lookup';
import type { PartKey } from '../../shared/directory/promptParts';
import type { ShardCatalog } from '../../shared/directory/shardCatalog';
import type { Metrics } from '../../shared/metrics/metrics';
import { Rendezvous } from '../../shared/rendezvous/rendezvous';
import type { DemandView } from '../demand/demandView';
import type { PlacedRequest, ResolvedRequest } from '../pipeline/request';
import type { EngineView, Store } from '../placement/engineView';
import type { PromptKeys } from '../placement/placementPolicies';
import { Salts } from '../placement/salts';
import type { PrefillSpeeds } from '../placement/prefillSpeeds';
import { noFetch, type FetchPlan } from './fetchPlanner';
import type { PartImports } from './partImports';

/**
 * Plans the cache instructions of a request whose prompt has named parts. The parts are cached under a salt that contains the trust
 * domain and the weights, so a plan made from outdated information finds nothing and does no harm; nothing has to be registered or
 * granted.
 */
export class PartsPlanner {
  private readonly knownTokens = new Map<
    string,
    Readonly<{ mark: string; salts: ReadonlySet<string>; tokens: number }>
  >();

  public constructor(
    private readonly view: EngineView,
    private readonly shards: ShardCatalog,
    private readonly moves: PartImports,
    private readonly speeds: PrefillSpeeds,
    private readonly metrics: Metrics,
    private readonly demand: DemandView,
  ) {}

  public plan(
    placed: PlacedRequest,
    { service, resolvedWith: under }: ResolvedRequest,
    keys: PromptKeys,
    lookUp: LookupResult,
  ): FetchPlan {
    const parts = keys.parts(placed.weights);
    if (parts.length === 0 || service.kind !== 'pool') return noFetch;
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
   * A holder that may cache the parts although none is known to. A guess is made because the event about a part arrives after it
   * was prefilled, some events never arrive, and a wrong guess costs a millisecond where a prefill costs hundreds.
   */
  private guess(
    placed: PlacedRequest,
    parts: readonly PartKey[],
    store: Store | undefined,
    lookUp: LookupResult,
  ): FetchPlan['source'] {
    const isCached = placed.cachedParts >= parts.length - 1;
    if (!(isCached ? this.moves.settings.namesFallbacks : this.moves.settings.guessesSources)) return undefined;
    const holder = isCached ? this.fallbackSource(placed, parts, store, lookUp) : this.guessedSource(placed, store);
    const address = holder === undefined ? undefined : this.view.addressOf(holder);
    if (address === undefined || holder === undefined || holder === placed.engine) return undefined;
    this.metrics.count('postdrum_imports_total', { from: isCached ? 'spare' : 'guess' });
    const at = isCached ? 0 : placed.cachedParts;
    return { holder, address, bootEpoch: '', at, keys: parts.slice(at, -1).map(({ name }) => name) };
  }

  private guessedSource({ defaultEngine: home, engine }: PlacedRequest, store: Store | undefined): string | undefined {
    // The store is preferred if nothing is known about it: it survives a restart of all daemons and may have any earlier prefix.
    const usesStore =
      store !== undefined && (home === undefined || home === engine || this.shards.get(store.name) === undefined);
    return usesStore ? store.name : home;
  }

  /**
   * The source of the parts in case the engine has evicted them. One is named although the engine is known to cache them, because
   * an engine evicts the least recently used parts when it needs room, and the event about that may arrive after the request was
   * sent. The engine does not import parts that it still has.
   */
  private fallbackSource(
    { engine }: PlacedRequest,
    parts: readonly PartKey[],
    store: Store | undefined,
    lookUp: LookupResult,
  ): string | undefined {
    if (store !== undefined && this.holdsShared(store, parts)) return store.name;
    const others = lookUp.kind === 'miss' ? [] : lookUp.found;
    const other = others.find(({ holder, matched }) => holder !== engine && matched >= parts.length - 1);
    return other?.holder ?? store?.name;
  }

  /**
   * Whether the parts are worth writing to the store. It does not receive all parts, because it evicts the least recently used
   * ones, so that parts requested once would push out parts requested repeatedly. A part that some holder already caches has been
   * requested before.
   */
  private mayFill(
    { name }: Store,
    keys: PromptKeys,
    { cachedParts: matched }: PlacedRequest,
    lookUp: LookupResult,
    salts: () => ReadonlySet<string>,
  ): boolean {
    const { settings } = this.demand;
    const fillLimitTokens = ((this.view.storeShape(name)?.keptTokens ?? 0) * settings.storeFillLimitPerMille) / 1000;
    if (!settings.isOn || fillLimitTokens === 0 || this.cachedTokens(name, salts()) < fillLimitTokens) return true;
    const isAskedAgain = matched > 0 || (lookUp.kind !== 'miss' && lookUp.found.length > 0);
    const fills = isAskedAgain || this.demand.isWanted(keys.prefix());
    this.metrics.count('postdrum_store_fills_total', { fill: fills ? 'wanted' : 'spared' });
    return fills;
  }

  /**
   * Tokens of the parts that the holder is known to cache and that may still be requested. Parts of earlier weights are left out
   * because they are evicted first. The result is cached for each version of the shard because a store has thousands of parts.
   */
  private cachedTokens(holder: string, salts: ReadonlySet<string>): number {
    const shard = this.shards.get(holder);
    if (shard === undefined) return 0;
    const { term, epoch, version } = shard.present;
    const mark = `${term}/${epoch}/${version}`;
    const known = this.knownTokens.get(holder);
    if (known?.mark === mark && known.salts === salts) return known.tokens;
    const tokens = shard
      .entries()
      .reduce((sum, { name, size = 0 }) => (salts.has(name.slice(0, name.lastIndexOf('/'))) ? sum + size : sum), 0);
    this.knownTokens.set(holder, { mark, salts, tokens });
    return tokens;
  }

  private holdsShared({ name }: Store, parts: readonly PartKey[]): boolean {
    const shard = this.shards.get(name);
    const shared = parts.slice(0, -1).map(({ physical }) => physical);
    return shard !== undefined && shard.matchedPrefix(shared) === shared.length;
  }

  private kindOf(holder: string): string {
    return this.view.storeShape(holder) === undefined ? 'engine' : 'store';
  }

  /** The store that caches the shared parts of the request. */
  private storeFor(parts: readonly PartKey[]): Store | undefined {
    const stores = this.view.stores();
    const first = parts[0];
    if (first === undefined || stores.length === 0) return undefined;
    // Rendezvous hashing makes every proxy choose the same store for the same parts, so that no part is stored twice.
    const name = Rendezvous.first(
      first.name,
      stores.map((store) => store.name),
    );
    return stores.find((item) => item.name === name);
  }
}
