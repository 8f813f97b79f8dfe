// A stand-in for a model engine, as PROTOCOL.md tells of it: it works on `capacity` requests at a time, queues `queue` more and turns
// away the rest with 503 and Postdrum-Not-Run.
import net from 'node:net';
import { seconds, wait } from './fleet.mjs';

const reasons = {
  200: 'OK',
  202: 'Accepted',
  400: 'Bad Request',
  409: 'Conflict',
  412: 'Precondition Failed',
  421: 'Misdirected Request',
  500: 'Internal Server Error',
  503: 'Service Unavailable',
};

export class Engine {
  constructor({
    record,
    id,
    service,
    model,
    host,
    port,
    zone,
    capacity = 24,
    queue = 8,
    checksFence = true,
    workOf = () => 20,
    eventsOf = () => 3,
    gap = 5,
    plain = false,
  }) {
    Object.assign(this, {
      record,
      id,
      service,
      model,
      host,
      port,
      zone,
      capacity,
      queue,
      checksFence,
      workOf,
      eventsOf,
      gap,
      plain,
    });
    this.version = 1;
    this.state = 'ready';
    this.active = 0;
    this.waiting = [];
    this.callCount = 0;
    this.highestFence = 0;
    this.orders = [];
    /** What was run: id, when, and all that arrived with it. */
    this.runs = [];
    this.arrivals = [];
    this.answers = 0;
    this.sheds = 0;
    this.conns = new Set();
    /** Called with each answer that was sent whole; a late surplus answer may be left on the connection by it. */
    this.afterAnswer = () => undefined;
    this.beforeAnswerTo = () => undefined;
    this.server = net.createServer({ noDelay: true }, (socket) => this.serve(socket));
  }

  entry() {
    return {
      id: this.id,
      backend: this.service,
      address: `${this.host}:${this.port}`,
      zone: this.zone,
      version: 'v1',
      capacity: this.capacity,
      state: this.state,
      coldLeftMs: 0,
      phase: 'full',
      models: [{ name: this.model, version: this.version, adapters: [] }],
    };
  }

