import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { isDocumentKey, type DocumentKey } from '../blueprint/types';
import { TextDeltas } from './textDelta';

export type Body = Readonly<{ key: DocumentKey; revision: number; digest: string; text: string }>;
/** Long texts travel packed: a daemon at a thin link must have a change within a part of a second. */
export type PackedBody = Readonly<{ key: DocumentKey; revision: number; digest: string; packed: Uint8Array }>;
export type SentBody = Body | PackedBody;

/** What is sent of a text: all of it, packed, or what changed since another one. `base`: digest of that one; empty: none. */
export type Shipment = Readonly<{ base: string; packed: Uint8Array }>;

/** Starting value, ours: bytes of the smallest part of a long document, and the most that travels inside other messages. */
export const partBytes = 4096;

const leastPackedLength = 4096;
/** Why a bound: a few bytes of a stranger must not unfold into all memory. */
const mostTextBytes = 8 * 1024 * 1024;
/** Starting values, ours: so many texts of each key and shipments of late are kept, for receivers that have or began with one of them. */
const mostKept = 6;
const mostKeptShipments = 12;

// Why level 1: documents repeat themselves so much that more work gains little.
const pack = (text: string): Uint8Array => deflateRawSync(text, { level: 1 });

const unpack = (packed: Uint8Array): string | undefined => {
  try {
    return inflateRawSync(packed, { maxOutputLength: mostTextBytes }).toString('utf8');
  } catch {
    return undefined;
  }
};

type Kept = { readonly key: DocumentKey; readonly digest: string; readonly text: string; packed?: Uint8Array };
const packedOf = (kept: Kept): Uint8Array => (kept.packed ??= pack(kept.text));

const shorter = (text: Kept, before: Kept): Shipment => {
  const delta = pack(JSON.stringify(TextDeltas.between(before.text, text.text)));
  const packed = packedOf(text);
  return delta.length < packed.length ? { base: before.digest, packed: delta } : { base: '', packed };
};

/** `before`: the text that the receiver has; what is shipped may build on none all the same. */
type KeptShipment = Readonly<{ digest: string; before: string; shipment: Shipment }>;

/** Keeps recent texts, so that others can be sent what changed since, and packs each once, however many ask for it. */
export class BodyPacker {
  private kept: readonly Kept[] = [];
  private shipments: readonly KeptShipment[] = [];

  public sent(body: Body): SentBody {
    if (body.text.length < leastPackedLength) return body;
    const { key, revision, digest } = body;
    return { key, revision, digest, packed: packedOf(this.keep(body)) };
  }

  /** Keeps a text that is applied, among the last ones of its key. Short ones travel whole. */
  public keep({ key, digest, text }: Pick<Body, 'key' | 'digest' | 'text'>): Kept {
    const found = this.find(digest);
    if (found !== undefined) return found;
    const kept: Kept = { key, digest, text };
    if (text.length < leastPackedLength) return kept;
    // Why apart by key: the list of engines changes far more often, and would drive the configuration's texts out.
    const same = this.kept.filter((item) => item.key === key).slice(0, mostKept - 1);
    this.kept = [kept, ...same, ...this.kept.filter((item) => item.key !== key)];
    return kept;
  }

  /**
   * A recent text, to one that has the texts of the digests `bases`, the preferred one first; undefined: it is not kept any more.
   */
  public shipment(digest: string, bases: readonly string[]): Shipment | undefined {
    const text = this.find(digest);
    if (text === undefined) return undefined;
    const before = bases.includes(digest) ? undefined : this.firstOf(bases);
    if (before === undefined) return { base: '', packed: packedOf(text) };
    const known = this.shipments.find((item) => item.digest === digest && item.before === before.digest);
    if (known !== undefined) return known.shipment;
    const shipment = shorter(text, before);
    this.shipments = [{ digest, before: before.digest, shipment }, ...this.shipments].slice(0, mostKeptShipments);
    return shipment;
  }

  /** Texts of one key that are kept, the latest first. */
  public texts(key: DocumentKey): readonly Readonly<{ digest: string; text: string }>[] {
    return this.kept.filter((item) => item.key === key);
  }

  private firstOf(digests: readonly string[]): Kept | undefined {
    for (const digest of digests) {
      const found = this.find(digest);
      if (found !== undefined) return found;
    }
    return undefined;
  }

  private find(digest: string): Kept | undefined {
    return this.kept.find((item) => item.digest === digest);
  }
}

export const Bodies = {
  /** Whether a body is short enough to travel inside other messages. */
  isShort: (body: SentBody): boolean => 'text' in body || body.packed.length <= partBytes,

  is: (value: unknown): value is SentBody => {
    const body = value as (Partial<Body> & Partial<PackedBody>) | null;
    return (
      typeof body === 'object' &&
      body !== null &&
      isDocumentKey(body.key) &&
      Number.isSafeInteger(body.revision) &&
      typeof body.digest === 'string' &&
      (typeof body.text === 'string' || body.packed instanceof Uint8Array)
    );
  },

  /** Undefined: it cannot be unpacked. */
  text: (body: SentBody): string | undefined => ('text' in body ? body.text : unpack(body.packed)),

  /** The text of what was shipped, by the text that it builds on; undefined: it makes no sense. */
  shippedText: ({ base, packed }: Shipment, before: string): string | undefined => {
    const text = unpack(packed);
    if (text === undefined || base === '') return text;
    try {
      return TextDeltas.applied(before, JSON.parse(text));
    } catch {
      return undefined;
    }
  },
} as const;
