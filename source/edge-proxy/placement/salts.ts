import type { Pool } from '../../shared/blueprint/types';
import { PromptParts } from '../../shared/directory/promptParts';

/** Salts of the pools in use, worked out once each. Why kept by the pool: a new blueprint brings new pools. */
const known = new WeakMap<Pool, Map<string, string>>();

export const Salts = {
  of: (pool: Pool, weights: string, trustDomain: string): string => {
    const salts = known.get(pool) ?? new Map<string, string>();
    known.set(pool, salts);
    const key = `${weights}\u0000${trustDomain}`;
    const salt = salts.get(key) ?? PromptParts.salt(pool, weights, trustDomain);
    salts.set(key, salt);
    return salt;
  },
} as const;
