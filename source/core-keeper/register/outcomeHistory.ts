/**
 * The changes that led to a value, kept with the value so that a change sent again gets its first outcome.
 *
 * A history is bounded: it holds the newest changes in fixed-size records, so that an accept costs the same after the
 * thousandth change as after the hundredth. Of the forgotten ones it keeps the highest base, which tells a change that was
 * certainly never accepted from one that may have been.
 */
import { createHash } from 'node:crypto';
import type { OutcomeHistory } from '../../shared/register/types';

/** How many changes are remembered. */
export const rememberedChanges = 512;

/** One record: the digests of the change id and of what it orders, cut short, then the revision and the base. */
const idBytes = 8;
const orderBytes = 4;
const revisionAt = idBytes + orderBytes;
const baseAt = revisionAt + 4;
const recordBytes = baseAt + 8;

/** What identifies a change: its id, what it orders, and the version it builds on. */
export type ChangeIdentity = Readonly<{ id: string; form: string; text: string; ifMatch: number }>;

/** A change as builds before this one stored it. */
export type EarlierChange = Readonly<{ id: string; orderDigest: string; revision: number }>;

export type Remembered =
  | Readonly<{ kind: 'accepted'; revision: number }>
  /** The id belongs to a change that ordered something else. */
  | Readonly<{ kind: 'otherChange' }>
  /** It was certainly not accepted before. */
  | Readonly<{ kind: 'never' }>
  /** Older than what is remembered: it may have been accepted. */
  | Readonly<{ kind: 'forgotten' }>;

const digestOf = (text: string): Buffer => createHash('sha256').update(text).digest();

const idMark = (id: string): Buffer => digestOf(id).subarray(0, idBytes);

const orderMark = ({ form, ifMatch, text }: ChangeIdentity): Buffer =>
  digestOf(`${form}\u0000${ifMatch}\u0000${text}`).subarray(0, orderBytes);

const recordsOf = ({ records }: OutcomeHistory): Buffer =>
  Buffer.from(records.buffer, records.byteOffset, records.byteLength);

/** Where the record of an id begins; undefined where there is none. */
const placeOf = (records: Buffer, id: Buffer): number | undefined => {
  for (let at = records.length - recordBytes; at >= 0; at -= recordBytes)
    if (records.compare(id, 0, idBytes, at, at + idBytes) === 0) return at;
  return undefined;
};

export const OutcomeHistories = {
  none: { records: new Uint8Array(), forgottenBase: -1 } as OutcomeHistory,

  find: (history: OutcomeHistory, change: ChangeIdentity): Remembered => {
    const records = recordsOf(history);
    const at = placeOf(records, idMark(change.id));
    if (at === undefined) return { kind: change.ifMatch <= history.forgottenBase ? 'forgotten' : 'never' };
    const order = records.subarray(at + idBytes, at + idBytes + orderBytes);
    if (!order.equals(orderMark(change))) return { kind: 'otherChange' };
    return { kind: 'accepted', revision: records.readUInt32BE(at + revisionAt) };
  },

  /** The history once this change has led to a revision. */
  add: (history: OutcomeHistory, change: ChangeIdentity, revision: number): OutcomeHistory => {
    const record = Buffer.alloc(recordBytes);
    idMark(change.id).copy(record, 0);
    orderMark(change).copy(record, idBytes);
    record.writeUInt32BE(revision, revisionAt);
    record.writeDoubleBE(change.ifMatch, baseAt);
    const records = Buffer.concat([recordsOf(history), record]);
    const surplus = records.length - rememberedChanges * recordBytes;
    let { forgottenBase } = history;
    for (let at = 0; at < surplus; at += recordBytes)
      forgottenBase = Math.max(forgottenBase, records.readDoubleBE(at + baseAt));
    return { records: new Uint8Array(records.subarray(Math.max(0, surplus))), forgottenBase };
  },

  /** What an earlier build stored: a list of changes with whole digests, of which it told no bases. */
  ofEarlierBuild: (changes: readonly EarlierChange[]): OutcomeHistory => {
    const records = changes.slice(-rememberedChanges).map(({ id, orderDigest, revision }) => {
      const record = Buffer.alloc(recordBytes);
      idMark(id).copy(record, 0);
      Buffer.from(orderDigest, 'hex').copy(record, idBytes, 0, orderBytes);
      record.writeUInt32BE(revision, revisionAt);
      record.writeDoubleBE(-1, baseAt);
      return record;
    });
    return { records: new Uint8Array(Buffer.concat(records)), forgottenBase: -1 };
  },
} as const;
