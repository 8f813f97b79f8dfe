import assert from 'node:assert/strict';
import { spawn, type ChildProcess } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { after, before, describe, test } from 'node:test';
import { stringify } from 'yaml';
import { PlatformAgentSettings } from '../platform/settings/agentSettings';
import { PlatformSettings } from '../platform/settings/platformSettings';
import { PlatformProxySettings } from '../platform/settings/proxySettings';
import { AgentDefaults, EdgeAgent } from '../source/edge-agent/edgeAgent';
import { EngineListDefaults, EngineListKeeper } from '../source/edge-agent/engine-list/engineListKeeper';
import { EdgeProxy, type ProxySettings } from '../source/edge-proxy/edgeProxy';
import { StalenessGuard } from '../source/edge-proxy/identification/stalenessGuard';
import { RetryBudget } from '../source/edge-proxy/sends/retryBudget';
import { World } from '../source/fleet-simulator/world/world';
import type { BackEndDoor, BackEndSender } from '../source/shared/back-end/protocol';
import type { Message, Transport } from '../source/shared/effects/transport/transport';
import { Freshness } from '../source/shared/freshness/freshness';
import { SettingsChanges } from '../source/shared/settings/settingsChange';
import { SettingsWatch } from '../source/shared/settings/settingsWatch';
import { freePort } from './support/freePort';
import { until } from './support/realFleet';
import { bundled, platformSources } from './support/bundled';

const file = {
  nodeName: 'edge-a-1',
  ip: '127.0.0.1',
  zone: 'a',
  listen: { publicHttp: '127.0.0.1:0', readiness: '127.0.0.1:0' },
  internalPorts: [7640, 7655],
  seedPeers: ['127.0.0.1:9'],
  bounds: { graceS: 8, retryRatio: 0.2, retrySlack: 58, retryWindowS: 10, versionMs: 8000 },
  cloudApi: { address: '127.0.0.1:9', ratePerS: 47 },
};
const read = (change: Readonly<Record<string, unknown>> = {}): PlatformSettings => {
  const found = PlatformSettings.parse(stringify({ ...file, ...change }));
  if (found.kind === 'wrong') throw new Error(found.sentence);
  return found.settings;
};

describe('the watch on a settings file', () => {
  type Desk = { text: string; mark: string; reads: number; taken: string[]; told: string[] };
  const watched = (world: World, desk: Desk, inForce: string): SettingsWatch<string> => {
    const watch = new SettingsWatch<string>(
      world.clock,
      {
        text: () => {
          desk.reads += 1;
          return desk.text;
        },
        mark: () => desk.mark,
        parse: (text) =>
          text.startsWith('good') ? { kind: 'read', settings: text } : { kind: 'wrong', sentence: 'not good' },
      },
      (sentence) => desk.told.push(sentence),
      inForce,
    ).start();
    watch.news.on('changed', (value) => void desk.taken.push(value));
    return watch;
  };

  test('reads the text only when its mark is another, and seldom all the same', async () => {
    const world = new World(1);
    const desk: Desk = { text: 'good 1', mark: 'a', reads: 0, taken: [], told: [] };
    const watch = watched(world, desk, 'good 1');
    assert.equal(desk.reads, 0, 'the start costs no read');
    await world.runFor(60_000_000);
    assert.ok(desk.reads <= 8, `${desk.reads} reads in a minute`);
    Object.assign(desk, { text: 'good 2', mark: 'b' });
    await world.runFor(1_100_000);
    assert.deepEqual(desk.taken, ['good 2'], 'within about a second');
    Object.assign(desk, { text: 'good 3' });
    await world.runFor(11_000_000);
    assert.deepEqual(desk.taken, ['good 2', 'good 3'], 'also where the mark says nothing');
    Object.assign(desk, { text: 'good 4' });
    await watch.look();
    assert.deepEqual(desk.taken.at(-1), 'good 4', 'at a signal the mark does not count');
    watch.stop();
  });

  test('what changed between the start and the watch is seen; what is wrong is told once and kept out', async () => {
    const world = new World(1);
    const desk: Desk = { text: 'good 2', mark: 'a', reads: 0, taken: [], told: [] };
    const watch = watched(world, desk, 'good 1');
    await world.runFor(2_000_000);
    assert.deepEqual(desk.taken, ['good 2']);
    Object.assign(desk, { text: 'half', mark: 'b' });
    await world.runFor(30_000_000);
    Object.assign(desk, { mark: 'c' });
    await world.runFor(30_000_000);
    assert.deepEqual([desk.taken, desk.told.length], [['good 2'], 1]);
    watch.stop();
  });
});

