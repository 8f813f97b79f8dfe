import { createHash } from 'node:crypto';
import type { Pool } from '../configuration/types';
import { Identities } from './identity';

export type BlockKey = Readonly<{ physical: string; logical: string }>;

/** A block's key and the opaque name under which one holder keeps the block. */
export type NamedKey = BlockKey &
  Readonly<{
    name: string;
    /** Size of what is kept, where the holder reports sizes. */
    size?: number;
  }>;

type ChatMessage = Readonly<{ role?: unknown; content?: unknown }>;

export const HashChains = {
  /** The prompt in a canonical form that does not depend on white space or field order in the caller's JSON. */
  canonicalPrompt: (messages: readonly unknown[]): string =>
    messages
      .map((message) => {
        const { role, content } = (message ?? {}) as ChatMessage;
        const text = typeof content === 'string' ? content : JSON.stringify(content ?? '');
        return `${String(role ?? '')}\u0001${text}\u0002`;
      })
      .join(''),

  /** One hash for each complete block, chained over the hash of the block before it. An incomplete last block has none. */
  blocks: (prompt: string, blockCharacters: number, maxBlocks: number): readonly string[] => {
    const count = Math.min(maxBlocks, Math.floor(prompt.length / blockCharacters));
    const chain: string[] = [];
    let previousHash = '';
    for (let index = 0; index < count; index += 1) {
      previousHash = createHash('sha256')
        .update(previousHash)
        .update('\u0000')
        .update(prompt.slice(index * blockCharacters, (index + 1) * blockCharacters))
        .digest('hex');
      chain.push(previousHash);
    }
    return chain;
  },

  /**
   * Adds the names under which a fill stores its blocks. Each fill uses new names because a request that reaches another boot or other
   * weights than intended leaves wrong bytes behind, and no later request may find these by name.
   */
  withFillNames: (keys: readonly BlockKey[], fill: string): readonly NamedKey[] =>
    keys.map((key) => ({
      ...key,
      name: createHash('sha256').update(key.physical).update('\u0000').update(fill).digest('hex').slice(0, 32),
    })),

  keys: (chain: readonly string[], pool: Pool, weights: string, trustDomain: string): readonly BlockKey[] =>
    chain.map((prefix, index) => {
      const identity = Identities.ofPool(pool, weights, trustDomain, prefix, index + 1);
      return { physical: Identities.physical(identity), logical: Identities.logical(identity) };
    }),
} as const;
