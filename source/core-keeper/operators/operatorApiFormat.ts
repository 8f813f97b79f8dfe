import type { IncomingHttpHeaders } from 'node:http';
import type { ChangeForm } from '../../shared/configuration/configurationFormat';
import type { DocumentKey } from '../../shared/configuration/types';
import type { ReadOutcome } from '../register/quorumReader';
import type { ChangeRequest, ChangeOutcome } from '../register/messages';

/** A route of the operator API that changes a document: HTTP method and path, document key and form of the change. */
export type ChangeRoute = Readonly<{
  method: 'put' | 'patch' | 'post';
  path: string;
  key: DocumentKey;
  form: ChangeForm;
}>;

/** pending: the outcome is not known yet. The change continues, and a repeated call with the same change id gets its outcome. */
export type ReportedOutcome = ChangeOutcome | Readonly<{ kind: 'pending' }>;

/** An HTTP response of the operator API. */
export type ApiResponse = Readonly<{
  status: number;
  body: string;
  contentType: string;
  headers?: Readonly<Record<string, string>>;
}>;

/** An HTTP call that asks for a change. */
export type ChangeCall = Readonly<{ route: ChangeRoute; headers: IncomingHttpHeaders; text: string }>;

/** A change parsed from an HTTP call, or the response that refuses the call. */
export type ParsedChange =
  Readonly<{ kind: 'order'; order: ChangeRequest }> | Readonly<{ kind: 'refused'; answer: ApiResponse }>;

/** One format of the operator API: its routes, and how calls are parsed and responses written. It makes no decisions. */
export interface OperatorApiFormat {
  readonly readRoutes: readonly Readonly<{ path: string; key: DocumentKey }>[];
  readonly changeRoutes: readonly ChangeRoute[];
  /** Checks the headers; a call that fails this check is refused before its body is read. */
  readonly checkHeaders: (route: ChangeRoute, headers: IncomingHttpHeaders) => ApiResponse | undefined;
  /** Parses the whole call. */
  readonly parseChange: (call: ChangeCall) => ParsedChange;
  /** The response to a call whose body could not be read. */
  readonly unreadableBodyResponse: (reason: 'tooLarge' | 'broken') => ApiResponse;
  /** The response that reports the outcome of a change. */
  readonly outcomeResponse: (outcome: ReportedOutcome) => ApiResponse;
  /** The response to a read of a document. */
  readonly documentResponse: (outcome: ReadOutcome) => ApiResponse;
}
