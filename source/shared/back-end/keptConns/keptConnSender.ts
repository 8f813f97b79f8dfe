import type { Clock } from '../../effects/clock/clock';
import { Logs } from '../../log/log';
import type { BackEndSender, SendHandle, SendOrder, SendSink } from '../protocol';
import { IdleLimitDefaults, IdleLimits, type IdleLimitsState } from './idleLimits';
import { KeepAlive } from './keepAlive';
import { KeptConn, type KeptConnLimits } from './keptConn';
import { OrderBytes } from './orderBytes';

export type KeptConnSettings = KeptConnLimits &
  Readonly<{
    /** How long an idle conn is kept where its back end names no time. */
    idleMicroseconds: number;
    /** How much sooner than its back end says a conn is given up. */
    marginMicroseconds: number;
    /** An order that may run once goes only on a conn that was idle for less than this, */
    onceIdleMicroseconds: number;
    /** or than this where the back end has named a longer time for which it keeps the conn. */
    onceNamedIdleMicroseconds: number;
  }>;

/** Conns to one address: how many may be idle, and how many may stand at once. */
export type ConnBound = Readonly<{ kept: number; most: number }>;

export const KeptConnDefaults: KeptConnSettings = {
  connectMicroseconds: 300_000,
  probeMicroseconds: 1_000_000,
  headBytes: 16_384,
  idleMicroseconds: 15_000_000,
  marginMicroseconds: 1_000_000,
  onceIdleMicroseconds: 3_000_000,
  onceNamedIdleMicroseconds: 6_000_000,
  forgetting: IdleLimitDefaults,
};

type Book = { readonly conns: Set<KeptConn>; /** The one used last stands last. */ idle: readonly KeptConn[] };

const nothing: SendHandle = { cut: () => undefined };

/**
 * Keeps conns and uses them again, the one used last first. None is made ahead, none is dialled twice for one order,
 * and an order is written once: what becomes of it after its first byte is `mayHaveRun`, on a kept conn as on a new one.
 */
export class KeptConnSender implements BackEndSender {
  private readonly books = new Map<string, Book>();
  private readonly log = Logs.part('conns');
  private closed = false;
  private limits: IdleLimitsState = IdleLimits.start;

  public constructor(
    private readonly clock: Clock,
    private readonly settings: KeptConnSettings = KeptConnDefaults,
    private readonly boundOf: (address: string) => ConnBound = () => ({ kept: 16, most: 1024 }),
  ) {}

  public readonly send = (order: SendOrder, sink: SendSink): SendHandle => {
    const { address } = order;
    const known = this.takeIdle(address, order.runsOnce === true);
    if (known !== undefined) return this.writeOn(known, order, sink);
    const { most } = this.boundOf(address);
    const { conns, idle } = this.bookOf(address);
    // Why: it is too old for this order, and the place it takes is needed.
    if (conns.size >= most) idle[0]?.destroy('its place is needed');
    if (this.closed || this.bookOf(address).conns.size >= most) {
      const text = this.closed ? 'no conns are made any more' : 'no conn is free';
      queueMicrotask(() => sink.failed({ kind: 'notRun', text }));
      return nothing;
    }
    return this.dial(order, sink);
  };

  public readonly hasIdle = (address: string): boolean => {
    const conn = this.books.get(address)?.idle.at(-1);
    return conn !== undefined && conn.idleMicroseconds < conn.usableMicroseconds;
  };

  /** Conns that stand or are being made, and those of them that are idle. */
  public counts(address: string): Readonly<{ conns: number; idle: number }> {
    const book = this.books.get(address);
    return { conns: book?.conns.size ?? 0, idle: book?.idle.length ?? 0 };
  }

  /** Idle conns end; running orders go on. */
  public close(): void {
    this.closed = true;
    for (const book of this.books.values()) for (const conn of book.idle) conn.destroy('the program ends');
  }

  private bookOf(address: string): Book {
    const known = this.books.get(address);
    if (known !== undefined) return known;
    const made: Book = { conns: new Set(), idle: [] };
    this.books.set(address, made);
    return made;
  }

