// Why not `node --test` alone: it cannot pass over the tests that KNOWN-RED.txt names, and over no others.
//   node build/runTests.mjs [--known-red FILE] TEST-FILE...
import { existsSync, readFileSync } from 'node:fs';
import path from 'node:path';
import { run } from 'node:test';
import { spec as Spec } from 'node:test/reporters';
import { judged, knownRedOf } from './knownRed.mjs';

const given = process.argv.slice(2);
const listAt = given.indexOf('--known-red');
const list = listAt < 0 ? 'KNOWN-RED.txt' : given[listAt + 1];
const files = (listAt < 0 ? given : given.toSpliced(listAt, 2)).map((file) => path.resolve(file));
if (files.length === 0) {
  process.stderr.write('no test file is named\n');
  process.exit(2);
}
const known = knownRedOf(existsSync(list) ? readFileSync(list, 'utf8') : '');

const results = [];
/** Names of the groups that are open, for each file. */
const open = new Map();
const startOf = ({ file = '', nesting, name }) => {
  const path = [...(open.get(file) ?? []).slice(0, nesting), name];
  open.set(file, path);
  return path;
};
const pathOf = ({ file = '', nesting, name }) => [...(open.get(file) ?? []).slice(0, nesting), name];
const isGroup = ({ details }) => details?.type === 'suite';
/** A test or group that is red only because one inside it is. */
const failsByInner = ({ details }) => details?.error?.failureType === 'subtestsFailed';

// Why at first: a run that ends before its report does is no pass.
process.exitCode = 1;
const events = run({ files, concurrency: true });
events.on('test:start', startOf);
events.on('test:pass', (data) => {
  if (isGroup(data)) return;
  results.push({ path: pathOf(data), outcome: data.skip === undefined ? 'passed' : 'skipped' });
});
events.on('test:fail', (data) => {
  if (!failsByInner(data)) results.push({ path: pathOf(data), outcome: 'failed' });
});
const report = events.compose(new Spec());
report.pipe(process.stdout);
report.on('end', () => {
  const verdict = judged(known, results);
  const said = [
    ...verdict.passedOver.map(({ name, cause, issue }) => `known red, passed over: ${name} | ${cause} | ${issue}`),
    ...verdict.red.map(({ path }) => `failed: ${path.join(' > ')}`),
    ...verdict.faults.map((fault) => `${list}: ${fault}`),
    `${verdict.passed} passed, ${verdict.red.length} failed, ${verdict.passedOver.length} known red, ${verdict.skipped} skipped`,
  ];
  process.stdout.write(`${said.join('\n')}\n`);
  process.exitCode = verdict.red.length + verdict.faults.length === 0 ? 0 : 1;
});
