import type { IncomingMessage, ServerResponse } from 'node:http';
import { ConfigurationLimits } from '../../shared/configuration/validation';
import type { DocumentKey } from '../../shared/configuration/types';
import { Clocks, type Clock } from '../../shared/effects/clock/clock';
import {
  HttpApiServers,
  HttpLimits,
  Replies,
  type HttpApiServer,
  type HttpService,
} from '../../shared/http/httpApiServer';
import type { Metrics } from '../../shared/metrics/metrics';
import type { ControlNode } from '../controlNode';
import type { ChangeRoute, ApiResponse, OperatorApiFormat } from './operatorApiFormat';

/** Settings of the operators' HTTP API. */
export type OperatorApiSettings = Readonly<{
  address: string;
  /** Time limit after which a call is answered as pending; 0: no limit, the answer waits for the outcome. */
  answerMicroseconds: number;
  /** Added to the limit for each byte of the body, since the other control nodes must read and write it, too. */
  answerMicrosecondsPerByte: number;
}>;

/** Default time limits of the operators' HTTP API. */
export const OperatorApiDefaults = { answerMicroseconds: 0, answerMicrosecondsPerByte: 0 } as const;

const sendResponse = (response: ServerResponse, { status, body, contentType, headers }: ApiResponse): void =>
  Replies.text(response, status, body, { 'content-type': contentType, ...headers });

const addStatusRoutes = (service: HttpService, controlNode: ControlNode, metrics: Metrics): void => {
  service.get('/status', (_request, response) => {
    const { standing, fleet, incarnation } = controlNode.core.state;
    Replies.json(response as unknown as ServerResponse, 200, {
      keeper: controlNode.core.name,
      standing,
      fleet,
      incarnation,
      members: controlNode.core.members().members,
      membersRevision: controlNode.core.members().revision,
      owners: controlNode.keyLeaders(),
      replica: controlNode.replicaStatus(),
      duties: controlNode.duties.grantedLeases(),
      agents: controlNode.agents(),
    });
  });
  service.get('/agents/:name', async (request, response) => {
    const status = await controlNode.agentStatus(request.params['name'] ?? '');
    Replies.json(
      response as unknown as ServerResponse,
      status === undefined ? 404 : 200,
      status ?? { error: 'this keeper does not know it, or it does not answer' },
    );
  });
  service.get('/health', (_request, response) =>
    Replies.json(response as unknown as ServerResponse, controlNode.core.votes() ? 200 : 503, {
      standing: controlNode.core.state.standing,
    }),
  );
  service.get('/metrics', (_request, response) =>
    Replies.text(response as unknown as ServerResponse, 200, metrics.render()),
  );
};

/**
 * HTTP API for operators. It accepts whole documents and partial changes, returns documents exactly as they were sent, and reports
 * for each change whether it was accepted or refused, or that the outcome is not known yet.
 */
export const OperatorApi = {
  open: (
    controlNode: ControlNode,
    apiFormat: OperatorApiFormat,
    settings: OperatorApiSettings,
    clock: Clock,
    metrics: Metrics,
  ): Promise<HttpApiServer> => {
    const withinAnswerLimit = async <Result>(bytes: number, work: Promise<Result>): Promise<Result | undefined> =>
      settings.answerMicroseconds === 0
        ? work
        : Clocks.withTimeout(clock, settings.answerMicroseconds + bytes * settings.answerMicrosecondsPerByte, work);

    const handleRead = async (key: DocumentKey, response: ServerResponse): Promise<void> =>
      // The limit ends the read itself, so that no read continues after its caller has given up.
      sendResponse(
        response,
        apiFormat.documentResponse(await controlNode.read(key, settings.answerMicroseconds || undefined)),
      );

    const handleChange = async (
      changeRoute: ChangeRoute,
      request: IncomingMessage,
      response: ServerResponse,
    ): Promise<void> => {
      const refused = apiFormat.checkHeaders(changeRoute, request.headers);
      if (refused !== undefined) return sendResponse(response, refused);
      const body = await HttpApiServers.readText(request, ConfigurationLimits.maxTextBytes);
      if (body.kind !== 'read') return sendResponse(response, apiFormat.unreadableBodyResponse(body.kind));
      const parsed = apiFormat.parseChange({ route: changeRoute, headers: request.headers, text: body.text });
      if (parsed.kind === 'refused') return sendResponse(response, parsed.answer);
      // The wait is limited because an operator that gets no answer gives up. The change continues and keeps its outcome.
      const outcome = (await withinAnswerLimit(body.text.length, controlNode.change(parsed.order))) ?? {
        kind: 'pending',
      };
      metrics.count('postdrum_changes_total', { key: changeRoute.key, outcome: outcome.kind });
      sendResponse(response, apiFormat.outcomeResponse(outcome));
    };

    return HttpApiServers.open(settings.address, HttpLimits.usual, (service) => {
      for (const { path, key } of apiFormat.readRoutes)
        service.get(path, (_request, response) => handleRead(key, response as unknown as ServerResponse));
      for (const changeRoute of apiFormat.changeRoutes)
        service[changeRoute.method](changeRoute.path, (request: unknown, response: unknown) =>
          handleChange(changeRoute, request as IncomingMessage, response as ServerResponse),
        );
      addStatusRoutes(service, controlNode, metrics);
    });
  },
} as const;
