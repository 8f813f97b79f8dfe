import type { IncomingMessage, ServerResponse } from 'node:http';
import type { ClientLimits } from '../../shared/configuration/types';
import type { Clock } from '../../shared/effects/clock/clock';
import type { Random } from '../../shared/effects/random/random';
import { RequestBodies } from '../../shared/http/requestBodies';
import type { HttpLimits } from '../../shared/http/httpLimits';
import { HttpServer, type DrainPlan } from '../../shared/http/httpServer';
import { Replies } from '../../shared/http/replies';
import { Refusals, type Refusal } from '../../shared/verdict/verdict';
import type { EdgeProxy } from '../edgeProxy';
import type { ResponseSink } from '../pipeline/request';
import { stoppingRefusal } from '../shutdown/startCutoff';
import { ChatClientApiFormat, type ClientApiFormat } from './clientApiFormat';
import { ClientServerLimits } from './clientServerLimits';

/** The listening HTTP server for clients. */
export type ClientServer = Readonly<{
  address: string;
  drain: (plan?: DrainPlan) => Promise<void>;
  close: () => Promise<void>;
}>;

export type ClientServerOptions = Readonly<{
  apiFormat: ClientApiFormat;
  /** The operators' limits on clients; they may change while the server runs. */
  limits: () => ClientLimits | undefined;
}>;

/** Writes the response to one HTTP request of a client. */
class HttpResponseSink implements ResponseSink {
  private clientGone = false;
  private bodyStarted = false;
  private hasLength = false;
  private readonly goneListeners: (() => void)[] = [];

  public constructor(
    private readonly response: ServerResponse,
    private readonly apiFormat: ClientApiFormat,
    private readonly connectionHeaders: () => Readonly<Record<string, string>>,
  ) {
    response.on('close', () => {
      if (response.writableFinished) return;
      this.clientGone = true;
      for (const listener of this.goneListeners.splice(0)) listener();
    });
  }

  public readonly begun = (): boolean => this.response.headersSent;
  public readonly gone = (): boolean => this.clientGone;

  public readonly onClientGone = (listener: () => void): void => {
    if (this.clientGone) listener();
    else this.goneListeners.push(listener);
  };

  public readonly head: ResponseSink['head'] = ({ status, headers }) => {
    if (this.clientGone) return;
    this.hasLength = Object.keys(headers).some((name) => name.toLowerCase() === 'content-length');
    this.response.writeHead(status, { ...headers, ...this.connectionHeaders() });
    // The head is not flushed at once because the first part usually follows in the same tick and both go out together.
    process.nextTick(() => {
      if (!this.bodyStarted && !this.response.destroyed) this.response.flushHeaders();
    });
  };

  public readonly part = (bytes: Uint8Array): Promise<void> | undefined => {
    this.bodyStarted = true;
    if (this.clientGone || this.response.write(bytes)) return undefined;
    // Backpressure: a slow client slows the engine down instead of filling the memory of this process.
    return new Promise((resolve) => {
      this.response.once('drain', resolve);
      this.onClientGone(resolve);
    });
  };

  public readonly end = (): void => {
    this.bodyStarted = true;
    this.response.end();
  };

  public readonly cut = (): void => {
    // Without the last chunk, or with fewer bytes than its length, the client sees that the response was cut off. A response
    // with neither, as to a client of HTTP/1.0, would be complete at the end of its connection, so that one is reset.
    const isFramed = this.hasLength || this.response.chunkedEncoding;
    if (this.response.headersSent && !isFramed) this.response.socket?.resetAndDestroy();
    this.response.destroy();
  };

  public readonly refuse = (refusal: Refusal): void => {
    this.bodyStarted = true;
    const { status, headers, body } = this.apiFormat.refusalResponse(refusal);
    Replies.text(this.response, status, body, { ...headers, ...this.connectionHeaders() });
  };
}

const headersOf = (request: IncomingMessage): Readonly<Record<string, string>> => {
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(request.headers))
    if (value !== undefined) headers[name] = typeof value === 'string' ? value : value.join(', ');
  return headers;
};

/** Reads requests from one listener and passes them to the proxy. */
class RequestListener {
  public readonly server: HttpServer;
  private shutdown: Readonly<{ startedMicroseconds: number; plan: DrainPlan }> | undefined;

