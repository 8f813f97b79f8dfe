import type { Clock } from '../../effects/clock/clock';
import { Logs } from '../../log/log';
import type { BackEndSender, RequestHandle, BackEndRequest, BackEndResponseSink } from '../protocol';
import { IdleLimitDefaults, IdleLimits, type IdleLimitsState } from './idleLimits';
import { KeepAlive } from './keepAlive';
import { PooledConnection, type PooledConnectionLimits } from './pooledConnection';
import { RequestBytes } from './requestBytes';

/** Settings of the connection pool. */
export type ConnectionPoolSettings = PooledConnectionLimits &
  Readonly<{
    /** How long an idle connection is kept open if its back end states no timeout. */
    idleMicroseconds: number;
    /** How long before the back end's stated timeout a connection is closed. */
    marginMicroseconds: number;
    /** A request that must run at most once uses only connections that were idle for less than this. */
    maxIdleForOnceMicroseconds: number;
    /** Replaces `maxIdleForOnceMicroseconds` for connections whose back end has stated a keep-alive timeout. */
    maxStatedIdleForOnceMicroseconds: number;
  }>;

/** How many connections to one address may be idle, and how many may be open in total. */
export type ConnectionBounds = Readonly<{ maxIdle: number; maxOpen: number }>;

export const ConnectionPoolDefaults: ConnectionPoolSettings = {
  connectMicroseconds: 300_000,
  keepAliveProbeMicroseconds: 1_000_000,
  headBytes: 16_384,
  idleMicroseconds: 15_000_000,
  marginMicroseconds: 1_000_000,
  maxIdleForOnceMicroseconds: 3_000_000,
  maxStatedIdleForOnceMicroseconds: 6_000_000,
  idleLimit: IdleLimitDefaults,
};

type AddressPool = {
  readonly conns: Set<PooledConnection>;
  /** In order of use: the most recently used is last. */
  idle: readonly PooledConnection[];
};

const noHandle: RequestHandle = { cut: () => undefined };

/**
 * A sender with a connection pool; the most recently used connection is reused first, except for a retry of a request that
 * it has carried before. Connections are opened on demand,
 * and at most one is opened for a request. A request is written only once: a failure after its first byte is
 * `mayHaveRun`, on a reused connection as on a new one.
 */
export class PooledSender implements BackEndSender {
  private readonly pools = new Map<string, AddressPool>();
  private readonly log = Logs.channel('conns');
  /** Undefined unless the log is enabled, because there is a line for each request. */
  private readonly requestLog = Logs.isOn('conns') ? this.log : undefined;
  private openedConnections = 0;
  private closed = false;
  private idleLimits: IdleLimitsState = IdleLimits.initial;

  public constructor(
    private readonly clock: Clock,
    private readonly settings: ConnectionPoolSettings = ConnectionPoolDefaults,
    private readonly boundOf: (address: string) => ConnectionBounds = () => ({ maxIdle: 16, maxOpen: 1024 }),
  ) {}

  public readonly send = (request: BackEndRequest, sink: BackEndResponseSink): RequestHandle => {
    const { address } = request;
    const idleConnection = this.takeIdle(request);
    if (idleConnection !== undefined) return this.writeTo(idleConnection, request, sink);
    const { maxOpen: most } = this.boundOf(address);
    const { conns, idle } = this.poolOf(address);
    // Idle connections are left only if they have carried this request before, or if it must run at most once and even the
    // most recently used one has been idle too long for it. At the limit, the least recently used of them makes room for a
    // new connection.
    if (conns.size >= most) idle[0]?.destroy('replaced by a new connection at the limit');
    if (this.closed || this.poolOf(address).conns.size >= most) {
      const text = this.closed ? 'the connection pool is closed' : 'no connection is free';
      queueMicrotask(() => sink.failed({ kind: 'notRun', text }));
      return noHandle;
    }
    return this.connect(request, sink);
  };

  public readonly hasIdle = (address: string): boolean => {
    const connection = this.pools.get(address)?.idle.at(-1);
    return connection !== undefined && connection.idleMicroseconds < connection.usableMicroseconds;
  };

  /** Number of connections that are open or being opened, and how many of them are idle. */
  public counts(address: string): Readonly<{ conns: number; idle: number }> {
    const pool = this.pools.get(address);
    return { conns: pool?.conns.size ?? 0, idle: pool?.idle.length ?? 0 };
  }

  /** Closes idle connections and opens no new ones; running requests continue. */
  public close(): void {
    this.closed = true;
    for (const pool of this.pools.values())
      for (const connection of pool.idle) connection.destroy('the process is shutting down');
  }

  private poolOf(address: string): AddressPool {
    const known = this.pools.get(address);
    if (known !== undefined) return known;
    const created: AddressPool = { conns: new Set(), idle: [] };
    this.pools.set(address, created);
    return created;
  }

