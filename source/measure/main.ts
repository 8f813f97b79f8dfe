import { execFileSync } from 'node:child_process';
import { existsSync, mkdirSync, renameSync, statSync, writeFileSync } from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import { Programs } from '../shared/settings/program';
import { SettingFormats, Settings, type SettingSchema } from '../shared/settings/settings';
import { DayLosses } from './days/dayLosses';
import { JournalDays } from './days/journalDays';
import { Measurements } from './measurements/all';
import type { Measurement } from './measurements/measurement';
import { Plots } from './report/plot';
import { AllResults, type Reading, type Results } from './report/results';

const schema: SettingSchema = {
  measurement: {
    doc: `which one: ${Object.keys(Measurements).join(', ')}, or all`,
    format: SettingFormats.text,
    default: 'all',
    kind: 'text',
  },
  sizes: {
    doc: 'sizes to measure at, with commas between them; empty: its own',
    format: SettingFormats.text,
    default: '',
    kind: 'text',
  },
  seeds: { doc: 'seeds, with commas between them', format: SettingFormats.text, default: '1,2,3', kind: 'text' },
  commit: {
    doc: 'the commit that is measured, which must be the one checked out',
    format: SettingFormats.text,
    default: 'HEAD',
    kind: 'text',
  },
  days: {
    doc: 'entries of the journal of the users’ bench, one or two with a comma between them: prints where the worth of their days went',
    format: SettingFormats.text,
    default: '',
    kind: 'text',
  },
  out: {
    doc: 'folder for figures and plots; empty: they are printed alone',
    format: SettingFormats.text,
    default: '',
    kind: 'text',
  },
};

class Misused extends Error {}

const numbersIn = (text: string, what: string, least: number, most: number): readonly number[] =>
  text.split(',').map((word) => {
    if (!/^\d{1,9}$/.test(word)) throw new Misused(`"${word}" is no ${what}`);
    const value = Number(word);
    if (value < least || value > most) throw new Misused(`${what} ${value} is not between ${least} and ${most}`);
    return value;
  });

const chosen = (name: string): readonly Measurement[] => {
  if (name === 'all') return Object.values(Measurements);
  const found = Object.hasOwn(Measurements, name) ? Measurements[name] : undefined;
  if (found === undefined)
    throw new Misused(`there is no measurement "${name}"; there are ${Object.keys(Measurements).join(', ')}`);
  return [found];
};

const sizesOf = (measurement: Measurement, text: string): readonly number[] => {
  if (text === '') return measurement.sizes;
  const sizes = numbersIn(text, `size for ${measurement.name}`, measurement.leastSize, measurement.mostSize);
  if (new Set(sizes).size < 2) throw new Misused('a slope needs at least two sizes');
  return sizes;
};

const git = (...words: readonly string[]): string =>
  execFileSync('git', [...words], { encoding: 'utf8', stdio: ['ignore', 'pipe', 'ignore'] }).trim();

const commitOf = (name: string): string => {
  const resolve = (word: string): string => {
    // Why so: a word that begins with a dash would be taken for an option.
    if (!/^[A-Za-z0-9][A-Za-z0-9/._-]*$/.test(word)) throw new Misused(`"${word}" names no commit`);
    try {
      return git('rev-parse', '--verify', '--quiet', `${word}^{commit}`);
    } catch {
      throw new Misused(`"${word}" names no commit here`);
    }
  };
  const asked = resolve(name);
  const here = resolve('HEAD');
  if (asked !== here)
    throw new Misused(`commit ${asked.slice(0, 12)} is not the one checked out, ${here.slice(0, 12)}`);
  return here;
};

const outOf = (text: string): string => {
  if (text !== '' && existsSync(text) && !statSync(text).isDirectory()) throw new Misused(`"${text}" is no folder`);
  return text;
};

/** Beside, then renamed over: whoever reads meets the figures of before or those of now. */
const write = (file: string, text: string): void => {
  writeFileSync(`${file}.new`, text);
  renameSync(`${file}.new`, file);
};

const load = (): number => Number((os.loadavg()[0] ?? 0).toFixed(2));

const measure = async (
  measurement: Measurement,
  sizes: readonly number[],
  seeds: readonly number[],
  commit: string,
): Promise<Results> => {
  const loadBefore = load();
  const readings: Reading[] = [];
  // Why once that does not count: what a process does for the first time takes longer, and more memory.
  await measurement.take(sizes[0] ?? 0, seeds[0] ?? 1);
  for (const size of sizes)
    for (const seed of seeds) {
      readings.push({ size, seed, values: await measurement.take(size, seed) });
      process.stderr.write(`measure: ${measurement.name} at ${size}, seed ${seed}.\n`);
    }
  return {
    measurement: measurement.name,
    text: measurement.text,
    hollow: measurement.hollow,
    sizeUnit: measurement.sizeUnit,
    target: measurement.target,
    commit,
    changed: git('status', '--porcelain', '--', 'source', 'platform') !== '',
    machine: { cores: os.cpus().length, node: process.version, loadBefore, loadAfter: load() },
    seeds,
    sizes,
    figures: AllResults.figures(measurement, readings),
    readings,
  };
};

/** One entry: where each day's worth went. Two: what changed from the first to the second. */
const printDays = (files: readonly string[]): void => {
  const [first, second, ...more] = files.map((file) => JournalDays.read(file));
  if (first === undefined || more.length > 0) throw new Misused('one entry of the journal is read, or two');
  const told = second === undefined ? first.map(DayLosses.table).join('\n\n') : DayLosses.pairedTable(first, second);
  process.stdout.write(`${told}\n`);
};

const run = async (): Promise<void> => {
  const settings = Settings.read('measure', 'measures what grows with the fleet', schema, process.argv.slice(2));
  const days = String(settings['days']);
  if (days !== '') {
    printDays(days.split(','));
    return;
  }
  const measurements = chosen(String(settings['measurement']));
  const text = String(settings['sizes']);
  if (text !== '' && measurements.length > 1) throw new Misused('sizes are those of one measurement, name it');
  const sizes = new Map(measurements.map((measurement) => [measurement.name, sizesOf(measurement, text)]));
  const seeds = numbersIn(String(settings['seeds']), 'seed', 1, 1_000_000);
  const commit = commitOf(String(settings['commit']));
  const out = outOf(String(settings['out']));
  for (const measurement of measurements) {
    const results = await measure(measurement, sizes.get(measurement.name) ?? measurement.sizes, seeds, commit);
    process.stdout.write(`${AllResults.table(results)}\n\n`);
    if (out === '') continue;
    const svg = await Plots.svg(results);
    mkdirSync(out, { recursive: true });
    write(path.join(out, `${measurement.name}.json`), `${JSON.stringify(results, null, 1)}\n`);
    write(path.join(out, `${measurement.name}.svg`), svg);
  }
};

Programs.run(
  'measure',
  async () => {
    try {
      await run();
      process.exit(0);
    } catch (error) {
      if (!(error instanceof Misused)) throw error;
      process.stderr.write(`measure: ${error.message}.\n`);
      process.exit(2);
    }
  },
  false,
);
