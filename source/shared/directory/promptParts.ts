import type { Pool } from '../blueprint/types';
import type { NamedKey } from './hashChain';
import { Identities } from './identity';

/** A named part of a prompt, in the order in which the parts stand. The size is in tokens. */
export type PromptPart = Readonly<{ name: string; size: number }>;

/** A part as holders keep it: its name is derived from the identity, so every daemon gives the same part the same name. */
export type PartKey = NamedKey & Readonly<{ size: number }>;

export const PromptParts = {
  /**
   * The text that all parts of one identity are kept under: whose they are, and what made them. Why all of it: holders
   * check neither tenant nor weights, but find a part only under the very same text.
   */
  salt: (pool: Pool, weights: string, trustDomain: string): string =>
    Identities.logical(Identities.ofPool(pool, weights, trustDomain, '', 0)).slice(0, 16),

  /** The name under which holders say that they keep a part. */
  nameOf: (salt: string, part: string): string => `${salt}/${part}`,

  keys: (parts: readonly PromptPart[], salt: string): readonly PartKey[] =>
    parts.map(({ name, size }) => {
      const full = PromptParts.nameOf(salt, name);
      return { physical: full, logical: name, name: full, size };
    }),
} as const;
