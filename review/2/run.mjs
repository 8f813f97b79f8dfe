// The edge machines are stopped in turn as planned (SIGTERM) while requests wait there for a place at the engines.
import http from 'node:http';
import path from 'node:path';
import { Engine } from '../lib/engine.mjs';
import { Fleet, PlatformList, Record, call, ports, seconds, wait } from '../lib/fleet.mjs';

const isTrouble = process.env.TROUBLE !== '0';
const record = new Record(path.join(import.meta.dirname, 'record.txt'));
const key = '3d3zji9n73hh2b9wu3fe';
/** How long connections rest between two requests; at most four fifths of `idleTimeoutMs`. */
const restMilliseconds = 8000;
const deadlineMilliseconds = 6000;
const graceMilliseconds = 8000;
const lossSlackMilliseconds = 200;
let code = 2;

const fleet = new Fleet({ record, edges: 3 });
await fleet.open();
const engines = [1, 2].map(
  (number) =>
    new Engine({
      record,
      id: `i-${number}`,
      service: 'huvo11a',
      model: 'daka510000',
      host: `${fleet.prefix}.${20 + number}`,
      port: 8080,
      zone: 'suva-wharf',
      capacity: 4,
      queue: 12,
      workOf: () => 600,
      plain: true,
    }),
);
const list = new PlatformList(fleet.listAddress, () => engines.map((engine) => engine.entry()));
const configuration = {
  version: 7,
  routes: [
    {
      name: 'r-qrh4jcd',
      hostname: 'ficu95.example',
      pathPrefix: '/lohu930/',
      routeType: 'unsafe',
      timeoutMs: 6000,
      targetMs: 600,
      priority: 1,
      backend: 'huvo11a',
      retries: 1,
      public: false,
      sticky: true,
    },
  ],
  services: [
    {
      name: 'huvo11a',
      healthPath: '/health',
      maxConns: 210,
      protocol: 'h1',
      tlsMode: false,
      engineAddr: {
        capacity: 4,
        cacheTokens: 149454,
        tokenBytes: 163840,
        linkMbps: 1100000,
        spacing: 7,
        maxCalls: 12,
        models: [{ name: 'daka510000' }],
      },
    },
  ],
  limits: { maxHeaderBytes: 16384, maxBodyBytes: 4194304, headerTimeoutMs: 3000, idleTimeoutMs: 15000 },
  tenants: [{ name: 'nowu640', apiKeys: [key], priority: 1, isolated: false }],
};

/** What each request met, by its id. */
const met = new Map();
let lastNumber = 0;
const send = async (edge, agent) => {
  lastNumber += 1;
  const id = `q${String(lastNumber).padStart(6, '0')}`;
  const one = { id, edge: edge.name, sent: Date.now() };
  met.set(id, one);
  record.say(`client: ${id} to ${edge.name}`);
  const answer = await call({
    host: edge.ip,
    port: ports.http,
    method: 'POST',
    path: '/lohu930/2f',
    limit: deadlineMilliseconds + 1000,
    agent,
    headers: {
      host: 'ficu95.example',
      'postdrum-request-id': id,
      'postdrum-model': 'daka510000',
      'postdrum-token-count': '300,20',
      'postdrum-prompt-prefix': '5c1e07a2:100,e4402b7d:200',
      'postdrum-deadline-ms': String(deadlineMilliseconds),
      authorization: `Token ${key}`,
    },
    body: `body of ${id}`,
  });
  Object.assign(one, answer, { ended: Date.now() });
  record.say(`client: ${id} gets ${answer.status ?? answer.error} after ${one.ended - one.sent} ms`);
  return answer;
};

/** The platform asks each second whether a machine is ready, and sends it no new connections after two misses. */
const misses = new Map(fleet.edges.map(({ name }) => [name, 0]));
const isIn = ({ name }) => misses.get(name) < 2;
const platform = setInterval(() => {
  for (const edge of fleet.edges)
    void call({ host: edge.ip, port: ports.ready, method: 'GET', path: '/-/ready', limit: 900 }).then(({ status }) => {
      misses.set(edge.name, status === 200 ? 0 : misses.get(edge.name) + 1);
    });
}, 1000);

