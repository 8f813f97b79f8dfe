import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { after, before, describe, test } from 'node:test';
import { request } from 'undici';
import { platformConfigurationFormat } from '../platform/operators/configurationFormat';
import { platformCommandLineFormat } from '../platform/operators/commandLineFormat';
import { platformOperatorApiFormat } from '../platform/operators/words';
import { ControlNodeDefaults } from '../source/core-keeper/controlNodeSettings';
import type { OperatorApiFormat } from '../source/core-keeper/operators/operatorApiFormat';
import { nativeOperatorApiFormat } from '../source/core-keeper/operators/nativeOperatorApiFormat';
import { startControlNode, type RunningControlNode } from '../source/core-keeper/program/controlNodeProgram';
import { AgentDefaults, EdgeAgent } from '../source/edge-agent/edgeAgent';
import type { ListedEngine } from '../source/edge-agent/engine-list/engineLister';
import { FleetChecks } from '../source/postdrum/checking/fleetCheck';
import type { BackEndControl } from '../source/shared/back-end/protocol';
import {
  nativeConfigurationFormat,
  type ConfigurationFormat,
} from '../source/shared/configuration/configurationFormat';
import { realClock } from '../source/shared/effects/clock/realClock';
import { nodeDisk } from '../source/shared/effects/disk/nodeDisk';
import { realRandom } from '../source/shared/effects/random/random';
import { TcpTransport } from '../source/shared/effects/transport/tcpTransport';
import { GossipKeys, type EngineEntry } from '../source/shared/gossip/entryTypes';
import { freePort } from './support/freePort';
import { platformDocument } from './support/platformDocument';
import { until } from './support/realFleet';
import { bundlePrograms } from './support/bundlePrograms';

type CommandResult = Readonly<{ code: number | null; out: string; error: string }>;

const folder = mkdtempSync(path.join(tmpdir(), 'postdrum-line-'));

/** Starts a single control node with a real disk and real connections. */
const startNode = async (format: OperatorApiFormat, dialect: ConfigurationFormat): Promise<RunningControlNode> => {
  const [fleetPort, operatorsPort] = [await freePort(), await freePort()];
  const member = { address: `127.0.0.1:${fleetPort}`, operatorsAddress: `127.0.0.1:${operatorsPort}`, zone: '' };
  return startControlNode({
    effects: { clock: realClock, random: realRandom, transport: new TcpTransport(realClock) },
    disk: await nodeDisk(mkdtempSync(path.join(folder, 'keeper-'))),
    settings: {
      ...ControlNodeDefaults,
      name: 'only',
      member,
      seeds: [member.address],
      founders: 1,
      replaces: '',
    },
    dialect,
    operatorApiFormat: format,
    operatorApi: { address: member.operatorsAddress, answerMicroseconds: 850_000, answerMicrosecondsPerByte: 1 },
    onDiskFailure: assert.fail,
  });
};

const listedEngine = (name: string, service: string, number: number): ListedEngine => ({
  name,
  service,
  address: `127.0.0.1:${number}`,
  zone: 'z1',
  state: 'ready',
  capacity: 12,
  weights: service === 'lm' ? { 'model-a': '1' } : {},
});

/** Control endpoint of an engine that does not answer; the tests only read what agents report about it. */
const unresponsiveEndpoint: BackEndControl = {
  status: () => Promise.resolve(undefined),
  events: () => Promise.resolve(undefined),
  list: () => Promise.resolve(undefined),
  directive: () => Promise.resolve('unreachable'),
} as unknown as BackEndControl;

const startAgent = async (seed: string): Promise<Readonly<{ agent: EdgeAgent; close: () => Promise<void> }>> => {
  const transport = new TcpTransport(realClock);
  const agent = new EdgeAgent(
    { clock: realClock, random: realRandom, transport },
    unresponsiveEndpoint,
    {
      ...AgentDefaults,
      name: 'edge-1',
      zone: 'z1',
      address: `127.0.0.1:${await freePort()}`,
      proxyAddress: '127.0.0.1:2',
      pagesAddress: '',
      seeds: [seed],
      engineList: 'listed',
    },
    {
      page: () =>
        Promise.resolve({ engines: [listedEngine('i-1', 'lm', 11), listedEngine('i-2', 'desk', 12)], next: undefined }),
    },
    platformConfigurationFormat,
  );
  await agent.start();
  return {
    agent,
    close: async () => {
      await agent.stop();
      await transport.close();
    },
  };
};

