/**
 * Transfer of long documents in parts that the receiver requests one after the other. A shared link then carries one part for each
 * receiver at a time, whatever the length of the document, and parts become smaller where they are slow. Short gossip messages therefore
 * get through, each part arrives within its time limit, and received parts are kept when the sender changes.
 */
import type { DocumentKey } from '../configuration/types';
import type { Clock } from '../effects/clock/clock';
import type { Message, Transport } from '../effects/transport/transport';
import { AdaptiveBatchSize, type BatchSizeSettings } from '../flow-control/adaptiveBatchSize';
import { DocumentBodies, partBytes } from './documentBodies';
import type { Freshness } from './freshness';

/**
 * Time limit of the request for one part. It is longer than that of other requests, because those detect a sender that has stopped, and a
 * part that is given up has used the link for nothing.
 */
const partTimeoutMicroseconds = 2_000_000;

/**
 * Size of one part in bytes, and which parts count as fast and slow. The first part is not the smallest, because where the sender's
 * processor and not its link is busy each part waits as long as the whole document would.
 */
const partSizeSettings: BatchSizeSettings = {
  minAmount: partBytes,
  initialAmount: 16 * 1024,
  maxAmount: 64 * 1024,
  fastFraction: 0.075,
  slowFraction: 0.3,
};

/** A part of a document's payload, and the length of the whole payload. `base`: digest of the text that the delta applies to. */
export type DocumentPart = Readonly<{
  kind: 'bodyPart';
  digest: string;
  base: string;
  from: number;
  total: number;
  bytes: Uint8Array;
}>;

/** Earlier texts that a receiver may name as bases of a delta. */
const maxEarlierBases = 8;

const isBodyPart = (message: Message): boolean => {
  const { kind, digest, base, from, total, bytes } = message as Partial<DocumentPart>;
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

const isOffset = (value: unknown): value is number => Number.isSafeInteger(value) && (value as number) >= 0;

/** Size of the part that a receiver requests, in bytes. */
const requestedPartBytes = ({ mostBytes }: Message): number =>
  typeof mostBytes === 'number' && mostBytes >= 1 ? Math.min(partSizeSettings.maxAmount, mostBytes) : partBytes;

/** Digests of the texts that a receiver has: the one it applies and those it applied before. */
const requestedBases = ({ base, earlier }: Message): readonly string[] =>
  [base, ...(Array.isArray(earlier) ? (earlier as readonly unknown[]).slice(0, maxEarlierBases) : [])].filter(
    (digest) => typeof digest === 'string' && digest !== '',
  ) as readonly string[];

export const DocumentParts = {
  /** The requested part of a document; `noBody` when this daemon does not have that text any more. */
  answer: (freshness: Freshness, message: Message): Message => {
    const { digest, from } = message;
    if (typeof digest !== 'string' || !isOffset(from)) return { kind: 'noBody' };
    const shipment = freshness.payload(digest, requestedBases(message));
    if (shipment === undefined) return { kind: 'noBody' };
    const { packed } = shipment;
    const bytes = packed.subarray(from, from + requestedPartBytes(message));
    return { kind: 'bodyPart', digest, base: shipment.base, from, total: packed.length, bytes } satisfies DocumentPart;
  },
} as const;

/** A revision that is known to be decided and is not applied here yet. */
type MissingRevision = Readonly<{ key: DocumentKey; revision: number; digest: string }>;
/**
 * A long document that was received: its parts and bytes, the time since the first request, and whether it was sent whole instead of as a
 * delta.
 */
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
  of: MissingRevision;
  transferStartMicroseconds: number;
  /** Possible bases of a delta: the texts that were applied here when the transfer began and before. */
  before: readonly Readonly<{ digest: string; text: string }>[];
  parts: DocumentPart[];
}>;

const totalBytes = (parts: readonly DocumentPart[]): number => parts.reduce((sum, { bytes }) => sum + bytes.length, 0);

type Revisions = Readonly<Partial<Record<DocumentKey, number>>>;

/** One daemon's transfers, one at a time. When a sender stops answering, another one continues the transfer. */
export class DocumentTransfers {
  private open: Transfer | undefined;
  /** Digest of a document whose delta was invalid, so that it is requested whole; empty: none. */
  private wholeOnlyDigest = '';
  /** Adapts the size of the next part to the speed of the parts before. */
  private readonly partSize = new AdaptiveBatchSize(partSizeSettings);
  /** The sender with an open request; undefined: none. */
  private sender: string | undefined;

