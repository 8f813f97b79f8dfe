// Why a bundle a program: a short start matters on small machines, so each loads one small file and nothing else.
import { build } from 'esbuild';
import { existsSync, readdirSync } from 'node:fs';
import path from 'node:path';
import { keepCompiled } from './codeCache.mjs';

const programs = readdirSync('platform').filter((name) => existsSync(path.join('platform', name, 'main.ts')));
// Why module first: jsonc-parser's other entry loads its parts in a way no bundler follows.
await build({
  entryPoints: {
    ...Object.fromEntries(programs.map((name) => [name, path.join('platform', name, 'main.ts')])),
    postdrum: path.join('platform', 'operators', 'commandLine.ts'),
  },
  outdir: 'target',
  bundle: true,
  minify: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  outExtension: { '.js': '.cjs' },
  external: ['msgpackr-extract'],
  legalComments: 'none',
  logLevel: 'warning',
  mainFields: ['module', 'main'],
  // Why: looking for a native part that is not there took 16 to 28 ms of each start.
  define: { 'process.env.MSGPACKR_NATIVE_ACCELERATION_DISABLED': '"true"' },
});
keepCompiled(programs);
