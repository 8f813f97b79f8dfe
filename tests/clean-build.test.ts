import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { existsSync, mkdirSync, mkdtempSync, readFileSync, rmSync, symlinkSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { describe, test } from 'node:test';

/** The programs that each system package installs. Every package in the deploy file needs an entry. */
const programsByPackage: Readonly<Record<string, readonly string[]>> = { nodejs: ['node', 'npm', 'npx'] };
const shellBuiltins = ['[', 'test', 'cd', 'exit', 'true', 'false', 'echo', 'export', 'set'];

const deploy = readFileSync('deploy/system.toml', 'utf8');
const packages = [...(/^packages = \[(.*)\]$/m.exec(deploy)?.[1] ?? '').matchAll(/"([^"]+)"/g)].map(
  ([, name]) => name ?? '',
);
const build = /^build = "(.*)"$/m.exec(deploy)?.[1] ?? '';
const programs = packages.flatMap((name) => programsByPackage[name] ?? []);

/** Returns the first word of each command of a shell line. */
const commandsIn = (line: string): readonly string[] =>
  line
    .split(/;|&&|\|\||\|/)
    .map((command) => command.trim().split(/\s+/)[0] ?? '')
    .filter((word) => word !== '');

describe('a clean build', () => {
  test('the build line runs only programs of the listed packages, all of which are known', () => {
    assert.ok(packages.length > 0 && build !== '');
    assert.deepEqual(
      packages.filter((name) => programsByPackage[name] === undefined),
      [],
    );
    assert.deepEqual(
      commandsIn(build).filter((word) => !programs.includes(word) && !shellBuiltins.includes(word)),
      [],
    );
    assert.deepEqual(
      commandsIn('make all && npm ci; gcc x.c').filter((word) => !programs.includes(word)),
      ['make', 'gcc'],
    );
  });

  test('the bundles build with only the programs of the listed packages on the PATH', () => {
    const folder = mkdtempSync(path.join(process.cwd(), 'target-test-'));
    const bin = mkdtempSync(path.join(tmpdir(), 'postdrum-bin-'));
    try {
      for (const name of programs) {
        const place = ['/usr/bin', path.dirname(process.execPath)]
          .map((place) => path.join(place, name))
          .find(existsSync);
        if (place !== undefined) symlinkSync(place, path.join(bin, name));
      }
      for (const name of ['platform', 'source', 'build', 'node_modules', 'package.json', 'deploy'])
        symlinkSync(path.join(process.cwd(), name), path.join(folder, name));
      mkdirSync(path.join(folder, 'target'));
      const result = spawnSync(path.join(bin, 'node'), ['build/platform.mjs'], {
        cwd: folder,
        env: { PATH: bin, HOME: folder },
        encoding: 'utf8',
      });
      assert.equal(result.status, 0, result.stderr);
      assert.ok(
        ['core-keeper', 'edge-agent', 'edge-proxy'].every((name) =>
          existsSync(path.join(folder, 'target', `${name}.cjs`)),
        ),
      );
    } finally {
      rmSync(folder, { recursive: true, force: true });
      rmSync(bin, { recursive: true, force: true });
    }
  });
});
