import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { after, before, describe, test } from 'node:test';
import { bundlePrograms, platformProgramSources } from './support/bundlePrograms';

const folder = mkdtempSync(path.join(tmpdir(), 'platform-help-'));
after(() => rmSync(folder, { recursive: true, force: true }));
const programs = ['core-keeper', 'edge-agent', 'edge-proxy'];

type ProgramResult = Readonly<{ code: number | null; out: string; error: string }>;
const runProgram = (program: string, args: readonly string[], settings: string): ProgramResult => {
  const { status, stdout, stderr } = spawnSync(process.execPath, [path.join(folder, `${program}.cjs`), ...args], {
    encoding: 'utf8',
    timeout: 20_000,
    env: { PATH: process.env['PATH'], POSTDRUM_NODE_FILE: settings },
  });
  return { code: status, out: stdout, error: stderr };
};

describe('startup output of the platform programs', () => {
  before(async () => {
    await bundlePrograms(platformProgramSources(programs), folder);
  });

  test('help lists every documented field and needs no settings file', () => {
    const page = readFileSync('docs/platform.md', 'utf8');
    const documentedFields = [...page.matchAll(/^\| (`[^|]+`) \|/gm)]
      .flatMap(([, cell = '']) => [...cell.matchAll(/`([a-zA-Z]+(?:\.[a-zA-Z]+)?)`/g)].map(([, name = '']) => name))
      .filter((name) =>
        /^(bounds|limits|listen|tolerate|cloudApi)\.|^(nodeName|seedPeers|firstBoot|dataDir)$/.test(name),
      );
    assert.ok(documentedFields.length > 12, 'the table of settings was read');
    for (const program of programs) {
      const { code, out, error } = runProgram(program, ['--help'], path.join(folder, 'none.yaml'));
      assert.equal(code, 0, error);
      for (const name of documentedFields) assert.match(out, new RegExp(`^ {2}${name.replace('.', '\\.')} \\(`, 'm'));
    }
  });

  test('a missing, unreadable or invalid file prints one line and exits with code 2', () => {
    const writeSettings = (name: string, text: string): string => {
      const file = path.join(folder, name);
      writeFileSync(file, text);
      return file;
    };
    const files = [
      path.join(folder, 'none.yaml'),
      writeSettings('half.yaml', 'nodeName: "a"\nlisten: {'),
      writeSettings('text.yaml', 'just some words\n'),
      writeSettings('wrong.yaml', 'nodeName: "a"\nip: "nowhere"\ninternalPorts: [7640, 7655]\nseedPeers: []\n'),
      writeSettings('lacking.yaml', 'nodeName: "a"\n'),
    ];
    for (const program of programs)
      for (const file of files) {
        const { code, out, error } = runProgram(program, [], file);
        assert.equal(code, 2, `${program} ${file} ${error}`);
        assert.equal(out, '');
        assert.match(error, /^postdrum: the settings are wrong: [^\n]+\n$/);
      }
  });
});
