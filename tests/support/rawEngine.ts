import net from 'node:net';
import type {
  BackEndSender,
  RequestFailure,
  BackEndResponseHead,
  BackEndRequest,
} from '../../source/shared/back-end/protocol';
import type { Clock } from '../../source/shared/effects/clock/clock';

/** A request as received on a raw connection; `connection` counts from 1. */
export type RawRequest = Readonly<{ connection: number; text: string; body: string }>;
export type RawResponder = (socket: net.Socket, request: RawRequest, count: number) => void;

/** A back end on raw sockets that responds as the test decides, and records all requests. */
export class RawEngine {
  public readonly requests: RawRequest[] = [];
  public readonly sockets: net.Socket[] = [];
  public connections = 0;
  public bytes = 0;
  private readonly server: net.Server;
  private readonly waiting: (() => void)[] = [];

  private constructor(
    private readonly respond: RawResponder,
    onConnection: (socket: net.Socket, count: number) => void,
  ) {
    this.server = net.createServer((socket) => {
      this.connections += 1;
      const connection = this.connections;
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
          const request = { connection, text: head, body: bytes.toString('latin1', end + 4, end + 4 + length) };
          bytes = bytes.subarray(end + 4 + length);
          this.requests.push(request);
          this.respond(socket, request, this.requests.length);
          this.changed();
        }
      });
      onConnection(socket, connection);
      this.changed();
    });
  }

  public static async open(
    act: RawResponder,
    onConnection: (socket: net.Socket, count: number) => void = () => undefined,
  ): Promise<RawEngine> {
    const engine = new RawEngine(act, onConnection);
    await new Promise<void>((resolve) => engine.server.listen(0, '127.0.0.1', resolve));
    return engine;
  }

  public get address(): string {
    return `127.0.0.1:${(this.server.address() as net.AddressInfo).port}`;
  }

  /** Resolves when the condition holds; it is checked on each connection, request and close. */
  public async until(condition: () => boolean): Promise<void> {
    while (!condition()) await new Promise<void>((resolve) => this.waiting.push(resolve));
  }

  public close(): Promise<void> {
    for (const socket of this.sockets) socket.destroy();
    return new Promise((resolve) => this.server.close(() => resolve()));
  }

  private changed(): void {
    for (const wake of this.waiting.splice(0)) wake();
  }
}

export type RawOutcome = Readonly<{
  head?: BackEndResponseHead;
  text: string;
  end: 'whole' | RequestFailure['kind'];
  failureText: string;
  forgotten: boolean;
}>;

/** Sends one request and returns its outcome. More than one outcome fails the test. */
export const sendRaw = (
  sender: BackEndSender,
  address: string,
  overrides: Partial<BackEndRequest> = {},
  mayGo: () => boolean = () => true,
): Promise<RawOutcome> =>
  new Promise((resolve, reject) => {
    let head: BackEndResponseHead | undefined;
    let text = '';
    let ends = 0;
    const ended = (end: RawOutcome['end'], failureText: string, forgotten = false): void => {
      ends += 1;
      if (ends > 1) reject(new Error('ended twice'));
      resolve({ head, text, end, failureText, forgotten });
    };
    sender.send(
      {
        address,
        method: 'POST',
        path: '/x',
        headers: { 'content-type': 'application/json' },
        body: '{}',
        ...overrides,
      },
      {
        maySend: mayGo,
        head: (given) => {
          if (head !== undefined) reject(new Error('two heads'));
          head = given;
        },
        chunk: (bytes) => {
          text += Buffer.from(bytes).toString('latin1');
          return undefined;
        },
        end: () => ended('whole', ''),
        failed: ({ kind, text: failureText, forgotten }) => ended(kind, failureText, forgotten === true),
      },
    );
  });

/** A clock that advances only when the test calls `pass`. */
export class ManualClock implements Clock {
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

  /** `late`: timers do not fire, as in a process that was frozen. */
  public pass(microseconds: number, late = false): void {
    this.now += microseconds;
    if (late) return;
    const due = this.timers.filter(({ at }) => at <= this.now);
    this.timers = this.timers.filter(({ at }) => at > this.now);
    for (const { act } of due.sort((left, right) => left.at - right.at)) act();
  }
}
