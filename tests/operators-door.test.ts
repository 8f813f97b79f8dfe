import assert from 'node:assert/strict';
import { mkdtempSync, rmSync } from 'node:fs';
import http from 'node:http';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { describe, test } from 'node:test';
import { platformDialect } from '../platform/operators/dialect';
import { platformOperatorsWords } from '../platform/operators/words';
import { KeeperDefaults } from '../source/core-keeper/controlSettings';
import type { OperatorsWords } from '../source/core-keeper/operators/operatorsWords';
import { ownOperatorsWords } from '../source/core-keeper/operators/ownWords';
import { startKeeper, type KeeperProgram } from '../source/core-keeper/program/keeperProgram';
import { SimBlueprints } from '../source/fleet-simulator/machines/simFleet';
import { ownDialect, type Dialect } from '../source/shared/blueprint/dialect';
import { realClock } from '../source/shared/effects/clock/realClock';
import { nodeDisk } from '../source/shared/effects/disk/nodeDisk';
import { realRandom } from '../source/shared/effects/random/random';
import { TcpTransport } from '../source/shared/effects/transport/tcpTransport';
import { platformDocument } from './support/platformDocument';

type Answered = Readonly<{ status: number; body: string; headers: http.IncomingHttpHeaders }>;

const call = (
  address: string,
  method: string,
  target: string,
  headers: Readonly<Record<string, string>> = {},
  body = '',
): Promise<Answered> =>
  new Promise((resolve, reject) => {
    const [host, port] = address.split(':');
    const order = http.request(
      { host, port: Number(port), method, path: target, headers, agent: false },
      (response) => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('end', () =>
          resolve({
            status: response.statusCode ?? 0,
            body: Buffer.concat(chunks).toString(),
            headers: response.headers,
          }),
        );
      },
    );
    order.on('error', reject);
    order.end(body);
  });

/** One keeper alone on a real disk and real conns; seeds that are not there leave it without a majority for ever. */
const withKeeper = async (
  words: OperatorsWords,
  dialect: Dialect,
  work: (program: KeeperProgram) => Promise<void>,
  seeds?: readonly string[],
): Promise<void> => {
  const folder = mkdtempSync(path.join(tmpdir(), 'postdrum-door-'));
  const member = { address: '127.0.0.1:1', operatorsAddress: '127.0.0.1:0', zone: '' };
  const program = await startKeeper({
    effects: { clock: realClock, random: realRandom, transport: new TcpTransport(realClock) },
    disk: await nodeDisk(folder),
    settings: {
      ...KeeperDefaults,
      name: 'only',
      member,
      listenAddress: '127.0.0.1:0',
      seeds: seeds ?? [member.address],
      founders: seeds?.length ?? 1,
      replaces: '',
    },
    dialect,
    words,
    door: { address: '127.0.0.1:0', answerMicroseconds: 850_000, answerMicrosecondsPerByte: 1 },
    broken: assert.fail,
  });
  try {
    await work(program);
  } finally {
    await program.stop();
    rmSync(folder, { recursive: true });
  }
};

/** The same call until it is clear, as operators do. */
const persist = async (ask: () => Promise<Answered>): Promise<Answered> => {
  let answered = await ask();
  for (let turn = 0; answered.status === 503 && turn < 20; turn += 1) answered = await ask();
  return answered;
};

