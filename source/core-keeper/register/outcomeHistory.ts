/**
 * The changes that led to a value, stored with the value so that a repeated change gets its first outcome.
 *
 * The history is bounded: it holds the newest changes in fixed-size records, so the cost of an accept does not grow with the number
 * of changes. Of the dropped changes it keeps the highest base, which distinguishes a change that was certainly never accepted from
 * one that may have been.
 */
import { createHash } from 'node:crypto';
import type { OutcomeHistory } from '../../shared/register/types';

/** How many changes are remembered. */
export const maxRememberedChanges = 512;

/** Layout of a record: truncated digests of the change id and of the change's content, then the revision and the base. */
const idBytes = 8;
const contentBytes = 4;
const revisionOffset = idBytes + contentBytes;
const baseOffset = revisionOffset + 4;
const recordBytes = baseOffset + 8;

/** The fields that identify a change: its id, its content and the version it is based on. */
export type ChangeIdentity = Readonly<{ id: string; form: string; text: string; ifMatch: number }>;

/** A change in the format of earlier builds. */
export type LegacyChange = Readonly<{ id: string; orderDigest: string; revision: number }>;

/** Result of looking up a change in a history. */
export type ChangeLookup =
  | Readonly<{ kind: 'accepted'; revision: number }>
  /** The id belongs to a change with other content. */
  | Readonly<{ kind: 'otherChange' }>
  /** It was certainly not accepted before. */
  | Readonly<{ kind: 'never' }>
  /** Older than the remembered changes, so it may have been accepted. */
  | Readonly<{ kind: 'forgotten' }>;

const digestOf = (text: string): Buffer => createHash('sha256').update(text).digest();

const idPrefix = (id: string): Buffer => digestOf(id).subarray(0, idBytes);

const contentPrefix = ({ form, ifMatch, text }: ChangeIdentity): Buffer =>
  digestOf(`${form}\u0000${ifMatch}\u0000${text}`).subarray(0, contentBytes);

const recordBuffer = ({ records }: OutcomeHistory): Buffer =>
  Buffer.from(records.buffer, records.byteOffset, records.byteLength);

/** Byte offset of the newest record of an id; undefined if there is none. */
const recordOffset = (records: Buffer, id: Buffer): number | undefined => {
  for (let offset = records.length - recordBytes; offset >= 0; offset -= recordBytes)
    if (records.compare(id, 0, idBytes, offset, offset + idBytes) === 0) return offset;
  return undefined;
};

/** Operations on outcome histories. */
export const OutcomeHistories = {
  none: { records: new Uint8Array(), forgottenBase: -1 } as OutcomeHistory,

  find: (history: OutcomeHistory, change: ChangeIdentity): ChangeLookup => {
    const records = recordBuffer(history);
    const offset = recordOffset(records, idPrefix(change.id));
    if (offset === undefined) return { kind: change.ifMatch <= history.forgottenBase ? 'forgotten' : 'never' };
    const content = records.subarray(offset + idBytes, offset + idBytes + contentBytes);
    if (!content.equals(contentPrefix(change))) return { kind: 'otherChange' };
    return { kind: 'accepted', revision: records.readUInt32BE(offset + revisionOffset) };
  },

  /** The history after this change has led to a revision. */
  add: (history: OutcomeHistory, change: ChangeIdentity, revision: number): OutcomeHistory => {
    const record = Buffer.alloc(recordBytes);
    idPrefix(change.id).copy(record, 0);
    contentPrefix(change).copy(record, idBytes);
    record.writeUInt32BE(revision, revisionOffset);
    record.writeDoubleBE(change.ifMatch, baseOffset);
    const records = Buffer.concat([recordBuffer(history), record]);
    const surplus = records.length - maxRememberedChanges * recordBytes;
    let { forgottenBase } = history;
    for (let offset = 0; offset < surplus; offset += recordBytes)
      forgottenBase = Math.max(forgottenBase, records.readDoubleBE(offset + baseOffset));
    return { records: new Uint8Array(records.subarray(Math.max(0, surplus))), forgottenBase };
  },

  /** Converts the format of earlier builds: a list of changes with full digests and without bases. */
  fromLegacyChanges: (changes: readonly LegacyChange[]): OutcomeHistory => {
    const records = changes.slice(-maxRememberedChanges).map(({ id, orderDigest, revision }) => {
      const record = Buffer.alloc(recordBytes);
      idPrefix(id).copy(record, 0);
      Buffer.from(orderDigest, 'hex').copy(record, idBytes, 0, contentBytes);
      record.writeUInt32BE(revision, revisionOffset);
      record.writeDoubleBE(-1, baseOffset);
      return record;
    });
    return { records: new Uint8Array(Buffer.concat(records)), forgottenBase: -1 };
  },
} as const;
