import http from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import { Clocks, type Clock } from '../effects/clock/clock';
import { Addresses } from '../effects/transport/tcpTransport';
import type { HttpLimits } from './httpLimits';

/** Phases of a graceful stop. The server keeps listening at first, because those that route clients here notice late. */
export type DrainPlan = Readonly<{
  /** The server listens at least this long, and until no new connection has arrived for `quietMicroseconds`, */
  minListenMicroseconds: number;
  quietMicroseconds: number;
  /** but at most this long. */
  maxListenMicroseconds: number;
  /** Connections that have not sent a complete request this long after the server stopped listening are closed. */
  incompleteRequestMicroseconds: number;
  /** Requests that arrive late in a stop, and may not be finished when it ends, are refused; missing: all are accepted. */
  lateRequests?: Readonly<{ afterMicroseconds: number; endMicroseconds: number }>;
}>;

export const DrainPlans = {
  /** The server stops listening immediately. */
  atOnce: {
    minListenMicroseconds: 0,
    quietMicroseconds: 0,
    maxListenMicroseconds: 0,
    incompleteRequestMicroseconds: 1_000_000,
  },
} as const satisfies Record<string, DrainPlan>;

type Exchange = Readonly<{ request: IncomingMessage; response: ServerResponse }>;
type TrackedConnection = {
  readonly exchanges: Set<Exchange>;
  /** Nothing valid can be read from the connection any more. */ isUnreadable: boolean;
};

/** Most pipelined requests on one connection. */
const maxPipelinedRequests = 32;
const defaultIdleMicroseconds = 30_000_000;

/** Event on a request whose body will never be complete, although its connection may still carry the response. */
export const requestFailedEvent = 'postdrum-broken-off';

const statusByErrorCode: Readonly<Record<string, number>> = {
  HPE_HEADER_OVERFLOW: 431,
  HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
  ERR_HTTP_REQUEST_TIMEOUT: 408,
};

/**
 * Leaves idle connections open while a response is still being written out. Node.js counts a connection as idle as soon as
 * its response has ended, and would discard what a slow reader has not received yet.
 */
class DrainingServer extends http.Server {
  public constructor(
    options: http.ServerOptions,
    private readonly hasUnwrittenResponses: () => boolean,
  ) {
    super(options);
  }

  /** Also called by `close`. */
  public override closeIdleConnections(): void {
    if (!this.hasUnwrittenResponses()) super.closeIdleConnections();
  }
}

/** An HTTP server with limits, which may change while it runs, and with a stop that answers all received requests. */
export class HttpServer {
  private readonly conns = new Map<Duplex, TrackedConnection>();
  private draining = false;
  private lastConnectionMicroseconds = 0;
  private clock: Clock | undefined;
  private appliedLimits: HttpLimits | undefined;
  public readonly server: http.Server;

  public constructor(private readonly limits: () => HttpLimits) {
    this.server = new DrainingServer({ connectionsCheckingInterval: 500, noDelay: true }, () =>
      this.hasUnwrittenResponses(),
    );
    this.applyLimits();
    this.server.on('connection', (socket: Socket) => this.onConnection(socket));
    this.server.on('request', (request: IncomingMessage, response: ServerResponse) =>
      this.onRequest(request, response),
    );
    this.server.on('clientError', (error: Error & { code?: string }, socket) => this.onClientError(error, socket));
  }

  public get address(): string {
    const bound = this.server.address() as AddressInfo;
    return `${bound.address}:${bound.port}`;
  }

