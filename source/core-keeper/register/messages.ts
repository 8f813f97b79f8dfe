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
