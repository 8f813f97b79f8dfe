'use strict';
// Two tenants, one of them isolated, ask about the same long context. The clients name the parts of their prompts by SHA-512 digests.
const { createHash } = require('node:crypto');
const { Fleet, Client, sleep, hex } = require('../stand-ins-2/fleet.cjs');

const trouble = process.env.TROUBLE !== '0';
const partName = (text) => createHash('sha512').update(text).digest('hex').slice(0, trouble ? 128 : 8);

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
    const isolated = new Set(['north']);
    let broken = 0;
    let reused = 0;
    for (let index = 0; index < 3; index += 1) {
      const engine = await fleet.addEngine({
        service: 'lm',
        capacity: 24,
        models: [{ name: 'model-1', version: 1 }],
        // Parts are kept under the salt and found under the same salt only; no salt counts as one text for all.
        behave: async (request, response, head, run) => {
          const salt = run.headers['postdrum-cache-salt'] ?? '';
          const tenant = run.headers['postdrum-tenant'] ?? '';
          const parts = (run.headers['postdrum-prompt-prefix'] ?? '').split(',').map((part) => part.trim().split(':'));
          let isKeptSoFar = true;
          for (const [id, tokens] of parts) {
            const key = `${salt}/${id}`;
            const kept = engine.kept.get(key);
            isKeptSoFar &&= kept !== undefined;
            if (isKeptSoFar) {
              reused += 1;
              const maker = engine.makers.get(key);
              if (maker !== tenant && (isolated.has(maker) || isolated.has(tenant))) {
                broken += 1;
                recorder.note(`BROKEN WALL: ${run.id} of ${tenant} uses part ${id.slice(0, 12)}... (salt '${salt}') at ${engine.id}, made by a request of ${maker}`);
              }
            } else {
              engine.kept.set(key, [salt, id, Number(tokens), 'model-1']);
              engine.makers.set(key, tenant);
              engine.nextToken += 1;
              engine.events.push([engine.nextToken, '+', salt, id, Number(tokens), 'model-1']);
            }
          }
          response.writeHead(200, { ...head, 'content-type': 'text/event-stream' });
          for (let id = 0; id < 3; id += 1) {
            response.write(`id: ${id}\ndata: piece ${id} of ${run.id}\n\n`);
            await sleep(10);
          }
          response.end();
        },
      });
      engine.makers = new Map();
    }
    await fleet.startAll();
    const put = await fleet.put(
      {
        version: 3,
        routes: [{ name: 'query', hostname: 'desk.example', pathPrefix: '/query/', routeType: 'streaming', timeoutMs: 6000, targetMs: 600, priority: 0, backend: 'lm', retries: 2, public: false, sticky: true, resumable: false, targetGapMs: 250 }],
        services: [{ name: 'lm', healthPath: '/health', maxConns: 210, protocol: 'h1', tlsMode: false, engineAddr: { capacity: 24, cacheTokens: 149454, tokenBytes: 163840, linkMbps: 1100000.0, spacing: 7, maxCalls: 12, models: [{ name: 'model-1' }] } }],
        limits: { maxHeaderBytes: 16384, maxBodyBytes: 4194304, headerTimeoutMs: 3000, idleTimeoutMs: 15000 },
        tenants: [
          { name: 'north', apiKeys: ['key-of-north'], isolated: true },
          { name: 'south', apiKeys: ['key-of-south'] },
          { name: 'west', apiKeys: ['key-of-west'] },
        ],
      },
      0,
    );
    if (put?.status !== 200 || !(await fleet.untilReady())) return end(2);
    await sleep(3000);
    const counts = { sent: 0, served: 0, other: 0 };
    for (let index = 0; index < 150; index += 1) {
      const tenant = ['north', 'south', 'west'][index % 3];
      const id = hex(16);
      const parts = [`${partName('the tariff')}:13300`, `${partName(`context ${index % 5}`)}:900`, `${partName(id)}:200`];
      counts.sent += 1;
      const client = new Client(fleet.proxyAddress(Math.floor(index / 3) % 3));
      client.write(
        `POST /query/a HTTP/1.1\r\nHost: desk.example\r\nPostdrum-Request-Id: ${id}\r\nPostdrum-Model: model-1\r\nPostdrum-Token-Count: 14400,3\r\nPostdrum-Prompt-Prefix: ${parts.join(',')}\r\nPostdrum-Deadline-Ms: 6000\r\nAuthorization: Token key-of-${tenant}\r\nContent-Length: 2\r\n\r\n{}`,
      );
      const answer = await client.answer(7000);
      client.destroy();
      counts[answer.status === 200 && answer.whole ? 'served' : 'other'] += 1;
      recorder.note(`client ${id} of ${tenant}: ${answer.status} ${answer.whole ? 'complete' : answer.why}`);
      await sleep(20);
    }
    const verdict = `sent ${counts.sent}, served ${counts.served}, other ${counts.other}; parts found kept ${reused}, of these made by or for an isolated tenant and used by another ${broken}`;
    recorder.note(verdict);
    console.log(verdict);
    if (counts.served < counts.sent / 2) return end(2);
    return end(broken > 0 ? 1 : 0);
  } catch (error) {
    recorder.note(`the case could not run: ${error.stack}`);
    return end(2);
  }
};
void main();
