import net from 'node:net';

/** A client on a plain TCP connection: it writes given bytes and keeps all that it receives. */
export class RawClient {
  public text = '';
  public closed = false;
  private readonly changeListeners: (() => void)[] = [];

  private constructor(public readonly socket: net.Socket) {
    socket.on('error', () => undefined);
    socket.on('data', (chunk: Buffer) => {
      this.text += chunk.toString('latin1');
      this.notify();
    });
    socket.on('close', () => {
      this.closed = true;
      this.notify();
    });
  }

  public static async open(address: string): Promise<RawClient> {
    const [host, port] = address.split(':');
    const socket = net.connect({ host, port: Number(port), noDelay: true });
    await new Promise<void>((resolve, reject) => {
      socket.once('connect', resolve);
      socket.once('error', reject);
    });
    return new RawClient(socket);
  }

  public write(bytes: string | Uint8Array): this {
    this.socket.write(typeof bytes === 'string' ? Buffer.from(bytes, 'latin1') : bytes);
    return this;
  }

  /** Resolves when the received text fulfils the condition, or when the connection has closed. */
  public async until(condition: (text: string) => boolean): Promise<string> {
    while (!condition(this.text) && !this.closed)
      await new Promise<void>((resolve) => this.changeListeners.push(resolve));
    return this.text;
  }

  public statuses(): readonly number[] {
    return [...this.text.matchAll(/HTTP\/1\.1 (\d{3}) /g)].map((found) => Number(found[1]));
  }

  private notify(): void {
    for (const listener of this.changeListeners.splice(0)) listener();
  }
}
