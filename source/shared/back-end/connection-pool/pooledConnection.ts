import net from 'node:net';
import { Addresses } from '../../effects/transport/tcpTransport';
import type { Cancel, Clock } from '../../effects/clock/clock';
import { Logs } from '../../log/log';
import type { RequestHandle, BackEndRequest, BackEndResponseSink } from '../protocol';
import { CarriedRequests } from './carriedRequests';
import { connectionEndOf } from './connectionEnd';
import { ResponseParser, type ResponseEvent } from './responseParser';
import type { IdleLimitSettings } from './idleLimits';

/** Limits of a single pooled connection. */
export type PooledConnectionLimits = Readonly<{
  /** Timeout for opening a connection. */
  connectMicroseconds: number;
  /** Idle time after which the operating system sends TCP keep-alive probes. */
  keepAliveProbeMicroseconds: number;
  /** Size limit of a response head, and of its trailers. */
  headBytes: number;
  idleLimit: IdleLimitSettings;
}>;

/** State of a connection after its request has ended: free for the next one, or closed. */
export type ConnectionOutcome =
  | Readonly<{ kind: 'free'; keepMicroseconds: number | undefined }>
  | Readonly<{
      kind: 'closed';
      /** The back end had dropped the connection while it was idle; the value is its idle time. */
      droppedAfterMicroseconds?: number;
    }>;

type RunningRequest = {
  readonly sink: BackEndResponseSink;
  readonly parser: ResponseParser;
  /** Reading is paused because the consumer is slow. */
  isPaused: boolean;
  /** The response is discarded; it is read to its end so that the connection can be reused. */
  isDiscarded: boolean;
  discardedBytes: number;
  /** How long the connection had been idle before; undefined: this is its first request. */
  readonly idleMicroseconds: number | undefined;
  readonly writtenMicroseconds: number;
  hasResponseBytes: boolean;
};

/** Most bytes of a discarded response that are read in order to reuse the connection. */
const maxDiscardedBytes = 65_536;

/**
 * One connection to a back end. It carries one request at a time; the next one follows only after the complete response.
 * It never reconnects, and must not carry the same request twice: a back end may repeat a response later, and on the connection
 * of the first response the id in it would not tell the repeated response from that to the second attempt.
 */
export class PooledConnection {
  public idleSinceMicroseconds = 0;
  public usableMicroseconds = 0;
  /** The back end has stated how long it keeps the connection open. */
  public isTimeoutStated = false;
  private readonly carried = new CarriedRequests();
  private readonly socket: net.Socket;
  private runningRequest: RunningRequest | undefined;
  private isClosed = false;
  private hasCarriedRequest = false;
  private reason = 'the connection closed';
  private cancelTimer: Cancel;

  public constructor(
    public readonly address: string,
    /** Sequence number in its pool, for the log. */
    public readonly number: number,
    private readonly clock: Clock,
    private readonly limits: PooledConnectionLimits,
    /** Called once when the connection is open. If it cannot be opened, only `onEnd` is called. */
    private readonly onOpen: () => void,
    private readonly onEnd: (end: ConnectionOutcome) => void,
  ) {
    const { host, port } = Addresses.split(address);
    this.socket = net.connect({
      host,
      port,
      noDelay: true,
      keepAlive: true,
      keepAliveInitialDelay: Math.ceil(limits.keepAliveProbeMicroseconds / 1000),
    });
    this.cancelTimer = clock.after(limits.connectMicroseconds, () => this.destroy('connection timed out'));
    this.socket.on('connect', () => {
      this.cancelTimer();
      this.onOpen();
    });
    this.socket.on('data', (chunk) => this.onData(chunk));
    this.socket.on('end', () => this.onSocketEnd());
    this.socket.on('error', (error) => this.destroy(Logs.errorMessage(error)));
    this.socket.on('close', () => this.destroy('the connection closed'));
  }

  /** Reason for which the connection was closed. */
  public get closeReason(): string {
    return this.reason;
  }

  public get closed(): boolean {
    return this.isClosed;
  }

  /** Whether the connection may carry a request with this id; undefined: its response carries no id. */
  public mayCarry(id: string | undefined): boolean {
    return id === undefined || !this.carried.has(id);
  }

  /** Whether the connection has carried as many requests as it may. */
  public get isExhausted(): boolean {
    return this.carried.isFull;
  }

  /** Writes a request. The caller has already checked `maySend`. The handle is valid for this request only. */
  public write(request: BackEndRequest, bytes: Buffer, sink: BackEndResponseSink): RequestHandle {
    this.cancelTimer();
    const run: RunningRequest = {
      sink,
      parser: new ResponseParser(request.method, this.limits.headBytes),
      isPaused: false,
      isDiscarded: false,
      discardedBytes: 0,
      idleMicroseconds: this.hasCarriedRequest ? this.idleMicroseconds : undefined,
      writtenMicroseconds: this.clock.nowMicroseconds(),
      hasResponseBytes: false,
    };
    this.hasCarriedRequest = true;
    if (request.id !== undefined) this.carried.add(request.id);
    this.runningRequest = run;
    this.socket.write(bytes);
    return { cut: () => this.cut(run), leave: () => this.leave(run) };
  }

