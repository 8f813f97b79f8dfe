import net from 'node:net';
import type { Clock, Cancel } from '../clock/clock';
import { FrameReader, Framing } from './framing';
import { Payloads } from './payloads';
import {
  TransportLimits,
  type RequestOutcome,
  type Handler,
  type Listener,
  type Message,
  type Transport,
} from './transport';

type OpenRequest = Readonly<{ settle: (answer: RequestOutcome) => void; cancel: Cancel }>;

/** Client side of a connection; many requests share it. */
class ClientConnection {
  private readonly openRequests = new Map<number, OpenRequest>();
  private nextNumber = 1;
  private lastReceivedMicroseconds = -Infinity;
  /** When the first request was sent since which nothing has been received; undefined: there is none. */
  private silentSince: number | undefined;
  private readonly socket: net.Socket;
  public closed = false;

  public constructor(
    private readonly clock: Clock,
    address: string,
    private readonly onClose: () => void,
  ) {
    const { host, port } = Addresses.split(address);
    this.socket = net.connect({ host, port, noDelay: true });
    const reader = new FrameReader();
    this.socket.on('data', (chunk: Buffer) => {
      this.lastReceivedMicroseconds = this.clock.nowMicroseconds();
      this.silentSince = undefined;
      try {
        for (const response of reader.read(chunk)) this.onResponse(response.number, response.bytes);
      } catch {
        this.close('invalid data received');
      }
    });
    this.socket.on('error', () => this.close('connection failed'));
    this.socket.on('close', () => this.close('connection closed'));
  }

  public sendRequest(message: Message, limitMicroseconds: number): Promise<RequestOutcome> {
    if (this.openRequests.size >= TransportLimits.openRequests)
      return Promise.resolve({ kind: 'silent', reason: 'too many open requests' });
    return new Promise((resolve) => {
      const number = this.nextNumber;
      this.nextNumber = (this.nextNumber % 0xfffffff0) + 1;
      const settle = (answer: RequestOutcome): void => {
        this.openRequests.get(number)?.cancel();
        this.openRequests.delete(number);
        resolve(answer);
      };
      const sentMicroseconds = this.clock.nowMicroseconds();
      this.silentSince ??= sentMicroseconds;
      const cancel = this.clock.after(limitMicroseconds, () => {
        settle({ kind: 'silent', reason: 'request timed out' });
        if (this.lastReceivedMicroseconds < sentMicroseconds) this.closeIfDead();
      });
      this.openRequests.set(number, { settle, cancel });
      for (const frame of Framing.encode('ask', number, Payloads.encodeRequest(message))) this.socket.write(frame);
    });
  }

  /**
   * Closes the connection if the peer appears dead: a frozen peer or a broken link leaves a connection that looks open.
   * The next request opens a new one. This is checked only for a request since which nothing has been received, because
   * otherwise a long response to another request may be in transit. The time without received data counts rather than that
   * request's limit alone: otherwise a request with a short limit would discard the responses to all others when the peer
   * is only slow.
   */
  private closeIfDead(): void {
    const silentMicroseconds = this.silentSince === undefined ? 0 : this.clock.nowMicroseconds() - this.silentSince;
    if (silentMicroseconds >= TransportLimits.deadConnectionMicroseconds) this.close('connection timed out');
  }

  public close(reason: string): void {
    if (this.closed) return;
    this.closed = true;
    this.onClose();
    this.socket.destroy();
    for (const { settle } of [...this.openRequests.values()]) settle({ kind: 'silent', reason });
  }

  private onResponse(number: number, bytes: Buffer): void {
    this.openRequests.get(number)?.settle({ kind: 'answered', message: Payloads.decode(bytes) });
  }
}

/** Addresses of the form `host:port`. */
export const Addresses = {
  split: (address: string): Readonly<{ host: string; port: number }> => {
    const separatorIndex = address.lastIndexOf(':');
    return { host: address.slice(0, separatorIndex), port: Number(address.slice(separatorIndex + 1)) };
  },
} as const;

/** Transport over TCP. It keeps one connection for each address that it sends requests to. */
export class TcpTransport implements Transport {
  private readonly clientConnections = new Map<string, ClientConnection>();
  private readonly listeners = new Set<Listener>();

  public constructor(private readonly clock: Clock) {}

  public readonly ask = (address: string, message: Message, limitMicroseconds: number): Promise<RequestOutcome> => {
    let connection = this.clientConnections.get(address);
    if (connection === undefined) {
      const created: ClientConnection = new ClientConnection(this.clock, address, () => {
        if (this.clientConnections.get(address) === created) this.clientConnections.delete(address);
      });
      connection = created;
      this.clientConnections.set(address, created);
    }
    return connection.sendRequest(message, limitMicroseconds);
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
    for (const connection of [...this.clientConnections.values()]) connection.close('transport closed');
    await Promise.all([...this.listeners].map((listener) => listener.close()));
  };
}

const waitForDrain = (socket: net.Socket): Promise<void> =>
  new Promise((resolve) => {
    const finish = (): void => {
      socket.off('drain', finish);
      socket.off('close', finish);
      resolve();
    };
    socket.on('drain', finish);
    socket.on('close', finish);
  });

const serve = (socket: net.Socket, handler: Handler): void => {
  const reader = new FrameReader();
  let openRequests = 0;
  const respond = async (number: number, bytes: Buffer): Promise<void> => {
    openRequests += 1;
    try {
      // The number of open requests is limited so that one client cannot queue up unlimited work here.
      if (openRequests > TransportLimits.openRequests) throw new Error('too many open requests');
      const message = Payloads.decode(bytes);
      const response = await handler(message);
      // Each frame waits until the socket has drained, so that a short response gets through while a long one fills a slow
      // link.
      for (const frame of Framing.encode('answer', number, Payloads.encodeResponse(response, message)))
        if (!socket.destroyed && !socket.write(frame)) await waitForDrain(socket);
    } catch {
      socket.destroy();
    } finally {
      openRequests -= 1;
    }
  };
  socket.on('data', (chunk: Buffer) => {
    try {
      for (const request of reader.read(chunk)) {
        if (request.kind !== 'ask') throw new Error('received a response on a server connection');
        void respond(request.number, request.bytes);
      }
    } catch {
      socket.destroy();
    }
  });
};
