import { createHash } from 'node:crypto';
import type { Pool } from '../configuration/types';
import type { NamedKey } from './hashChain';
import { Identities } from './identity';

/** A named part of a prompt; lists of parts are in prompt order. The size is in tokens. */
export type PromptPart = Readonly<{ name: string; size: number }>;

/** A part as holders keep it. Its name is derived from the identity, so every daemon computes the same name for the same part. */
export type PartKey = NamedKey & Readonly<{ size: number }>;

/** Longer part names are replaced by a digest, so that the names in the directory have a bounded length. */
const maxPartNameCharacters = 64;

const boundedName = (part: string): string =>
  part.length <= maxPartNameCharacters ? part : createHash('sha256').update(part).digest('hex').slice(0, 32);

export const PromptParts = {
  /**
   * Prefix of the names of all parts of one identity, derived from the owner and from what produced the parts. It covers the logical
   * identity because holders check neither tenant nor weights and find a part only under exactly the same name.
   */
  salt: (pool: Pool, weights: string, trustDomain: string): string =>
    Identities.logical(Identities.ofPool(pool, weights, trustDomain, '', 0)).slice(0, 16),

  /**
   * The salt of a service without listed models. Nothing is known of what its engines cache, but what they keep of a
   * tenant's prompts must be found only within the tenant's trust domain.
   */
  saltWithoutModel: (trustDomain: string): string =>
    createHash('sha256').update(`trust domain\n${trustDomain}`).digest('hex').slice(0, 16),

  /** The name of a part in the directory, from the salt and the name under which its holder reports it. */
  nameOf: (salt: string, part: string): string => `${salt}/${boundedName(part)}`,

  keys: (parts: readonly PromptPart[], salt: string): readonly PartKey[] =>
    parts.map(({ name, size }) => {
      const full = PromptParts.nameOf(salt, name);
      return { physical: full, logical: name, name: full, size };
    }),
} as const;
