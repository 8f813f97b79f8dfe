/**
 * Long documents travel in parts that the receiver asks for one after the other. A link that many share then holds one part of
 * each receiver at a time, whatever a document's length, and parts get smaller where they are slow: short news get through beside
 * it, no part takes longer than the patience with it, and what has come is kept when the sender changes.
 */
import type { DocumentKey } from '../blueprint/types';
import type { Clock } from '../effects/clock/clock';
import type { Message, Transport } from '../effects/transport/transport';
import { AnswerPace, type PaceBounds } from '../pace/answerPace';
import { Bodies, partBytes } from './bodies';
import type { Freshness } from './freshness';

/**
 * Starting value, ours: how long one part may take, in microseconds. Longer than other asks, since whether the sender lives is found
 * out by those, and a part that is given up was sent in vain.
 */
const partLimitMicroseconds = 2_000_000;

/**
 * Starting values, ours: bytes of one part, and which parts are fast and slow. Why not small at first: where a sender is busy and not
 * its link each part waits as long as all of them together would.
 */
const partPace: PaceBounds = { least: partBytes, first: 16 * 1024, most: 64 * 1024, fastPart: 0.075, slowPart: 0.3 };

/** A part of what is shipped of a document, and the length of the whole. `base`: digest of the text that it builds on. */
export type BodyPart = Readonly<{
  kind: 'bodyPart';
  digest: string;
  base: string;
  from: number;
  total: number;
  bytes: Uint8Array;
}>;

/** Texts that a receiver names for the sender to build on. */
const mostBases = 8;

const isPart = (message: Message): boolean => {
  const { kind, digest, base, from, total, bytes } = message as Partial<BodyPart>;
  return (
    kind === 'bodyPart' &&
    typeof digest === 'string' &&
    typeof base === 'string' &&
    Number.isSafeInteger(from) &&
    Number.isSafeInteger(total) &&
    bytes instanceof Uint8Array &&
    bytes.length > 0
  );
};

const isPlace = (value: unknown): value is number => Number.isSafeInteger(value) && (value as number) >= 0;

/** How many bytes a receiver takes at a time. */
const partSizeFor = ({ mostBytes }: Message): number =>
  typeof mostBytes === 'number' && mostBytes >= 1 ? Math.min(partPace.most, mostBytes) : partBytes;

/** Digests of the texts that a receiver has: what it applies, and what it applied before. */
const basesIn = ({ base, earlier }: Message): readonly string[] =>
  [base, ...(Array.isArray(earlier) ? (earlier as readonly unknown[]).slice(0, mostBases) : [])].filter(
    (digest) => typeof digest === 'string' && digest !== '',
  ) as readonly string[];

export const BodyParts = {
  /** The part of a document that was asked for; `noBody` where this daemon does not have that text any more. */
  answer: (freshness: Freshness, message: Message): Message => {
    const { digest, from } = message;
    if (typeof digest !== 'string' || !isPlace(from)) return { kind: 'noBody' };
    const shipment = freshness.shipment(digest, basesIn(message));
    if (shipment === undefined) return { kind: 'noBody' };
    const { packed } = shipment;
    const bytes = packed.subarray(from, from + partSizeFor(message));
    return { kind: 'bodyPart', digest, base: shipment.base, from, total: packed.length, bytes } satisfies BodyPart;
  },
} as const;

type Lacking = Readonly<{ key: DocumentKey; revision: number; digest: string }>;
/** A long document that has come: in how many parts and bytes, from its first ask on, and whether it was sent whole, not as a delta. */
export type ReceivedDocument = Readonly<{
  key: DocumentKey;
  revision: number;
  parts: number;
  bytes: number;
  isWhole: boolean;
  tookMicroseconds: number;
  /** The sender of the last part. */
  address: string;
}>;

type Transfer = Readonly<{
  of: Lacking;
  begunMicroseconds: number;
  /** The texts that the sender may build on: what was applied here when the transfer began, and before that. */
  before: readonly Readonly<{ digest: string; text: string }>[];
  parts: BodyPart[];
}>;

