'use strict';
// Engines that answer without a length break off a few answers: part of the answer, then a reset. Does the client see that?
const { Fleet, Client, sleep, hex } = require('../stand-ins-2/fleet.cjs');

const trouble = process.env.TROUBLE !== '0';
const share = 0.6; // of the engines, as the site file has it for garble
const x = 0.03; // of their answers
const spanMs = 5000; // as long as the site file has it
const restMs = 2000;
const seconds = 25;
const perSecond = 150;

const main = async () => {
  const fleet = new Fleet(__dirname);
  const { recorder } = fleet;
  const whole = new Map();
  const brokenOff = new Set();
  let trafficSince = Infinity;
  const isInSpan = () => Date.now() >= trafficSince && (Date.now() - trafficSince) % (spanMs + restMs) < spanMs;
  const watchdog = setTimeout(() => {
    recorder.note('the case took too long');
    void fleet.close().then(() => process.exit(2));
  }, 110_000);
  const end = async (code) => {
    clearTimeout(watchdog);
    await fleet.close();
    process.exit(code);
  };
  try {
    await fleet.open({ edges: 3 });
    for (let index = 0; index < 5; index += 1) {
      const isIll = trouble && index < 5 * share;
      await fleet.addEngine({
        service: 'desk',
        capacity: 8,
        behave: async (request, response, head, run) => {
          await sleep(2 + Math.random() * 10);
          const { socket } = response;
          const isStream = run.path.startsWith('/stream/');
          const pieces = isStream
            ? Array.from({ length: 6 }, (_, id) => `id: ${id}\ndata: piece ${id} of ${run.id}\n\n`)
            : [`{"answer to":"${run.id}",`, `"text":"${'t'.repeat(200)}"}`];
          whole.set(run.id, pieces.join(''));
          const lines = Object.entries({
            ...head,
            'content-type': isStream ? 'text/event-stream' : 'application/json',
            connection: 'close',
          }).map(([name, value]) => `${name}: ${value}\r\n`);
          const breaksOff = isIll && isInSpan() && Math.random() < x;
          const count = breaksOff ? 1 + Math.floor(Math.random() * (pieces.length - 1)) : pieces.length;
          socket.write(`HTTP/1.1 200 OK\r\n${lines.join('')}\r\n${pieces.slice(0, count).join('')}`);
          if (breaksOff) {
            brokenOff.add(run.id);
            recorder.note(`engine ${run.engine} breaks off ${run.id} after ${count} of ${pieces.length} pieces, with a reset`);
            socket.resetAndDestroy();
          } else socket.end();
        },
      });
    }
    await fleet.startAll();
    const route = (name, routeType, more) => ({
      name, hostname: 'desk.example', pathPrefix: `/${name}/`, routeType, timeoutMs: 3000, targetMs: 300, priority: 0,
      backend: 'desk', retries: 1, public: false, ...more,
    });
    const put = await fleet.put(
      {
        version: 3,
        routes: [route('sheet', 'unsafe'), route('stream', 'streaming', { resumable: false, targetGapMs: 250, sticky: true })],
        services: [{ name: 'desk', healthPath: '/health', maxConns: 210, protocol: 'h1', tlsMode: false }],
        limits: { maxHeaderBytes: 16384, maxBodyBytes: 4194304, headerTimeoutMs: 3000, idleTimeoutMs: 15000 },
        tenants: [{ name: 'tenant-1', apiKeys: ['key-of-tenant-1'] }],
      },
      0,
    );
    if (put?.status !== 200 || !(await fleet.untilReady())) return end(2);
    await sleep(1000);
    const counts = { sent: 0, whole: 0, cut: 0, other: 0, wrong: 0 };
    const one = async (index) => {
      const id = hex(16);
      const name = index % 2 === 0 ? 'sheet' : 'stream';
      counts.sent += 1;
      const client = new Client(fleet.proxyAddress(index % 3));
      client.write(
        `POST /${name}/a HTTP/1.1\r\nHost: desk.example\r\nPostdrum-Request-Id: ${id}\r\nPostdrum-Deadline-Ms: 3000\r\nAuthorization: Token key-of-tenant-1\r\nContent-Length: 2\r\n\r\n{}`,
      );
      const answer = await client.answer(4000);
      client.destroy();
      const text = answer.body.toString();
      const isComplete = answer.status === 200 && answer.whole;
      recorder.note(`client ${name} ${id}: ${answer.status} ${answer.whole ? 'complete' : `not complete (${answer.why})`} ${text.length} bytes`);
      if (!isComplete) counts[answer.status === 200 ? 'cut' : 'other'] += 1;
      else if (text === whole.get(id)) counts.whole += 1;
      else {
        counts.wrong += 1;
        recorder.note(
          `BROKEN ${name === 'sheet' ? 'MIXED' : 'MIXED and ORDER'}: ${id} appears complete with ${text.length} of ${whole.get(id)?.length} bytes; the engine broke it off: ${brokenOff.has(id)}`,
        );
      }
    };
    const waiting = [];
    trafficSince = Date.now();
    for (let index = 0; index < seconds * perSecond; index += 1) {
      waiting.push(one(index));
      await sleep(1000 / perSecond - 1);
    }
    await Promise.all(waiting);
    const verdict = `sent ${counts.sent}, answered whole ${counts.whole}, seen as cut ${counts.cut}, other ${counts.other}, broken off by engines ${brokenOff.size}, cut short but apparently complete ${counts.wrong}`;
    recorder.note(verdict);
    console.log(verdict);
    if (counts.whole < counts.sent / 2) return end(2);
    return end(counts.wrong > 0 ? 1 : 0);
  } catch (error) {
    recorder.note(`the case could not run: ${error.stack}`);
    return end(2);
  }
};
void main();
