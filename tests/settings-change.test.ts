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
import { EngineListDefaults, EngineListReader } from '../source/edge-agent/engine-list/engineListReader';
import { EdgeProxy, type ProxySettings } from '../source/edge-proxy/edgeProxy';
import { StalenessGuard } from '../source/edge-proxy/identification/stalenessGuard';
import { RetryBudget, type RetryBudgetSettings } from '../source/edge-proxy/attempts/retryBudget';
import { World } from '../source/fleet-simulator/world/world';
import type { BackEndControl, BackEndSender } from '../source/shared/back-end/protocol';
import type { Message, Transport } from '../source/shared/effects/transport/transport';
import { Freshness } from '../source/shared/freshness/freshness';
import { SettingsChanges } from '../source/shared/settings/settingsChange';
import { SettingsWatcher } from '../source/shared/settings/settingsWatcher';
import { freePort } from './support/freePort';
import { until } from './support/realFleet';
import { bundlePrograms, platformProgramSources } from './support/bundlePrograms';

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

describe('watching a settings file', () => {
  type SettingsFile = { text: string; mark: string; reads: number; applied: string[]; reported: string[] };
  const watched = (world: World, source: SettingsFile, inForce: string): SettingsWatcher<string> => {
    const watch = new SettingsWatcher<string>(
      world.clock,
      {
        text: () => {
          source.reads += 1;
          return source.text;
        },
        mark: () => source.mark,
        parse: (text) =>
          text.startsWith('good') ? { kind: 'read', settings: text } : { kind: 'wrong', sentence: 'not good' },
      },
      (sentence) => source.reported.push(sentence),
      inForce,
    ).start();
    watch.events.on('changed', (value) => void source.applied.push(value));
    return watch;
  };

  test('reads the text when its change mark differs, and occasionally without a difference', async () => {
    const world = new World(1);
    const source: SettingsFile = { text: 'good 1', mark: 'a', reads: 0, applied: [], reported: [] };
    const watch = watched(world, source, 'good 1');
    assert.equal(source.reads, 0, 'starting does not read the file');
    await world.runFor(60_000_000);
    assert.ok(source.reads <= 8, `${source.reads} reads in a minute`);
    Object.assign(source, { text: 'good 2', mark: 'b' });
    await world.runFor(1_100_000);
    assert.deepEqual(source.applied, ['good 2'], 'within about a second');
    Object.assign(source, { text: 'good 3' });
    await world.runFor(11_000_000);
    assert.deepEqual(source.applied, ['good 2', 'good 3'], 'also if the mark has not changed');
    Object.assign(source, { text: 'good 4' });
    await watch.check();
    assert.deepEqual(source.applied.at(-1), 'good 4', 'a signal reads the text whatever the mark');
    watch.stop();
  });

  test('notices a change made before the watch started; reports invalid settings once and does not apply them', async () => {
    const world = new World(1);
    const source: SettingsFile = { text: 'good 2', mark: 'a', reads: 0, applied: [], reported: [] };
    const watch = watched(world, source, 'good 1');
    await world.runFor(2_000_000);
    assert.deepEqual(source.applied, ['good 2']);
    Object.assign(source, { text: 'half', mark: 'b' });
    await world.runFor(30_000_000);
    Object.assign(source, { mark: 'c' });
    await world.runFor(30_000_000);
    assert.deepEqual([source.applied, source.reported.length], [['good 2'], 1]);
    watch.stop();
  });
});

test('applies only the settings that may change at runtime and names those that need a restart', () => {
  const before = { seeds: ['a'], bound: Infinity, name: 'n', other: 1 };
  const change = SettingsChanges.apply(before, { ...before, seeds: ['b'], bound: 5, name: 'm' }, ['seeds', 'bound']);
  assert.deepEqual(change.settings, { ...before, seeds: ['b'], bound: 5 });
  assert.equal(
    SettingsChanges.describe(change),
    'The settings have changed; in force now: seeds, bound; only after a restart: name.',
  );
  const none = SettingsChanges.apply(before, { ...before, seeds: ['a'] }, ['seeds']);
  assert.equal(SettingsChanges.describe(none), undefined);
});

test('a retry budget that gets new settings keeps and expects no more than they allow', async () => {
  const world = new World(1);
  const wide: RetryBudgetSettings = {
    perMille: 500,
    fleetAllowance: 90,
    allowanceIntervalMicroseconds: 10_000_000,
    minProxies: 9,
  };
  const budget = new RetryBudget(world.clock, () => 9, wide);
  for (let number = 0; number < 200; number += 1) budget.recordFirstAttempt();
  budget.setSettings({ ...wide, perMille: 100, fleetAllowance: 9 });
  assert.deepEqual(
    [budget.trySpend(), budget.trySpend()],
    [true, false],
    'the balance is capped to one retry by the new settings',
  );
  for (let number = 0; number < 9; number += 1) budget.recordFirstAttempt();
  assert.equal(budget.trySpend(), false);
  budget.recordFirstAttempt();
  assert.equal(budget.trySpend(), true, 'ten first attempts earn one retry');
  const widened = new RetryBudget(world.clock, () => 9, { ...wide, perMille: 0, fleetAllowance: 9 });
  await world.runFor(500_000);
  widened.setSettings(wide);
  for (let number = 0; number < 20; number += 1) widened.recordFirstAttempt();
  const spent = Array.from({ length: 20 }, () => widened.trySpend()).filter(Boolean);
  assert.equal(spent.length, 10, 'as many as the wider limits allow');
});