test('of changed settings only what may change is taken, and what waits is named', () => {
  const before = { seeds: ['a'], bound: Infinity, name: 'n', other: 1 };
  const change = SettingsChanges.of(before, { ...before, seeds: ['b'], bound: 5, name: 'm' }, ['seeds', 'bound']);
  assert.deepEqual(change.settings, { ...before, seeds: ['b'], bound: 5 });
  assert.equal(
    SettingsChanges.sentence(change),
    'The settings have changed; in force now: seeds, bound; only after a restart: name.',
  );
  const none = SettingsChanges.of(before, { ...before, seeds: ['a'] }, ['seeds']);
  assert.equal(SettingsChanges.sentence(none), undefined);
});

test('a retry budget goes over to other bounds: neither what it has nor what it hopes for is above them', async () => {
  const world = new World(1);
  const wide = { perMille: 500, fleetAllowance: 90, allowanceMicroseconds: 10_000_000, leastDaemons: 9 };
  const budget = new RetryBudget(world.clock, () => 9, wide);
  for (let number = 0; number < 200; number += 1) budget.first();
  budget.settingsAre({ ...wide, perMille: 100, fleetAllowance: 9 });
  assert.deepEqual([budget.spend(), budget.spend()], [true, false], 'one is kept, as under the new bounds');
  for (let number = 0; number < 9; number += 1) budget.first();
  assert.equal(budget.spend(), false);
  budget.first();
  assert.equal(budget.spend(), true, 'ten first sends earn one');
  const other = new RetryBudget(world.clock, () => 9, { ...wide, perMille: 0, fleetAllowance: 9 });
  await world.runFor(500_000);
  other.settingsAre(wide);
  for (let number = 0; number < 20; number += 1) other.first();
  const spent = Array.from({ length: 20 }, () => other.spend()).filter(Boolean);
  assert.equal(spent.length, 10, 'what the wider bounds allow');
});

test('a fence goes over to other bounds at once', async () => {
  const world = new World(1);
  const freshness = new Freshness(world.clock, undefined, 'listed');
  const fence = new StalenessGuard(freshness, world.clock, Infinity);
  assert.equal(fence.isFresh(), false, 'nothing is known');
  freshness.ageMicroseconds = () => world.nowMicroseconds;
  await world.runFor(4_000_000);
  assert.equal(fence.isFresh(), true);
  fence.setBounds(3_000_000, 1_000_000);
  assert.equal(fence.isFresh(), false);
  fence.setBounds(5_000_000, 1_000_000);
  assert.equal(fence.isFresh(), true);
});

/** A transport that reaches nobody and keeps whom it was to reach. */
const silent = (asked: string[]): Transport =>
  ({
    listen: (address: string) => Promise.resolve({ address, close: () => Promise.resolve() }),
    ask: (address: string, message: Message) => {
      asked.push(`${message.kind} ${address}`);
      return Promise.resolve({ kind: 'failed' });
    },
    close: () => Promise.resolve(),
  }) as unknown as Transport;

test('an agent goes over to other seeds and another list; its own address waits for a restart', async () => {
  const world = new World(1);
  const asked: string[] = [];
  const lists: string[] = [];
  const settings = {
    ...AgentDefaults,
    ...PlatformAgentSettings.of(read()),
    seeds: ['10.0.0.1:1'],
    listAddress: '10.9.0.1:1',
  };
  const agent = new EdgeAgent(
    { clock: world.clock, random: world.random, transport: silent(asked) },
    {} as BackEndDoor,
    settings,
    {
      page: (_from, _limit, address) => {
        lists.push(address);
        return Promise.resolve(undefined);
      },
    },
  );
  await agent.start();
  await world.runFor(10_000_000);
  assert.deepEqual([...new Set(lists)], ['10.9.0.1:1']);
  assert.ok(asked.every((line) => line.endsWith(' 10.0.0.1:1')) && asked.length > 0);
  asked.length = 0;
  lists.length = 0;
  agent.settingsAre({
    ...settings,
    seeds: ['10.0.0.2:1', '10.0.0.3:1'],
    listAddress: '10.9.0.2:1',
    address: '10.5.5.5:1',
  });
  await world.runFor(10_000_000);
  assert.deepEqual([...new Set(lists)], ['10.9.0.2:1']);
  assert.deepEqual([...new Set(asked.map((line) => line.split(' ')[1]))].sort(), ['10.0.0.2:1', '10.0.0.3:1']);
  await agent.stop();
});