describe('the command line with a fleet on the platform', () => {
  let controlNode: RunningControlNode;
  let nativeNode: RunningControlNode;
  const cleanups: (() => Promise<void>)[] = [];
  before(async () => {
    await bundlePrograms({ postdrum: path.join('platform', 'operators', 'commandLine.ts') }, folder);
    [controlNode, nativeNode] = await Promise.all([
      startNode(platformOperatorApiFormat, platformConfigurationFormat),
      startNode(nativeOperatorApiFormat, nativeConfigurationFormat),
    ]);
  });
  after(async () => {
    await Promise.all([controlNode.stop(), nativeNode.stop(), ...cleanups.map((close) => close())]);
    rmSync(folder, { recursive: true, force: true });
  });

  /** Runs the command asynchronously, because the control node that it queries runs in the same process. */
  const run = (args: readonly string[], core = controlNode.operatorApi.address): Promise<CommandResult> =>
    new Promise((resolve) => {
      const child = spawn(process.execPath, [path.join(folder, 'postdrum.cjs'), ...args], {
        stdio: ['ignore', 'pipe', 'pipe'],
        env: { PATH: process.env['PATH'], ...(core === '' ? {} : { POSTDRUM_CORE: core }) },
      });
      let [out, error] = ['', ''];
      child.stdout.on('data', (chunk: Buffer) => (out += chunk.toString()));
      child.stderr.on('data', (chunk: Buffer) => (error += chunk.toString()));
      child.on('close', (code) => resolve({ code, out, error }));
    });
  const written = (text: string): string => {
    const file = path.join(folder, 'intended.json');
    writeFileSync(file, text);
    return file;
  };
  const putConfiguration = (ifMatch: number, text: string): Promise<number> =>
    request(`http://${controlNode.operatorApi.address}/-/config`, {
      method: 'PUT',
      headers: { 'if-match': String(ifMatch) },
      body: text,
    }).then(async ({ statusCode, body }) => {
      await body.dump();
      return statusCode;
    });

  test('an invalid or failed call prints one line and exits with code 2', async () => {
    const calls: readonly (readonly [readonly string[], string?])[] = [
      [['status'], ''],
      [['status'], '127.0.0.1:1'],
      [['blueprint', 'check'], undefined],
      [['blueprint', 'check', path.join(folder, 'none.json')], undefined],
      [['blueprint', 'check', written(platformDocument(1))], '127.0.0.1:1'],
      // A fleet with the other configuration format can't check this document.
      [['blueprint', 'check', written(platformDocument(1))], nativeNode.operatorApi.address],
      [['blueprint', 'take', written(platformDocument(1))], undefined],
      [['engines', 'show'], undefined],
      [['frobnicate'], undefined],
      [['--odd'], undefined],
    ];
    for (const [args, core] of calls) {
      const { code, out, error } = await run(args, core);
      assert.deepEqual([code, out], [2, ''], `${args.join(' ')}: ${out}${error}`);
      assert.match(error, /^postdrum: [^\n]+\n$/, args.join(' '));
    }
    const bare = await run([], '');
    assert.equal(bare.code, 2);
    const help = await run(['--help'], '');
    assert.deepEqual([help.code, help.error], [0, '']);
  });

  test('status shows control nodes, agents without an HTTP address and listed engines; check uses them', async () => {
    await until('the first configuration', async () => (await putConfiguration(0, platformDocument(5))) === 200);
    const early = await run(['blueprint', 'check', written(platformDocument(6))]);
    assert.match(early.out, /^partial: some of the fleet did not answer\n/, early.error);
    const { agent, close } = await startAgent(controlNode.address);
    cleanups.push(close);
    await until('the agent knows the fleet and the list', () =>
      Promise.resolve(
        agent.freshness.revision('blueprint') > 0 &&
          Object.keys(agent.freshness.engines?.engines ?? {}).length === 2 &&
          controlNode.controlNode.agents().length === 1 &&
          // The findings below require that the stewards have reported the engines, which do not answer, as unreachable.
          agent.facts.value<EngineEntry>(GossipKeys.engine('i-1'))?.reachable === false,
      ),
    );
    const status = await run(['status', '--json']);
    assert.equal(status.code, 0, status.error);
    const statusReport = JSON.parse(status.out) as {
      partial: boolean;
      keepers: { keeper: string }[];
      agents: { agent: string; listed: Record<string, unknown> }[];
    };
    assert.deepEqual([statusReport.partial, statusReport.keepers.map(({ keeper: name }) => name)], [false, ['only']]);
    assert.deepEqual(
      statusReport.agents.map(({ agent: name, listed: engines }) => [name, Object.keys(engines)]),
      [['edge-1', ['i-1', 'i-2']]],
    );
    assert.ok(!status.out.includes('key-north'), 'no key is shown');
    const read = await run(['status']);
    assert.match(read.out, /^fleet \S+\nkeepers:\n {2}only: voting/);
    assert.match(read.out, /daemons:\n {2}edge-1: blueprint 1, engines \d+, age/);
    assert.equal((await run(['blueprint', 'show'])).out, platformDocument(5));

    const clean = await run(['blueprint', 'check', written(platformDocument(6))]);
    assert.doesNotMatch(clean.out, /partial/);
    assert.match(clean.out, /nothing would change/);
    const findingsText = clean.out.slice(clean.out.indexOf('findings:'));
    assert.deepEqual(findingsText.trim().split('\n'), [
      'findings:',
      '  /services/lm: engine i-1 is listed as ready and no steward reaches it',
    ]);
    assert.equal(clean.code, 1);
    const withUnusedService = JSON.parse(platformDocument(6)) as { services: unknown[] };
    withUnusedService.services.push({
      name: 'lonely',
      healthPath: '/health',
      maxConns: 10,
      protocol: 'h1',
      tlsMode: false,
    });
    const checked = await run(['blueprint', 'check', written(JSON.stringify(withUnusedService)), '--json']);
    assert.equal(checked.code, 1);
    assert.match(checked.out, /no engine is listed for it/);
    await cleanups.pop()?.();
    const gone = await run(['status']);
    assert.match(gone.out, /^partial: no answer from agent edge-1\n/);
  });

  test('check reports each fault for which a change would be rejected, with its path', async () => {
    const old = await run(['blueprint', 'check', written(platformDocument(5, { limits: {} }))]);
    assert.deepEqual([old.code, old.out], [1, 'fault /version: is not above the present one, 5\n']);
    for (const text of ['', '{', '[]', '{"version":9,"routes":[{"name":"r"}],"services":[]}']) {
      const { code, out, error } = await run(['blueprint', 'check', written(text)]);
      assert.equal(code, 1, error);
      assert.match(out, /^fault /, text);
    }
  });

  test('a control node answers 404 for an unknown agent', async () => {
    const { statusCode, body } = await request(`http://${controlNode.operatorApi.address}/agents/nobody`);
    assert.deepEqual([statusCode, Object.keys((await body.json()) as object)], [404, ['error']]);
  });
});

test('a service used only in a traffic split and a class used only by tenants count as used', () => {
  const read = platformCommandLineFormat.read(
    platformDocument(5, { tenants: [{ name: 't', apiKeys: ['k'], priority: 4 }] }),
  );
  assert.ok(read.kind === 'good');
  const { findings } = FleetChecks.run(read.value, read.value, { engines: {} }, [], false);
  assert.deepEqual(
    findings.filter(({ finding }) => finding.startsWith('no mapping')),
    [],
  );
});
