import type { Answer, Handler, Listener, Message, Transport } from '../../shared/effects/transport/transport';
import { Payloads } from '../../shared/effects/transport/payloads';
import { SimProcess } from './simProcess';
import type { World } from './world';

type Listening = Readonly<{ process: SimProcess; handler: Handler }>;

/** Links between machines: latency, one-way cuts, slow pairs. Messages are packed and unpacked as on a real conn. */
export class SimNetwork {
  private readonly listening = new Map<string, Listening>();
  private readonly cuts = new Map<string, number>();
  private readonly refused = new Set<string>();
  private readonly slow = new Map<string, number>();
  /** When the link out of a machine has sent all that was given to it. */
  private readonly busyUntil = new Map<string, number>();
  public messages = 0;
  public bytes = 0;
  /** Bytes that have left each machine for another one. */
  private readonly bytesOut = new Map<string, number>();
  /** What the link out of each machine carries; Infinity: messages of any length arrive alike. */
  public linkBytesPerSecond = Infinity;

  public constructor(private readonly world: World) {}

  /** Cuts one way; what is returned mends it, unless another trouble cut it too. */
  public cut(from: string, to: string): () => void {
    const way = `${from}>${to}`;
    this.cuts.set(way, (this.cuts.get(way) ?? 0) + 1);
    let mended = false;
    return () => {
      if (mended) return;
      mended = true;
      const left = (this.cuts.get(way) ?? 0) - 1;
      if (left > 0) this.cuts.set(way, left);
      else this.cuts.delete(way);
    };
  }

  /**
   * From now on one machine opens no connection to another, as behind a filter: its questions are lost, while those that come
   * the other way are heard and answered. What is returned mends it.
   */
  public refuseConnections(from: string, to: string): () => void {
    const way = `${from}>${to}`;
    this.refused.add(way);
    return () => void this.refused.delete(way);
  }

  public heal(): void {
    this.cuts.clear();
    this.refused.clear();
    this.slow.clear();
  }

  public slowDown(from: string, to: string, microseconds: number): () => void {
    this.slow.set(`${from}>${to}`, microseconds);
    return () => void this.slow.delete(`${from}>${to}`);
  }

  public open(from: string, to: string): boolean {
    return from === to || !this.cuts.has(`${from}>${to}`);
  }

  public latency(from: string, to: string): number {
    const base = from === to ? 40 : 200;
    return (
      base + Math.floor(this.world.random.fraction() * (from === to ? 60 : 900)) + (this.slow.get(`${from}>${to}`) ?? 0)
    );
  }

  /** Carries one thing from machine to machine; a cut loses it. */
  public carry(from: string, to: string, arrive: () => void, lost: () => void = () => undefined, bytes = 0): void {
    if (!this.open(from, to)) return lost();
    if (from !== to) this.bytesOut.set(from, this.bytesFrom(from) + bytes);
    const delay = this.latency(from, to) + this.transmissionMicroseconds(from, to, bytes);
    this.world.plan(delay, () => (this.open(from, to) ? arrive() : lost()));
  }

  /** Bytes that have left a machine for other ones, since the start. */
  public bytesFrom(machine: string): number {
    return this.bytesOut.get(machine) ?? 0;
  }

  /** How long the link takes until the last byte has left, what was given to it before included. */
  private transmissionMicroseconds(from: string, to: string, bytes: number): number {
    if (from === to || this.linkBytesPerSecond === Infinity) return 0;
    const now = this.world.nowMicroseconds;
    const start = Math.max(now, this.busyUntil.get(from) ?? 0);
    const end = start + (bytes / this.linkBytesPerSecond) * 1_000_000;
    this.busyUntil.set(from, end);
    return end - now;
  }

  /** From now on an address belongs to whoever listens at another one, as when a machine is handed to somebody else. */
  public handOver(address: string, to: string): void {
    const found = this.listenerAt(to);
    if (found !== undefined) this.listening.set(address, found);
  }

  /** Something that is none of ours listens there. */
  public squat(address: string, handler: Handler): void {
    this.listening.set(address, { process: new SimProcess(this.world, address, address), handler });
  }

  public listenerAt(address: string): Listening | undefined {
    const found = this.listening.get(address);
    return found?.process.alive === true ? found : undefined;
  }

  public transportOf(process: SimProcess): Transport {
    return {
      ask: (address, message, limitMicroseconds) => this.ask(process, address, message, limitMicroseconds),
      listen: (address, handler) => this.listen(process, address, handler),
      close: () => Promise.resolve(),
    };
  }

  private listen(process: SimProcess, address: string, handler: Handler): Promise<Listener> {
    if (this.listenerAt(address) !== undefined)
      return Promise.reject(Object.assign(new Error(`listen EADDRINUSE ${address}`), { code: 'EADDRINUSE' }));
    const own: Listening = { process, handler };
    this.listening.set(address, own);
    const close = (): void => {
      if (this.listening.get(address) === own) this.listening.delete(address);
    };
    process.whenDead(close);
    return Promise.resolve({ address, close: () => Promise.resolve(close()) });
  }

  private ask(asker: SimProcess, address: string, message: Message, limitMicroseconds: number): Promise<Answer> {
    return new Promise((resolve) => {
      let over = false;
      const settle = (answer: Answer): void => {
        if (over) return;
        over = true;
        cancel();
        resolve(answer);
      };
      const cancel = asker.clock.after(limitMicroseconds, () => settle({ kind: 'silent', reason: 'limit passed' }));
      const packed = Payloads.ofAsk(message);
      this.messages += 1;
      this.bytes += packed.length;
      const machine = this.machineOf(address);
      if (this.refused.has(`${asker.machine}>${machine}`)) return;
      const silent = (reason: string): void =>
        this.carry(machine, asker.machine, () => asker.enter(() => settle({ kind: 'silent', reason })));
      const arrive = (): void => {
        const found = this.listenerAt(address);
        if (found === undefined) return silent('conn refused');
        found.process.whenDead(() => silent('conn closed'));
        found.process.enter(() => {
          const heard = Payloads.read(packed);
          found.handler(heard).then(
            (answer) => {
              if (!found.process.alive) return;
              const packedAnswer = Payloads.ofAnswer(answer, heard);
              this.bytes += packedAnswer.length;
              const arrive = (): void =>
                asker.enter(() => {
                  settle({ kind: 'answered', message: Payloads.read(packedAnswer) });
                });
              this.carry(found.process.machine, asker.machine, arrive, undefined, packedAnswer.length);
            },
            () => silent('conn closed'),
          );
        });
      };
      this.carry(asker.machine, machine, arrive, undefined, packed.length);
    });
  }

  /** Addresses name their machine, so that a cut knows them even where nothing listens. */
  private machineOf(address: string): string {
    return address.split(':', 1)[0] ?? address;
  }
}