  public constructor(
    private readonly freshness: Freshness,
    private readonly transport: Transport,
    private readonly clock: Clock,
    private readonly received: (document: ReceivedDocument) => void = () => undefined,
  ) {}

  /** A peer answered and has these revisions. Requests what is missing here, unless another sender has an open request. */
  public handleAnswer(address: string, revisions: Revisions): void {
    if (this.sender !== undefined || this.nextMissing(revisions) === undefined) return;
    this.sender = address;
    void this.receiveFrom(address, revisions).finally(() => {
      if (this.sender === address) this.sender = undefined;
    });
  }

  /** A peer did not answer. What was requested from it may be requested from others. */
  public handleTimeout(address: string): void {
    if (this.sender === address) this.sender = undefined;
  }

  private async receiveFrom(address: string, revisions: Revisions): Promise<void> {
    for (let missing = this.nextMissing(revisions); missing !== undefined; missing = this.nextMissing(revisions)) {
      const transfer = this.transferOf(missing);
      const canContinue = await this.receivePart(address, transfer);
      if (!canContinue || this.sender !== address) return;
    }
  }

  /**
   * The next revision to request. A transfer that has begun is finished first, even when a newer revision is known by now: otherwise
   * changes in quick succession would restart the transfer again and again, and none would arrive.
   */
  private nextMissing(revisions: Revisions): MissingRevision | undefined {
    const { open } = this;
    if (open !== undefined && open.parts.length > 0 && this.freshness.wouldApply(open.of)) return open.of;
    this.open = undefined;
    return this.freshness.wanted().find(({ key, revision }) => (revisions[key] ?? 0) >= revision);
  }

  private transferOf(of: MissingRevision): Transfer {
    const transferStartMicroseconds = this.clock.nowMicroseconds();
    this.open ??= { of, transferStartMicroseconds, before: this.freshness.recentTexts(of.key), parts: [] };
    return this.open;
  }

  /** False when this sender has nothing more to contribute. */
  private async receivePart(address: string, transfer: Transfer): Promise<boolean> {
    const { of, before, parts } = transfer;
    const from = totalBytes(parts);
    // After an invalid delta the whole document is requested, because the base of the sender may differ from the text here.
    const [base = '', ...earlier] = this.wholeOnlyDigest === of.digest ? [] : before.map(({ digest }) => digest);
    const request = {
      kind: 'bodyPart',
      key: of.key,
      digest: of.digest,
      base,
      earlier,
      from,
      mostBytes: this.partSize.amount,
    };
    const askedMicroseconds = this.clock.nowMicroseconds();
    const answer = await this.transport.ask(address, request, partTimeoutMicroseconds);
    if (answer.kind !== 'answered') {
      this.partSize.recordTimeout();
      return false;
    }
    this.partSize.recordAnswer(this.clock.nowMicroseconds() - askedMicroseconds, partTimeoutMicroseconds);
    if (!isBodyPart(answer.message)) {
      // The sender has moved on to later revisions. What it has now is requested after its next answer.
      if (this.open === transfer) this.open = undefined;
      return false;
    }
    const part = answer.message as unknown as DocumentPart;
    if (part.digest !== of.digest || part.from !== from) return false;
    // A sender that was given up may have answered late, with this part or the one before.
    if (this.open !== transfer || totalBytes(parts) !== from) return true;
    // Another sender uses another base, so its parts do not fit the received ones and the transfer restarts.
    if (parts[0] !== undefined && (parts[0].base !== part.base || parts[0].total !== part.total)) {
      this.open = undefined;
      return true;
    }
    parts.push(part);
    if (from + part.bytes.length < part.total) return true;
    this.open = undefined;
    const isApplied = this.applyDocument(transfer, part.base);
    if (isApplied) this.reportReceived(transfer, address);
    return isApplied;
  }

  private reportReceived({ of: { key, revision }, transferStartMicroseconds, parts }: Transfer, address: string): void {
    this.received({
      key,
      revision,
      parts: parts.length,
      bytes: totalBytes(parts),
      isWhole: parts[0]?.base === '',
      tookMicroseconds: this.clock.nowMicroseconds() - transferStartMicroseconds,
      address,
    });
  }

  private applyDocument({ of, before, parts }: Transfer, base: string): boolean {
    const packed = Buffer.concat(parts.map(({ bytes }) => bytes));
    const text = DocumentBodies.decodePayload(
      { base, packed },
      before.find(({ digest }) => digest === base)?.text ?? '',
    );
    const isApplied = text !== undefined && this.freshness.applyBody({ ...of, text });
    this.wholeOnlyDigest = isApplied ? '' : of.digest;
    return isApplied;
  }
}
