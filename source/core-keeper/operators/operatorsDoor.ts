import type { IncomingMessage, ServerResponse } from 'node:http';
import { BlueprintLimits } from '../../shared/blueprint/check';
import type { DocumentKey } from '../../shared/blueprint/types';
import { HttpDoors, HttpLimits, Replies, type HttpDoor } from '../../shared/http/httpDoor';
import type { Metrics } from '../../shared/metrics/metrics';
import type { CoreKeeper } from '../coreKeeper';
import type { ChangeOutcome } from '../register/messages';

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

const pathKeys: readonly (readonly [string, DocumentKey])[] = [
  ['/blueprint', 'blueprint'],
  ['/engines', 'engines'],
  ['/core-members', 'core-members'],
];

const revisionIn = (header: string | undefined): number | undefined => {
  const found = /^"?(\d{1,15})"?$/.exec(header ?? '');
  return found === null ? undefined : Number(found[1]);
};

const answerOutcome = (response: ServerResponse, outcome: ChangeOutcome): void => {
  const status = statusOf(outcome);
  const headers: Record<string, string> =
    outcome.kind === 'taken' ? { etag: `"${outcome.revision}"` } : status === 503 ? { 'retry-after': '2' } : {};
  const body =
    outcome.kind === 'taken'
      ? { outcome: 'taken', revision: outcome.revision }
      : outcome.kind === 'unknown'
        ? { outcome: 'unknown', text: 'Ask again with the same change id.' }
        : { outcome: 'refused', reason: outcome.reason, faults: outcome.faults, revision: outcome.revision };
  Replies.json(response, status, body, headers);
};

/** The operators' HTTP: whole setups and pieces, read back as sent; each change plainly taken or plainly refused. */
export const OperatorsDoor = {
  open: (keeper: CoreKeeper, address: string, metrics: Metrics): Promise<HttpDoor> =>
    HttpDoors.open(address, HttpLimits.usual, (service) => {
      for (const [path, key] of pathKeys) {
        service.get(path, (_order, response) => readOne(keeper, key, response as unknown as ServerResponse));
        const change =
          (form: 'whole' | 'pieces') =>
          async (order: unknown, response: unknown): Promise<void> => {
            await changeOne(keeper, key, form, order as IncomingMessage, response as ServerResponse, metrics);
          };
        service.put(path, change('whole'));
        service.patch(path, change('pieces'));
      }
      service.get('/status', (_order, response) => {
        const { standing, fleet, incarnation } = keeper.core.state;
        Replies.json(response as unknown as ServerResponse, 200, {
          keeper: keeper.core.name,
          standing,
          fleet,
          incarnation,
          members: keeper.core.members().members,
          membersRevision: keeper.core.members().revision,
          owners: keeper.owners(),
          duties: keeper.duties.holders(),
          agents: keeper.agents(),
        });
      });
      service.get('/health', (_order, response) =>
        Replies.json(response as unknown as ServerResponse, keeper.core.votes() ? 200 : 503, {
          standing: keeper.core.state.standing,
        }),
      );
      service.get('/metrics', (_order, response) =>
        Replies.text(response as unknown as ServerResponse, 200, metrics.page()),
      );
    }),
} as const;

const readOne = async (keeper: CoreKeeper, key: DocumentKey, response: ServerResponse): Promise<void> => {
  const read = await keeper.read(key);
  if (read.kind === 'noMajority')
    Replies.json(response, 503, { error: 'no majority of keepers answers' }, { 'retry-after': '2' });
  else if (read.revision === 0)
    Replies.json(response, 404, { error: 'nothing was taken yet', revision: 0 }, { etag: '"0"' });
  else Replies.text(response, 200, read.text, { 'content-type': 'application/json', etag: `"${read.revision}"` });
};

const changeOne = async (
  keeper: CoreKeeper,
  key: DocumentKey,
  form: 'whole' | 'pieces',
  order: IncomingMessage,
  response: ServerResponse,
  metrics: Metrics,
): Promise<void> => {
  const ifMatch = revisionIn(order.headers['if-match']);
  const id = order.headers['idempotency-key'];
  const refuse = (status: number, fault: string): void =>
    Replies.json(response, status, { outcome: 'refused', reason: 'order', faults: [{ path: '', fault }] });
  if (ifMatch === undefined)
    return refuse(428, 'If-Match with the revision you read is needed; "0" where nothing was taken yet');
  if (typeof id !== 'string' || !/^[!-~]{1,128}$/.test(id))
    return refuse(400, 'Idempotency-Key is needed, 1 to 128 printable characters');
  const body = await HttpDoors.body(order, BlueprintLimits.textBytes);
  if (body.kind === 'tooLarge') return refuse(413, `longer than ${BlueprintLimits.textBytes} bytes`);
  if (body.kind === 'broken') return refuse(400, 'the body broke off');
  const outcome = await keeper.change({ key, form, text: body.text, ifMatch, id });
  metrics.count('postdrum_changes_total', { key, outcome: outcome.kind });
  answerOutcome(response, outcome);
};
