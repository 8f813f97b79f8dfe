import net from 'node:net';
import { Addresses } from '../../effects/transport/tcpTransport';
import type { Cancel, Clock } from '../../effects/clock/clock';
import { Logs } from '../../log/log';
import type { SendHandle, SendOrder, SendSink } from '../protocol';
import { AnswerReader, type AnswerEvent } from './answerReader';
import type { IdleLimitSettings } from './idleLimits';

export type KeptConnLimits = Readonly<{
  /** How long making a conn may take. */
  connectMicroseconds: number;
  /** When the machine begins to probe a conn that says nothing. */
  probeMicroseconds: number;
  /** Most bytes of an answer's head, and of its trailers. */
  headBytes: number;
  forgetting: IdleLimitSettings;
}>;

/** What becomes of a conn once its order is over. */
export type ConnEnd =
  | Readonly<{ kind: 'free'; keepMicroseconds: number | undefined }>
  | Readonly<{
      kind: 'closed';
      /** The back end had forgotten it while it was idle for so long. */
      forgottenAfterMicroseconds?: number;
    }>;

type Run = {
  readonly sink: SendSink;
  readonly reader: AnswerReader;
  /** Parts wait for a slow reader. */
  held: boolean;
  /** Nobody wants the answer any more; it is read to its end for the sake of the conn. */
  left: boolean;
  leftBytes: number;
  /** How long its conn had been idle before; undefined: the first order on it. */
  readonly idleMicroseconds: number | undefined;
  readonly writtenMicroseconds: number;
  answered: boolean;
};

/** Most bytes of an answer nobody wants that are read for the sake of the conn. Ours. */
const leftMost = 65_536;

/** One conn to a back end: one order at a time, the next only after the whole answer. It never dials again. */
export class KeptConn {
  public idleSinceMicroseconds = 0;
  public usableMicroseconds = 0;
  /** The back end has said how long it keeps the conn. */
  public isTimeNamed = false;
  private readonly socket: net.Socket;
  private run: Run | undefined;
  private over = false;
  private hasServed = false;
  private reason = 'the conn closed';
  private cancelTimer: Cancel;

  public constructor(
    public readonly address: string,
    private readonly clock: Clock,
    private readonly limits: KeptConnLimits,
    /** Called once when the conn stands; a conn that was not made only says that it closed. */
    private readonly onMade: () => void,
    private readonly onEnd: (end: ConnEnd) => void,
  ) {
    const { host, port } = Addresses.split(address);
    this.socket = net.connect({
      host,
      port,
      noDelay: true,
      keepAlive: true,
      keepAliveInitialDelay: Math.ceil(limits.probeMicroseconds / 1000),
    });
    this.cancelTimer = clock.after(limits.connectMicroseconds, () => this.destroy('the conn was not made in time'));
    this.socket.on('connect', () => {
      this.cancelTimer();
      this.onMade();
    });
    this.socket.on('data', (chunk) => this.onData(chunk));
    this.socket.on('end', () => this.onGone('the conn closed'));
    this.socket.on('error', (error) => this.onGone(Logs.text(error)));
    this.socket.on('close', () => this.onGone('the conn closed'));
  }

  /** Why it is no more. */
  public get closedBecause(): string {
    return this.reason;
  }

  public get closed(): boolean {
    return this.over;
  }

  /** Bytes of an order may leave from here on; whether they may has been asked. The handle is good for this order alone. */
  public write(order: SendOrder, bytes: Buffer, sink: SendSink): SendHandle {
    this.cancelTimer();
    const run: Run = {
      sink,
      reader: new AnswerReader(order.method, this.limits.headBytes),
      held: false,
      left: false,
      leftBytes: 0,
      idleMicroseconds: this.hasServed ? this.idleMicroseconds : undefined,
      writtenMicroseconds: this.clock.nowMicroseconds(),
      answered: false,
    };
    this.hasServed = true;
    this.run = run;
    this.socket.write(bytes);
    return { cut: () => this.cut(run), leave: () => this.leave(run) };
  }

  /** To be called while no order is on it: the conn waits so long for the next. */
  public idle(usableMicroseconds: number, isTimeNamed: boolean): void {
    this.isTimeNamed = isTimeNamed;
    this.idleSinceMicroseconds = this.clock.nowMicroseconds();
    this.usableMicroseconds = usableMicroseconds;
    this.cancelTimer();
    this.cancelTimer = this.clock.after(usableMicroseconds, () => this.destroy('the conn was idle for long'));
  }

