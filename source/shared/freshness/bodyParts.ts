/**
 * Long documents travel in small parts that the receiver asks for one after the other. A link that many share then holds one part of
 * each receiver at a time, whatever a document's length: short news get through beside it, no part takes longer than the
 * patience with it, and what has come is kept when the sender changes.
 */
import { isDocumentKey, type DocumentKey } from '../blueprint/types';
import type { Message, Transport } from '../effects/transport/transport';
import { partBytes, type SentBody } from './bodies';
import type { Freshness } from './freshness';

/**
 * Starting value, ours: how long one part may take, in microseconds. Longer than other asks, since whether the sender lives is found
 * out by those, and a part that is given up was sent in vain.
 */
const partLimitMicroseconds = 2_000_000;

/** A part of a packed document, and the length of the whole. */
export type BodyPart = Readonly<{ kind: 'bodyPart'; digest: string; from: number; total: number; bytes: Uint8Array }>;

const isPart = (message: Message): boolean => {
  const { kind, digest, from, total, bytes } = message as Partial<BodyPart>;
  return (
    kind === 'bodyPart' &&
    typeof digest === 'string' &&
    Number.isSafeInteger(from) &&
    Number.isSafeInteger(total) &&
    bytes instanceof Uint8Array &&
    bytes.length > 0
  );
};

export const BodyParts = {
  /** The part of a document that was asked for; `noBody` where this daemon does not have that text any more. */
  answer: (freshness: Freshness, message: Message): Message => {
    const { key, digest, from } = message;
    const packed = isDocumentKey(key) && typeof digest === 'string' ? freshness.packed(key, digest) : undefined;
    if (packed === undefined || !Number.isSafeInteger(from) || (from as number) < 0) return { kind: 'noBody' };
    const start = from as number;
    const bytes = packed.subarray(start, start + partBytes);
    return { kind: 'bodyPart', digest, from: start, total: packed.length, bytes } as BodyPart;
  },
} as const;

type Lacking = Readonly<{ key: DocumentKey; revision: number; digest: string }>;
type Transfer = Readonly<{ of: Lacking; parts: Uint8Array[] }>;
const lengthOf = (parts: readonly Uint8Array[]): number => parts.reduce((sum, { length }) => sum + length, 0);

type Revisions = Readonly<Partial<Record<DocumentKey, number>>>;

/** One daemon's transfers: one at a time, gone on with at another sender where the one before falls silent. */
export class BodyTransfers {
  private open: Transfer | undefined;
  /** The sender that is being asked; undefined: none is. */
  private sender: string | undefined;

  public constructor(
    private readonly freshness: Freshness,
    private readonly transport: Transport,
  ) {}

  /** A daemon answered, and has these revisions: what is lacking here is asked for, unless another one is being asked. */
  public answered(address: string, revisions: Revisions): void {
    if (this.sender !== undefined || this.next(revisions) === undefined) return;
    this.sender = address;
    void this.receive(address, revisions).finally(() => {
      if (this.sender === address) this.sender = undefined;
    });
  }

  /** A daemon fell silent: what it was asked for may be asked of others. */
  public silent(address: string): void {
    if (this.sender === address) this.sender = undefined;
  }

  private async receive(address: string, revisions: Revisions): Promise<void> {
    for (let lacking = this.next(revisions); lacking !== undefined; lacking = this.next(revisions)) {
      const transfer = this.transferOf(lacking);
      const isGoing = await this.receivePart(address, transfer);
      if (!isGoing || this.sender !== address) return;
    }
  }

  /**
   * What was begun is finished first, also where a newer revision is known by now: changes in quick succession
   * would else begin again and again, and none of them arrive.
   */
  private next(revisions: Revisions): Lacking | undefined {
    if (this.open !== undefined && this.freshness.wouldTake(this.open.of)) return this.open.of;
    this.open = undefined;
    return this.freshness.wanted().find(({ key, revision }) => (revisions[key] ?? 0) >= revision);
  }

  private transferOf(of: Lacking): Transfer {
    this.open ??= { of, parts: [] };
    return this.open;
  }

  /** False: this sender has nothing more of use. */
  private async receivePart(address: string, { of, parts }: Transfer): Promise<boolean> {
    const from = lengthOf(parts);
    const ask = { kind: 'bodyPart', key: of.key, digest: of.digest, from };
    const answer = await this.transport.ask(address, ask, partLimitMicroseconds);
    if (answer.kind !== 'answered') return false;
    if (!isPart(answer.message)) {
      // A sender that has gone on to later revisions: what it has now is asked for with its next answer.
      if (this.open?.of === of) this.open = undefined;
      return false;
    }
    const part = answer.message as unknown as BodyPart;
    if (part.digest !== of.digest || part.from !== from) return false;
    // A sender that was given up may have answered after all, with this part or the last one.
    const isNext = this.open?.of === of && lengthOf(parts) === from;
    if (!isNext) return true;
    parts.push(part.bytes);
    if (from + part.bytes.length < part.total) return true;
    this.open = undefined;
    const body: SentBody = { ...of, packed: Buffer.concat(parts) };
    return this.freshness.give(body);
  }
}
