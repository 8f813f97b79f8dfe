import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { after, before, describe, test } from 'node:test';
import { bundled, platformSources } from './support/bundled';

const folder = mkdtempSync(path.join(tmpdir(), 'platform-help-'));
after(() => rmSync(folder, { recursive: true, force: true }));
const programs = ['core-keeper', 'edge-agent', 'edge-proxy'];

type Said = Readonly<{ code: number | null; out: string; error: string }>;
const ran = (program: string, words: readonly string[], settings: string): Said => {
  const { status, stdout, stderr } = spawnSync(process.execPath, [path.join(folder, `${program}.cjs`), ...words], {
    encoding: 'utf8',
    timeout: 20_000,
    env: { PATH: process.env['PATH'], POSTDRUM_NODE_FILE: settings },
  });
  return { code: status, out: stdout, error: stderr };
};

describe("what the platform's programs say at their start", () => {
  before(async () => {
    await bundled(platformSources(programs), folder);
  });

  test('help names every field that operators are told of, and needs no file', () => {
    const page = readFileSync('docs/platform.md', 'utf8');
    const told = [...page.matchAll(/^\| (`[^|]+`) \|/gm)]
      .flatMap(([, cell = '']) => [...cell.matchAll(/`([a-zA-Z]+(?:\.[a-zA-Z]+)?)`/g)].map(([, name = '']) => name))
      .filter((name) =>
        /^(bounds|limits|listen|tolerate|cloudApi)\.|^(nodeName|seedPeers|firstBoot|dataDir)$/.test(name),
      );
    assert.ok(told.length > 12, 'the table of settings was read');
    for (const program of programs) {
      const { code, out, error } = ran(program, ['--help'], path.join(folder, 'none.yaml'));
      assert.equal(code, 0, error);
      for (const name of told) assert.match(out, new RegExp(`^ {2}${name.replace('.', '\\.')} \\(`, 'm'));
    }
  });

  test('a file that is missing, unreadable or wrong is one sentence and code 2', () => {
    const written = (name: string, text: string): string => {
      const file = path.join(folder, name);
      writeFileSync(file, text);
      return file;
    };
    const files = [
      path.join(folder, 'none.yaml'),
      written('half.yaml', 'nodeName: "a"\nlisten: {'),
      written('text.yaml', 'just some words\n'),
      written('wrong.yaml', 'nodeName: "a"\nip: "nowhere"\ninternalPorts: [7640, 7655]\nseedPeers: []\n'),
      written('lacking.yaml', 'nodeName: "a"\n'),
    ];
    for (const program of programs)
      for (const file of files) {
        const { code, out, error } = ran(program, [], file);
        assert.equal(code, 2, `${program} ${file} ${error}`);
        assert.equal(out, '');
        assert.match(error, /^postdrum: the settings are wrong: [^\n]+\n$/);
      }
  });
});