let isOver = false;
const running = [];
/** New connections, so many a second, each to the next machine that is in. */
const newcomers = async (perSecond) => {
  for (let turn = 0; !isOver; turn += 1) {
    const edges = fleet.edges.filter(isIn);
    if (edges.length > 0) running.push(send(edges[turn % edges.length], false));
    await wait(1000 / perSecond);
  }
};
/** Clients that keep a connection to a machine and use it again and again. */
const keeper = async (edge) => {
  await wait(Math.random() * restMilliseconds);
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  // An open connection remains with its machine; a new one goes to a machine that is in.
  while (!isOver && (isIn(edge) || Object.keys(agent.freeSockets).length > 0)) {
    const { status, error, headers } = await send(edge, agent);
    if (error !== undefined) break;
    await wait(
      status === 503 ? 1000 * Number(headers['retry-after'] ?? 0.05) : restMilliseconds * (0.5 + Math.random()),
    );
  }
  agent.destroy();
};

try {
  await list.open();
  await Promise.all(engines.map((engine) => engine.open()));
  fleet.startAll();
  await wait(1500);
  if ((await fleet.operate('PUT', '/-/config', { 'if-match': '0' }, configuration))?.status !== 200)
    throw new Error('no configuration');
  if (!(await fleet.ready())) throw new Error('not ready');
  await wait(3000);
  const clients = [
    newcomers(Number(process.env.RATE ?? 3)),
    ...fleet.edges.flatMap((edge) => Array.from({ length: Number(process.env.KEEPERS ?? 90) }, () => keeper(edge))),
  ];
  // Long enough for the requests of a rush to wait nearly as long as they may.
  await wait(12_000);
  const stops = [];
  for (const edge of fleet.edges) {
    stops.push({ edge: edge.name, at: Date.now() });
    if (isTrouble) {
      const ends = ['edge-proxy', 'edge-agent'].map((role) => {
        const child = fleet.signal(edge, role, 'SIGTERM');
        return new Promise((resolve) => child.once('exit', resolve));
      });
      // Whoever is not gone after the grace is killed, and the machine starts again.
      await Promise.race([Promise.all(ends), wait(graceMilliseconds)]);
      for (const role of ['edge-proxy', 'edge-agent']) {
        fleet.signal(edge, role, 'SIGKILL');
        fleet.start(edge, role);
      }
    } else await wait(graceMilliseconds);
    await wait(9000);
  }
  isOver = true;
  await Promise.all([...clients, ...running]);
  await wait(100);

  const arrived = new Set(engines.flatMap(({ arrivals }) => arrivals.map(({ id }) => id)));
  const lost = [...met.values()].flatMap((one) => {
    const { id, edge, sent, ended, status } = one;
    const stop = stops.find(({ edge: name }) => name === edge);
    const isLost =
      status === undefined &&
      ended >= stop.at &&
      ended <= stop.at + graceMilliseconds + 1000 &&
      ended - sent > lossSlackMilliseconds &&
      ended - sent < deadlineMilliseconds &&
      // One that an engine has is left out: it may have been at work to the end.
      !arrived.has(id);
    return isLost ? [{ ...one, stop: stop.at }] : [];
  });
  for (const { id, edge, sent, ended, error, stop } of lost)
    record.say(
      `LOST: ${id}, to ${edge}, sent ${sent - stop} ms after its SIGTERM, never sent to an engine, its connection ended (${error}) after ${ended - sent} ms, ${deadlineMilliseconds - (ended - sent)} ms before its deadline`,
    );
  const counts = {};
  for (const { status, error } of met.values()) counts[status ?? error] = (counts[status ?? error] ?? 0) + 1;
  const text = `${met.size} requests, answers ${JSON.stringify(counts)}, ${lost.length} lost`;
  record.say(text);
  console.log(text);
  for (const { id, edge, sent, ended, error, stop } of lost)
    console.log(`LOST: ${id} to ${edge}, sent ${sent - stop} ms after its SIGTERM, ${error} after ${ended - sent} ms`);
  code = lost.length > 0 ? 1 : 0;
} catch (error) {
  record.say(`could not run: ${error.stack}`);
  console.log(`could not run: ${error.message}`);
} finally {
  clearInterval(platform);
  await fleet.close();
  await Promise.all([list.close(), ...engines.map((engine) => engine.close())]);
  await record.end();
}
process.exit(code);
