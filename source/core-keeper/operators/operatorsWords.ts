import type { IncomingHttpHeaders } from 'node:http';
import type { OrderForm } from '../../shared/blueprint/dialect';
import type { DocumentKey } from '../../shared/blueprint/types';
import type { ReadOutcome } from '../register/quorumReader';
import type { ChangeOrder, ChangeOutcome } from '../register/messages';

/** One kind of change that operators may order, and where. */
export type ChangePlace = Readonly<{
  method: 'put' | 'patch' | 'post';
  path: string;
  key: DocumentKey;
  form: OrderForm;
}>;

/** pending: nothing is known yet, the change goes on, and the same order asked again gets its outcome. */
export type DoorOutcome = ChangeOutcome | Readonly<{ kind: 'pending' }>;

export type DoorAnswer = Readonly<{
  status: number;
  body: string;
  contentType: string;
  headers?: Readonly<Record<string, string>>;
}>;

/** Where a change came from, as one call. */
export type ChangeCall = Readonly<{ place: ChangePlace; headers: IncomingHttpHeaders; text: string }>;

export type OrderRead =
  Readonly<{ kind: 'order'; order: ChangeOrder }> | Readonly<{ kind: 'refused'; answer: DoorAnswer }>;

/** How operators speak: names, paths and formats of one manner. It decides nothing. */
export interface OperatorsWords {
  readonly reads: readonly Readonly<{ path: string; key: DocumentKey }>[];
  readonly changes: readonly ChangePlace[];
  /** Head first: a call that is refused for it is refused before its body is read. */
  readonly head: (place: ChangePlace, headers: IncomingHttpHeaders) => DoorAnswer | undefined;
  readonly order: (call: ChangeCall) => OrderRead;
  readonly unreadable: (why: 'tooLarge' | 'broken') => DoorAnswer;
  readonly outcome: (outcome: DoorOutcome) => DoorAnswer;
  readonly document: (read: ReadOutcome) => DoorAnswer;
}
