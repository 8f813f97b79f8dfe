import type { IncomingMessage, ServerResponse } from 'node:http';
import { BlueprintLimits } from '../../shared/blueprint/check';
import type { DocumentKey } from '../../shared/blueprint/types';
import { Clocks, type Clock } from '../../shared/effects/clock/clock';
import { HttpDoors, HttpLimits, Replies, type HttpDoor, type HttpService } from '../../shared/http/httpDoor';
import type { Metrics } from '../../shared/metrics/metrics';
import type { CoreKeeper } from '../coreKeeper';
import type { ChangePlace, DoorAnswer, OperatorsWords } from './operatorsWords';

export type DoorSettings = Readonly<{
  address: string;
  /** After so long an operator hears that nothing is known yet; 0: it waits until something is. */
  answerMicroseconds: number;
  /** And so much longer for each byte of a body, which others must read and write too. */
  answerMicrosecondsPerByte: number;
}>;

export const DoorDefaults = { answerMicroseconds: 0, answerMicrosecondsPerByte: 0 } as const;

const give = (response: ServerResponse, { status, body, contentType, headers }: DoorAnswer): void =>
  Replies.text(response, status, body, { 'content-type': contentType, ...headers });

const statusPages = (service: HttpService, keeper: CoreKeeper, metrics: Metrics): void => {
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
      replica: keeper.replicaStatus(),
      duties: keeper.duties.holders(),
      agents: keeper.agents(),
    });
  });
  service.get('/agents/:name', async (order, response) => {
    const status = await keeper.agentStatus(order.params['name'] ?? '');
    Replies.json(
      response as unknown as ServerResponse,
      status === undefined ? 404 : 200,
      status ?? { error: 'this keeper does not know it, or it does not answer' },
    );
  });
  service.get('/health', (_order, response) =>
    Replies.json(response as unknown as ServerResponse, keeper.core.votes() ? 200 : 503, {
      standing: keeper.core.state.standing,
    }),
  );
  service.get('/metrics', (_order, response) =>
    Replies.text(response as unknown as ServerResponse, 200, metrics.page()),
  );
};

/** The operators' HTTP: whole setups and pieces, read back as sent; each change plainly taken or plainly refused. */
export const OperatorsDoor = {
  open: (
    keeper: CoreKeeper,
    words: OperatorsWords,
    settings: DoorSettings,
    clock: Clock,
    metrics: Metrics,
  ): Promise<HttpDoor> => {
    const within = async <Result>(bytes: number, work: Promise<Result>): Promise<Result | undefined> =>
      settings.answerMicroseconds === 0
        ? work
        : Clocks.within(clock, settings.answerMicroseconds + bytes * settings.answerMicrosecondsPerByte, work);

    const readOne = async (key: DocumentKey, response: ServerResponse): Promise<void> =>
      // A caller that has moved on must not leave its read behind.
      give(response, words.document(await keeper.read(key, settings.answerMicroseconds || undefined)));

    const changeOne = async (place: ChangePlace, order: IncomingMessage, response: ServerResponse): Promise<void> => {
      const refused = words.head(place, order.headers);
      if (refused !== undefined) return give(response, refused);
      const body = await HttpDoors.body(order, BlueprintLimits.textBytes);
      if (body.kind !== 'read') return give(response, words.unreadable(body.kind));
      const read = words.order({ place, headers: order.headers, text: body.text });
      if (read.kind === 'refused') return give(response, read.answer);
      // Why not wait for ever: an operator that hears nothing moves on; the change itself goes on and keeps its outcome.
      const outcome = (await within(body.text.length, keeper.change(read.order))) ?? { kind: 'pending' };
      metrics.count('postdrum_changes_total', { key: place.key, outcome: outcome.kind });
      give(response, words.outcome(outcome));
    };

    return HttpDoors.open(settings.address, HttpLimits.usual, (service) => {
      for (const { path, key } of words.reads)
        service.get(path, (_order, response) => readOne(key, response as unknown as ServerResponse));
      for (const place of words.changes)
        service[place.method](place.path, (order: unknown, response: unknown) =>
          changeOne(place, order as IncomingMessage, response as ServerResponse),
        );
      statusPages(service, keeper, metrics);
    });
  },
} as const;