const lengthOf = (parts: readonly BodyPart[]): number => parts.reduce((sum, { bytes }) => sum + bytes.length, 0);

type Revisions = Readonly<Partial<Record<DocumentKey, number>>>;

/** One daemon's transfers: one at a time, gone on with at another sender where the one before falls silent. */
export class BodyTransfers {
  private open: Transfer | undefined;
  /** Digest of a document whose delta made no sense, so that all of it is asked for; empty: none. */
  private wholeOnly = '';
  /** How many bytes the next part should have, learned from how fast they come. */
  private readonly pace = new AnswerPace(partPace);
  /** The sender that is being asked; undefined: none is. */
  private sender: string | undefined;

  public constructor(
    private readonly freshness: Freshness,
    private readonly transport: Transport,
    private readonly clock: Clock,
    private readonly received: (document: ReceivedDocument) => void = () => undefined,
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
   * What has come in part is finished first, also where a newer revision is known by now: changes in quick succession
   * would else begin again and again, and none of them arrive.
   */
  private next(revisions: Revisions): Lacking | undefined {
    const { open } = this;
    if (open !== undefined && open.parts.length > 0 && this.freshness.wouldTake(open.of)) return open.of;
    this.open = undefined;
    return this.freshness.wanted().find(({ key, revision }) => (revisions[key] ?? 0) >= revision);
  }

  private transferOf(of: Lacking): Transfer {
    const begunMicroseconds = this.clock.nowMicroseconds();
    this.open ??= { of, begunMicroseconds, before: this.freshness.lateTexts(of.key), parts: [] };
    return this.open;
  }

  /** False: this sender has nothing more of use. */
  private async receivePart(address: string, transfer: Transfer): Promise<boolean> {
    const { of, before, parts } = transfer;
    const from = lengthOf(parts);
    // Why whole after a delta that made no sense: its base may be another text than the one here.
    const [base = '', ...earlier] = this.wholeOnly === of.digest ? [] : before.map(({ digest }) => digest);
    const ask = { kind: 'bodyPart', key: of.key, digest: of.digest, base, earlier, from, mostBytes: this.pace.amount };
    const asked = this.clock.nowMicroseconds();
    const answer = await this.transport.ask(address, ask, partLimitMicroseconds);
    if (answer.kind !== 'answered') {
      this.pace.silent();
      return false;
    }
    this.pace.answered(this.clock.nowMicroseconds() - asked, partLimitMicroseconds);
    if (!isPart(answer.message)) {
      // A sender that has gone on to later revisions: what it has now is asked for with its next answer.
      if (this.open === transfer) this.open = undefined;
      return false;
    }
    const part = answer.message as unknown as BodyPart;
    if (part.digest !== of.digest || part.from !== from) return false;
    // A sender that was given up may have answered after all, with this part or the last one.
    if (this.open !== transfer || lengthOf(parts) !== from) return true;
    // Another sender builds on another text: from the start, since its parts do not fit those that came.
    if (parts[0] !== undefined && (parts[0].base !== part.base || parts[0].total !== part.total)) {
      this.open = undefined;
      return true;
    }
    parts.push(part);
    if (from + part.bytes.length < part.total) return true;
    this.open = undefined;
    const isGiven = this.give(transfer, part.base);
    if (isGiven) this.tell(transfer, address);
    return isGiven;
  }

  private tell({ of: { key, revision }, begunMicroseconds, parts }: Transfer, address: string): void {
    this.received({
      key,
      revision,
      parts: parts.length,
      bytes: lengthOf(parts),
      isWhole: parts[0]?.base === '',
      tookMicroseconds: this.clock.nowMicroseconds() - begunMicroseconds,
      address,
    });
  }

  private give({ of, before, parts }: Transfer, base: string): boolean {
    const packed = Buffer.concat(parts.map(({ bytes }) => bytes));
    const text = Bodies.shippedText({ base, packed }, before.find(({ digest }) => digest === base)?.text ?? '');
    const isGiven = text !== undefined && this.freshness.give({ ...of, text });
    this.wholeOnly = isGiven ? '' : of.digest;
    return isGiven;
  }
}
