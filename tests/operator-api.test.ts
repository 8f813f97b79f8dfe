import assert from 'node:assert/strict';
import { mkdtempSync, rmSync } from 'node:fs';
import http from 'node:http';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { describe, test } from 'node:test';
import { platformConfigurationFormat } from '../platform/operators/configurationFormat';
import { platformOperatorApiFormat } from '../platform/operators/words';
import { ControlNodeDefaults } from '../source/core-keeper/controlNodeSettings';
import type { OperatorApiFormat } from '../source/core-keeper/operators/operatorApiFormat';
import { nativeOperatorApiFormat } from '../source/core-keeper/operators/nativeOperatorApiFormat';
import { startControlNode, type RunningControlNode } from '../source/core-keeper/program/controlNodeProgram';
import { SimBlueprints } from '../source/fleet-simulator/machines/simFleet';
import {
  nativeConfigurationFormat,
  type ConfigurationFormat,
} from '../source/shared/configuration/configurationFormat';
import { realClock } from '../source/shared/effects/clock/realClock';
import { nodeDisk } from '../source/shared/effects/disk/nodeDisk';
import { realRandom } from '../source/shared/effects/random/random';
import { TcpTransport } from '../source/shared/effects/transport/tcpTransport';
import { platformDocument } from './support/platformDocument';

type HttpResponse = Readonly<{ status: number; body: string; headers: http.IncomingHttpHeaders }>;

const call = (
  address: string,
  method: string,
  target: string,
  headers: Readonly<Record<string, string>> = {},
  body = '',
): Promise<HttpResponse> =>
  new Promise((resolve, reject) => {
    const [host, port] = address.split(':');
    const request = http.request(
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
    request.on('error', reject);
    request.end(body);
  });

/** Starts a single control node on a real disk and real connections. With unreachable seeds it never gets a majority. */
const withControlNode = async (
  words: OperatorApiFormat,
  dialect: ConfigurationFormat,
  work: (program: RunningControlNode) => Promise<void>,
  seeds?: readonly string[],
): Promise<void> => {
  const folder = mkdtempSync(path.join(tmpdir(), 'postdrum-door-'));
  const member = { address: '127.0.0.1:1', operatorsAddress: '127.0.0.1:0', zone: '' };
  const program = await startControlNode({
    effects: { clock: realClock, random: realRandom, transport: new TcpTransport(realClock) },
    disk: await nodeDisk(folder),
    settings: {
      ...ControlNodeDefaults,
      name: 'only',
      member,
      listenAddress: '127.0.0.1:0',
      seeds: seeds ?? [member.address],
      founders: seeds?.length ?? 1,
      replaces: '',
    },
    dialect,
    operatorApiFormat: words,
    operatorApi: { address: '127.0.0.1:0', answerMicroseconds: 850_000, answerMicrosecondsPerByte: 1 },
    onDiskFailure: assert.fail,
  });
  try {
    await work(program);
  } finally {
    await program.stop();
    rmSync(folder, { recursive: true });
  }
};

/** Repeats the same call until its outcome is known, as operators do. */
const retryWhileUnavailable = async (send: () => Promise<HttpResponse>): Promise<HttpResponse> => {
  let response = await send();
  for (let attempt = 0; response.status === 503 && attempt < 20; attempt += 1) response = await send();
  return response;
};

describe('operator API in each format', () => {
  const own = JSON.stringify(SimBlueprints.initial(), undefined, 1);
  const formats = [
    {
      name: 'own',
      words: nativeOperatorApiFormat,
      dialect: nativeConfigurationFormat,
      path: '/blueprint',
      document: own,
      next: own.replace('1', '1 '),
      headers: (ifMatch: number, id: string) => ({ 'if-match': String(ifMatch), 'idempotency-key': id }),
      after: 1,
    },
    {
      name: 'platform',
      words: platformOperatorApiFormat,
      dialect: platformConfigurationFormat,
      path: '/-/config',
      document: platformDocument(5),
      next: platformDocument(8),
      headers: (ifMatch: number) => ({ 'if-match': String(ifMatch) }),
      after: 5,
    },
  ];
  for (const { name, words, dialect, path: target, document, next, headers, after } of formats) {
    test(`${name}: accepts, repeats and returns documents as sent; refuses a stale base, a broken document, a missing If-Match`, () =>
      withControlNode(words, dialect, async ({ operatorApi: { address } }) => {
        const put = (text: string, ifMatch: number, id: string): Promise<HttpResponse> =>
          call(address, 'PUT', target, headers(ifMatch, id), text);
        assert.equal((await retryWhileUnavailable(() => call(address, 'GET', target))).status, 404);
        assert.equal((await retryWhileUnavailable(() => put(document, 0, 'a'))).status, 200);
        assert.equal((await put(document, 0, 'a')).status, 200);
        const read = await call(address, 'GET', target);
        assert.deepEqual([read.status, read.body, read.headers['content-type']], [200, document, 'application/json']);
        assert.equal((await put(next, after + 1, 'b')).status, 412);
        const broken = await put(next.slice(0, -3), after, 'c');
        assert.ok([400, 422].includes(broken.status), `${broken.status}`);
        const withoutIfMatch = await call(address, 'PUT', target, { 'idempotency-key': 'd' }, next);
        assert.ok([400, 428].includes(withoutIfMatch.status), `${withoutIfMatch.status}`);
        assert.equal((await put(next, after, 'e')).status, 200);
        assert.equal((await call(address, 'GET', target)).body, next);
        assert.equal(
          (await put(document, 0, 'a')).status,
          200,
          'the first outcome is kept, although other changes were accepted since',
        );
        assert.equal((await call(address, 'GET', target)).body, next);
      }));

    test(`${name}: without a majority, soon reports an unknown outcome instead of a refusal`, () =>
      withControlNode(
        words,
        dialect,
        async ({ operatorApi: { address } }) => {
          const startMicroseconds = realClock.nowMicroseconds();
          const responses = await Promise.all([
            call(address, 'PUT', target, headers(0, 'a'), document),
            call(address, 'GET', target),
          ]);
          assert.deepEqual(
            responses.map(({ status }) => status),
            [503, 503],
          );
          assert.ok(realClock.nowMicroseconds() - startMicroseconds < 3_000_000);
        },
        ['127.0.0.1:1', '127.0.0.1:2', '127.0.0.1:3'],
      ));
  }
});

test('platform: changes named items and weights at their own paths', () =>
  withControlNode(
    platformOperatorApiFormat,
    platformConfigurationFormat,
    async ({ controlNode: keeper, operatorApi: { address } }) => {
      const target = '/-/config';
      assert.equal(
        (await retryWhileUnavailable(() => call(address, 'PUT', target, { 'if-match': '0' }, platformDocument(5))))
          .status,
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
      const weights = (version: number, model = 'model-a'): Promise<HttpResponse> =>
        call(address, 'POST', '/-/version-put', {}, JSON.stringify({ model, version }));
      assert.equal((await weights(2)).status, 200);
      assert.equal((await weights(2)).status, 200);
      assert.equal((await weights(1)).status, 200);
      assert.equal((await weights(2, 'nobody')).status, 400);
      assert.deepEqual(JSON.parse((await call(address, 'GET', target)).body), read);
      const stored = await keeper.read('blueprint');
      assert.ok(stored.kind === 'read' && stored.text.startsWith('{"model-a":2}\n'));
      assert.equal((await call(address, 'GET', '/-/nothing')).status, 404);
    },
  ));
