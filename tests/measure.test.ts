import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import { describe, it } from 'node:test';
import { Fits, type Point } from '../source/measure/fits/fit';
import { Measurements } from '../source/measure/measurements/all';
import { AllResults } from '../source/measure/report/results';

const sizes = [10, 20, 40, 80];
const seeds = [1, 2, 3];
const points = (value: (size: number, seed: number) => number): readonly Point[] =>
  sizes.flatMap((size) => seeds.map((seed) => ({ size, seed, value: value(size, seed) })));
const near = (value: number, wanted: number, part = 1e-9): void =>
  assert.ok(Math.abs(value - wanted) <= Math.abs(wanted) * part + 1e-9, `${value} is not ${wanted}`);

const measure = (...words: readonly string[]) => {
  const folder = mkdtempSync(path.join(os.tmpdir(), 'measure-'));
  try {
    const out = path.join(folder, 'out');
    const { status, stdout, stderr } = spawnSync(process.execPath, ['dist/measure.cjs', '--out', out, ...words], {
      encoding: 'utf8',
    });
    return { status, stdout, stderr, left: readdirSync(folder) };
  } finally {
    rmSync(folder, { recursive: true, force: true });
  }
};

describe('a fit', () => {
  it('finds a straight line, with no spread where all seeds agree', () => {
    const fit = Fits.of(points((size) => 7 + 3 * size));
    near(fit.base, 7);
    near(fit.slope, 3);
    near(fit.spread, 0);
  });

  it('gives as spread how far the slope of the farthest seed lies off', () => {
    const fit = Fits.of(points((size, seed) => (seed === 3 ? 5 : 2) * size));
    near(fit.slope, 3);
    near(fit.spread, 2);
  });

  it('tells a square from a line, and goes on with the square', () => {
    const square = points((size) => 4 * size ** 2);
    const fit = Fits.of(square);
    near(fit.exponent, 2);
    const at = Fits.at(fit, square, 800);
    assert.equal(at.by, 'power');
    near(at.value, 4 * 800 ** 2, 1e-6);
  });

  it('goes on with the line and its spread where growth is no more than straight', () => {
    const straight = points((size, seed) => 100 + (seed + 1) * size);
    const at = Fits.at(Fits.of(straight), straight, 1000);
    assert.equal(at.by, 'line');
    near(at.value, 100 + 3 * 1000);
    near(at.low, 100 + 2 * 1000);
    near(at.high, 100 + 4 * 1000);
  });

  it('says what was measured where the size itself was', () => {
    const measured = points((size, seed) => size + seed);
    assert.deepEqual(Fits.at(Fits.of(measured), measured, 80), { value: 82, low: 81, high: 83, by: 'measured' });
  });

  it('knows no slope of one size, and takes a row of nothing for no growth', () => {
    assert.throws(() => Fits.of([{ size: 10, seed: 1, value: 1 }]), /two sizes/);
    const fit = Fits.of(points(() => 0));
    assert.deepEqual([fit.slope, fit.exponent], [0, 0]);
  });
});

describe('measurements', () => {
  it('have at least four sizes within their bounds, a target and a text for each figure', () => {
    for (const measurement of Object.values(Measurements)) {
      const own = new Set(measurement.sizes);
      assert.ok(own.size >= 4, `${measurement.name} has ${own.size} sizes`);
      for (const size of own)
        assert.ok(size >= measurement.leastSize && size <= measurement.mostSize, `${measurement.name} at ${size}`);
      assert.ok(measurement.target >= Math.max(...own) / 10);
      assert.notEqual(measurement.hollow, '');
    }
  });

  it('refuse a figure that was not measured', () => {
    const exchange = Measurements['exchange'];
    assert.ok(exchange !== undefined);
    assert.throws(
      () => AllResults.figures(exchange, [{ size: 9, seed: 1, values: {} }]),
      /restBytes was not measured at 9/,
    );
  });

  it('take what they say they take: an exchange grows by each daemon whose load has changed', async () => {
    const exchange = Measurements['exchange'];
    assert.ok(exchange !== undefined);
    const few = await exchange.take(3, 1);
    const more = await exchange.take(12, 1);
    assert.deepEqual(Object.keys(few).sort(), Object.keys(exchange.figures).sort());
    assert.ok((more['allBytes'] ?? 0) > 3 * (few['allBytes'] ?? Infinity));
    assert.ok((few['restBytes'] ?? 0) < (few['oneBytes'] ?? 0));
  });

  it('give the same counts under the same seed, and others under another one', async () => {
    const exchange = Measurements['exchange'];
    assert.ok(exchange !== undefined);
    const [first, again, other] = [await exchange.take(5, 1), await exchange.take(5, 1), await exchange.take(5, 2)].map(
      ({ oneBytes }) => Math.round(oneBytes ?? 0),
    );
    assert.equal(first, again);
    assert.notEqual(first, other);
  });
});

