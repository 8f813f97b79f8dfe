import http from 'node:http';
import type net from 'node:net';
import { ControlHeaders, ControlPaths } from '../../platform/engines/controlNames';

type Salt = string | null;
type Event = readonly [number, '+' | '-', Salt, string, number, string];
/** How a simulated server misbehaves. */
export type ServerFault = 'none' | 'garbage' | 'cut' | 'silent' | 'wrongShape' | 'error' | 'tooMany';

const model = 'm';

/** The control API of an engine or store as the users' platform documents it: reports, orders, events, lists. */
export class PlatformEngine {
  public version = 1;
  public isBusy = false;
  public bootEpoch = 100;
  public serverFault: ServerFault = 'none';
  public callCount = 0;
  public readonly orders: Readonly<Record<string, unknown>>[] = [];
  public readonly heldFor: string[] = [];
  public conns = 0;
  private loading: number | undefined;
  private highest = 0;
  private next = 0;
  private log: Event[] = [];
  private readonly kept = new Map<string, readonly [salt: Salt, part: string, size: number]>();
  private readonly waiting = new Set<() => void>();
  private readonly sockets = new Set<net.Socket>();
  private readonly server = http.createServer((order, response) => void this.answer(order, response));

  public constructor(
    private readonly id = 'i-1',
    private readonly keptEvents = 100,
  ) {
    this.server.on('connection', (socket) => {
      this.conns += 1;
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
    });
  }

  public async open(): Promise<string> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', () => resolve()));
    return `127.0.0.1:${(this.server.address() as net.AddressInfo).port}`;
  }

  public close(): Promise<void> {
    for (const socket of this.sockets) socket.destroy();
    return new Promise((resolve) => this.server.close(() => resolve()));
  }

  public keep(salt: Salt, part: string, size: number): void {
    if (size > 0) this.kept.set(`${salt}/${part}`, [salt, part, size]);
    else this.kept.delete(`${salt}/${part}`);
    this.next += 1;
    const event: Event = [this.next, size > 0 ? '+' : '-', salt, part, size, model];
    this.log = [...this.log, event].slice(-this.keptEvents);
    for (const wake of [...this.waiting]) wake();
  }

  /** Finishes the load of the ordered version; as documented, all cached parts are evicted. */
  public finishLoad(): void {
    if (this.loading !== undefined) this.version = this.loading;
    this.loading = undefined;
    this.isBusy = false;
    for (const [salt, part] of [...this.kept.values()]) this.keep(salt, part, 0);
  }

  public restart(): void {
    this.bootEpoch += 1;
    this.log = [];
    this.kept.clear();
    this.next = 0;
    this.highest = 0;
    this.callCount = 0;
  }

  private async answer(order: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of order as AsyncIterable<Buffer>) chunks.push(chunk);
    switch (this.serverFault) {
      case 'silent':
        return;
      case 'cut':
        response.writeHead(200, { 'content-length': '100' });
        response.write('{"phase"');
        response.destroy();
        return;
      case 'garbage':
        response.end('this is no json');
        return;
      case 'wrongShape':
        response.end('{"phase":"full","bootEpoch":"x","eventLog":[[1]],"heldCount":7}');
        return;
      case 'error':
        response.writeHead(500).end('{}');
        return;
      case 'tooMany':
        response.writeHead(429).end('{}');
        return;
      case 'none':
        break;
    }
    const meant = order.headers[ControlHeaders.instance];
    if (meant !== undefined && meant !== this.id) {
      response.writeHead(421).end('{}');
      return;
    }
    const url = new URL(order.url ?? '/', 'http://engine');
    const say = (status: number, value: unknown): void =>
      void response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(value));
    if (url.pathname === ControlPaths.report)
      say(200, {
        phase: 'full',
        models: [{ name: model, version: this.version, adapters: [] }],
        isBusy: this.isBusy,
        callCount: this.callCount,
        queued: 0,
        active: 3,
        cacheUsed: 0,
        cacheTotal: 1000,
        openHandles: 0,
      });
    else if (url.pathname === ControlPaths.order)
      say(this.direct(JSON.parse(Buffer.concat(chunks).toString()) as Readonly<Record<string, unknown>>), {});
    else if (url.pathname === ControlPaths.events) {
      const hold = String(order.headers[ControlHeaders.hold] ?? '');
      this.heldFor.push(hold);
      await this.events(Number(url.searchParams.get('sinceTime')), Number(hold), say);
    } else if (url.pathname === ControlPaths.list)
      say(200, {
        bootEpoch: this.bootEpoch,
        nextToken: this.next,
        heldCount: [...this.kept.values()].map(([salt, part, size]) => [salt, part, size, model]),
      });
    else say(404, {});
  }

  private direct(body: Readonly<Record<string, unknown>>): number {
    this.orders.push(body);
    const { operation, holderName, fenceNumber, version, method } = body;
    if (operation !== 'version' || typeof holderName !== 'string' || !Number.isSafeInteger(fenceNumber)) return 400;
    if (typeof version !== 'number' || !['wait', 'cut', 'keep'].includes(String(method))) return 400;
    if (Number(fenceNumber) < this.highest) return 412;
    this.highest = Number(fenceNumber);
    if (this.isBusy) return 409;
    if (version === this.version) return 200;
    this.callCount += 1;
    this.isBusy = true;
    this.loading = version;
    return 202;
  }

  private async events(since: number, hold: number, say: (status: number, value: unknown) => void): Promise<void> {
    if (this.next <= since && hold > 0)
      await new Promise<void>((resolve) => {
        const timer = setTimeout(resolve, hold);
        this.waiting.add(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    this.waiting.clear();
    say(200, {
      bootEpoch: this.bootEpoch,
      nextToken: this.next,
      lostCount: since + 1 < (this.log[0]?.[0] ?? this.next + 1),
      eventLog: this.log.filter(([sequence]) => sequence > since),
    });
  }
}

/** The paginated list of instances of the users' platform. */
export class PlatformList {
  public serverFault: 'none' | 'tooMany' | 'garbage' | 'wrongShape' = 'none';
  public instances: readonly Readonly<Record<string, unknown>>[] = [];
  public pageSize = 2;
  private readonly server = http.createServer((order, response) => {
    if (this.serverFault === 'tooMany') return response.writeHead(429).end('{}');
    if (this.serverFault === 'garbage') return response.end('<html>');
    if (this.serverFault === 'wrongShape') return response.end('{"instances":[{"id":5}],"nextToken":null}');
    const url = new URL(order.url ?? '/', 'http://list');
    const at = Number(url.searchParams.get('pageToken')?.slice(2) ?? 0);
    const next = at + this.pageSize < this.instances.length ? `p-${at + this.pageSize}` : null;
    return response.end(JSON.stringify({ instances: this.instances.slice(at, at + this.pageSize), nextToken: next }));
  });

  public async open(): Promise<string> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', () => resolve()));
    return `127.0.0.1:${(this.server.address() as net.AddressInfo).port}`;
  }

  public close(): Promise<void> {
    this.server.closeAllConnections();
    return new Promise((resolve) => this.server.close(() => resolve()));
  }
}
