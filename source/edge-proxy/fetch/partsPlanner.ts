import type { LookUp } from '../../shared/directory/lookup';
import type { PartKey } from '../../shared/directory/promptParts';
import type { ShardBook } from '../../shared/directory/shardBook';
import type { Metrics } from '../../shared/metrics/metrics';
import { Rendezvous } from '../../shared/rendezvous/rendezvous';
import type { Placed, Resolved } from '../path/order';
import type { EngineView, Store } from '../placement/engineView';
import type { PromptKeys } from '../placement/placePolicies';
import type { ReadSpeeds } from '../placement/readSpeeds';
import { noFetch, type FetchPlan } from './fetchPlanner';
import type { PartMoves } from './partMoves';

/**
 * What an order of named parts tells its engine. Its parts are kept under a salt that carries wall and weights, so a
 * plan made under wrong news finds nothing and does no harm; there is nothing to register and nothing to grant.
 */
export class PartsPlanner {
  public constructor(
    private readonly view: EngineView,
    private readonly shards: ShardBook,
    private readonly moves: PartMoves,
    private readonly speeds: ReadSpeeds,
    private readonly metrics: Metrics,
  ) {}

  public plan(placed: Placed, { service }: Resolved, keys: PromptKeys, lookUp: LookUp): FetchPlan {
    const salt = keys.salt(placed.weights);
    const parts = keys.parts(placed.weights);
    if (parts.length === 0 || service.kind !== 'pool') return { ...noFetch, salt };
    const engine = {
      name: placed.engine,
      zone: this.view.zoneOf(placed.engine) ?? '',
      tokensPerMillisecond: this.speeds.of(placed.engine),
    };
    const move = this.moves.best(engine, service, parts, placed.matched, lookUp);
    const names = parts.map(({ name }) => name);
    const store = this.storeFor(parts);
    const guess = move === undefined ? this.guess(placed, parts, store) : undefined;
    if (move !== undefined) this.metrics.count('postdrum_imports_total', { from: this.kindOf(move.holder) });
    return {
      ...noFetch,
      salt,
      target: store === undefined ? undefined : { store: store.address, keys: names },
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
      fills: names.slice(placed.matched, -1),
    };
  }

  /**
   * Where parts that nobody is known to keep may be all the same. Why guess: news of a part comes after it was read,
   * some never comes, and a guess that is wrong costs a millisecond where reading costs hundreds.
   */
  private guess(
    { home, matched, engine }: Placed,
    parts: readonly PartKey[],
    store: Store | undefined,
  ): FetchPlan['source'] {
    if (matched >= parts.length - 1) return undefined;
    // Why the store first where nothing is known of it: it outlives a restart of all daemons, and has what was ever read.
    const byStore = store !== undefined && (home === undefined || this.shards.get(store.name) === undefined);
    const holder = byStore ? store.name : home;
    const address = holder === undefined ? undefined : this.view.addressOf(holder);
    if (address === undefined || holder === undefined || holder === engine) return undefined;
    this.metrics.count('postdrum_imports_total', { from: 'guess' });
    return { holder, address, bootEpoch: '', at: matched, keys: parts.slice(matched, -1).map(({ name }) => name) };
  }

  private kindOf(holder: string): string {
    return this.view.storeShape(holder) === undefined ? 'engine' : 'store';
  }

  /** The store that should be sent the shared parts, where it lacks any of them. The last part is the order's own. */
  private storeFor(parts: readonly PartKey[]): Store | undefined {
    const stores = this.view.stores();
    const first = parts[0];
    if (first === undefined || stores.length === 0) return undefined;
    // Why by rendezvous: every daemon names the same store for the same parts, and none holds them twice.
    const name = Rendezvous.first(
      first.name,
      stores.map((store) => store.name),
    );
    const store = stores.find((item) => item.name === name);
    const shard = store === undefined ? undefined : this.shards.get(store.name);
    if (store === undefined) return undefined;
    const shared = parts.slice(0, -1).map(({ physical }) => physical);
    return shard !== undefined && shard.matched(shared) === shared.length ? undefined : store;
  }
}