test('the list is asked for where the settings of that moment say', async () => {
  const world = new World(1);
  const asked: string[] = [];
  const keeper = new EngineListKeeper(
    { page: (_from, _limit, address) => Promise.resolve(void asked.push(address)) },
    new Freshness(world.clock, undefined, 'listed'),
    () => 1,
    world.clock,
    world.random,
    { ...EngineListDefaults, address: '10.9.0.1:1' },
    () => 1,
    () => undefined,
  );
  await keeper.read();
  keeper.settingsAre({ address: '10.9.0.2:1' });
  await keeper.read();
  assert.deepEqual(asked, ['10.9.0.1:1', '10.9.0.2:1']);
});

test('a proxy goes over to the bounds of its settings, not to another name', () => {
  const world = new World(1);
  const proxy = new EdgeProxy(
    { clock: world.clock, random: world.random, transport: silent([]) },
    {} as BackEndSender,
    PlatformProxySettings.of(read()),
  );
  const inForce = (): ProxySettings => (proxy as unknown as { settings: ProxySettings }).settings;
  const before = inForce();
  proxy.settingsAre(
    PlatformProxySettings.of(
      read({
        nodeName: 'other',
        bounds: { ...file.bounds, retryRatio: 0.1, retrySlack: 10, revokeEverywhere: true, versionMs: 6000 },
      }),
    ),
  );
  const { retryPerMille, retryFleetAllowance, freshMicroseconds, weightsCutMicroseconds, name } = inForce();
  assert.deepEqual(
    [retryPerMille, retryFleetAllowance, freshMicroseconds, weightsCutMicroseconds, name],
    [90, 4, 4_500_000, 4_000_000, 'edge-a-1'],
  );
  assert.equal(before.freshMicroseconds, Infinity);
});

describe("the platform's programs on an edge machine", () => {
  const folder = mkdtempSync(path.join(tmpdir(), 'settings-change-'));
  const programs = ['edge-agent', 'edge-proxy'];
  const running: ChildProcess[] = [];
  after(() => {
    for (const child of running) child.kill('SIGKILL');
    rmSync(folder, { recursive: true, force: true });
  });
  before(async () => {
    await bundled(platformSources(programs), folder);
  });

  const changed: Readonly<Record<string, Readonly<{ settings: Record<string, unknown>; said: RegExp }>>> = {
    'edge-agent': {
      settings: { seedPeers: ['127.0.0.1:9', '127.0.0.1:10'], cloudApi: { address: '127.0.0.1:11' } },
      said: /in force now: .*listAddress/,
    },
    'edge-proxy': {
      settings: { bounds: { ...file.bounds, retryRatio: 0.1 } },
      said: /in force now: retryPerMille/,
    },
  };

  for (const program of programs)
    test(`${program} takes a changed file, with and without a signal; a wrong one is told once and kept out`, async () => {
      const settings = path.join(folder, `${program}.yaml`);
      const port = await freePort();
      const sound = { ...file, internalPorts: [port, port] };
      const write = (change: Readonly<Record<string, unknown>>): void =>
        writeFileSync(settings, stringify({ ...sound, ...change }));
      write({});
      const child = spawn(process.execPath, [path.join(folder, `${program}.cjs`)], {
        stdio: ['ignore', 'ignore', 'pipe'],
        env: { PATH: process.env['PATH'], POSTDRUM_NODE_FILE: settings },
      });
      running.push(child);
      let said = '';
      child.stderr.on('data', (chunk: Buffer) => (said += chunk.toString()));
      const saysSo = (form: RegExp): Promise<void> =>
        until(`${form} in ${said}`, () => Promise.resolve(form.test(said)));
      await saysSo(/listens on/);
      write({ ip: 'nowhere' });
      await saysSo(/The changed settings are wrong and not taken: ip/);
      const { settings: change, said: form } = changed[program] ?? { settings: {}, said: /./ };
      write(change);
      await saysSo(form);
      assert.equal(said.match(/wrong and not taken/g)?.length, 1, said);
      said = '';
      write({ nodeName: 'other' });
      child.kill('SIGHUP');
      await saysSo(/only after a restart: .*name/);
      assert.equal(child.exitCode, null);
      child.kill('SIGTERM');
    });
});
