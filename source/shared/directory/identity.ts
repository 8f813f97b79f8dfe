import { createHash } from 'node:crypto';
import type { Pool } from '../configuration/types';

/** Identity of a cached block, version 1: who owns the bytes and what produced them. The prompt itself is not a field, only its hash. */
export type CacheIdentity = Readonly<{
  trustDomain: string;
  model: string;
  weights: string;
  tokenizer: string;
  adapter: string;
  dtype: string;
  quant: string;
  layout: string;
  shard: string;
  rope: string;
  blockCharacters: number;
  validLength: number;
  prefix: string;
  multimodal: string;
}>;

/** Length-prefixed fields, so that different lists of fields never give equal bytes. */
const delimited = (tag: string, fields: readonly string[]): Buffer => {
  const parts: Buffer[] = [Buffer.from(tag), Buffer.from([1])];
  for (const field of fields) {
    const bytes = Buffer.from(field, 'utf8');
    const length = Buffer.alloc(4);
    length.writeUInt32BE(bytes.length);
    parts.push(length, bytes);
  }
  return Buffer.concat(parts);
};

const digest = (bytes: Buffer): string => createHash('sha256').update(bytes).digest('hex').slice(0, 32);

export const Identities = {
  /** A walled (isolated) tenant is a trust domain of its own. The prefixes keep walled and shared domains apart. */
  walledDomain: (tenant: string): string => `walled/${tenant}`,

  /**
   * The trust domain that all other tenants share. Its name depends on the set of walled tenants: a block does not record which
   * tenant produced it, so when a tenant becomes walled no block that was shared before may be used any more.
   */
  sharedDomain: (tenants: Readonly<Record<string, Readonly<{ walled: boolean }>>>): string => {
    const walled = Object.keys(tenants).filter((tenant) => tenants[tenant]?.walled === true);
    return walled.length === 0 ? 'shared' : `shared/${digest(delimited('WALL', walled.sort()))}`;
  },

  /** All trust domains that requests may belong to: the shared one and one for each walled tenant. */
  domains: (tenants: Readonly<Record<string, Readonly<{ walled: boolean }>>>): readonly string[] => [
    Identities.sharedDomain(tenants),
    ...Object.entries(tenants).flatMap(([name, { walled }]) => (walled ? [Identities.walledDomain(name)] : [])),
  ],

  logicalBytes: (identity: CacheIdentity): Buffer =>
    delimited('GPCL', [
      identity.trustDomain,
      identity.model,
      identity.weights,
      identity.tokenizer,
      identity.adapter,
      identity.prefix,
      identity.multimodal,
    ]),

  physicalBytes: (identity: CacheIdentity): Buffer =>
    Buffer.concat([
      delimited('GPCK', [
        identity.dtype,
        identity.quant,
        identity.layout,
        identity.shard,
        identity.rope,
        String(identity.blockCharacters),
        String(identity.validLength),
      ]),
      Identities.logicalBytes(identity),
    ]),

  logical: (identity: CacheIdentity): string => digest(Identities.logicalBytes(identity)),
  physical: (identity: CacheIdentity): string => digest(Identities.physicalBytes(identity)),

  ofPool: (pool: Pool, weights: string, trustDomain: string, prefix: string, blocks: number): CacheIdentity => ({
    trustDomain,
    model: pool.model,
    weights,
    tokenizer: pool.tokenizer,
    adapter: pool.adapter,
    dtype: pool.dtype,
    quant: pool.quant,
    layout: pool.layout,
    shard: pool.shard,
    rope: pool.rope,
    blockCharacters: pool.blockCharacters,
    validLength: blocks * pool.blockCharacters,
    prefix,
    multimodal: '',
  }),
} as const;