describe('npm run measure', () => {
  const refused = (words: readonly string[], sentence: RegExp): void => {
    const { status, stdout, stderr, left } = measure(...words);
    assert.equal(status, 2, stderr);
    assert.match(stderr, sentence);
    assert.equal(stderr.trim().split('\n').length, 1, stderr);
    assert.equal(stdout, '');
    assert.deepEqual(left, []);
  };

  it('knows its measurements by name', () => {
    refused(['--measurement', 'moonlight'], /^measure: there is no measurement "moonlight"; there are news, .*\.\n$/);
    refused(['--measurement', 'constructor'], /there is no measurement/);
  });

  it('takes sizes that are numbers, within bounds, and at least two of them', () => {
    refused(['--measurement', 'exchange', '--sizes', '9,many'], /"many" is no size for exchange/);
    refused(['--measurement', 'exchange', '--sizes', '9,-3'], /"-3" is no size/);
    refused(['--measurement', 'exchange', '--sizes', '9,90000'], /size for exchange 90000 is not between 2 and 1000/);
    refused(['--measurement', 'exchange', '--sizes', '9'], /at least two sizes/);
    refused(['--measurement', 'all', '--sizes', '9,27'], /name it/);
    refused(['--measurement', 'exchange', '--seeds', '1,x'], /"x" is no seed/);
  });

  it('takes the commit that is checked out and no other', () => {
    refused(['--measurement', 'exchange', '--commit', 'no-such-commit'], /"no-such-commit" names no commit here/);
    refused(['--measurement', 'exchange', '--commit', '; rm'], /names no commit/);
    refused(['--measurement', 'exchange', '--commit=--all'], /names no commit/);
  });

  it('refuses flags that it does not know, and a folder that is a file', () => {
    refused(['--measurements', 'exchange'], /the settings are wrong/);
    const folder = mkdtempSync(path.join(os.tmpdir(), 'measure-'));
    try {
      const file = path.join(folder, 'figures');
      writeFileSync(file, 'mine');
      const { status, stderr } = spawnSync(
        process.execPath,
        ['dist/measure.cjs', '--measurement', 'exchange', '--out', file],
        { encoding: 'utf8' },
      );
      assert.equal(status, 2);
      assert.match(stderr, /is no folder/);
      assert.equal(readFileSync(file, 'utf8'), 'mine');
    } finally {
      rmSync(folder, { recursive: true, force: true });
    }
  });

  it('writes figures and a plot, and nothing else', () => {
    const folder = mkdtempSync(path.join(os.tmpdir(), 'measure-'));
    try {
      const { status, stdout, stderr } = spawnSync(
        process.execPath,
        ['dist/measure.cjs', '--measurement', 'exchange', '--sizes', '3,6', '--seeds', '1,2', '--out', folder],
        { encoding: 'utf8' },
      );
      assert.equal(status, 0, stderr);
      assert.match(stdout, /\| allBytes \| bytes \|/);
      assert.deepEqual(readdirSync(folder).sort(), ['exchange.json', 'exchange.svg']);
      const written = JSON.parse(readFileSync(path.join(folder, 'exchange.json'), 'utf8')) as Readonly<{
        commit: string;
        seeds: readonly number[];
        machine: Readonly<{ cores: number }>;
        readings: readonly unknown[];
        figures: Readonly<Record<string, Readonly<{ fit: Readonly<{ slope: number; spread: number }> }>>>;
      }>;
      assert.match(written.commit, /^[0-9a-f]{40}$/);
      assert.deepEqual(written.seeds, [1, 2]);
      assert.ok(written.machine.cores > 0);
      assert.equal(written.readings.length, 4);
      assert.ok((written.figures['allBytes']?.fit.slope ?? 0) > 0);
      const svg = readFileSync(path.join(folder, 'exchange.svg'), 'utf8');
      assert.match(svg, /^<svg /);
      assert.match(svg, /allBytes, bytes/);
    } finally {
      rmSync(folder, { recursive: true, force: true });
    }
  });
});
