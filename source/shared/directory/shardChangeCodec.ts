/**
 * Wire encoding of changes of an index. The keys of most entries are derived from their names, and many names share few salts, so each
 * salt is written once for all parts under it. Other entries are sent unencoded.
 */
import type { NamedKey } from './hashChain';
import { PromptParts } from './promptParts';
import type { ShardChange, ShardHead } from './shardIndex';

/** Identifiers of parts under one salt, each followed by its size in tokens. */
type SizedParts = readonly (string | number)[];

/** A change in its wire encoding. */
export type PackedShardChange = Readonly<{
  head: ShardHead;
  from: number | null;
  put: readonly NamedKey[];
  gone: readonly string[];
  /** Added parts, by salt. */
  putParts: Readonly<Record<string, SizedParts>>;
  goneParts: Readonly<Record<string, readonly string[]>>;
}>;

type Part = Readonly<{ salt: string; id: string; size: number }>;

const separator = '/';

const splitName = (name: string): Readonly<{ salt: string; id: string }> | undefined => {
  const separatorIndex = name.indexOf(separator);
  const salt = name.slice(0, Math.max(0, separatorIndex));
  // Names of members of Object.prototype, such as `__proto__`, cannot be used as keys of a plain object.
  return salt === '' || salt in Object.prototype ? undefined : { salt, id: name.slice(separatorIndex + 1) };
};

/** Undefined when the key is not derived from the name. */
const partOf = ({ physical, logical, name, size }: NamedKey): Part | undefined => {
  const split = splitName(physical);
  if (split === undefined || name !== physical || logical !== split.id || size === undefined) return undefined;
  return { ...split, size };
};

const keyOf = ({ salt, id, size }: Part): NamedKey => {
  const name = PromptParts.nameOf(salt, id);
  return { physical: name, logical: id, name, size };
};

const isRecord = (value: unknown): value is Readonly<Record<string, unknown>> =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

const packedPuts = (keys: readonly NamedKey[]): Pick<PackedShardChange, 'put' | 'putParts'> => {
  const put: NamedKey[] = [];
  const putParts: Record<string, (string | number)[]> = {};
  for (const key of keys) {
    const part = partOf(key);
    if (part === undefined) put.push(key);
    else (putParts[part.salt] ??= []).push(part.id, part.size);
  }
  return { put, putParts };
};

const packedGone = (names: readonly string[]): Pick<PackedShardChange, 'gone' | 'goneParts'> => {
  const gone: string[] = [];
  const goneParts: Record<string, string[]> = {};
  for (const name of names) {
    const split = splitName(name);
    if (split === undefined) gone.push(name);
    else (goneParts[split.salt] ??= []).push(split.id);
  }
  return { gone, goneParts };
};

const unpackedPuts = (salt: string, sized: unknown): readonly NamedKey[] => {
  if (!Array.isArray(sized)) return [];
  const keys: NamedKey[] = [];
  for (let index = 0; index + 1 < sized.length; index += 2) {
    const [id, size] = [sized[index] as unknown, sized[index + 1] as unknown];
    if (typeof id === 'string' && typeof size === 'number') keys.push(keyOf({ salt, id, size }));
  }
  return keys;
};

const unpackedGone = (salt: string, ids: unknown): readonly string[] =>
  Array.isArray(ids)
    ? ids.flatMap((id: unknown) => (typeof id === 'string' ? [PromptParts.nameOf(salt, id)] : []))
    : [];

export const ShardChangeCodec = {
  /** Whether a value received from a peer is an encoded change. Its entries are checked by `unpack`. */
  is: (value: unknown): value is PackedShardChange => {
    if (!isRecord(value)) return false;
    const { head, from, put, gone } = value;
    return isRecord(head) && (from === null || typeof from === 'number') && Array.isArray(put) && Array.isArray(gone);
  },

  pack: ({ head, from, put, gone }: ShardChange): PackedShardChange => ({
    head,
    from,
    ...packedPuts(put),
    ...packedGone(gone),
  }),

  unpack: (packed: PackedShardChange): ShardChange => {
    const { head, from, put, gone, putParts, goneParts } = packed;
    const parts = isRecord(putParts) ? Object.entries(putParts) : [];
    const goneNames = isRecord(goneParts) ? Object.entries(goneParts) : [];
    return {
      head,
      from,
      put: [...put, ...parts.flatMap(([salt, sized]) => unpackedPuts(salt, sized))],
      gone: [...gone, ...goneNames.flatMap(([salt, ids]) => unpackedGone(salt, ids))],
    };
  },
} as const;