test('the staleness check applies new limits at once', async () => {
  const world = new World(1);
  const freshness = new Freshness(world.clock, undefined, 'listed');
  const guard = new StalenessGuard(freshness, world.clock, Infinity);
  assert.equal(guard.isFresh(), false, 'nothing is known');
  freshness.ageMicroseconds = () => world.nowMicroseconds;
  await world.runFor(4_000_000);
  assert.equal(guard.isFresh(), true);
  guard.setBounds(3_000_000, 1_000_000);
  assert.equal(guard.isFresh(), false);
  guard.setBounds(5_000_000, 1_000_000);
  assert.equal(guard.isFresh(), true);
});

/** A transport whose requests all fail and which records their addresses. */
const unreachable = (requests: string[]): Transport =>
  ({
    listen: (address: string) => Promise.resolve({ address, close: () => Promise.resolve() }),
    ask: (address: string, message: Message) => {
      requests.push(`${message.kind} ${address}`);
      return Promise.resolve({ kind: 'failed' });
    },
    close: () => Promise.resolve(),
  }) as unknown as Transport;

test('an agent applies new seeds and a new list address; its own address needs a restart', async () => {
  const world = new World(1);
  const requests: string[] = [];
  const lists: string[] = [];
  const settings = {
    ...AgentDefaults,
    ...PlatformAgentSettings.of(read()),
    seeds: ['10.0.0.1:1'],
    listAddress: '10.9.0.1:1',
  };
  const agent = new EdgeAgent(
    { clock: world.clock, random: world.random, transport: unreachable(requests) },
    {} as BackEndControl,
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
  assert.ok(requests.every((line) => line.endsWith(' 10.0.0.1:1')) && requests.length > 0);
  requests.length = 0;
  lists.length = 0;
  agent.updateSettings({
    ...settings,
    seeds: ['10.0.0.2:1', '10.0.0.3:1'],
    listAddress: '10.9.0.2:1',
    address: '10.5.5.5:1',
  });
  await world.runFor(10_000_000);
  assert.deepEqual([...new Set(lists)], ['10.9.0.2:1']);
  assert.deepEqual([...new Set(requests.map((line) => line.split(' ')[1]))].sort(), ['10.0.0.2:1', '10.0.0.3:1']);
  await agent.stop();
});

test('the engine list is requested at the address in the current settings', async () => {
  const world = new World(1);
  const requests: string[] = [];
  const keeper = new EngineListReader(
    { page: (_from, _limit, address) => Promise.resolve(void requests.push(address)) },
    new Freshness(world.clock, undefined, 'listed'),
    () => 1,
    world.clock,
    world.random,
    { ...EngineListDefaults, address: '10.9.0.1:1' },
    () => 1,
    () => undefined,
  );
  await keeper.read();
  keeper.updateSettings({ address: '10.9.0.2:1' });
  await keeper.read();
  assert.deepEqual(requests, ['10.9.0.1:1', '10.9.0.2:1']);
});

test('a proxy applies new limits but not a new name', () => {
  const world = new World(1);
  const proxy = new EdgeProxy(
    { clock: world.clock, random: world.random, transport: unreachable([]) },
    {} as BackEndSender,
    PlatformProxySettings.of(read()),
  );
  const inForce = (): ProxySettings => (proxy as unknown as { settings: ProxySettings }).settings;
  const before = inForce();
  proxy.applySettings(
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
    await bundlePrograms(platformProgramSources(programs), folder);
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
    test(`${program} applies a changed file, with and without a signal; an invalid one is reported once and not applied`, async () => {
      const settings = path.join(folder, `${program}.yaml`);
      const port = await freePort();
      const valid = { ...file, internalPorts: [port, port] };
      const write = (change: Readonly<Record<string, unknown>>): void =>
        writeFileSync(settings, stringify({ ...valid, ...change }));
      write({});
      const child = spawn(process.execPath, [path.join(folder, `${program}.cjs`)], {
        stdio: ['ignore', 'ignore', 'pipe'],
        env: { PATH: process.env['PATH'], POSTDRUM_NODE_FILE: settings },
      });
      running.push(child);
      let output = '';
      child.stderr.on('data', (chunk: Buffer) => (output += chunk.toString()));
      const untilOutput = (form: RegExp): Promise<void> =>
        until(`${form} in ${output}`, () => Promise.resolve(form.test(output)));
      await untilOutput(/listens on/);
      write({ ip: 'nowhere' });
      await untilOutput(/The changed settings are wrong and not taken: ip/);
      const { settings: change, said: form } = changed[program] ?? { settings: {}, said: /./ };
      write(change);
      await untilOutput(form);
      assert.equal(output.match(/wrong and not taken/g)?.length, 1, output);
      output = '';
      write({ nodeName: 'other' });
      child.kill('SIGHUP');
      await untilOutput(/only after a restart: .*name/);
      assert.equal(child.exitCode, null);
      child.kill('SIGTERM');
    });
});
