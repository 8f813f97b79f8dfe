// Why: compiling and warming up a program takes longer than all else at its start, and a start is what a kill costs.
// Each program is started once here; what was compiled by then lies beside it and is read instead of compiled anew.
// A cache that does not fit (another Node.js, other flags) is passed over by the machine, and nothing else changes.
import { spawnSync } from 'node:child_process';
import { existsSync, mkdirSync, readFileSync, renameSync, rmSync, writeFileSync } from 'node:fs';
import path from 'node:path';

const askedFlag = '--keep-compiled';
const warmMilliseconds = 1200;

const starter = (name, encoding) => `'use strict';
const fs = require('node:fs');
const path = require('node:path');
const vm = require('node:vm');
const file = path.join(__dirname, '${name}.code.cjs');
const kept = path.join(__dirname, '${name}.compiled');
let cachedData;
try {
  cachedData = fs.readFileSync(kept);
} catch {
  // Why nothing: without it everything is compiled as usual.
}
const script = new vm.Script('(function (exports, require, module, __filename, __dirname) {' + fs.readFileSync(file, '${encoding}') + '\\n})', {
  filename: file,
  cachedData,
});
script.runInThisContext()(exports, require, module, file, __dirname);
if (process.argv[2] === '${askedFlag}')
  setTimeout(() => {
    fs.writeFileSync(kept, script.createCachedData());
    process.exit(0);
  }, ${warmMilliseconds});
`;

/** The flags that a program is run with: code compiled under others is not taken. */
const flagsOf = (name) => {
  const deploy = readFileSync('deploy/system.toml', 'utf8');
  const found = new RegExp(`^run = "node ((?:--\\S+ )*)target/${name}\\.cjs`, 'm').exec(deploy);
  return (found?.[1] ?? '').split(' ').filter((flag) => flag !== '');
};

export const keepCompiled = (names) => {
  const folder = path.resolve('target', 'warm-up');
  rmSync(folder, { recursive: true, force: true });
  mkdirSync(folder, { recursive: true });
  const firstPort = 20_000 + (process.pid % 1000) * 40;
  const sample = readFileSync('platform/settings/warmUp.yaml', 'utf8');
  for (const [place, name] of names.entries()) {
    const plain = path.join('target', `${name}.cjs`);
    const code = path.join('target', `${name}.code.cjs`);
    // Why: a file of ASCII alone is read as one byte a letter, which is shorter to do.
    const encoding = /[^\0-\x7f]/.test(readFileSync(plain, 'utf8')) ? 'utf8' : 'latin1';
    // Why first: the machine knows the code by its length alone, and an old one must never pass for the new.
    rmSync(path.join('target', `${name}.compiled`), { force: true });
    renameSync(plain, code);
    writeFileSync(plain, starter(name, encoding));
    const settings = path.join(folder, `${name}.yaml`);
    const port = firstPort + place * 10;
    mkdirSync(path.join(folder, name));
    writeFileSync(
      settings,
      sample
        .replace(/\{ ?(\d) ?\}/g, (_, offset) => String(port + Number(offset)))
        .replace('{folder}', path.join(folder, name)),
    );
    const ran = spawnSync(process.execPath, [...flagsOf(name), plain, askedFlag], {
      env: { PATH: process.env.PATH, POSTDRUM_NODE_FILE: settings },
      timeout: 20_000,
      stdio: ['ignore', 'ignore', 'pipe'],
    });
    if (!existsSync(path.join('target', `${name}.compiled`)))
      process.stderr.write(`no compiled code is kept for ${name}: ${ran.stderr}\n`);
  }
  rmSync(folder, { recursive: true, force: true });
};
