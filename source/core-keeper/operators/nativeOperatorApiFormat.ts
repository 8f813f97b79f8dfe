import type { IncomingHttpHeaders } from 'node:http';
import { ConfigurationLimits } from '../../shared/configuration/validation';
import type { DocumentKey } from '../../shared/configuration/types';
import type { ReadOutcome } from '../register/quorumReader';
import type { ChangeOutcome } from '../register/messages';
import type {
  ChangeCall,
  ChangeRoute,
  ApiResponse,
  ReportedOutcome,
  OperatorApiFormat,
  ParsedChange,
} from './operatorApiFormat';

const keysByPath: readonly (readonly [string, DocumentKey])[] = [
  ['/blueprint', 'blueprint'],
  ['/engines', 'engines'],
  ['/core-members', 'core-members'],
];

const jsonResponse = (status: number, value: unknown, headers: Readonly<Record<string, string>> = {}): ApiResponse => ({
  status,
  body: `${JSON.stringify(value)}\n`,
  contentType: 'application/json',
  headers,
});

const refusalResponse = (status: number, fault: string): ApiResponse =>
  jsonResponse(status, { outcome: 'refused', reason: 'order', faults: [{ path: '', fault }] });

const statusOf = (outcome: ChangeOutcome): number => {
  if (outcome.kind === 'taken') return 200;
  if (outcome.kind === 'unknown') return 503;
  switch (outcome.reason) {
    case 'revision':
      return 412;
    case 'idUsed':
      return 409;
    case 'faults':
      return 422;
    case 'noMajority':
    case 'full':
      return 503;
  }
};

const formatOutcome = (outcome: ReportedOutcome): ApiResponse => {
  if (outcome.kind === 'pending') return formatOutcome({ kind: 'unknown' });
  const status = statusOf(outcome);
  const headers: Record<string, string> =
    outcome.kind === 'taken' ? { etag: `"${outcome.revision}"` } : status === 503 ? { 'retry-after': '2' } : {};
  const body =
    outcome.kind === 'taken'
      ? { outcome: 'taken', revision: outcome.revision }
      : outcome.kind === 'unknown'
        ? { outcome: 'unknown', text: 'Ask again with the same change id.' }
        : { outcome: 'refused', reason: outcome.reason, faults: outcome.faults, revision: outcome.revision };
  return jsonResponse(status, body, headers);
};

const parseRevision = (header: string | undefined): number | undefined => {
  const found = /^"?(\d{1,15})"?$/.exec(header ?? '');
  return found === null ? undefined : Number(found[1]);
};

const parseChangeId = (headers: IncomingHttpHeaders): string | undefined => {
  const id = headers['idempotency-key'];
  return typeof id === 'string' && /^[!-~]{1,128}$/.test(id) ? id : undefined;
};

const findHeaderFault = (_route: ChangeRoute, headers: IncomingHttpHeaders): ApiResponse | undefined => {
  if (parseRevision(headers['if-match']) === undefined)
    return refusalResponse(428, 'If-Match with the revision you read is needed; "0" where nothing was taken yet');
  if (parseChangeId(headers) === undefined)
    return refusalResponse(400, 'Idempotency-Key is needed, 1 to 128 printable characters');
  return undefined;
};

const parseNativeChange = ({ route: { key, form }, headers, text }: ChangeCall): ParsedChange => ({
  kind: 'order',
  order: { key, form, text, ifMatch: parseRevision(headers['if-match']) ?? 0, id: parseChangeId(headers) ?? '' },
});

const formatDocument = (outcome: ReadOutcome): ApiResponse => {
  if (outcome.kind === 'noMajority')
    return jsonResponse(503, { error: 'no majority of keepers answers' }, { 'retry-after': '2' });
  if (outcome.revision === 0)
    return jsonResponse(404, { error: 'nothing was taken yet', revision: 0 }, { etag: '"0"' });
  return {
    status: 200,
    body: outcome.text,
    contentType: 'application/json',
    headers: { etag: `"${outcome.revision}"` },
  };
};

/** The native format: one path per key, revisions in ETag and If-Match, and a change id in Idempotency-Key. */
export const nativeOperatorApiFormat: OperatorApiFormat = {
  readRoutes: keysByPath.map(([path, key]) => ({ path, key })),
  changeRoutes: keysByPath.flatMap(([path, key]): readonly ChangeRoute[] => [
    { method: 'put', path, key, form: 'whole' },
    { method: 'patch', path, key, form: 'pieces' },
  ]),
  checkHeaders: findHeaderFault,
  parseChange: parseNativeChange,
  unreadableBodyResponse: (reason) =>
    reason === 'tooLarge'
      ? refusalResponse(413, `longer than ${ConfigurationLimits.maxTextBytes} bytes`)
      : refusalResponse(400, 'the body broke off'),
  outcomeResponse: formatOutcome,
  documentResponse: formatDocument,
};
