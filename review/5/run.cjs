'use strict';
// New weights are named. The path between one machine and one engine is cut as the machine sends the engine its order, and the machine
// is stopped in order. Its lease goes to another machine, which gives its own order. Then the path is whole again.
const { Fleet, sleep } = require('../stand-ins-2/fleet.cjs');
const { Relay } = require('../stand-ins-2/relay.cjs');

const trouble = process.env.TROUBLE !== '0';
const cutMs = 4000;
const leaseTermMs = 3000;
const thawMs = 300;

const main = async () => {
  const fleet = new Fleet(__dirname);
  const { recorder } = fleet;
  const watchdog = setTimeout(() => {
    recorder.note('the case took too long');
    void fleet.close().then(() => process.exit(2));
  }, 110_000);
  const relays = [];
  const end = async (code) => {
    clearTimeout(watchdog);
    await fleet.close();
    process.exit(code);
  };
  try {
    await fleet.open({ edges: 4, bounds: { checksFence: false } });
    for (let index = 0; index < 5; index += 1) {
      const engine = await fleet.addEngine({ service: 'lm', capacity: 12, models: [{ name: 'model-1', version: 1 }] });
      const relay = new Relay(fleet, engine);
      await relay.open(fleet.engineIp, fleet.ports[0] + 200 + index);
      engine.listedAddress = `${fleet.engineIp}:${fleet.ports[0] + 200 + index}`;
      relays.push(relay);
    }
    await fleet.startAll();
    const put = await fleet.put(
      {
        version: 3,
        routes: [
          { name: 'query', hostname: 'desk.example', pathPrefix: '/query/', routeType: 'streaming', timeoutMs: 6000, targetMs: 600, priority: 1, backend: 'lm', retries: 1, public: false, sticky: true, resumable: false, targetGapMs: 250 },
        ],
        services: [
          { name: 'lm', healthPath: '/health', maxConns: 210, protocol: 'h1', tlsMode: false, engineAddr: { capacity: 12, cacheTokens: 149454, tokenBytes: 163840, linkMbps: 1100000.0, spacing: 7, maxCalls: 12, models: [{ name: 'model-1' }] } },
        ],
        limits: { maxHeaderBytes: 16384, maxBodyBytes: 4194304, headerTimeoutMs: 3000, idleTimeoutMs: 15000 },
        tenants: [{ name: 'tenant-1', apiKeys: ['key-of-tenant-1'] }],
      },
      0,
    );
    if (put?.status !== 200 || !(await fleet.untilReady())) return end(2);
    // The leases of the engines find their holders.
    await sleep(6000);
    const cut = new Promise((resolve) => {
      for (const relay of relays)
        relay.onOrder = (machine) => {
          for (const other of relays) other.onOrder = () => undefined;
          if (trouble) relay.cut(machine, cutMs);
          resolve({ relay, machine });
        };
    });
    const named = await fleet.operate('POST', '/-/version-put', {}, JSON.stringify({ model: 'model-1', version: 2 }));
    if (named?.status !== 200) return end(2);
    const found = await Promise.race([cut, sleep(15000)]);
    if (found === undefined || found.machine === '') return end(2);
    const { relay, machine } = found;
    recorder.note(`the order of ${machine} to engine ${relay.engine.id} is on its way`);
    for (const role of ['edge-proxy', 'edge-agent']) {
      const entry = fleet.signal(`${machine}/${role}`, 'SIGTERM');
      const stopped = Date.now();
      entry.child.on('exit', () => setTimeout(() => fleet.restart(`${machine}/${role}`), 500));
      setTimeout(() => entry.exit === undefined && fleet.signal(`${machine}/${role}`, 'SIGKILL'), 8000 - (Date.now() - stopped));
    }
    await sleep(14000);
    // The check, for each engine: orders of two machines with one fence, a lower fence after a higher one, or two machines in turn
    // within the lease term. Orders that arrive within thawMs after the path is whole again don't count.
    let broken = 0;
    for (const { engine, healedAt } of relays) {
      const orders = engine.orders.filter(({ at }) => healedAt === undefined || at < healedAt || at > healedAt + thawMs);
      recorder.note(`engine ${engine.id}: ${orders.map(({ holderName, fenceNumber, at }) => `${holderName} fence ${fenceNumber} at ${at % 1000000}`).join(', ')}`);
      orders.forEach((order, index) => {
        for (const before of orders.slice(0, index)) {
          if (before.holderName === order.holderName) continue;
          const faults = [
            ...(before.fenceNumber === order.fenceNumber ? ['two holders share a fence'] : []),
            ...(order.fenceNumber < before.fenceNumber ? ['a lower fence follows a higher one'] : []),
            ...(order.at - before.at < leaseTermMs ? [`holders take turns within ${order.at - before.at} ms`] : []),
          ];
          if (faults.length === 0) continue;
          broken += 1;
          const text = `BROKEN ONE at engine ${engine.id}: ${before.holderName} (fence ${before.fenceNumber}), then ${order.holderName} (fence ${order.fenceNumber}): ${faults.join('; ')}`;
          recorder.note(text);
          console.log(text);
        }
      });
    }
    if (!relays.some(({ engine }) => engine.orders.length > 0)) return end(2);
    console.log(broken === 0 ? 'the rule held' : 'the rule was broken');
    return end(broken > 0 ? 1 : 0);
  } catch (error) {
    recorder.note(`the case could not run: ${error.stack}`);
    return end(2);
  }
};
void main();