describe('what every manner of operators gets from the door', () => {
  const own = JSON.stringify(SimBlueprints.first(), undefined, 1);
  const manners = [
    {
      what: 'own',
      words: ownOperatorsWords,
      dialect: ownDialect,
      path: '/blueprint',
      document: own,
      next: own.replace('1', '1 '),
      headers: (ifMatch: number, id: string) => ({ 'if-match': String(ifMatch), 'idempotency-key': id }),
      after: 1,
    },
    {
      what: 'platform',
      words: platformOperatorsWords,
      dialect: platformDialect,
      path: '/-/config',
      document: platformDocument(5),
      next: platformDocument(8),
      headers: (ifMatch: number) => ({ 'if-match': String(ifMatch) }),
      after: 5,
    },
  ];
  for (const { what, words, dialect, path: target, document, next, headers, after } of manners) {
    test(`${what}: taken, repeated, read back as sent, a lost race, a broken document, no If-Match`, () =>
      withKeeper(words, dialect, async ({ door: { address } }) => {
        const put = (text: string, ifMatch: number, id: string): Promise<Answered> =>
          call(address, 'PUT', target, headers(ifMatch, id), text);
        assert.equal((await persist(() => call(address, 'GET', target))).status, 404);
        assert.equal((await persist(() => put(document, 0, 'a'))).status, 200);
        assert.equal((await put(document, 0, 'a')).status, 200);
        const read = await call(address, 'GET', target);
        assert.deepEqual([read.status, read.body, read.headers['content-type']], [200, document, 'application/json']);
        assert.equal((await put(next, after + 1, 'b')).status, 412);
        const broken = await put(next.slice(0, -3), after, 'c');
        assert.ok([400, 422].includes(broken.status), `${broken.status}`);
        const bare = await call(address, 'PUT', target, { 'idempotency-key': 'd' }, next);
        assert.ok([400, 428].includes(bare.status), `${bare.status}`);
        assert.equal((await put(next, after, 'e')).status, 200);
        assert.equal((await call(address, 'GET', target)).body, next);
        assert.equal((await put(document, 0, 'a')).status, 200, 'the first outcome, though others were taken since');
        assert.equal((await call(address, 'GET', target)).body, next);
      }));

    test(`${what}: without a majority an operator hears soon that nothing is clear, never a refusal`, () =>
      withKeeper(
        words,
        dialect,
        async ({ door: { address } }) => {
          const began = realClock.nowMicroseconds();
          const answered = await Promise.all([
            call(address, 'PUT', target, headers(0, 'a'), document),
            call(address, 'GET', target),
          ]);
          assert.deepEqual(
            answered.map(({ status }) => status),
            [503, 503],
          );
          assert.ok(realClock.nowMicroseconds() - began < 3_000_000);
        },
        ['127.0.0.1:1', '127.0.0.1:2', '127.0.0.1:3'],
      ));
  }
});

test('platform: named items and weights, at their own paths', () =>
  withKeeper(platformOperatorsWords, platformDialect, async ({ keeper, door: { address } }) => {
    const target = '/-/config';
    assert.equal(
      (await persist(() => call(address, 'PUT', target, { 'if-match': '0' }, platformDocument(5)))).status,
      200,
    );
    const patch = JSON.stringify({ version: 6, remove: { routes: ['r-long'] } });
    const patched = await call(address, 'PATCH', target, { 'if-match': '5' }, patch);
    assert.equal(patched.status, 200);
    const read = JSON.parse((await call(address, 'GET', target)).body) as Record<string, { name: string }[]>;
    assert.deepEqual(
      read['routes']?.map(({ name }) => name),
      ['r-split'],
    );
    assert.equal(read['version'] as unknown, 6);
    assert.equal((await call(address, 'PATCH', target, { 'if-match': '5' }, patch)).status, 200);
    const weights = (version: number, model = 'model-a'): Promise<Answered> =>
      call(address, 'POST', '/-/version-put', {}, JSON.stringify({ model, version }));
    assert.equal((await weights(2)).status, 200);
    assert.equal((await weights(2)).status, 200);
    assert.equal((await weights(1)).status, 200);
    assert.equal((await weights(2, 'nobody')).status, 400);
    assert.deepEqual(JSON.parse((await call(address, 'GET', target)).body), read);
    const stored = await keeper.read('blueprint');
    assert.ok(stored.kind === 'read' && stored.text.startsWith('{"model-a":2}\n'));
    assert.equal((await call(address, 'GET', '/-/nothing')).status, 404);
  }));
