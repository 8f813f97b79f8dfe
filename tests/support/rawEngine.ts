import net from 'node:net';
import type { BackEndSender, SendFailure, SendHead, SendOrder } from '../../source/shared/back-end/protocol';
import type { Clock } from '../../source/shared/effects/clock/clock';

/** One order as it stood on a bare conn. */
export type RawOrder = Readonly<{ conn: number; text: string; body: string }>;
export type RawAct = (socket: net.Socket, order: RawOrder, count: number) => void;

/** A back end on bare sockets that does what a test says, and keeps all that was written to it. */
export class RawEngine {
  public readonly orders: RawOrder[] = [];
  public readonly sockets: net.Socket[] = [];
  public conns = 0;
  public bytes = 0;
  private readonly server: net.Server;
  private readonly waiting: (() => void)[] = [];

  private constructor(
    private readonly act: RawAct,
    onConn: (socket: net.Socket, count: number) => void,
  ) {
    this.server = net.createServer((socket) => {
      this.conns += 1;
      const conn = this.conns;
      this.sockets.push(socket);
      socket.on('error', () => undefined);
      socket.on('close', () => this.changed());
      let bytes = Buffer.alloc(0);
      socket.on('data', (chunk: Buffer) => {
        this.bytes += chunk.length;
        bytes = Buffer.concat([bytes, chunk]);
        for (;;) {
          const end = bytes.indexOf('\r\n\r\n');
          if (end < 0) return;
          const head = bytes.toString('latin1', 0, end);
          const length = Number(/\r\ncontent-length: (\d+)/i.exec(head)?.[1] ?? 0);
          if (bytes.length < end + 4 + length) return;
          const order = { conn, text: head, body: bytes.toString('latin1', end + 4, end + 4 + length) };
          bytes = bytes.subarray(end + 4 + length);
          this.orders.push(order);
          this.act(socket, order, this.orders.length);
          this.changed();
        }
      });
      onConn(socket, conn);
      this.changed();
    });
  }

  public static async open(
    act: RawAct,
    onConn: (socket: net.Socket, count: number) => void = () => undefined,
  ): Promise<RawEngine> {
    const made = new RawEngine(act, onConn);
    await new Promise<void>((resolve) => made.server.listen(0, '127.0.0.1', resolve));
    return made;
  }

  public get address(): string {
    return `127.0.0.1:${(this.server.address() as net.AddressInfo).port}`;
  }

  /** Resolves when it is so; looked at with each conn, order and close. */
  public async until(isSo: () => boolean): Promise<void> {
    while (!isSo()) await new Promise<void>((resolve) => this.waiting.push(resolve));
  }

  public close(): Promise<void> {
    for (const socket of this.sockets) socket.destroy();
    return new Promise((resolve) => this.server.close(() => resolve()));
  }

  private changed(): void {
    for (const wake of this.waiting.splice(0)) wake();
  }
}

export type RawEnded = Readonly<{
  head?: SendHead;
  text: string;
  end: 'whole' | SendFailure['kind'];
  why: string;
  forgotten: boolean;
}>;

/** Sends one order and waits for what becomes of it. More than one end is a failure of the test. */
export const sendRaw = (
  sender: BackEndSender,
  address: string,
  order: Partial<SendOrder> = {},
  mayGo: () => boolean = () => true,
): Promise<RawEnded> =>
  new Promise((resolve, reject) => {
    let head: SendHead | undefined;
    let text = '';
    let ends = 0;
    const ended = (end: RawEnded['end'], why: string, forgotten = false): void => {
      ends += 1;
      if (ends > 1) reject(new Error('ended twice'));
      resolve({ head, text, end, why, forgotten });
    };
    sender.send(
      { address, method: 'POST', path: '/x', headers: { 'content-type': 'application/json' }, body: '{}', ...order },
      {
        mayGo,
        head: (given) => {
          if (head !== undefined) reject(new Error('two heads'));
          head = given;
        },
        part: (bytes) => {
          text += Buffer.from(bytes).toString('latin1');
          return undefined;
        },
        end: () => ended('whole', ''),
        failed: ({ kind, text: why, forgotten }) => ended(kind, why, forgotten === true),
      },
    );
  });

/** Time that goes on only when a test says so. */
export class HandClock implements Clock {
  private now = 1_000_000;
  private timers: Readonly<{ at: number; act: () => void }>[] = [];

  public readonly nowMicroseconds = (): number => this.now;
  public readonly steadyMicroseconds = (): number => this.now;

  public readonly after: Clock['after'] = (delayMicroseconds, act) => {
    const timer = { at: this.now + delayMicroseconds, act };
    this.timers.push(timer);
    return () => {
      this.timers = this.timers.filter((other) => other !== timer);
    };
  };

  /** `late`: timers do not go off, as in a process that was frozen. */
  public pass(microseconds: number, late = false): void {
    this.now += microseconds;
    if (late) return;
    const due = this.timers.filter(({ at }) => at <= this.now);
    this.timers = this.timers.filter(({ at }) => at > this.now);
    for (const { act } of due.sort((left, right) => left.at - right.at)) act();
  }
}
