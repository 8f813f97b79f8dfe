import type { IncomingHttpHeaders } from 'node:http';
import { BlueprintLimits } from '../../shared/blueprint/check';
import type { DocumentKey } from '../../shared/blueprint/types';
import type { ReadOutcome } from '../register/quorumReader';
import type { ChangeOutcome } from '../register/messages';
import type { ChangeCall, ChangePlace, DoorAnswer, DoorOutcome, OperatorsWords, OrderRead } from './operatorsWords';

const pathKeys: readonly (readonly [string, DocumentKey])[] = [
  ['/blueprint', 'blueprint'],
  ['/engines', 'engines'],
  ['/core-members', 'core-members'],
];

const json = (status: number, value: unknown, headers: Readonly<Record<string, string>> = {}): DoorAnswer => ({
  status,
  body: `${JSON.stringify(value)}\n`,
  contentType: 'application/json',
  headers,
});

const refusal = (status: number, fault: string): DoorAnswer =>
  json(status, { outcome: 'refused', reason: 'order', faults: [{ path: '', fault }] });

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

const answerOf = (outcome: DoorOutcome): DoorAnswer => {
  if (outcome.kind === 'pending') return answerOf({ kind: 'unknown' });
  const status = statusOf(outcome);
  const headers: Record<string, string> =
    outcome.kind === 'taken' ? { etag: `"${outcome.revision}"` } : status === 503 ? { 'retry-after': '2' } : {};
  const body =
    outcome.kind === 'taken'
      ? { outcome: 'taken', revision: outcome.revision }
      : outcome.kind === 'unknown'
        ? { outcome: 'unknown', text: 'Ask again with the same change id.' }
        : { outcome: 'refused', reason: outcome.reason, faults: outcome.faults, revision: outcome.revision };
  return json(status, body, headers);
};

const revisionIn = (header: string | undefined): number | undefined => {
  const found = /^"?(\d{1,15})"?$/.exec(header ?? '');
  return found === null ? undefined : Number(found[1]);
};

const idIn = (headers: IncomingHttpHeaders): string | undefined => {
  const id = headers['idempotency-key'];
  return typeof id === 'string' && /^[!-~]{1,128}$/.test(id) ? id : undefined;
};

const headFault = (_place: ChangePlace, headers: IncomingHttpHeaders): DoorAnswer | undefined => {
  if (revisionIn(headers['if-match']) === undefined)
    return refusal(428, 'If-Match with the revision you read is needed; "0" where nothing was taken yet');
  if (idIn(headers) === undefined) return refusal(400, 'Idempotency-Key is needed, 1 to 128 printable characters');
  return undefined;
};

const orderOf = ({ place: { key, form }, headers, text }: ChangeCall): OrderRead => ({
  kind: 'order',
  order: { key, form, text, ifMatch: revisionIn(headers['if-match']) ?? 0, id: idIn(headers) ?? '' },
});

const documentOf = (read: ReadOutcome): DoorAnswer => {
  if (read.kind === 'noMajority') return json(503, { error: 'no majority of keepers answers' }, { 'retry-after': '2' });
  if (read.revision === 0) return json(404, { error: 'nothing was taken yet', revision: 0 }, { etag: '"0"' });
  return {
    status: 200,
    body: read.text,
    contentType: 'application/json',
    headers: { etag: `"${read.revision}"` },
  };
};

/** The product's own words: one path a key, revisions in ETag and If-Match, an id with each change. */
export const ownOperatorsWords: OperatorsWords = {
  reads: pathKeys.map(([path, key]) => ({ path, key })),
  changes: pathKeys.flatMap(([path, key]): readonly ChangePlace[] => [
    { method: 'put', path, key, form: 'whole' },
    { method: 'patch', path, key, form: 'pieces' },
  ]),
  head: headFault,
  order: orderOf,
  unreadable: (why) =>
    why === 'tooLarge'
      ? refusal(413, `longer than ${BlueprintLimits.textBytes} bytes`)
      : refusal(400, 'the body broke off'),
  outcome: answerOf,
  document: documentOf,
};
