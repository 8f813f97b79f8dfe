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

/**
 * Why below those that the machine hands out by itself (from 32,768 on): between the look and the start of the process
 * that is meant to have it, and while that one is started anew, any conn of any other process could be given the port.
 */
const firstPort = 10_000;
const portCount = 20_000;
/** Why by the process: fleets that are started at the same moment look at other ports first. */
const blockOfPorts = 100;
let nextPort = ((process.pid * blockOfPorts) % portCount) + firstPort;

const isFree = (host: string, port: number): Promise<boolean> =>
  new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });

export const Ports = {
  /** Ports on one loopback address that nobody listens on at this moment; none is given twice by this process. */
  free: async (host: string, count: number): Promise<readonly number[]> => {
    const found: number[] = [];
    for (let looked = 0; found.length < count; looked += 1) {
      if (looked > portCount) throw new Error(`there are no ${count} free ports`);
      const port = nextPort;
      nextPort = port + 1 < firstPort + portCount ? port + 1 : firstPort;
      if (await isFree(host, port)) found.push(port);
    }
    return found;
  },
} as const;