  open() {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen({ host: this.host, port: this.port }, resolve);
    });
  }

  close() {
    for (const conn of this.conns) conn.destroy();
    return new Promise((resolve) => this.server.close(resolve));
  }

  serve(socket) {
    this.conns.add(socket);
    socket.surplus = [];
    socket.number = this.lastNumber = (this.lastNumber ?? 0) + 1;
    let rest = Buffer.alloc(0);
    let turn = Promise.resolve();
    socket.on('error', () => undefined);
    socket.on('close', () => this.conns.delete(socket));
    socket.on('end', () => socket.end());
    socket.on('data', (chunk) => {
      rest = Buffer.concat([rest, chunk]);
      for (;;) {
        const end = rest.indexOf('\r\n\r\n');
        if (end < 0) return;
        const [first, ...lines] = rest.toString('latin1', 0, end).split('\r\n');
        const headers = Object.fromEntries(
          lines.map((line) => [
            line.slice(0, line.indexOf(':')).toLowerCase(),
            line.slice(line.indexOf(':') + 1).trim(),
          ]),
        );
        const length = Number(headers['content-length'] ?? 0);
        if (rest.length < end + 4 + length) return;
        const body = rest.subarray(end + 4, end + 4 + length);
        rest = rest.subarray(end + 4 + length);
        const [method, target] = first.split(' ');
        const request = { method, target, headers, body, socket };
        // One request at a time on a connection.
        turn = turn
          .then(() => this.handle(request))
          .catch((error) => this.record.say(`engine ${this.id} failed: ${error.stack}`));
      }
    });
  }

  send(socket, status, headers, body) {
    if (socket.destroyed) return;
    const head = Object.entries({ ...headers, 'content-length': Buffer.byteLength(body) })
      .map(([name, value]) => `${name}: ${value}\r\n`)
      .join('');
    socket.write(`HTTP/1.1 ${status} ${reasons[status] ?? 'X'}\r\n${head}\r\n${body}`);
  }

  json(socket, status, value, headers = {}) {
    this.send(socket, status, { 'content-type': 'application/json', ...headers }, JSON.stringify(value));
  }

  async handle(request) {
    const { target, headers, socket } = request;
    const place = target.split('?')[0];
    const expected = headers['postdrum-expect-instance'];
    if (place === '/health')
      return this.send(socket, this.state === 'ready' ? 200 : 503, { 'postdrum-instance': this.id }, '');
    if (expected !== undefined && expected !== this.id)
      return this.send(
        socket,
        421,
        {
          'postdrum-instance': this.id,
          ...(headers['postdrum-request-id'] ? { 'postdrum-request-id': headers['postdrum-request-id'] } : {}),
        },
        '',
      );
    switch (place) {
      case '/-/report':
        return this.json(socket, 200, {
          phase: 'full',
          models: [{ name: this.model, version: this.version, adapters: [] }],
          isBusy: this.loading !== undefined,
          callCount: this.callCount,
          queued: this.waiting.length,
          active: this.active,
          cacheUsed: 0,
          cacheTotal: 149454,
          openHandles: 0,
        });
      case '/-/kv-events':
        await wait(Math.min(1000, Number(headers['wait-ms'] ?? 0)));
        return this.json(socket, 200, { bootEpoch: 77120, nextToken: 1, lostCount: false, eventLog: [] });
      case '/-/kv-list':
        return this.json(socket, 200, { bootEpoch: 77120, nextToken: 1, heldCount: [] });
      case '/-/order':
        return this.order(request);
      default:
        return this.request(request);
    }
  }

  order({ body, socket }) {
    const order = JSON.parse(body.toString());
    const { operation, holderName, fenceNumber, model, version } = order;
    const say = (status) => {
      this.orders.push({ at: seconds(), holderName, fenceNumber, version, status });
      this.record.say(
        `engine ${this.id}: order ${operation} ${model} ${version} of ${holderName}, fence ${fenceNumber} -> ${status}`,
      );
      this.json(socket, status, {});
    };
    if (operation !== 'version' || holderName === undefined || fenceNumber === undefined) return say(400);
    if (this.checksFence && fenceNumber < this.highestFence) return say(412);
    this.highestFence = Math.max(this.highestFence, fenceNumber);
    if (this.loading !== undefined) return say(409);
    if (version === this.version) return say(200);
    this.callCount += 1;
    this.loading = version;
    setTimeout(() => {
      this.version = version;
      this.loading = undefined;
    }, 400);
    return say(202);
  }

  async request(request) {
    const { headers, socket, method, target, body } = request;
    const id = headers['postdrum-request-id'];
    const own = {
      'postdrum-request-id': id,
      'postdrum-weight-versions': String(this.version),
      'postdrum-instance': this.id,
    };
    this.arrivals.push({ id, at: seconds(), conn: socket.number });
    this.record.say(`engine ${this.id}: ${id} arrives on connection ${socket.number}`);
    for (const surplus of socket.surplus.splice(0)) {
      this.record.say(
        `engine ${this.id}: the surplus answer to ${surplus.id} (${surplus.status}) comes late, on connection ${socket.number}`,
      );
      this.send(socket, surplus.status, surplus.headers, surplus.body ?? '');
    }
    const turnAway = (why) => {
      this.sheds += 1;
      this.answers += 1;
      const away = { ...own, 'postdrum-not-run': '1' };
      this.record.say(`engine ${this.id}: ${id} is turned away (${why}), 503 with Postdrum-Not-Run`);
      this.send(socket, 503, away, '');
      this.afterAnswer({ id, status: 503, headers: away, socket });
    };
    const expectedVersion = headers['postdrum-expect-version'];
    if (expectedVersion !== undefined && expectedVersion !== String(this.version)) {
      this.answers += 1;
      return this.send(socket, 421, own, '');
    }
    if (this.loading !== undefined) return turnAway('loading');
    if (this.active >= this.capacity) {
      if (this.waiting.length >= this.queue) return turnAway('full');
      await new Promise((resolve) => this.waiting.push(resolve));
      if (socket.destroyed) {
        this.waiting.shift()?.();
        return undefined;
      }
    }
    this.active += 1;
    const run = {
      id,
      at: seconds(),
      tenant: headers['postdrum-tenant'],
      method,
      target,
      body: body.toString(),
      deadline: Number(headers['postdrum-deadline-ms']),
      version: this.version,
      salt: headers['postdrum-cache-salt'],
    };
    this.runs.push(run);
    this.record.say(`engine ${this.id}: ${id} runs`);
    let gone = false;
    const leave = () => (gone = true);
    socket.once('close', leave);
    const until = Date.now() + this.workOf(request);
    while (!gone && Date.now() < until) await wait(Math.min(20, Math.max(1, until - Date.now())));
    if (!gone && this.plain)
      this.send(
        socket,
        200,
        { ...own, 'postdrum-server-seal': `seal.${id}`, 'content-type': 'text/plain' },
        `answer to ${id}`,
      );
    else if (!gone) {
      socket.write(
        `HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\npostdrum-server-seal: seal.${id}\r\n${Object.entries(
          own,
        )
          .map(([name, value]) => `${name}: ${value}\r\n`)
          .join('')}\r\n`,
      );
      const count = this.eventsOf(request);
      for (let event = 1; event <= count && !gone; event += 1) {
        const text = `id: ${event}\ndata: ${id} ${event}/${count}\n\n`;
        socket.write(`${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`);
        if (event < count) await wait(this.gap);
      }
      if (!gone) socket.write('0\r\n\r\n');
    }
    socket.off('close', leave);
    run.ended = seconds();
    run.broken = gone;
    this.record.say(`engine ${this.id}: ${id} ${gone ? 'is dropped, its connection closed' : 'is answered, 200'}`);
    this.active -= 1;
    this.answers += 1;
    this.waiting.shift()?.();
    if (!gone) this.afterAnswer({ id, status: 200, headers: own, socket });
    return undefined;
  }
}
