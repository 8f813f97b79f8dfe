import type { RequestOutcome, Handler, Listener, Message, Transport } from '../../shared/effects/transport/transport';
import { Payloads } from '../../shared/effects/transport/payloads';
import { SimProcess } from './simProcess';
import type { World } from './world';

type ListeningProcess = Readonly<{ process: SimProcess; handler: Handler }>;

/**
 * The simulated network: latency, one-way cuts and slow links between machines. Messages are encoded and decoded as on a real
 * connection.
 */
export class SimNetwork {
  private readonly listening = new Map<string, ListeningProcess>();
  private readonly cuts = new Map<string, number>();
  private readonly refused = new Set<string>();
  private readonly slow = new Map<string, number>();
  /** The time at which the outgoing link of a machine has sent everything queued on it. */
  private readonly linkBusyUntilMicroseconds = new Map<string, number>();
  public messages = 0;
  public bytes = 0;
  /** Bytes that each machine has sent to other machines. */
  private readonly bytesOut = new Map<string, number>();
  /** The bandwidth of each machine's outgoing link. With Infinity the length of a message adds no delay. */
  public linkBytesPerSecond = Infinity;

  public constructor(private readonly world: World) {}

  /** Cuts the link in one direction. The returned function restores it, unless another fault cuts it, too. */
  public cutLink(from: string, to: string): () => void {
    const link = `${from}>${to}`;
    this.cuts.set(link, (this.cuts.get(link) ?? 0) + 1);
    let restored = false;
    return () => {
      if (restored) return;
      restored = true;
      const left = (this.cuts.get(link) ?? 0) - 1;
      if (left > 0) this.cuts.set(link, left);
      else this.cuts.delete(link);
    };
  }

  /**
   * Keeps one machine from opening connections to another, as a packet filter does: its requests are lost, while requests in
   * the other direction arrive and are answered. The returned function ends this.
   */
  public refuseConnections(from: string, to: string): () => void {
    const link = `${from}>${to}`;
    this.refused.add(link);
    return () => void this.refused.delete(link);
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

  public isOpen(from: string, to: string): boolean {
    return from === to || !this.cuts.has(`${from}>${to}`);
  }

  public latencyMicroseconds(from: string, to: string): number {
    const base = from === to ? 40 : 200;
    return (
      base + Math.floor(this.world.random.fraction() * (from === to ? 60 : 900)) + (this.slow.get(`${from}>${to}`) ?? 0)
    );
  }

  /** Delivers one message from machine to machine. It is lost if the link is cut when it is sent or when it arrives. */
  public deliver(from: string, to: string, arrive: () => void, lost: () => void = () => undefined, bytes = 0): void {
    if (!this.isOpen(from, to)) return lost();
    if (from !== to) this.bytesOut.set(from, this.bytesSentBy(from) + bytes);
    const delay = this.latencyMicroseconds(from, to) + this.transmissionMicroseconds(from, to, bytes);
    this.world.schedule(delay, () => (this.isOpen(from, to) ? arrive() : lost()));
  }

  /** Returns the bytes that a machine has sent to other machines since the start. */
  public bytesSentBy(machine: string): number {
    return this.bytesOut.get(machine) ?? 0;
  }

  /** Returns the time until the last byte has left the link, including the wait for what was queued before. */
  private transmissionMicroseconds(from: string, to: string, bytes: number): number {
    if (from === to || this.linkBytesPerSecond === Infinity) return 0;
    const now = this.world.nowMicroseconds;
    const start = Math.max(now, this.linkBusyUntilMicroseconds.get(from) ?? 0);
    const end = start + (bytes / this.linkBytesPerSecond) * 1_000_000;
    this.linkBusyUntilMicroseconds.set(from, end);
    return end - now;
  }

  /** Reassigns an address to the process that listens at another one, as when a machine gets a new owner. */
  public reassignAddress(address: string, to: string): void {
    const found = this.listenerAt(to);
    if (found !== undefined) this.listening.set(address, found);
  }

  /** Lets a process that isn't part of the fleet listen at an address. */
  public occupyAddress(address: string, handler: Handler): void {
    this.listening.set(address, { process: new SimProcess(this.world, address, address), handler });
  }

  public listenerAt(address: string): ListeningProcess | undefined {
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
    const own: ListeningProcess = { process, handler };
    this.listening.set(address, own);
    const close = (): void => {
      if (this.listening.get(address) === own) this.listening.delete(address);
    };
    process.onDeath(close);
    return Promise.resolve({ address, close: () => Promise.resolve(close()) });
  }

  private ask(
    sender: SimProcess,
    address: string,
    message: Message,
    limitMicroseconds: number,
  ): Promise<RequestOutcome> {
    return new Promise((resolve) => {
      let settled = false;
      const settle = (answer: RequestOutcome): void => {
        if (settled) return;
        settled = true;
        cancel();
        resolve(answer);
      };
      const cancel = sender.clock.after(limitMicroseconds, () => settle({ kind: 'silent', reason: 'limit passed' }));
      const packed = Payloads.encodeRequest(message);
      this.messages += 1;
      this.bytes += packed.length;
      const machine = this.machineOf(address);
      if (this.refused.has(`${sender.machine}>${machine}`)) return;
      const silent = (reason: string): void =>
        this.deliver(machine, sender.machine, () => sender.execute(() => settle({ kind: 'silent', reason })));
      const arrive = (): void => {
        const found = this.listenerAt(address);
        if (found === undefined) return silent('conn refused');
        found.process.onDeath(() => silent('conn closed'));
        found.process.execute(() => {
          const request = Payloads.decode(packed);
          found.handler(request).then(
            (answer) => {
              if (!found.process.alive) return;
              const packedAnswer = Payloads.encodeResponse(answer, request);
              this.bytes += packedAnswer.length;
              const arrive = (): void =>
                sender.execute(() => {
                  settle({ kind: 'answered', message: Payloads.decode(packedAnswer) });
                });
              this.deliver(found.process.machine, sender.machine, arrive, undefined, packedAnswer.length);
            },
            () => silent('conn closed'),
          );
        });
      };
      this.deliver(sender.machine, machine, arrive, undefined, packed.length);
    });
  }

  /** Returns the machine that an address names. It is part of the address, so that cuts apply even if nothing listens there. */
  private machineOf(address: string): string {
    return address.split(':', 1)[0] ?? address;
  }
}
