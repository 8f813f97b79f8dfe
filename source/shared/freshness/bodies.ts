import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { isDocumentKey, type DocumentKey } from '../blueprint/types';

export type Body = Readonly<{ key: DocumentKey; revision: number; digest: string; text: string }>;
/** Long texts travel packed: a daemon at a thin link must have a change within a part of a second. */
export type PackedBody = Readonly<{ key: DocumentKey; revision: number; digest: string; packed: Uint8Array }>;
export type SentBody = Body | PackedBody;

/** Starting value, ours: bytes of one part of a long document, and the most that travels inside other messages. */
export const partBytes = 4096;

const leastPackedLength = 4096;
/** Why a bound: a few bytes of a stranger must not unfold into all memory. */
const mostTextBytes = 8 * 1024 * 1024;
/** Starting value, ours: so many texts of late stay packed, for receivers that began with one of them. */
const mostKept = 6;

/** Packs each text once, however many ask for it. */
export class BodyPacker {
  private kept: readonly Readonly<{ digest: string; packed: Uint8Array }>[] = [];

  public sent(body: Body): SentBody {
    if (body.text.length < leastPackedLength) return body;
    const { key, revision, digest } = body;
    return { key, revision, digest, packed: this.packed(body) };
  }

  /** A text that was sent lately; undefined: it is not kept any more. */
  public sentLately(digest: string): Uint8Array | undefined {
    return this.kept.find((item) => item.digest === digest)?.packed;
  }

  private packed({ digest, text }: Body): Uint8Array {
    const found = this.kept.find((item) => item.digest === digest);
    if (found !== undefined) return found.packed;
    // Why level 1: documents repeat themselves so much that more work gains little.
    const packed = deflateRawSync(text, { level: 1 });
    this.kept = [{ digest, packed }, ...this.kept].slice(0, mostKept);
    return packed;
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
  text: (body: SentBody): string | undefined => {
    if ('text' in body) return body.text;
    try {
      return inflateRawSync(body.packed, { maxOutputLength: mostTextBytes }).toString('utf8');
    } catch {
      return undefined;
    }
  },
} as const;