  /** Makes the connection wait for its next request for this time. Must be called while no request is running on it. */
  public markIdle(usableMicroseconds: number, isTimeoutStated: boolean): void {
    this.isTimeoutStated = isTimeoutStated;
    this.idleSinceMicroseconds = this.clock.nowMicroseconds();
    this.usableMicroseconds = usableMicroseconds;
    this.cancelTimer();
    this.cancelTimer = this.clock.after(usableMicroseconds, () => this.destroy('idle timeout'));
  }

  public get idleMicroseconds(): number {
    return this.clock.nowMicroseconds() - this.idleSinceMicroseconds;
  }

  public destroy(reason: string): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.reason = reason;
    this.cancelTimer();
    this.socket.destroy();
    const { runningRequest: run } = this;
    this.runningRequest = undefined;
    const droppedAfterMicroseconds = run === undefined ? undefined : this.idleTimeWhenDropped(run);
    this.onEnd({
      kind: 'closed',
      ...(droppedAfterMicroseconds === undefined ? {} : { droppedAfterMicroseconds }),
    });
    if (run === undefined || run.isDiscarded) return;
    // This is `mayHaveRun` for dropped connections too: a back end that crashes while reading the request looks the same.
    run.sink.failed({
      kind: 'mayHaveRun',
      text: reason,
      ...(droppedAfterMicroseconds === undefined ? {} : { forgotten: true }),
    });
  }

  /** How long the connection was idle before the back end dropped it. Undefined: it ended for another reason. */
  private idleTimeWhenDropped({
    hasResponseBytes: answered,
    idleMicroseconds,
    writtenMicroseconds,
  }: RunningRequest): number | undefined {
    const { minDroppedIdleMicroseconds, maxResetDelayMicroseconds } = this.limits.idleLimit;
    if (answered || idleMicroseconds === undefined || idleMicroseconds < minDroppedIdleMicroseconds) return undefined;
    const sinceWritten = this.clock.nowMicroseconds() - writtenMicroseconds;
    return sinceWritten <= maxResetDelayMicroseconds ? idleMicroseconds : undefined;
  }

  private cut(run: RunningRequest): void {
    // The connection may be running another request by now.
    if (this.runningRequest !== run) return;
    this.runningRequest = undefined;
    // The connection is reset so that the machine of a frozen back end discards the bytes that it has not read yet, and
    // the request never runs.
    this.socket.resetAndDestroy();
    this.destroy('cut');
  }

  private leave(run: RunningRequest): void {
    if (this.runningRequest !== run || run.isDiscarded) return;
    run.isDiscarded = true;
    if (!run.isPaused) return;
    run.isPaused = false;
    this.socket.resume();
    this.deliver(run);
  }

  private onData(chunk: Buffer): void {
    const { runningRequest: run } = this;
    // Bytes received while no request is running cannot be assigned to one, and what follows them cannot be trusted.
    if (run === undefined) return this.destroy('received bytes while no request was running');
    run.hasResponseBytes = true;
    run.parser.push(chunk);
    if (!run.isPaused) this.deliver(run);
  }

  private onSocketEnd(): void {
    if (this.isClosed) return;
    // A reset completes no response: its rest may be missing.
    if (connectionEndOf(this.socket) === 'reset') return this.destroy('the connection was reset');
    const { runningRequest: run } = this;
    // While reading is paused, the buffered bytes are delivered first; the end is handled when reading resumes.
    if (run === undefined || run.isPaused) return this.destroy('the connection closed');
    const event = run.parser.close();
    if (event?.kind === 'end') this.onResponseEnd(run, event);
    else this.destroy(event?.kind === 'broken' ? event.text : 'the connection closed');
  }

  private deliver(run: RunningRequest): void {
    while (this.runningRequest === run && !run.isPaused) {
      const event = run.parser.next();
      if (event === undefined) return;
      switch (event.kind) {
        case 'head':
          if (!run.isDiscarded) run.sink.head(event.head);
          break;
        case 'part':
          this.deliverBody(run, event.bytes);
          break;
        case 'end':
          this.onResponseEnd(run, event);
          return;
        case 'broken':
          this.destroy(event.text);
          return;
      }
    }
  }

  private deliverBody(run: RunningRequest, bytes: Uint8Array): void {
    if (run.isDiscarded) {
      run.discardedBytes += bytes.length;
      if (run.discardedBytes > maxDiscardedBytes) this.cut(run);
      return;
    }
    const consumed = run.sink.chunk(bytes);
    if (consumed === undefined || this.runningRequest !== run) return;
    run.isPaused = true;
    this.socket.pause();
    const resume = (): void => {
      if (this.runningRequest !== run || !run.isPaused) return;
      run.isPaused = false;
      this.socket.resume();
      this.deliver(run);
    };
    consumed.then(resume, (error: unknown) => this.destroy(Logs.errorMessage(error)));
  }

  private onResponseEnd(run: RunningRequest, { keepMicroseconds }: Extract<ResponseEvent, { kind: 'end' }>): void {
    this.runningRequest = undefined;
    // The connection cannot be reused after surplus bytes, a request that is not fully written or an announced close.
    const isReusable =
      keepMicroseconds !== 0 &&
      run.parser.bufferedBytes === 0 &&
      this.socket.writableLength === 0 &&
      !this.socket.readableEnded &&
      !this.socket.destroyed;
    if (isReusable) this.onEnd({ kind: 'free', keepMicroseconds });
    else this.destroy('the connection is not reusable');
    if (!run.isDiscarded) run.sink.end();
  }
}
