import type { IncomingHttpHeaders } from 'node:http';
import type { OrderForm } from '../../shared/blueprint/dialect';
import type { DocumentKey } from '../../shared/blueprint/types';
import type { ReadOutcome } from '../register/quorumReader';
import type { ChangeOrder, ChangeOutcome } from '../register/messages';

/** A route of the operator API that changes a document: HTTP method and path, document key and form of the change. */
export type ChangePlace = Readonly<{
  method: 'put' | 'patch' | 'post';
  path: string;
  key: DocumentKey;
  form: OrderForm;
}>;

/** pending: the outcome is not known yet. The change continues, and a repeated call with the same change id gets its outcome. */
export type DoorOutcome = ChangeOutcome | Readonly<{ kind: 'pending' }>;

/** An HTTP response of the operator API. */
export type DoorAnswer = Readonly<{
  status: number;
  body: string;
  contentType: string;
  headers?: Readonly<Record<string, string>>;
}>;

/** An HTTP call that asks for a change. */
export type ChangeCall = Readonly<{ place: ChangePlace; headers: IncomingHttpHeaders; text: string }>;

/** A change parsed from an HTTP call, or the response that refuses the call. */
export type OrderRead =
  Readonly<{ kind: 'order'; order: ChangeOrder }> | Readonly<{ kind: 'refused'; answer: DoorAnswer }>;

/** One format of the operator API: its routes, and how calls are parsed and responses written. It makes no decisions. */
export interface OperatorsWords {
  readonly reads: readonly Readonly<{ path: string; key: DocumentKey }>[];
  readonly changes: readonly ChangePlace[];
  /** Checks the headers; a call that fails this check is refused before its body is read. */
  readonly head: (place: ChangePlace, headers: IncomingHttpHeaders) => DoorAnswer | undefined;
  /** Parses the whole call. */
  readonly order: (call: ChangeCall) => OrderRead;
  /** The response to a call whose body could not be read. */
  readonly unreadable: (reason: 'tooLarge' | 'broken') => DoorAnswer;
  /** The response that reports the outcome of a change. */
  readonly outcome: (outcome: DoorOutcome) => DoorAnswer;
  /** The response to a read of a document. */
  readonly document: (outcome: ReadOutcome) => DoorAnswer;
}
