import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { after, describe, test } from 'node:test';

const folder = mkdtempSync(path.join(tmpdir(), 'known-red-'));
after(() => rmSync(folder, { recursive: true, force: true }));

const written = (name: string, text: string): string => {
  const file = path.join(folder, name);
  writeFileSync(file, text);
  return file;
};
const head = "const { describe, test } = require('node:test');\nconst red = () => { throw new Error('red'); };\n";
const mixed = written(
  'mixed.test.cjs',
  `${head}test('green', () => {});\ndescribe('group', () => { test('a | b', red); test('twin', red); });\n` +
    `describe('other', () => { test('twin', () => {}); test('left out', { skip: true }, () => {}); });\n`,
);
const green = written('green.test.cjs', `${head}test('all well', () => {});\n`);
const torn = written('torn.test.cjs', 'this is no program\n');

let lists = 0;
const ran = (
  lines: readonly string[] | undefined,
  files: readonly string[],
): Readonly<{ code: number; said: string }> => {
  const list =
    lines === undefined ? path.join(folder, 'none.txt') : written(`list-${++lists}.txt`, `${lines.join('\n')}\n`);
  const { status, stdout } = spawnSync(process.execPath, ['build/runTests.mjs', '--known-red', list, ...files], {
    encoding: 'utf8',
    // Why without it: a run inside a run would wait for its elder and test nothing.
    env: { ...process.env, NODE_TEST_CONTEXT: undefined, NODE_OPTIONS: undefined },
  });
  return { code: status ?? -1, said: stdout };
};
const lastLine = (said: string): string => said.trimEnd().split('\n').at(-1) ?? '';
const both = ['a | b | the cause | issue 7', 'group > twin | the cause | issue 7'];

describe('tests that are known to be red', () => {
  test('without a list, or with an empty one, nothing is passed over', () => {
    for (const lines of [undefined, [], ['', '  ']]) {
      const { code, said } = ran(lines, [mixed]);
      assert.equal(code, 1);
      assert.match(said, /^failed: group > a \| b$/m);
      assert.match(said, /^failed: group > twin$/m);
      assert.equal(lastLine(said), '2 passed, 2 failed, 0 known red, 1 skipped');
    }
    const { code, said } = ran(undefined, [green]);
    assert.equal(code, 0);
    assert.equal(lastLine(said), '1 passed, 0 failed, 0 known red, 0 skipped');
  });

  test('those that are named are passed over and printed, the others are not', () => {
    const { code, said } = ran(both, [mixed, green]);
    assert.equal(code, 0, said);
    assert.match(said, /^known red, passed over: a \| b \| the cause \| issue 7$/m);
    assert.match(said, /^known red, passed over: group > twin \| the cause \| issue 7$/m);
    assert.equal(lastLine(said), '3 passed, 0 failed, 2 known red, 1 skipped');
    const one = ran(both.slice(0, 1), [mixed]);
    assert.equal(one.code, 1);
    assert.match(one.said, /^failed: group > twin$/m);
  });

  test('a line that names no test, two tests, a group, a skipped one or one that passes again is red', () => {
    const refused = (line: string, why: RegExp): void => {
      const { code, said } = ran([...both, line], [mixed]);
      assert.equal(code, 1, line);
      assert.match(said, why);
    };
    refused('nobody | the cause | issue 7', /line 3 names no test: nobody$/m);
    refused('group | the cause | issue 7', /line 3 names no test: group$/m);
    refused('twin | the cause | issue 7', /line 3 names 2 tests, write the groups before it: twin$/m);
    refused('left out | the cause | issue 7', /line 3 names a test that was not run: left out$/m);
    refused('green | the cause | issue 7', /line 3 names a test that passes again, take the line out: green$/m);
  });

  test('a line without a cause or an issue is red', () => {
    for (const line of ['a | b', 'a | b | the cause | ', 'green'])
      assert.match(ran([...both, line], [mixed]).said, /line 3 is not "test name \| cause \| issue"/, line);
  });

  test('a file that does not run is red and can be named by nobody else', () => {
    const { code, said } = ran(both, [mixed, torn]);
    assert.equal(code, 1);
    assert.match(said, /^failed: .*torn\.test\.cjs$/m);
  });

  test('a run without files is no pass', () => {
    assert.equal(ran(undefined, []).code, 2);
  });
});