  public get idleMicroseconds(): number {
    return this.clock.nowMicroseconds() - this.idleSinceMicroseconds;
  }

  public destroy(reason: string): void {
    if (this.over) return;
    this.over = true;
    this.reason = reason;
    this.cancelTimer();
    this.socket.destroy();
    const { run } = this;
    this.run = undefined;
    const forgottenAfterMicroseconds = run === undefined ? undefined : this.forgottenAfter(run);
    this.onEnd({ kind: 'closed', ...(forgottenAfterMicroseconds === undefined ? {} : { forgottenAfterMicroseconds }) });
    if (run === undefined || run.left) return;
    // Why still mayHaveRun: a back end that fell as it read the order looks the same from here.
    run.sink.failed({
      kind: 'mayHaveRun',
      text: reason,
      ...(forgottenAfterMicroseconds === undefined ? {} : { forgotten: true }),
    });
  }

  /** Undefined: what ended it has nothing to do with its having been idle. */
  private forgottenAfter({ answered, idleMicroseconds, writtenMicroseconds }: Run): number | undefined {
    const { leastForgottenMicroseconds, resetWithinMicroseconds } = this.limits.forgetting;
    if (answered || idleMicroseconds === undefined || idleMicroseconds < leastForgottenMicroseconds) return undefined;
    const took = this.clock.nowMicroseconds() - writtenMicroseconds;
    return took <= resetWithinMicroseconds ? idleMicroseconds : undefined;
  }

  private cut(run: Run): void {
    // Why look: the conn may be under another order by now.
    if (this.run !== run) return;
    this.run = undefined;
    // Why a reset: what a frozen back end has not read yet is then thrown away by its machine, and never run.
    this.socket.resetAndDestroy();
    this.destroy('cut');
  }

  private leave(run: Run): void {
    if (this.run !== run || run.left) return;
    run.left = true;
    if (!run.held) return;
    run.held = false;
    this.socket.resume();
    this.pump(run);
  }

  private onData(chunk: Buffer): void {
    const { run } = this;
    // Why: bytes that nobody asked for belong to no order, and what follows them could be anything.
    if (run === undefined) return this.destroy('bytes came that no order waits for');
    run.answered = true;
    run.reader.push(chunk);
    if (!run.held) this.pump(run);
  }

  private onGone(reason: string): void {
    if (this.over) return;
    const { run } = this;
    // Why not while parts wait: what has come is passed on first, and the end is seen when it is taken up again.
    if (run === undefined || run.held) return this.destroy(reason);
    const event = reason === 'the conn closed' ? run.reader.close() : undefined;
    if (event?.kind === 'end') this.ended(run, event);
    else this.destroy(event?.kind === 'broken' ? event.text : reason);
  }

  private pump(run: Run): void {
    while (this.run === run && !run.held) {
      const event = run.reader.next();
      if (event === undefined) return;
      switch (event.kind) {
        case 'head':
          if (!run.left) run.sink.head(event.head);
          break;
        case 'part':
          this.part(run, event.bytes);
          break;
        case 'end':
          this.ended(run, event);
          return;
        case 'broken':
          this.destroy(event.text);
          return;
      }
    }
  }

  private part(run: Run, bytes: Uint8Array): void {
    if (run.left) {
      run.leftBytes += bytes.length;
      if (run.leftBytes > leftMost) this.cut(run);
      return;
    }
    const taken = run.sink.part(bytes);
    if (taken === undefined || this.run !== run) return;
    run.held = true;
    this.socket.pause();
    const goOn = (): void => {
      if (this.run !== run || !run.held) return;
      run.held = false;
      this.socket.resume();
      this.pump(run);
    };
    taken.then(goOn, (error: unknown) => this.destroy(Logs.text(error)));
  }

  private ended(run: Run, { keepMicroseconds }: Extract<AnswerEvent, { kind: 'end' }>): void {
    this.run = undefined;
    // Why these: surplus bytes, an order not wholly written, or an end that was announced leave no conn to use again.
    const kept =
      keepMicroseconds !== 0 &&
      run.reader.left === 0 &&
      this.socket.writableLength === 0 &&
      !this.socket.readableEnded &&
      !this.socket.destroyed;
    if (kept) this.onEnd({ kind: 'free', keepMicroseconds });
    else this.destroy('the conn is not kept');
    if (!run.left) run.sink.end();
  }
}
