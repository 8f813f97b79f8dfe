import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { isDocumentKey, type DocumentKey } from '../configuration/types';
import { TextDeltas } from './textDelta';

/** One revision of a document, with its text. */
export type DocumentBody = Readonly<{ key: DocumentKey; revision: number; digest: string; text: string }>;
/** Long texts are sent compressed, because a daemon behind a slow link must receive a change within a fraction of a second. */
export type PackedBody = Readonly<{ key: DocumentKey; revision: number; digest: string; packed: Uint8Array }>;
export type EncodedBody = DocumentBody | PackedBody;

/** A compressed text, or a compressed delta against another text. `base`: digest of that other text; empty for a whole text. */
export type DocumentPayload = Readonly<{ base: string; packed: Uint8Array }>;

/** Size in bytes of the smallest part of a long document, and of the longest compressed document that is sent inside other messages. */
export const partBytes = 4096;

/** Shorter texts are not compressed. */
const minPackedCharacters = 4096;
/** Limit on decompressed text, so that a few received bytes cannot exhaust the memory. */
const maxTextBytes = 8 * 1024 * 1024;
/** Recent texts that are kept for each key, as bases of deltas and for receivers whose transfer of one of them has begun. */
const maxTextsPerKey = 6;
/** Recent payloads that are kept, so that each is compressed once for all receivers. */
const maxPayloads = 12;

// Level 1 is enough: documents are so repetitive that higher levels gain little.
const pack = (text: string): Uint8Array => deflateRawSync(text, { level: 1 });

const unpack = (packed: Uint8Array): string | undefined => {
  try {
    return inflateRawSync(packed, { maxOutputLength: maxTextBytes }).toString('utf8');
  } catch {
    return undefined;
  }
};

type KeptText = { readonly key: DocumentKey; readonly digest: string; readonly text: string; packed?: Uint8Array };
const compressedText = (kept: KeptText): Uint8Array => (kept.packed ??= pack(kept.text));

const shorterPayload = (text: KeptText, before: KeptText): DocumentPayload => {
  const delta = pack(JSON.stringify(TextDeltas.diff(before.text, text.text)));
  const packed = compressedText(text);
  return delta.length < packed.length ? { base: before.digest, packed: delta } : { base: '', packed };
};

/** A payload made for a receiver that has the text `before`. The payload may still hold the whole text. */
type CachedPayload = Readonly<{ digest: string; before: string; shipment: DocumentPayload }>;

/** Keeps recent texts, so that peers can be sent deltas, and compresses each text once for all receivers. */
export class BodyEncoder {
  private kept: readonly KeptText[] = [];
  private cachedPayloads: readonly CachedPayload[] = [];

  /** The body as it is sent: compressed if it is long. */
  public encode(body: DocumentBody): EncodedBody {
    if (body.text.length < minPackedCharacters) return body;
    const { key, revision, digest } = body;
    return { key, revision, digest, packed: compressedText(this.keep(body)) };
  }

  /** Keeps an applied text among the recent ones of its key. Short texts are not kept, because they are sent whole. */
  public keep({ key, digest, text }: Pick<DocumentBody, 'key' | 'digest' | 'text'>): KeptText {
    const found = this.find(digest);
    if (found !== undefined) return found;
    const kept: KeptText = { key, digest, text };
    if (text.length < minPackedCharacters) return kept;
    // The limit applies to each key, because the list of engines changes far more often and would evict the texts of the configuration.
    const same = this.kept.filter((item) => item.key === key).slice(0, maxTextsPerKey - 1);
    this.kept = [kept, ...same, ...this.kept.filter((item) => item.key !== key)];
    return kept;
  }

  /**
   * Payload of a recent text for a receiver that has the texts with the digests `bases`, the preferred one first. Undefined when the text
   * is not kept any more.
   */
  public payload(digest: string, bases: readonly string[]): DocumentPayload | undefined {
    const text = this.find(digest);
    if (text === undefined) return undefined;
    const before = bases.includes(digest) ? undefined : this.findFirst(bases);
    if (before === undefined) return { base: '', packed: compressedText(text) };
    const known = this.cachedPayloads.find((item) => item.digest === digest && item.before === before.digest);
    if (known !== undefined) return known.shipment;
    const shipment = shorterPayload(text, before);
    this.cachedPayloads = [{ digest, before: before.digest, shipment }, ...this.cachedPayloads].slice(0, maxPayloads);
    return shipment;
  }

  /** The kept texts of one key, the latest first. */
  public recentTexts(key: DocumentKey): readonly Readonly<{ digest: string; text: string }>[] {
    return this.kept.filter((item) => item.key === key);
  }

  private findFirst(digests: readonly string[]): KeptText | undefined {
    for (const digest of digests) {
      const found = this.find(digest);
      if (found !== undefined) return found;
    }
    return undefined;
  }

  private find(digest: string): KeptText | undefined {
    return this.kept.find((item) => item.digest === digest);
  }
}

export const DocumentBodies = {
  /** Whether a body is short enough to be sent inside other messages. */
  isShort: (body: EncodedBody): boolean => 'text' in body || body.packed.length <= partBytes,

  is: (value: unknown): value is EncodedBody => {
    const body = value as (Partial<DocumentBody> & Partial<PackedBody>) | null;
    return (
      typeof body === 'object' &&
      body !== null &&
      isDocumentKey(body.key) &&
      Number.isSafeInteger(body.revision) &&
      typeof body.digest === 'string' &&
      (typeof body.text === 'string' || body.packed instanceof Uint8Array)
    );
  },

  /** The text of a body; undefined when it cannot be decompressed. */
  text: (body: EncodedBody): string | undefined => ('text' in body ? body.text : unpack(body.packed)),

  /** The text of a payload, given its base text; undefined when the payload is invalid. */
  decodePayload: ({ base, packed }: DocumentPayload, before: string): string | undefined => {
    const text = unpack(packed);
    if (text === undefined || base === '') return text;
    try {
      return TextDeltas.apply(before, JSON.parse(text));
    } catch {
      return undefined;
    }
  },
} as const;
