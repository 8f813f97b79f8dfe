// Why a bundle a program: the sources are deep folders of small modules, the machines get one file each.
import { build } from 'esbuild';
import { existsSync, readdirSync, rmSync } from 'node:fs';
import path from 'node:path';

const programs = readdirSync('source').filter((name) => existsSync(path.join('source', name, 'main.ts')));
const tests = readdirSync('tests').filter((name) => name.endsWith('.test.ts'));
rmSync('dist', { recursive: true, force: true });
// Why module first: jsonc-parser's other entry loads its parts in a way no bundler follows.
const common = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  outExtension: { '.js': '.cjs' },
  external: ['msgpackr-extract', 'esbuild', 'vega'],
  logLevel: 'warning',
  sourcemap: 'linked',
  mainFields: ['module', 'main'],
};
await build({
  ...common,
  entryPoints: Object.fromEntries(programs.map((name) => [name, path.join('source', name, 'main.ts')])),
  outdir: 'dist',
  banner: { js: '#!/usr/bin/env node' },
});
if (tests.length > 0) {
  await build({ ...common, entryPoints: tests.map((name) => path.join('tests', name)), outdir: 'dist/tests' });
}
