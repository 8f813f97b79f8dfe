import type { DocumentKey } from '../../shared/blueprint/types';
import type { OrderForm } from '../../shared/blueprint/dialect';
import type { Fault } from '../../shared/blueprint/document';
import type { Accepted, Entry, Epoch, Stamp } from '../../shared/register/types';

export type PrepareAnswer =
  | Readonly<{ kind: 'promised'; stamp: Stamp; membersRevision: number; accepted: Accepted | null }>
  | Readonly<{ kind: 'outranked'; epoch: Epoch; membersRevision: number }>
  | Readonly<{ kind: 'noVote' }>;

export type AcceptAnswer =
  | Readonly<{ kind: 'accepted'; stamp: Stamp; membersRevision: number }>
  | Readonly<{ kind: 'outranked'; epoch: Epoch; membersRevision: number }>
  | Readonly<{ kind: 'noVote' }>
  | Readonly<{ kind: 'full' }>;

export type Prepare = Readonly<{
  kind: 'prepare';
  fleet: string;
  membersRevision: number;
  key: DocumentKey;
  epoch: Epoch;
}>;
export type Accept = Readonly<{
  kind: 'accept';
  fleet: string;
  membersRevision: number;
  key: DocumentKey;
  epoch: Epoch;
  entry: Entry;
}>;

/** Asks whether a replica still holds an accepted entry under the leader's epoch; the entry itself is not sent. */
export type Confirm = Readonly<{
  kind: 'confirm';
  fleet: string;
  membersRevision: number;
  key: DocumentKey;
  epoch: Epoch;
  revision: number;
}>;
/** `behind`: it would accept the entry, but does not hold it. */
export type ConfirmAnswer = AcceptAnswer | Readonly<{ kind: 'behind' }>;

export type ChangeOrder = Readonly<{
  key: DocumentKey;
  form: OrderForm;
  text: string;
  ifMatch: number;
  id: string;
  /** Only for `core-members`: the newcomer that must have caught up before the list before stops counting. */
  learner?: string;
}>;

export type ChangeOutcome =
  | Readonly<{ kind: 'taken'; revision: number }>
  | Readonly<{
      kind: 'refused';
      reason: 'faults' | 'revision' | 'idUsed' | 'noMajority' | 'full';
      faults: readonly Fault[];
      revision: number;
    }>
  | Readonly<{ kind: 'unknown' }>;

export type OwnerWord = Readonly<{ key: DocumentKey; epoch: Epoch; revision: number; digest: string }>;

/** A leader fetches the next change that a member could not bring to it, and tells the outcome of the one before (`after`). */
export type FetchChange = Readonly<{
  kind: 'fetchChange';
  fleet: string;
  /** What the asker leads. */
  keys: readonly DocumentKey[];
  /** The number of the change that was fetched last; 0: none yet. */
  after: number;
  /** Null: the asker did not lead the key any more. */
  done?: Readonly<{ outcome: ChangeOutcome | null }>;
}>;
export type FetchedChange =
  Readonly<{ kind: 'fetchedChange'; number: number; order: ChangeOrder }> | Readonly<{ kind: 'nothingWaits' }>;