  private takeIdle(address: string, once: boolean): KeptConn | undefined {
    const { forgetting } = this.settings;
    const limit = IdleLimits.of(this.limits, address, this.clock.nowMicroseconds(), forgetting);
    for (;;) {
      const book = this.bookOf(address);
      const conn = book.idle.at(-1);
      if (conn === undefined) return undefined;
      const idle = conn.idleMicroseconds;
      // Why here besides its timer: a process that was frozen wakes up with timers that are late.
      if (idle >= conn.usableMicroseconds) {
        conn.destroy('the conn was idle for long');
        continue;
      }
      // Why given up: its back end has forgotten conns that were idle for not much longer.
      if (idle >= limit) {
        conn.destroy('its back end forgets conns sooner');
        continue;
      }
      // Why not the others: they were idle for longer.
      const { onceIdleMicroseconds, onceNamedIdleMicroseconds } = this.settings;
      const most = Math.min(conn.isTimeNamed ? onceNamedIdleMicroseconds : onceIdleMicroseconds, limit / 2);
      if (once && idle >= most) return undefined;
      book.idle = book.idle.slice(0, -1);
      return conn;
    }
  }

  private writeOn(conn: KeptConn, order: SendOrder, sink: SendSink): SendHandle {
    const written = OrderBytes.of(order);
    let text = 'not sent';
    if (written.kind === 'unwritable') text = written.text;
    // Why last: nothing may come between this look and the first byte.
    else if (sink.mayGo()) return conn.write(order, written.bytes, sink);
    this.keep(conn, undefined);
    let cut = false;
    queueMicrotask(() => {
      if (!cut) sink.failed({ kind: 'notRun', text });
    });
    const stop = (): void => {
      cut = true;
    };
    return { cut: stop, leave: stop };
  }

  private dial(order: SendOrder, sink: SendSink): SendHandle {
    let running: SendHandle | undefined;
    let state: 'dialling' | 'stands' | 'unwanted' = 'dialling';
    const conn: KeptConn = new KeptConn(
      order.address,
      this.clock,
      this.settings,
      () => {
        if (state === 'dialling') {
          state = 'stands';
          running = this.writeOn(conn, order, sink);
        }
        // Why kept though nobody wants it now: it was paid for, and nothing was written on it.
        else this.keep(conn, undefined);
      },
      (end) => {
        if (end.kind === 'free') return this.keep(conn, end.keepMicroseconds);
        this.forget(conn);
        if (end.forgottenAfterMicroseconds !== undefined) this.learn(conn.address, end.forgottenAfterMicroseconds);
        // Why notRun: the conn never stood.
        if (state === 'dialling') {
          state = 'unwanted';
          sink.failed({ kind: 'notRun', text: conn.closedBecause });
        }
      },
    );
    this.bookOf(order.address).conns.add(conn);
    this.log(`A conn to ${order.address} is made; ${this.tell(order.address)}.`);
    const stop = (how: 'cut' | 'leave') => (): void => {
      if (state === 'dialling') state = 'unwanted';
      else if (how === 'cut') running?.cut();
      else running?.leave?.();
    };
    return { cut: stop('cut'), leave: stop('leave') };
  }

  private tell(address: string): string {
    const { conns, idle } = this.counts(address);
    return `${conns} stand, ${idle} are idle`;
  }

  private forget(conn: KeptConn): void {
    this.log(`A conn to ${conn.address} ends, because ${conn.closedBecause}; ${this.tell(conn.address)}.`);
    const book = this.bookOf(conn.address);
    book.conns.delete(conn);
    book.idle = book.idle.filter((other) => other !== conn);
    if (book.conns.size === 0) this.books.delete(conn.address);
  }

  /** Sends after this one trust idle conns to that back end for a shorter time. */
  private learn(address: string, idleMicroseconds: number): void {
    const { forgetting, idleMicroseconds: most } = this.settings;
    const now = this.clock.nowMicroseconds();
    const tidied = IdleLimits.tidy(this.limits, now, most, forgetting);
    this.limits = IdleLimits.forgotten(tidied, address, idleMicroseconds, now, forgetting);
    this.log(`The back end at ${address} forgot a conn idle for ${Math.round(idleMicroseconds / 1000)} ms.`);
  }

  /** A conn without an order on it goes back among the idle ones, or ends. */
  private keep(conn: KeptConn, hint: number | undefined): void {
    const book = this.bookOf(conn.address);
    const { marginMicroseconds, idleMicroseconds } = this.settings;
    const usable = KeepAlive.usableMicroseconds(hint, marginMicroseconds, idleMicroseconds);
    if (this.closed || conn.closed || book.idle.length >= this.boundOf(conn.address).kept || usable <= 0) {
      conn.destroy('the conn is not kept');
      return;
    }
    conn.idle(usable, hint !== undefined);
    book.idle = [...book.idle, conn];
  }
}