  public constructor(
    private readonly proxy: EdgeProxy,
    private readonly limits: ClientServerLimits,
    private readonly apiFormat: ClientApiFormat,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {
    this.server = new HttpServer(() => limits.httpLimits());
    this.server.server.on('request', (request: IncomingMessage, response: ServerResponse) => {
      // Failures while handling a request already end as a refusal or a cut response; this only closes the connection.
      this.handle(request, response).catch(() => response.destroy());
    });
  }

  public drain(plan: DrainPlan | undefined): Promise<void> {
    if (plan !== undefined) this.shutdown = { startedMicroseconds: this.clock.nowMicroseconds(), plan };
    return this.server.drain(plan, this.clock);
  }

  /** Whether a request with this time limit that arrives now may still be running when the shutdown ends. */
  private mayOutlastShutdown(limitMicroseconds: number | undefined): boolean {
    const lastOrders = this.shutdown?.plan.lateRequests;
    if (this.shutdown === undefined || lastOrders === undefined || limitMicroseconds === undefined) return false;
    const elapsed = this.clock.nowMicroseconds() - this.shutdown.startedMicroseconds;
    return elapsed > lastOrders.afterMicroseconds && elapsed + limitMicroseconds > lastOrders.endMicroseconds;
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { proxy, apiFormat: words, clock } = this;
    const arrivedMicroseconds = clock.nowMicroseconds();
    const sink = new HttpResponseSink(response, words, () => this.connectionHeaders(response));
    const refuse = (refusal: Refusal, drainsBody = true): void => {
      proxy.metrics.count('postdrum_refusals_total', { code: refusal.code, verdict: refusal.verdict });
      // The connection stays open because a client that is still writing its body would see a reset instead of this
      // response. The rest of the body is discarded as it arrives, bounded by the time limit of a body.
      if (drainsBody && !request.complete) response.shouldKeepAlive = true;
      sink.refuse(refusal);
    };
    if (this.server.isPipelineFull(request))
      return refuse(Refusals.make(429, 'notRun', 'holdingFull', 'Too many orders wait on this conn.', 1));
    const parsed = words.parseHead(
      { method: request.method ?? 'POST', target: request.url ?? '/', headers: headersOf(request) },
      this.random,
    );
    if (parsed.kind === 'page') return this.servePage(parsed.page, response);
    if (parsed.kind === 'refuse') return refuse(parsed.refusal);
    if (words.checksKeyBeforeBody) {
      const tenant = proxy.identifier.tenantOf(parsed.order.key);
      if (tenant.kind === 'refuse') return refuse(tenant.refusal);
    }
    const maxBytes = this.limits.bodyBytes();
    const body = await RequestBodies.readBytes(request, maxBytes);
    if (body.kind === 'tooLarge')
      return refuse(Refusals.make(413, 'notRun', 'tooLarge', `A body has at most ${maxBytes} bytes.`));
    if (body.kind === 'broken') {
      if (body.status === undefined) return sink.cut();
      return refuse(Refusals.make(body.status, 'notRun', 'badBody', 'The body cannot be read.'), false);
    }
    // Checked after the body because this response closes the connection, and a client that is still writing would see
    // a reset instead.
    if (this.mayOutlastShutdown(parsed.order.limitMicroseconds)) return refuse(stoppingRefusal);
    await proxy.handle(
      {
        ...parsed.order,
        body: words.hasBinaryBodies ? body.bytes : body.bytes.toString('utf8'),
        // A client's own deadline runs while it writes its body, so it counts from the arrival of the head.
        arrivedMicroseconds:
          parsed.order.limitMicroseconds === undefined ? clock.nowMicroseconds() : arrivedMicroseconds,
      },
      sink,
    );
  }

  /**
   * Response headers about the connection. An idle connection is closed a second after the announced timeout, so that no
   * request is sent on a connection that is just closing.
   */
  private connectionHeaders(response: ServerResponse): Readonly<Record<string, string>> {
    if (!response.shouldKeepAlive) return { connection: 'close' };
    const seconds = this.limits.idleSeconds();
    return seconds === undefined ? {} : { connection: 'keep-alive', 'keep-alive': `timeout=${seconds}` };
  }

  private servePage(page: 'health' | 'metrics', response: ServerResponse): void {
    const { proxy } = this;
    if (page === 'health') Replies.json(response, proxy.fresh() ? 200 : 503, { fresh: proxy.fresh() });
    else Replies.text(response, 200, proxy.metrics.render());
  }
}

/** The HTTP server that accepts requests of clients. */
export const ClientServer = {
  open: async (
    proxy: EdgeProxy,
    address: string,
    limits: HttpLimits,
    maxBodySize: number,
    clock: Clock,
    random: Random,
    options: Partial<ClientServerOptions> = {},
  ): Promise<ClientServer> => {
    const serverLimits = new ClientServerLimits(limits, maxBodySize, options.limits ?? (() => undefined));
    const listener = new RequestListener(proxy, serverLimits, options.apiFormat ?? ChatClientApiFormat, clock, random);
    const { server } = listener;
    await server.listen(address);
    return {
      address: server.address,
      drain: (plan) => listener.drain(plan),
      close: () => server.close(),
    };
  },
} as const;