  public listen(address: string): Promise<void> {
    const { host, port } = Addresses.split(address);
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen({ port, host, backlog: 1024 }, () => {
        this.server.removeListener('error', reject);
        resolve();
      });
    });
  }

  /** Stops gracefully; resolves when all received requests have been answered. */
  public async drain(plan: DrainPlan = DrainPlans.atOnce, clock?: Clock): Promise<void> {
    this.draining = true;
    for (const connection of this.conns.values()) HttpServer.closeAfterLastResponse(connection);
    if (clock !== undefined && plan.maxListenMicroseconds > 0) {
      this.clock = clock;
      const began = clock.nowMicroseconds();
      this.lastConnectionMicroseconds = began;
      for (;;) {
        const stopListeningAt = Math.min(
          Math.max(began + plan.minListenMicroseconds, this.lastConnectionMicroseconds + plan.quietMicroseconds),
          began + plan.maxListenMicroseconds,
        );
        const left = stopListeningAt - clock.nowMicroseconds();
        if (left <= 0) break;
        await Clocks.wait(clock, left);
      }
    }
    const closed = new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
    this.server.closeIdleConnections();
    // Node.js no longer enforces timeouts once the server is closed, so an incomplete request could block the stop forever.
    const lateTimer = setTimeout(() => {
      for (const [socket, { exchanges }] of this.conns) if (exchanges.size === 0) socket.destroy();
    }, plan.incompleteRequestMicroseconds / 1000);
    await closed;
    clearTimeout(lateTimer);
  }

  public close(): Promise<void> {
    return new Promise((resolve) => {
      this.server.close(() => resolve());
      this.server.closeAllConnections();
    });
  }

  private hasUnwrittenResponses(): boolean {
    return [...this.conns.values()].some(({ exchanges }) =>
      [...exchanges].some(({ response }) => response.writableEnded && !response.writableFinished),
    );
  }

  private applyLimits(): void {
    const limits = this.limits();
    if (limits === this.appliedLimits) return;
    this.appliedLimits = limits;
    // Changed limits take effect: Node.js reads these properties for each connection or at each check for timeouts.
    Object.assign(this.server, { maxHeaderSize: limits.headBytes });
    this.server.headersTimeout = Math.ceil(limits.headMicroseconds / 1000);
    this.server.requestTimeout = Math.ceil((limits.headMicroseconds + limits.bodyMicroseconds) / 1000);
    this.server.keepAliveTimeout = Math.ceil((limits.idleMicroseconds ?? defaultIdleMicroseconds) / 1000);
    this.server.maxConnections = limits.conns;
  }

  private onConnection(socket: Socket): void {
    if (this.clock !== undefined) this.lastConnectionMicroseconds = this.clock.nowMicroseconds();
    this.conns.set(socket, { exchanges: new Set(), isUnreadable: false });
    socket.once('close', () => this.conns.delete(socket));
  }

  private onRequest(request: IncomingMessage, response: ServerResponse): void {
    this.applyLimits();
    const connection = this.conns.get(request.socket);
    if (connection === undefined) return;
    const exchange: Exchange = { request, response };
    connection.exchanges.add(exchange);
    if (this.draining) HttpServer.closeAfterLastResponse(connection);
    // Pipelining is limited because responses are sent in the order of the requests, and those that wait behind a long one
    // take up memory.
    if (connection.exchanges.size > maxPipelinedRequests) response.shouldKeepAlive = false;
    response.once('close', () => {
      connection.exchanges.delete(exchange);
      if (connection.isUnreadable && connection.exchanges.size === 0) request.socket.destroySoon();
      // During a stop, the connection of a response that was running when the stop began becomes idle only now.
      if (!this.server.listening) setImmediate(() => this.server.closeIdleConnections());
    });
  }

  /**
   * Closes the connection after the last response on it. It cannot close after an earlier one because the requests behind
   * that have already been received.
   */
  private static closeAfterLastResponse({ exchanges }: TrackedConnection): void {
    const pending = [...exchanges].map(({ response }) => response).filter(({ headersSent }) => !headersSent);
    const last = pending.pop();
    if (last === undefined) return;
    for (const response of pending) response.shouldKeepAlive = true;
    last.shouldKeepAlive = false;
  }

  /** Whether the connection has too many pipelined requests for one more. */
  public isPipelineFull(request: IncomingMessage): boolean {
    return (this.conns.get(request.socket)?.exchanges.size ?? 0) > maxPipelinedRequests;
  }

  /**
   * Handles data that cannot be parsed. Requests that were received completely keep their connection until they are
   * answered.
   */
  private onClientError(error: Error & { code?: string }, socket: Duplex): void {
    const connection = this.conns.get(socket);
    if (connection === undefined || socket.destroyed || !socket.writable || error.code === 'ECONNRESET') {
      socket.destroy();
      return;
    }
    if (connection.isUnreadable) return;
    connection.isUnreadable = true;
    const status = statusByErrorCode[error.code ?? ''] ?? 400;
    if (connection.exchanges.size > 0) {
      // No status line is written to the connection: the client would take it for the response to the first open request.
      HttpServer.closeAfterLastResponse(connection);
      for (const { request: request } of [...connection.exchanges])
        if (!request.complete) request.emit(requestFailedEvent, status);
      return;
    }
    // The connection never carried a request, so it is closed without a response.
    if (status === 408 && (socket as Socket).bytesRead === 0) {
      socket.destroy();
      return;
    }
    socket.end(`HTTP/1.1 ${status} ${http.STATUS_CODES[status]}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`);
    // The connection is not closed at once: a reset would reach the client before the response while it still writes.
    setTimeout(() => socket.destroy(), 1000).unref();
  }
}
