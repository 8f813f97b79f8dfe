import net from 'node:net';
import type { Clock, Cancel } from '../clock/clock';
import { FrameReader, Framing } from './framing';
import { Payloads } from './payloads';
import { TransportLimits, type Answer, type Handler, type Listener, type Message, type Transport } from './transport';

type Open = Readonly<{ settle: (answer: Answer) => void; cancel: Cancel }>;

/** One side that asks over one conn; many asks share it. */
class AskingConn {
  private readonly open = new Map<number, Open>();
  private nextNumber = 1;
  private heardMicroseconds = -Infinity;
  /** When the first ask left of those since which nothing has come; undefined: something came after the last one. */
  private unheardSince: number | undefined;
  private readonly socket: net.Socket;
  public closed = false;

  public constructor(
    private readonly clock: Clock,
    address: string,
    private readonly forget: () => void,
  ) {
    const { host, port } = Addresses.split(address);
    this.socket = net.connect({ host, port, noDelay: true });
    const reader = new FrameReader();
    this.socket.on('data', (chunk: Buffer) => {
      this.heardMicroseconds = this.clock.nowMicroseconds();
      this.unheardSince = undefined;
      try {
        for (const whole of reader.read(chunk)) this.answered(whole.number, whole.bytes);
      } catch {
        this.close('garbage from the other side');
      }
    });
    this.socket.on('error', () => this.close('conn failed'));
    this.socket.on('close', () => this.close('conn closed'));
  }

  public ask(message: Message, limitMicroseconds: number): Promise<Answer> {
    if (this.open.size >= TransportLimits.openAsks)
      return Promise.resolve({ kind: 'silent', reason: 'too many open asks' });
    return new Promise((resolve) => {
      const number = this.nextNumber;
      this.nextNumber = (this.nextNumber % 0xfffffff0) + 1;
      const settle = (answer: Answer): void => {
        this.open.get(number)?.cancel();
        this.open.delete(number);
        resolve(answer);
      };
      const askedMicroseconds = this.clock.nowMicroseconds();
      this.unheardSince ??= askedMicroseconds;
      const cancel = this.clock.after(limitMicroseconds, () => {
        settle({ kind: 'silent', reason: 'limit passed' });
        if (this.heardMicroseconds < askedMicroseconds) this.closeIfDead();
      });
      this.open.set(number, { settle, cancel });
      for (const part of Framing.split('ask', number, Payloads.ofAsk(message))) this.socket.write(part);
    });
  }

  /**
   * A frozen side or a cut link leaves a connection that looks open; the next ask dials anew. Only for an ask since which nothing has
   * come: else a long answer may be on its way to another one. Why by how long nothing has come too, and not by that ask's limit alone: an ask of little patience would take the answers to all others with it, from a side that is only slow.
   */
  private closeIfDead(): void {
    const unheard = this.unheardSince === undefined ? 0 : this.clock.nowMicroseconds() - this.unheardSince;
    if (unheard >= TransportLimits.deadMicroseconds) this.close('limit passed');
  }

  public close(reason: string): void {
    if (this.closed) return;
    this.closed = true;
    this.forget();
    this.socket.destroy();
    for (const { settle } of [...this.open.values()]) settle({ kind: 'silent', reason });
  }

  private answered(number: number, bytes: Buffer): void {
    this.open.get(number)?.settle({ kind: 'answered', message: Payloads.read(bytes) });
  }
}

export const Addresses = {
  split: (address: string): Readonly<{ host: string; port: number }> => {
    const place = address.lastIndexOf(':');
    return { host: address.slice(0, place), port: Number(address.slice(place + 1)) };
  },
} as const;

export class TcpTransport implements Transport {
  private readonly asking = new Map<string, AskingConn>();
  private readonly listeners = new Set<Listener>();

  public constructor(private readonly clock: Clock) {}

  public readonly ask = (address: string, message: Message, limitMicroseconds: number): Promise<Answer> => {
    let conn = this.asking.get(address);
    if (conn === undefined) {
      const made: AskingConn = new AskingConn(this.clock, address, () => {
        if (this.asking.get(address) === made) this.asking.delete(address);
      });
      conn = made;
      this.asking.set(address, made);
    }
    return conn.ask(message, limitMicroseconds);
  };

  public readonly listen = async (address: string, handler: Handler): Promise<Listener> => {
    const sockets = new Set<net.Socket>();
    const server = net.createServer({ noDelay: true }, (socket) => {
      sockets.add(socket);
      socket.on('close', () => sockets.delete(socket));
      socket.on('error', () => socket.destroy());
      serve(socket, handler);
    });
    const { host, port } = Addresses.split(address);
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen({ host, port }, () => resolve());
    });
    const bound = server.address() as net.AddressInfo;
    const listener: Listener = {
      address: `${bound.address}:${bound.port}`,
      close: () =>
        new Promise((resolve) => {
          this.listeners.delete(listener);
          server.close(() => resolve());
          for (const socket of sockets) socket.destroy();
        }),
    };
    this.listeners.add(listener);
    return listener;
  };

  public readonly close = async (): Promise<void> => {
    for (const conn of [...this.asking.values()]) conn.close('transport closed');
    await Promise.all([...this.listeners].map((listener) => listener.close()));
  };
}

const drained = (socket: net.Socket): Promise<void> =>
  new Promise((resolve) => {
    const over = (): void => {
      socket.off('drain', over);
      socket.off('close', over);
      resolve();
    };
    socket.on('drain', over);
    socket.on('close', over);
  });

const serve = (socket: net.Socket, handler: Handler): void => {
  const reader = new FrameReader();
  let open = 0;
  const reply = async (number: number, bytes: Buffer): Promise<void> => {
    open += 1;
    try {
      // Why a bound: one asker must not pile up work here.
      if (open > TransportLimits.openAsks) throw new Error('too many open asks');
      const message = Payloads.read(bytes);
      const answer = await handler(message);
      // Why wait between parts: a short answer must get through while a long one fills a thin link.
      for (const part of Framing.split('answer', number, Payloads.ofAnswer(answer, message)))
        if (!socket.destroyed && !socket.write(part)) await drained(socket);
    } catch {
      socket.destroy();
    } finally {
      open -= 1;
    }
  };
  socket.on('data', (chunk: Buffer) => {
    try {
      for (const whole of reader.read(chunk)) {
        if (whole.kind !== 'ask') throw new Error('answer on an asked conn');
        void reply(whole.number, whole.bytes);
      }
    } catch {
      socket.destroy();
    }
  });
};
