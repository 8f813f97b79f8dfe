import http from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import { Clocks, type Clock } from '../effects/clock/clock';
import { Addresses } from '../effects/transport/tcpTransport';
import type { HttpLimits } from './httpLimits';

/** How a stop goes: first it still listens, since those who send callers here notice late. */
export type DrainPlan = Readonly<{
  /** It listens at least so long, and until nobody new has come for `quietMicroseconds`, */
  leastMicroseconds: number;
  quietMicroseconds: number;
  /** but no longer than this. */
  mostMicroseconds: number;
  /** Conns that have sent no whole order so long after that are closed. */
  lateMicroseconds: number;
  /** Orders that come late in a stop, and may not be over when it ends, are refused; missing: all are taken. */
  lastOrders?: Readonly<{ afterMicroseconds: number; endMicroseconds: number }>;
}>;

export const DrainPlans = {
  /** It stops listening at once. */
  atOnce: { leastMicroseconds: 0, quietMicroseconds: 0, mostMicroseconds: 0, lateMicroseconds: 1_000_000 },
} as const satisfies Record<string, DrainPlan>;

type Exchange = Readonly<{ order: IncomingMessage; response: ServerResponse }>;
type Conn = { readonly exchanges: Set<Exchange>; /** Nothing sound can be read from it any more. */ spoilt: boolean };

/** Orders that may stand one behind the other on one conn. Ours. */
const rowMost = 32;
const usualIdleMicroseconds = 30_000_000;

/** Event on an order whose body will never be whole, though its conn may still carry the answer. */
export const brokenOff = 'postdrum-broken-off';

const reasons: Readonly<Record<string, number>> = {
  HPE_HEADER_OVERFLOW: 431,
  HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
  ERR_HTTP_REQUEST_TIMEOUT: 408,
};

/** An HTTP listener with bounds, whose limits may change while it runs, and which stops without losing what it read. */
export class HttpServer {
  private readonly conns = new Map<Duplex, Conn>();
  private draining = false;
  private lastConnMicroseconds = 0;
  private clock: Clock | undefined;
  private applied: HttpLimits | undefined;
  public readonly server: http.Server;

  public constructor(private readonly limits: () => HttpLimits) {
    this.server = http.createServer({ connectionsCheckingInterval: 500, noDelay: true });
    this.apply();
    this.server.on('connection', (socket: Socket) => this.onConn(socket));
    this.server.on('request', (order: IncomingMessage, response: ServerResponse) => this.onOrder(order, response));
    this.server.on('clientError', (error: Error & { code?: string }, socket) => this.onBroken(error, socket));
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

  /** Resolves when all that was read has been answered. */
  public async drain(plan: DrainPlan = DrainPlans.atOnce, clock?: Clock): Promise<void> {
    this.draining = true;
    for (const conn of this.conns.values()) HttpServer.endWithLast(conn);
    if (clock !== undefined && plan.mostMicroseconds > 0) {
      this.clock = clock;
      const began = clock.nowMicroseconds();
      this.lastConnMicroseconds = began;
      for (;;) {
        const until = Math.min(
          Math.max(began + plan.leastMicroseconds, this.lastConnMicroseconds + plan.quietMicroseconds),
          began + plan.mostMicroseconds,
        );
        const left = until - clock.nowMicroseconds();
        if (left <= 0) break;
        await Clocks.wait(clock, left);
      }
    }
    const closed = new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
    this.server.closeIdleConnections();
    // Why: the server looks at no limits once it is closed, and half an order could hold the stop up for ever.
    const late = setTimeout(() => {
      for (const [socket, { exchanges }] of this.conns) if (exchanges.size === 0) socket.destroy();
    }, plan.lateMicroseconds / 1000);
    await closed;
    clearTimeout(late);
  }

  public close(): Promise<void> {
    return new Promise((resolve) => {
      this.server.close(() => resolve());
      this.server.closeAllConnections();
    });
  }

  private apply(): void {
    const limits = this.limits();
    if (limits === this.applied) return;
    this.applied = limits;
    // Why so: Node.js reads these for each conn, or each time it looks for late ones.
    Object.assign(this.server, { maxHeaderSize: limits.headBytes });
    this.server.headersTimeout = Math.ceil(limits.headMicroseconds / 1000);
    this.server.requestTimeout = Math.ceil((limits.headMicroseconds + limits.bodyMicroseconds) / 1000);
    this.server.keepAliveTimeout = Math.ceil((limits.idleMicroseconds ?? usualIdleMicroseconds) / 1000);
    this.server.maxConnections = limits.conns;
  }

  private onConn(socket: Socket): void {
    if (this.clock !== undefined) this.lastConnMicroseconds = this.clock.nowMicroseconds();
    this.conns.set(socket, { exchanges: new Set(), spoilt: false });
    socket.once('close', () => this.conns.delete(socket));
  }

  private onOrder(order: IncomingMessage, response: ServerResponse): void {
    this.apply();
    const conn = this.conns.get(order.socket);
    if (conn === undefined) return;
    const exchange = { order, response };
    conn.exchanges.add(exchange);
    if (this.draining) HttpServer.endWithLast(conn);
    // Why at this number: answers go out in the order of their orders, and what waits behind a long one takes memory.
    if (conn.exchanges.size > rowMost) response.shouldKeepAlive = false;
    response.once('close', () => {
      conn.exchanges.delete(exchange);
      if (conn.spoilt && conn.exchanges.size === 0) order.socket.destroySoon();
      // Why here too: the conn of an answer that was running when the stop began goes idle only now.
      if (!this.server.listening) setImmediate(() => this.server.closeIdleConnections());
    });
  }

  /** The conn ends with the last answer on it. Why not with one before: the orders behind that were read whole. */
  private static endWithLast({ exchanges }: Conn): void {
    const row = [...exchanges].map(({ response }) => response).filter(({ headersSent }) => !headersSent);
    const last = row.pop();
    if (last === undefined) return;
    for (const response of row) response.shouldKeepAlive = true;
    last.shouldKeepAlive = false;
  }

  /** Too many orders stand on this conn for one more. */
  public crowded(order: IncomingMessage): boolean {
    return (this.conns.get(order.socket)?.exchanges.size ?? 0) > rowMost;
  }

  /** What comes from a caller cannot be read on. Orders that were read whole keep their conn until they are answered. */
  private onBroken(error: Error & { code?: string }, socket: Duplex): void {
    const conn = this.conns.get(socket);
    if (conn === undefined || socket.destroyed || !socket.writable || error.code === 'ECONNRESET') {
      socket.destroy();
      return;
    }
    if (conn.spoilt) return;
    conn.spoilt = true;
    const status = reasons[error.code ?? ''] ?? 400;
    if (conn.exchanges.size > 0) {
      // Why not a bare line on the conn: it would be taken for the answer to the first order on it.
      HttpServer.endWithLast(conn);
      for (const { order } of [...conn.exchanges]) if (!order.complete) order.emit(brokenOff, status);
      return;
    }
    // Why silent: nothing was asked on it, so nothing is answered.
    if (status === 408 && (socket as Socket).bytesRead === 0) {
      socket.destroy();
      return;
    }
    socket.end(`HTTP/1.1 ${status} ${http.STATUS_CODES[status]}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`);
    // Why not at once: a reset would overtake the answer while the caller still writes.
    setTimeout(() => socket.destroy(), 1000).unref();
  }
}