  private takeIdle({ address, id, runsOnce = false }: BackEndRequest): PooledConnection | undefined {
    const { idleLimit } = this.settings;
    const limit = IdleLimits.limitOf(this.idleLimits, address, this.clock.nowMicroseconds(), idleLimit);
    const pool = this.poolOf(address);
    for (const connection of pool.idle.toReversed()) {
      const idle = connection.idleMicroseconds;
      // This is checked besides the connection's timer because timers are late after the process was frozen.
      if (idle >= connection.usableMicroseconds) {
        connection.destroy('idle timeout');
        continue;
      }
      // The back end has dropped connections that had been idle for only a little longer than this limit.
      if (idle >= limit) {
        connection.destroy('the back end drops idle connections sooner');
        continue;
      }
      const { maxIdleForOnceMicroseconds, maxStatedIdleForOnceMicroseconds } = this.settings;
      const maxIdle = Math.min(
        connection.isTimeoutStated ? maxStatedIdleForOnceMicroseconds : maxIdleForOnceMicroseconds,
        limit / 2,
      );
      // The other connections have been idle for even longer.
      if (runsOnce && idle >= maxIdle) return undefined;
      if (!connection.mayCarry(id)) continue;
      pool.idle = pool.idle.filter((other) => other !== connection);
      return connection;
    }
    return undefined;
  }

  private writeTo(connection: PooledConnection, request: BackEndRequest, sink: BackEndResponseSink): RequestHandle {
    const encoded = RequestBytes.encode(request);
    let text = 'request cancelled before it was sent';
    if (encoded.kind === 'unwritable') text = encoded.text;
    // This check is the last step before the first byte, so that nothing can happen in between.
    else if (sink.maySend()) {
      this.requestLog?.(
        `Request ${request.id ?? 'without an id'} is written to connection ${connection.number} to ${connection.address}.`,
      );
      return connection.write(request, encoded.bytes, sink);
    }
    this.release(connection, undefined);
    let isCancelled = false;
    queueMicrotask(() => {
      if (!isCancelled) sink.failed({ kind: 'notRun', text });
    });
    const cancel = (): void => {
      isCancelled = true;
    };
    return { cut: cancel, leave: cancel };
  }

  private connect(request: BackEndRequest, sink: BackEndResponseSink): RequestHandle {
    let running: RequestHandle | undefined;
    let state: 'connecting' | 'connected' | 'cancelled' = 'connecting';
    this.openedConnections += 1;
    const connection: PooledConnection = new PooledConnection(
      request.address,
      this.openedConnections,
      this.clock,
      this.settings,
      () => {
        if (state === 'connecting') {
          state = 'connected';
          running = this.writeTo(connection, request, sink);
        }
        // The connection is kept although its request was cancelled: it is open, and nothing was written to it.
        else this.release(connection, undefined);
      },
      (end) => {
        if (end.kind === 'free') return this.release(connection, end.keepMicroseconds);
        this.removeConnection(connection);
        if (end.droppedAfterMicroseconds !== undefined)
          this.lowerIdleLimit(connection.address, end.droppedAfterMicroseconds);
        // This is `notRun` because the connection never opened.
        if (state === 'connecting') {
          state = 'cancelled';
          sink.failed({ kind: 'notRun', text: connection.closeReason });
        }
      },
    );
    this.poolOf(request.address).conns.add(connection);
    this.log(`Opening connection ${connection.number} to ${request.address}; ${this.describe(request.address)}.`);
    const canceller = (how: 'cut' | 'leave') => (): void => {
      if (state === 'connecting') state = 'cancelled';
      else if (how === 'cut') running?.cut();
      else running?.leave?.();
    };
    return { cut: canceller('cut'), leave: canceller('leave') };
  }

  private describe(address: string): string {
    const { conns, idle } = this.counts(address);
    return `${conns} open, ${idle} idle`;
  }

  private removeConnection(connection: PooledConnection): void {
    this.log(
      `Closed connection ${connection.number} to ${connection.address} (${connection.closeReason}); ${this.describe(connection.address)}.`,
    );
    const pool = this.poolOf(connection.address);
    pool.conns.delete(connection);
    pool.idle = pool.idle.filter((other) => other !== connection);
    if (pool.conns.size === 0) this.pools.delete(connection.address);
  }

  /** Lowers the idle limit of the back end after it dropped an idle connection. */
  private lowerIdleLimit(address: string, idleMicroseconds: number): void {
    const { idleLimit, idleMicroseconds: maxMicroseconds } = this.settings;
    const now = this.clock.nowMicroseconds();
    const remaining = IdleLimits.removeExpired(this.idleLimits, now, maxMicroseconds, idleLimit);
    this.idleLimits = IdleLimits.recordDropped(remaining, address, idleMicroseconds, now, idleLimit);
    this.log(
      `The back end at ${address} dropped a connection that was idle for ${Math.round(idleMicroseconds / 1000)} ms.`,
    );
  }

  /** Returns a connection without a running request to the idle ones, or closes it. */
  private release(connection: PooledConnection, keepAliveMicroseconds: number | undefined): void {
    const pool = this.poolOf(connection.address);
    const { marginMicroseconds, idleMicroseconds } = this.settings;
    const usableMicroseconds = KeepAlive.usableMicroseconds(
      keepAliveMicroseconds,
      marginMicroseconds,
      idleMicroseconds,
    );
    if (
      this.closed ||
      connection.closed ||
      connection.isExhausted ||
      pool.idle.length >= this.boundOf(connection.address).maxIdle ||
      usableMicroseconds <= 0
    ) {
      connection.destroy('the connection is not reusable');
      return;
    }
    connection.markIdle(usableMicroseconds, keepAliveMicroseconds !== undefined);
    pool.idle = [...pool.idle, connection];
  }
}
