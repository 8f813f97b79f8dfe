import net from 'node:net';

/** A caller on a bare conn: it writes what a test says and keeps all that comes back. */
export class RawCaller {
  public text = '';
  public closed = false;
  private readonly waiting: (() => void)[] = [];

  private constructor(public readonly socket: net.Socket) {
    socket.on('error', () => undefined);
    socket.on('data', (chunk: Buffer) => {
      this.text += chunk.toString('latin1');
      this.changed();
    });
    socket.on('close', () => {
      this.closed = true;
      this.changed();
    });
  }

  public static async open(address: string): Promise<RawCaller> {
    const [host, port] = address.split(':');
    const socket = net.connect({ host, port: Number(port), noDelay: true });
    await new Promise<void>((resolve, reject) => {
      socket.once('connect', resolve);
      socket.once('error', reject);
    });
    return new RawCaller(socket);
  }

  public write(bytes: string | Uint8Array): this {
    this.socket.write(typeof bytes === 'string' ? Buffer.from(bytes, 'latin1') : bytes);
    return this;
  }

  /** Resolves when it is so, or when the conn has closed. */
  public async until(isSo: (text: string) => boolean): Promise<string> {
    while (!isSo(this.text) && !this.closed) await new Promise<void>((resolve) => this.waiting.push(resolve));
    return this.text;
  }

  public statuses(): readonly number[] {
    return [...this.text.matchAll(/HTTP\/1\.1 (\d{3}) /g)].map((found) => Number(found[1]));
  }

  private changed(): void {
    for (const wake of this.waiting.splice(0)) wake();
  }
}
