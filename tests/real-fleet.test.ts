import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { existsSync, mkdtempSync, readFileSync, rmSync, truncateSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { after, before, describe, test } from 'node:test';
import { request } from 'undici';
import { LocalFleet, type EdgeMachine } from '../source/fleet-runner/machines/fleet';
import { Programs } from './support/programs';
import { call, chat, key, order, ranTimes as recordedRuns, smallShape, until, type Reply } from './support/realFleet';

const folder = mkdtempSync(path.join(tmpdir(), 'postdrum-real-'));
const blueprint = JSON.parse(readFileSync('examples/koro-sea.json', 'utf8')) as Record<
  string,
  Record<string, Record<string, unknown>>
>;
(blueprint['tenants'] ??= {})['brief'] = { walled: false, keys: ['koro-brief-key-1'] };

describe('a real fleet of processes', () => {
  const fleet = new LocalFleet(folder, smallShape);
  let revision = 0;
  let changes = 0;
  const edge = (index: number): EdgeMachine => fleet.edges[index] as EdgeMachine;
  const take = async (): Promise<void> => {
    changes += 1;
    const taken = await fleet.take('blueprint', JSON.stringify(blueprint), revision, `change-${changes}`);
    assert.equal(taken.status, 200, taken.body);
    revision += 1;
  };
  const ranTimes = (nonce: string): number => recordedRuns(fleet, nonce);

  before(async () => {
    await fleet.prepare();
    fleet.startAll();
    await take();
    assert.equal((await fleet.take('engines', fleet.engineList(), 0, 'engines-1')).status, 200);
    assert.ok(await fleet.untilFresh(1, 20_000), 'the fleet came up');
  });
  after(async () => {
    await fleet.stopAll();
    rmSync(folder, { recursive: true, force: true });
  });

  test('an order is answered and streamed to its end', async () => {
    const reply = await call(edge(0), order('whole-1'));
    assert.equal(reply.status, 200);
    assert.ok(reply.whole && reply.text.endsWith('data: [DONE]\n\n'));
    assert.equal(ranTimes('whole-1'), 1);
  });

  test('an order to the application engine is mapped by its path', async () => {
    const reply = await call(edge(0), '{"slip":"nonce:app-1"}', undefined, '/slips/print');
    assert.equal(reply.status, 200);
    assert.ok(reply.text.includes('app-1'));
  });

  test('bad orders are refused at once, each with a verdict and a code', async () => {
    const cases: readonly (readonly [string, Promise<Reply>, number, string])[] = [
      ['no key', call(edge(0), order('bad-1'), {}), 401, 'noKey'],
      ['unknown key', call(edge(0), order('bad-2'), { authorization: 'Bearer nobody-knows' }), 401, 'unknownKey'],
      ['no mapping', call(edge(0), order('bad-3', 'no-such-model')), 404, 'noMapping'],
      ['no path', call(edge(0), order('bad-4'), undefined, '/nowhere'), 404, 'noMapping'],
      ['broken JSON', call(edge(0), '{"model":'), 400, 'badBody'],
      ['not an object', call(edge(0), '[1]'), 400, 'badBody'],
      ['too large', call(edge(0), JSON.stringify({ model: 'slip-tag', pad: 'x'.repeat(5_000_000) })), 413, 'tooLarge'],
    ];
    for (const [what, asked, status, code] of cases) {
      const reply = await asked;
      assert.equal(reply.status, status, what);
      assert.equal(reply.headers['postdrum-verdict'], 'notRun', what);
      assert.equal((JSON.parse(reply.text) as { error: { code: string } }).error.code, code, what);
    }
  });

  test("garbage on the callers' port closes that conn and nothing else", async () => {
    const [host, port] = edge(0).proxyAddress.split(':');
    await new Promise<void>((resolve) => {
      const socket = net.connect(Number(port), host, () => socket.write('\u0000\u0001garbage\r\n\r\n'));
      socket.on('error', () => undefined);
      socket.on('close', () => resolve());
      socket.resume();
    });
    assert.equal((await call(edge(0), order('after-garbage'))).status, 200);
  });

  test('a slow reader gets every part of its answer', async () => {
    const [host, port] = edge(1).proxyAddress.split(':');
    const body = JSON.stringify(order('slow-1', 'slip-tag', 400));
    const received = await new Promise<string>((resolve, reject) => {
      const sent = http.request(
        { host, port, path: chat, method: 'POST', headers: { authorization: `Bearer ${key}` } },
        (response) => {
          let text = '';
          response.on('data', (chunk: Buffer) => {
            text += chunk.toString();
            response.pause();
            setImmediate(() => response.resume());
          });
          response.on('end', () => resolve(text));
          response.on('error', reject);
        },
      );
      sent.end(body);
    });
    assert.ok(received.endsWith('data: [DONE]\n\n'));
    assert.equal(received.split('\n\n').length, 402);
  });

  test('a caller that leaves ends its send, and the engine has its place again', async () => {
    const [host, port] = edge(2).proxyAddress.split(':');
    await new Promise<void>((resolve) => {
      const sent = http.request(
        { host, port, path: chat, method: 'POST', headers: { authorization: `Bearer ${key}` } },
        (response) => {
          response.once('data', () => {
            sent.destroy();
            resolve();
          });
          response.on('error', () => undefined);
        },
      );
      sent.on('error', () => undefined);
      sent.end(JSON.stringify(order('left-1', 'slip-tag', 900)));
    });
    await until('the engine to note the cut', () =>
      Promise.resolve(
        fleet.backEnds.some(
          ({ record }) =>
            existsSync(record) &&
            readFileSync(record, 'utf8')
              .split('\n')
              .some((line) => line.includes('"nonce":"left-1"') && line.includes('"ended":"cut"')),
        ),
      ),
    );
  });

  test('a key removed on a live conn is refused within the clock, the other key goes on', async () => {
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    const [host, port] = edge(0).proxyAddress.split(':');
    const ask = (withKey: string): Promise<number> =>
      new Promise((resolve, reject) => {
        const sent = http.request(
          { host, port, path: chat, method: 'POST', agent, headers: { authorization: `Bearer ${withKey}` } },
          (response) => {
            response.resume();
            response.on('end', () => resolve(response.statusCode ?? 0));
          },
        );
        sent.on('error', reject);
        sent.end(JSON.stringify(order('live', 'slip-tag', 1)));
      });
    assert.equal(await ask('koro-brief-key-1'), 200);
    delete (blueprint['tenants'] ?? {})['brief'];
    await take();
    const taken = performance.now();
    await until('the key to be refused', async () => (await ask('koro-brief-key-1')) === 401, 5000);
    assert.ok(performance.now() - taken < 2000);
    assert.equal(await ask(key), 200);
    agent.destroy();
  });

  test('an engine killed in its stream shows as a cut answer, and a non-resumable order runs once', async () => {
    const running = call(edge(1), order('cut-1', 'tariff-check', 900));
    let victim: (typeof fleet.backEnds)[number] | undefined;
    await until('the order to run', async () => {
      for (const backEnd of fleet.backEnds.filter(({ kind }) => kind === 'engine')) {
        const status = JSON.parse(await fleet.page(`http://${backEnd.address}/ready`)) as { inFlight: number };
        if (status.inFlight > 0) victim = backEnd;
      }
      return victim !== undefined;
    });
    await victim?.child.kill();
    const reply = await running;
    assert.ok(
      !reply.whole || (reply.status === 502 && reply.headers['postdrum-verdict'] === 'mayHaveRun'),
      `${reply.status} ${reply.whole}`,
    );
    assert.ok(!reply.text.includes('[DONE]'));
    victim?.child.start();
    await until(
      'the engine to be ready again',
      async () => (await fleet.page(`http://${victim?.address}/ready`)) !== '',
    );
    assert.equal(ranTimes('cut-1'), 0, 'killed before it could write its record, and sent to no other');
  });

  test('proxies stopped with a warning one by one drop nothing they had read', async () => {
    const calls: Promise<Reply>[] = [];
    for (const machine of fleet.edges) {
      const inFlight = Array.from({ length: 6 }, (_, number) =>
        call(machine, order(`stop-${machine.name}-${number}`, 'slip-tag', 40)),
      );
      calls.push(...inFlight);
      await until('the orders to run', async () =>
        /postdrum_running_sends [1-9]/.test(await fleet.page(`http://${machine.proxyAddress}/-/metrics`)),
      );
      const began = performance.now();
      const code = await machine.proxy.term();
      assert.equal(code, 0);
      assert.ok(performance.now() - began < 10_000, 'the stop waited for idle conns');
      machine.proxy.start();
      await until('the proxy to be fresh again', async () =>
        (await fleet.page(`http://${machine.proxyAddress}/-/health`)).includes('true'),
      );
    }
    for (const reply of await Promise.all(calls))
      assert.ok(
        reply.status === 200
          ? reply.whole && reply.text.includes('[DONE]')
          : reply.status === 0 || reply.headers['postdrum-verdict'] === 'notRun',
        `${reply.status} ${reply.whole} ${reply.text}`,
      );
    assert.ok((await Promise.all(calls)).filter(({ status }) => status === 200).length >= calls.length - 3);
  });

  test('a daemon frozen over a change does not act on the old setup when it wakes', async () => {
    const machine = edge(2);
    (blueprint['tenants'] ??= {})['frozen'] = { walled: false, keys: ['koro-frozen-key-1'] };
    await take();
    await until(
      'the key to be known',
      async () =>
        (await call(machine, order('frozen-0'), { authorization: 'Bearer koro-frozen-key-1' })).status === 200,
    );
    machine.proxy.signal('SIGSTOP');
    machine.agent.signal('SIGSTOP');
    delete (blueprint['tenants'] ?? {})['frozen'];
    await take();
    const asked = Array.from({ length: 5 }, (_, number) =>
      call(machine, order(`frozen-${number + 1}`), { authorization: 'Bearer koro-frozen-key-1' }),
    );
    const began = performance.now();
    await until(
      'two seconds to pass while other machines serve',
      async () => (await call(edge(0), order('meanwhile'))).status === 200 && performance.now() - began > 2100,
    );
    machine.proxy.signal('SIGCONT');
    machine.agent.signal('SIGCONT');
    for (const reply of await Promise.all(asked)) assert.notEqual(reply.status, 200);
    for (let number = 1; number <= 5; number += 1) assert.equal(ranTimes(`frozen-${number}`), 0);
    await until('the machine to serve again', async () => (await call(machine, order('thawed'))).status === 200);
  });

  test('all keepers killed, one file torn: nothing taken is lost, and changes go on', async () => {
    const text = JSON.stringify(blueprint);
    await Promise.all(fleet.keepers.map(({ child }) => child.kill()));
    const torn = path.join(folder, 'keeper-1', 'keeper.ledger');
    const whole = readFileSync(torn);
    writeFileSync(torn, Buffer.concat([whole, Buffer.from([0, 0, 1, 7, 9, 9])]));
    for (const { child } of fleet.keepers) child.start();
    const started = performance.now();
    await until(
      'the setup to be read back',
      async () => (await fleet.page(`http://${fleet.keepers[0]?.operatorsAddress}/blueprint`)) === text,
    );
    await until('every machine to serve', async () =>
      (await Promise.all(fleet.edges.map((machine) => call(machine, order('back'))))).every(
        ({ status }) => status === 200,
      ),
    );
    assert.ok(performance.now() - started < 12_000);
    await take();
  });

  test('a keeper with an emptied folder catches up and votes again; a damaged one refuses with one sentence', async () => {
    const keeper = fleet.keepers[1];
    assert.ok(keeper !== undefined);
    await keeper.child.kill();
    const file = path.join(folder, keeper.name, 'keeper.ledger');
    const whole = readFileSync(file);
    whole[20] = (whole[20] ?? 0) ^ 0xff;
    writeFileSync(file, whole);
    keeper.child.start();
    assert.equal(await keeper.child.stopped(), 1);
    assert.match(readFileSync(path.join(folder, `${keeper.name}.log`), 'utf8'), /damaged at byte/);
    truncateSync(file, 0);
    keeper.child.start();
    await until('the keeper to vote', async () =>
      (await fleet.page(`http://${keeper.operatorsAddress}/status`)).includes('"standing":"voting","fleet"'),
    );
    assert.match(await fleet.page(`http://${keeper.operatorsAddress}/status`), /"incarnation":1/);
  });

  test("the operators' door refuses plainly", async () => {
    const at = `http://${fleet.keepers[0]?.operatorsAddress}/blueprint`;
    const put = async (
      body: string,
      headers: Record<string, string>,
    ): Promise<Readonly<{ status: number; body: { outcome?: string; faults?: { path: string }[] } }>> => {
      const answer = await request(at, { method: 'PUT', body, headers });
      return {
        status: answer.statusCode,
        body: (await answer.body.json()) as { outcome?: string; faults?: { path: string }[] },
      };
    };
    const now = { 'if-match': `"${revision}"` };
    assert.equal((await put('{}', { 'idempotency-key': 'x1' })).status, 428);
    assert.equal((await put('{}', now)).status, 400);
    assert.equal((await put('{', { ...now, 'idempotency-key': 'x2' })).status, 422);
    assert.equal((await put('x'.repeat(5_000_000), { ...now, 'idempotency-key': 'x3' })).status, 413);
    assert.equal((await put(JSON.stringify(blueprint), { 'if-match': '"1"', 'idempotency-key': 'x4' })).status, 412);
    const faulty = await put(
      JSON.stringify({ ...blueprint, odd: 1, classes: { checks: { rank: 'first', sharePerMille: 5000 } } }),
      { ...now, 'idempotency-key': 'x5' },
    );
    assert.equal(faulty.status, 422);
    assert.deepEqual(faulty.body.faults?.map((fault) => fault.path).sort(), [
      '/classes/checks/rank',
      '/classes/checks/sharePerMille',
      '/odd',
    ]);
    assert.equal(await fleet.page(at), JSON.stringify(blueprint));
  });

  test('the command line: status, check, take and patch with their exit codes', async () => {
    const core = fleet.keepers.map(({ operatorsAddress }) => operatorsAddress).join(',');
    const run = (...words: string[]): Readonly<{ code: number | null; out: string; error: string }> => {
      const done = spawnSync(process.execPath, ['dist/postdrum.cjs', ...words], {
        encoding: 'utf8',
        env: { ...process.env, POSTDRUM_CORE: core },
      });
      return { code: done.status, out: done.stdout, error: done.stderr };
    };
    const file = path.join(folder, 'intended.json');
    writeFileSync(file, JSON.stringify(blueprint));
    // Why wait: all keepers began anew in the tests before, and know an agent again from its second reading on.
    await until('each keeper to have met all agents', async () => {
      const pages = await Promise.all(
        fleet.keepers.map(({ operatorsAddress }) => fleet.page(`http://${operatorsAddress}/status`)),
      );
      return pages.every((page) => page !== '' && (JSON.parse(page) as { agents: unknown[] }).agents.length === 3);
    });
    const clean = run('blueprint', 'check', file);
    assert.equal(clean.code, 0, clean.out);
    assert.equal(run('blueprint', 'show').out, JSON.stringify(blueprint));
    const status = run('status', '--json');
    assert.equal(status.code, 0);
    const seen = JSON.parse(status.out) as { keepers: unknown[]; agents: unknown[]; partial: boolean };
    assert.deepEqual([seen.keepers.length, seen.agents.length, seen.partial], [3, 3, false]);
    writeFileSync(
      file,
      JSON.stringify({ ...blueprint, services: { ...blueprint['services'], lonely: { kind: 'app' } } }),
    );
    const checked = run('blueprint', 'check', file);
    assert.equal(checked.code, 1);
    assert.match(checked.out, /no engine is listed/);
    writeFileSync(file, '{"changes":[{"put":"/classes/office/rank","value":7}]}');
    assert.equal(run('blueprint', 'patch', file).code, 0);
    assert.equal(
      (JSON.parse(run('blueprint', 'show').out) as { classes: { office: { rank: number } } }).classes.office.rank,
      7,
    );
    writeFileSync(file, '{"changes":[{"put":"/classes/office/rank","value":"high"}]}');
    const refused = run('blueprint', 'patch', file);
    assert.equal(refused.code, 1);
    assert.match(refused.error, /\/classes\/office\/rank/);
    assert.equal(run('blueprint', 'take', path.join(folder, 'nowhere.json')).code, 2);
    assert.equal(run('frobnicate').code, 2);
    assert.equal(run('--help').code, 0);
    await fleet.keepers[2]?.child.kill();
    const partial = run('status');
    assert.equal(partial.code, 0);
    assert.match(partial.out, /^partial: no answer from/);
  });
});

test('wrong settings and an address in use: one sentence on stderr and a code that is not 0', async () => {
  const wrong = Programs.run('edge-proxy', ['--name', 'x', '--address', 'nowhere', '--agent', '127.0.0.1:1']);
  assert.equal(wrong.code, 2);
  assert.match(wrong.error, /^edge-proxy: the settings are wrong: .*address.*\n$/);
  assert.equal(Programs.run('edge-agent', ['--nonsense', '1']).code, 2);
  assert.equal(Programs.run('core-keeper', ['--settings', path.join(tmpdir(), 'no-such-file.json')]).code, 2);
  assert.equal(Programs.run('edge-proxy', ['--help']).code, 0);
  const server = net.createServer().listen(0, '127.0.0.1');
  await new Promise((resolve) => server.once('listening', resolve));
  const { port } = server.address() as net.AddressInfo;
  const used = await Programs.start('edge-proxy', [
    '--name',
    'x',
    '--address',
    `127.0.0.1:${port}`,
    '--agent',
    '127.0.0.1:1',
  ]);
  assert.equal(used.code, 1);
  assert.match(used.error, /^edge-proxy: the address is in use .*\n$/);
  server.close();
});

test('the command line without a fleet: one sentence and code 2; an import never fetches', () => {
  const nobody = Programs.run('postdrum', ['status', '--core', '127.0.0.1:1']);
  assert.equal(nobody.code, 2);
  assert.equal(nobody.error.split('\n').length, 2);
  const file = path.join(mkdtempSync(path.join(tmpdir(), 'postdrum-api-')), 'api.yaml');
  writeFileSync(
    file,
    'openapi: 3.0.0\ninfo: {title: t, version: "1"}\npaths:\n  /slips/print:\n    post: {responses: {"200": {description: ok}}}\n  /slips/list:\n    get: {responses: {"200": {description: ok}}}\n',
  );
  const good = Programs.run('postdrum', ['mapping', 'import', file, '--service', 'slips', '--class', 'office']);
  assert.equal(good.code, 0, good.error);
  assert.deepEqual(JSON.parse(good.out), {
    changes: [
      {
        put: '/mappings/slips-print',
        value: { path: '/slips/print', model: '', service: 'slips', class: 'office', resumable: false },
      },
      {
        put: '/mappings/slips-list',
        value: { path: '/slips/list', model: '', service: 'slips', class: 'office', resumable: true },
      },
    ],
  });
  writeFileSync(
    file,
    'openapi: 3.0.0\ninfo: {title: t, version: "1"}\npaths:\n  /a:\n    $ref: "http://127.0.0.1:1/a.yaml"\n',
  );
  const remote = Programs.run('postdrum', ['mapping', 'import', file, '--service', 's', '--class', 'c']);
  assert.equal(remote.code, 2);
  assert.match(remote.error, /not fetched/);
  writeFileSync(file, '{"openapi": 7');
  assert.equal(Programs.run('postdrum', ['mapping', 'import', file, '--service', 's', '--class', 'c']).code, 2);
});
