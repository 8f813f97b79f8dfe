import net from 'node:net';
import { Addresses } from '../../shared/effects/transport/tcpTransport';

export type RelayState = 'open' | 'cut' | 'cutThere' | 'cutBack' | 'stalled';

/**
 * A link between two processes that can be cut, both ways or one, slowed, or stalled in the midst of a message. What a
 * cut way is given is held back and never arrives, as on a real link; conns made meanwhile stand and say nothing.
 */
export class Relay {
  private state: RelayState = 'open';
  private delayMilliseconds = 0;
  private stallAfterBytes = 0;
  private readonly pairs = new Set<readonly [net.Socket, net.Socket]>();
  public carriedBytes = 0;
  private readonly server: net.Server;

  private constructor(private readonly target: string) {
    this.server = net.createServer((near) => this.accept(near));
  }

  public static async open(target: string, host = '127.0.0.1'): Promise<Relay> {
    const relay = new Relay(target);
    await new Promise<void>((resolve, reject) => {
      relay.server.once('error', reject);
      relay.server.listen(0, host, () => resolve());
    });
    return relay;
  }

  public get address(): string {
    const { address, port } = this.server.address() as net.AddressInfo;
    return `${address}:${port}`;
  }

  /** Mending breaks the conns that were held back: what they lost must not be followed by what comes next. */
  public set(state: RelayState): void {
    const mends = this.state !== 'open' && state === 'open';
    this.state = state;
    this.stallAfterBytes = this.carriedBytes;
    if (mends) this.breakAll();
  }

  /** Lets so many more bytes through, then nothing: in the midst of a head, a body or a part. */
  public stallAfter(bytes: number): void {
    this.state = 'stalled';
    this.stallAfterBytes = this.carriedBytes + bytes;
  }

  public slow(milliseconds: number): void {
    this.delayMilliseconds = milliseconds;
  }

  public breakAll(): void {
    for (const [near, far] of this.pairs) {
      near.destroy();
      far.destroy();
    }
  }

  public close(): Promise<void> {
    this.breakAll();
    return new Promise((resolve) => this.server.close(() => resolve()));
  }

  private accept(near: net.Socket): void {
    const { host, port } = Addresses.split(this.target);
    const far = net.connect({ host, port, noDelay: true });
    const pair = [near, far] as const;
    this.pairs.add(pair);
    const end = (): void => {
      this.pairs.delete(pair);
      near.destroy();
      far.destroy();
    };
    for (const socket of pair) {
      socket.on('error', end);
      socket.on('close', end);
    }
    near.on('data', (bytes: Buffer) => this.carry(bytes, far, 'there'));
    far.on('data', (bytes: Buffer) => this.carry(bytes, near, 'back'));
  }

  private carry(bytes: Buffer, to: net.Socket, way: 'there' | 'back'): void {
    if (this.state === 'cut' || this.state === (way === 'there' ? 'cutThere' : 'cutBack')) return;
    const room = this.state === 'stalled' ? Math.max(0, this.stallAfterBytes - this.carriedBytes) : bytes.length;
    const passed = bytes.subarray(0, room);
    if (passed.length === 0) return;
    this.carriedBytes += passed.length;
    const write = (): void => void (to.destroyed ? undefined : to.write(passed));
    // Why one timer a piece: timers of the same delay keep their order, and so does the link.
    if (this.delayMilliseconds > 0) setTimeout(write, this.delayMilliseconds);
    else write();
  }
}
