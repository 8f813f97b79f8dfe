import { createHash } from 'node:crypto';
import type { Pool } from '../blueprint/types';
import { Identities } from './identity';

export type BlockKey = Readonly<{ physical: string; logical: string }>;

/** A key and the opaque name under which one holder keeps the block. */
export type NamedKey = BlockKey &
  Readonly<{
    name: string;
    /** How much of it is kept, where holders say so. */
    size?: number;
  }>;

type ChatMessage = Readonly<{ role?: unknown; content?: unknown }>;

export const HashChains = {
  /** The prompt in one form, whatever white space or field order the caller's JSON had. */
  canonicalPrompt: (messages: readonly unknown[]): string =>
    messages
      .map((message) => {
        const { role, content } = (message ?? {}) as ChatMessage;
        const text = typeof content === 'string' ? content : JSON.stringify(content ?? '');
        return `${String(role ?? '')}\u0001${text}\u0002`;
      })
      .join(''),

  /** One hash a whole block, each over the one before; the rest short of a block has none. */
  blocks: (prompt: string, blockCharacters: number, most: number): readonly string[] => {
    const count = Math.min(most, Math.floor(prompt.length / blockCharacters));
    const chain: string[] = [];
    let before = '';
    for (let index = 0; index < count; index += 1) {
      before = createHash('sha256')
        .update(before)
        .update('\u0000')
        .update(prompt.slice(index * blockCharacters, (index + 1) * blockCharacters))
        .digest('hex');
      chain.push(before);
    }
    return chain;
  },

  /**
   * The name a fill gives a block. Why a new one each time: an order that met another boot or other weights than it
   * was meant for leaves wrong bytes behind, and no later order may come upon them by name.
   */
  named: (keys: readonly BlockKey[], fill: string): readonly NamedKey[] =>
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
