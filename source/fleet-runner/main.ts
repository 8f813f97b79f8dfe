import { existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { DocumentValidation } from '../shared/configuration/validation';
import type { Configuration } from '../shared/configuration/types';
import { Programs } from '../shared/settings/program';
import { SettingFormats, Settings, type SettingSchema } from '../shared/settings/settings';
import type { RunRecord } from '../stand-in-engine/standInEngine';
import type { CallRecord, LoadKind, LoadPlan } from '../stand-in-user-agents/loadPlan';
import { Checks } from './checks/checks';
import { Child } from './machines/child';
import { LocalFleet } from './machines/fleet';

const schema: SettingSchema = {
  blueprint: {
    doc: 'blueprint to run; its fleet file stands beside it as NAME.fleet.json',
    format: SettingFormats.text,
    default: null,
    kind: 'text',
  },
  orders: { doc: 'orders that the callers send', format: SettingFormats.whole, default: 1100, kind: 'whole' },
  atOnce: { doc: 'callers at once', format: SettingFormats.whole, default: 24, kind: 'whole' },
  edges: { doc: 'edge machines', format: SettingFormats.whole, default: 9, kind: 'whole' },
  seed: { doc: 'seed of the callers', format: SettingFormats.whole, default: 1, kind: 'whole' },
  placement: { doc: 'prefix or load', format: SettingFormats.text, default: 'prefix', kind: 'text' },
  imports: { doc: 'yes or no', format: SettingFormats.text, default: 'yes', kind: 'text' },
  stay: {
    doc: 'yes keeps the fleet running until SIGTERM or SIGINT instead of running a load',
    format: SettingFormats.text,
    default: 'no',
    kind: 'text',
  },
  keep: { doc: 'yes keeps the folder with logs and records', format: SettingFormats.text, default: 'no', kind: 'text' },
};

export type FleetFile = Readonly<{
  engines: number;
  pool: string;
  app: string;
  capacity: number;
  mostBlocks: number;
  kinds: readonly LoadKind[];
}>;

const lines = <Line>(file: string): readonly Line[] =>
  existsSync(file)
    ? readFileSync(file, 'utf8')
        .split('\n')
        .filter((line) => line !== '')
        .map((line) => JSON.parse(line) as Line)
    : [];

const sumMetrics = (pages: readonly string[]): ReadonlyMap<string, number> => {
  const sums = new Map<string, number>();
  for (const page of pages) {
    for (const line of page.split('\n')) {
      const found = /^(\S+_total(?:\{.*\})?) (\S+)$/.exec(line);
      if (found?.[1] !== undefined) sums.set(found[1], (sums.get(found[1]) ?? 0) + Number(found[2]));
    }
  }
  return sums;
};

const run = async (): Promise<number> => {
  const settings = Settings.read(
    'fleet-runner',
    'starts a whole fleet on loopback, runs a bounded load and judges it',
    schema,
    process.argv.slice(2),
  );
  const file = String(settings['blueprint']);
  const text = readFileSync(file, 'utf8');
  const checked = DocumentValidation.checkText('blueprint', text);
  if (checked.kind === 'faulty')
    throw new Error(
      `the blueprint is faulty: ${checked.faults.map(({ path: at, fault }) => `${at} ${fault}`).join('; ')}`,
    );
  const blueprint = checked.value as Configuration;
  const fleetFile = JSON.parse(readFileSync(file.replace(/\.json$/, '.fleet.json'), 'utf8')) as FleetFile;
  const pool = blueprint.services[fleetFile.pool];
  if (pool?.kind !== 'pool') throw new Error('the fleet file names no pool of the blueprint');
  const folder = mkdtempSync(path.join(tmpdir(), 'postdrum-fleet-'));
  const fleet = new LocalFleet(folder, {
    engines: fleetFile.engines,
    pool: fleetFile.pool,
    app: fleetFile.app,
    weights: pool.weights,
    capacity: fleetFile.capacity,
    mostBlocks: fleetFile.mostBlocks,
    blockCharacters: pool.blockCharacters,
    edges: Number(settings['edges']),
    distFolder: __dirname,
    proxyWords: ['--placement', String(settings['placement']), '--imports', String(settings['imports'])],
  });
  await fleet.prepare();
  const say = (sentence: string): void => void process.stdout.write(`${sentence}\n`);
  try {
    fleet.startAll();
    const takenBlueprint = await fleet.take('blueprint', text, 0, 'first-blueprint');
    const takenEngines = await fleet.take('engines', fleet.engineList(), 0, 'first-engines');
    if (takenBlueprint.status !== 200 || takenEngines.status !== 200)
      throw new Error(`the setup was not taken: ${takenBlueprint.body} ${takenEngines.body}`);
    if (!(await fleet.untilFresh(1, 20_000))) throw new Error('the fleet did not come up in time');
    say(`fleet: 3 keepers, ${fleet.edges.length} edge machines, ${fleetFile.engines} engines, 1 app engine, 1 store`);
    if (settings['stay'] === 'yes') {
      say(`POSTDRUM_CORE=${fleet.keepers.map(({ operatorsAddress }) => operatorsAddress).join(',')}`);
      for (const { name, proxyAddress, pagesAddress } of fleet.edges)
        say(`${name}: callers http://${proxyAddress}, pages http://${pagesAddress}`);
      for (const { name, address } of fleet.backEnds) say(`${name}: ${address}`);
      say(`data and logs: ${folder}`);
      await new Promise<void>((resolve) => {
        process.once('SIGTERM', resolve);
        process.once('SIGINT', resolve);
      });
      return 0;
    }
    const plan: LoadPlan = {
      proxies: fleet.edges.map(({ proxyAddress }) => proxyAddress),
      kinds: fleetFile.kinds,
      tenants: Object.entries(blueprint.tenants).flatMap(([name, { keys }], index) =>
        keys.slice(0, 1).map((key) => ({ name, key, share: index < 2 ? 4 : 1 })),
      ),
      orders: Number(settings['orders']),
      atOnce: Number(settings['atOnce']),
      seed: Number(settings['seed']),
    };
    writeFileSync(path.join(folder, 'plan.json'), JSON.stringify(plan));
    const callers = new Child(
      'user-agents',
      folder,
      'stand-in-user-agents',
      ['--plan', path.join(folder, 'plan.json'), '--record', path.join(folder, 'calls.jsonl')],
      __dirname,
    );
    callers.start();
    if ((await callers.stopped()) !== 0) throw new Error('the callers failed');
    const calls = lines<CallRecord>(path.join(folder, 'calls.jsonl'));
    const pages = await Promise.all(
      fleet.edges.map(({ proxyAddress }) => fleet.page(`http://${proxyAddress}/-/metrics`)),
    );
    await Promise.all(fleet.backEnds.map(({ child }) => child.term()));
    const runs = fleet.backEnds.flatMap(({ record }) => lines<RunRecord>(record));
    return report(say, blueprint, fleetFile, calls, runs, pages);
  } finally {
    await fleet.stopAll();
    if (settings['keep'] === 'yes') say(`logs and records: ${folder}`);
    else rmSync(folder, { recursive: true, force: true });
  }
};

const report = (
  say: (sentence: string) => void,
  blueprint: Configuration,
  fleetFile: FleetFile,
  calls: readonly CallRecord[],
  runs: readonly RunRecord[],
  pages: readonly string[],
): number => {
  const broken = Checks.all({
    calls,
    runs,
    resumableKinds: fleetFile.kinds
      .filter(({ path: at, model }) =>
        Object.values(blueprint.mappings).some(
          (mapping) => mapping.path === at && mapping.model === model && mapping.resumable,
        ),
      )
      .map(({ name }) => name),
    walledTenants: Object.entries(blueprint.tenants).flatMap(([name, { walled }]) => (walled ? [name] : [])),
  });
  const uses = runs.flatMap(({ blocks }) => blocks);
  const count = (from: string): number => uses.filter((use) => use.from === from).length;
  const avoided = uses.length === 0 ? 0 : (uses.length - count('made')) / uses.length;
  for (const [line, value] of [...sumMetrics(pages)]
    .filter(([name]) => /lookups|grants|imports|sends|refusals|answers/.test(name))
    .sort())
    say(`${line} ${value}`);
  for (const { name } of fleetFile.kinds) {
    const waits = calls
      .filter((call) => call.kind === name && call.status === 200)
      .map(({ firstPartMicroseconds }) => firstPartMicroseconds)
      .sort((left, right) => left - right);
    say(
      `kind ${name}: ${calls.filter((call) => call.kind === name).length} orders, ${waits.length} answered, first part median ${Math.round((waits[Math.floor(waits.length / 2)] ?? 0) / 1000)} ms`,
    );
  }
  const perEngine =
    fleetFile.engines === 0
      ? []
      : [...new Set(runs.map(({ engine }) => engine))]
          .map((engine) => runs.filter((item) => item.engine === engine && engine !== 'app-1').length)
          .filter((item) => item > 0);
  const mean = perEngine.reduce((sum, item) => sum + item, 0) / Math.max(1, perEngine.length);
  say(
    `engines that ran something: ${perEngine.length}; most loaded to mean: ${mean === 0 ? 0 : (Math.max(...perEngine) / mean).toFixed(2)}`,
  );
  say(
    `prefill blocks: kept ${count('kept')}, imported ${count('imported')}, made ${count('made')}; avoided ${(avoided * 100).toFixed(1)} %`,
  );
  const verdicts = new Map<string, number>();
  for (const { status, verdict, whole } of calls)
    verdicts.set(
      `${status === 0 || !whole ? 'cut' : status} ${verdict}`.trim(),
      (verdicts.get(`${status === 0 || !whole ? 'cut' : status} ${verdict}`.trim()) ?? 0) + 1,
    );
  say(
    `answers: ${[...verdicts]
      .sort()
      .map(([name, value]) => `${name}: ${value}`)
      .join(', ')}`,
  );
  for (const { point, nonce, text } of broken.slice(0, 20)) say(`BROKEN ${point} ${nonce}: ${text}`);
  const answered = calls.filter(({ status, whole, right }) => status === 200 && whole && right).length;
  say(`${calls.length} orders, ${answered} answered right, ${broken.length} broken`);
  // Why demand answers: a fleet that refuses all breaks nothing and serves nobody.
  return broken.length === 0 && answered > calls.length / 2 ? 0 : 1;
};

Programs.run('fleet-runner', async () => {
  process.exit(await run());
});
