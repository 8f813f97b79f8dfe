import { spawn, type ChildProcess } from 'node:child_process';
import { createWriteStream } from 'node:fs';
import net from 'node:net';
import path from 'node:path';

/** One process of the local fleet. Only this program and tests start processes. */
export class Child {
  private process: ChildProcess | undefined;
  private exited: Promise<number> = Promise.resolve(0);

  public constructor(
    public readonly name: string,
    private readonly folder: string,
    private readonly program: string,
    public words: readonly string[],
    private readonly distFolder: string,
  ) {}

  public start(): void {
    const log = createWriteStream(path.join(this.folder, `${this.name}.log`), { flags: 'a' });
    const child = spawn(process.execPath, [path.join(this.distFolder, `${this.program}.cjs`), ...this.words], {
      stdio: ['ignore', 'ignore', 'pipe'],
    });
    child.stderr.pipe(log);
    this.process = child;
    this.exited = new Promise((resolve) => child.on('exit', (code) => resolve(code ?? -1)));
  }

  public signal(signal: NodeJS.Signals): void {
    this.process?.kill(signal);
  }

  public async stopped(): Promise<number> {
    return this.exited;
  }

  public async kill(): Promise<void> {
    this.signal('SIGKILL');
    await this.exited;
  }

  /** The planned way: a warning first. */
  public async term(): Promise<number> {
    this.signal('SIGTERM');
    return this.exited;
  }
}

export const Ports = {
  /** Free ports on one loopback address, held together so that none is given twice. */
  free: async (host: string, count: number): Promise<readonly number[]> => {
    const servers = await Promise.all(
      Array.from(
        { length: count },
        () =>
          new Promise<net.Server>((resolve, reject) => {
            const server = net.createServer();
            server.once('error', reject);
            server.listen(0, host, () => resolve(server));
          }),
      ),
    );
    const ports = servers.map((server) => (server.address() as net.AddressInfo).port);
    await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
    return ports;
  },
} as const;
