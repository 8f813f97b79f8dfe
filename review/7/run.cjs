'use strict';
// Engines with two models, as their service in the configuration says. A new version of the second model is named and acknowledged.
const { Fleet, Client, sleep, hex } = require('../stand-ins-2/fleet.cjs');

const trouble = process.env.TROUBLE !== '0';
const versionMs = 8000;

const main = async () => {
  const fleet = new Fleet(__dirname);
  const { recorder } = fleet;
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
    for (let index = 0; index < 4; index += 1)
      await fleet.addEngine({
        service: 'lm',
        capacity: 24,
        models: [{ name: 'model-1', version: 1 }, { name: 'model-2', version: 1 }],
        behave: async (request, response, head, run) => {
          response.writeHead(200, { ...head, 'content-type': 'text/event-stream' });
          for (let id = 0; id < 3; id += 1) {
            response.write(`id: ${id}\ndata: piece ${id} of ${run.id}\n\n`);
            await sleep(10);
          }
          response.end();
        },
      });
    await fleet.startAll();
    const put = await fleet.put(
      {
        version: 3,
        routes: [{ name: 'query', hostname: 'desk.example', pathPrefix: '/query/', routeType: 'streaming', timeoutMs: 4000, targetMs: 300, priority: 0, backend: 'lm', retries: 2, public: false, sticky: true, resumable: true, targetGapMs: 250 }],
        services: [{ name: 'lm', healthPath: '/health', maxConns: 210, protocol: 'h1', tlsMode: false, engineAddr: { capacity: 24, cacheTokens: 149454, tokenBytes: 163840, linkMbps: 1100000.0, spacing: 7, maxCalls: 12, models: [{ name: 'model-1' }, { name: 'model-2' }] } }],
        limits: { maxHeaderBytes: 16384, maxBodyBytes: 4194304, headerTimeoutMs: 3000, idleTimeoutMs: 15000 },
        tenants: [{ name: 'tenant-1', apiKeys: ['key-of-tenant-1'] }],
      },
      0,
    );
    if (put?.status !== 200 || !(await fleet.untilReady())) return end(2);
    await sleep(4000);
    let namedAt = Infinity;
    if (trouble) {
      const named = await fleet.operate('POST', '/-/version-put', {}, JSON.stringify({ model: 'model-2', version: 2 }));
      if (named?.status !== 200) {
        recorder.note(`the version was not acknowledged: ${named?.status}`);
        return end(2);
      }
      namedAt = Date.now();
    }
    const counts = { sent: 0, served: 0, other: 0 };
    const one = async (index, model) => {
      const id = hex(16);
      counts.sent += 1;
      const client = new Client(fleet.proxyAddress(index % 3));
      client.write(
        `POST /query/a HTTP/1.1\r\nHost: desk.example\r\nPostdrum-Request-Id: ${id}\r\nPostdrum-Model: ${model}\r\nPostdrum-Token-Count: 100,3\r\nPostdrum-Prompt-Prefix: 5c1e07a2:60,${id.slice(0, 8)}:40\r\nPostdrum-Deadline-Ms: 4000\r\nAuthorization: Token key-of-tenant-1\r\nContent-Length: 2\r\n\r\n{}`,
      );
      const answer = await client.answer(5000);
      client.destroy();
      counts[answer.status === 200 && answer.whole ? 'served' : 'other'] += 1;
      recorder.note(`client ${id} ${model}: ${answer.status} ${answer.whole ? 'complete' : answer.why}`);
    };
    const waiting = [];
    for (let index = 0; index < 400; index += 1) {
      waiting.push(one(index, index % 2 === 0 ? 'model-1' : 'model-2'));
      await sleep(40);
    }
    await Promise.all(waiting);
    const late = fleet.runs.filter(({ at, version, headers }) => headers['postdrum-model'] === 'model-2' && version < 2 && at - namedAt > versionMs);
    for (const run of late.slice(0, 20))
      recorder.note(`BROKEN VERSION: ${run.id} begins on version ${run.version} of model-2 at ${run.engine}, ${run.at - namedAt} ms after version 2 was acknowledged`);
    const orders = fleet.engines.flatMap((engine) => engine.orders).length;
    const verdict = `sent ${counts.sent}, served ${counts.served}, other ${counts.other}; orders to engines ${orders}; begun on version 1 of model-2 more than ${versionMs} ms after version 2 was acknowledged: ${late.length}`;
    recorder.note(verdict);
    console.log(verdict);
    if (counts.served < counts.sent / 4) return end(2);
    return end(late.length > 0 ? 1 : 0);
  } catch (error) {
    recorder.note(`the case could not run: ${error.stack}`);
    return end(2);
  }
};
void main();
