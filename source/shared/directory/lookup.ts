import type { BlockKey } from './hashChain';
import type { ShardCatalog } from './shardCatalog';

export type MissReason = 'noBlocks' | 'absent' | 'incompatible' | 'otherBoot';

/** A holder that keeps the first `matched` blocks of a chain. */
export type PrefixMatch = Readonly<{ holder: string; matched: number; bootEpoch: string; epoch: number }>;

export type LookupResult =
  | Readonly<{ kind: 'hit'; found: readonly PrefixMatch[] }>
  | Readonly<{ kind: 'prefixHit'; found: readonly PrefixMatch[] }>
  | Readonly<{ kind: 'miss'; reason: MissReason }>;

export const Lookups = {
  /**
   * Finds how many leading blocks of the chain each holder keeps. Only committed blocks of the current boot and the same identity count.
   */
  find: (
    shards: ShardCatalog,
    keys: readonly BlockKey[],
    bootEpochOf: (holder: string) => string | undefined,
  ): LookupResult => {
    if (keys.length === 0) return { kind: 'miss', reason: 'noBlocks' };
    const physicals = keys.map(({ physical }) => physical);
    let incompatible = false;
    let otherBoot = false;
    const found: PrefixMatch[] = [];
    for (const shard of shards.all()) {
      const { holder, bootEpoch, epoch } = shard.present;
      const matched = shard.matchedPrefix(physicals);
      if (matched === 0) {
        incompatible ||= keys.some(({ logical }) => shard.holdsLogical(logical));
        continue;
      }
      // The index may still describe an earlier boot of the holder.
      if (bootEpochOf(holder) !== bootEpoch) otherBoot = true;
      else found.push({ holder, matched, bootEpoch, epoch });
    }
    if (found.length === 0)
      return { kind: 'miss', reason: otherBoot ? 'otherBoot' : incompatible ? 'incompatible' : 'absent' };
    found.sort((left, right) => right.matched - left.matched || (left.holder < right.holder ? -1 : 1));
    return { kind: (found[0]?.matched ?? 0) === keys.length ? 'hit' : 'prefixHit', found };
  },
} as const;
