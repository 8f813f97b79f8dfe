import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import fc from 'fast-check';
import { Changes, emptyEntry } from '../source/core-keeper/register/changes';
import { SimBlueprints } from '../source/fleet-simulator/machines/simFleet';
import { DocumentValidation } from '../source/shared/configuration/validation';
import { JsonDocuments, JsonEdits } from '../source/shared/configuration/jsonDocument';

const settings = { numRuns: Number(process.env['POSTDRUM_TEST_RUNS'] ?? 100), seed: 4711 };
const first = (): Record<string, Record<string, Record<string, unknown>>> =>
  structuredClone(SimBlueprints.initial()) as never;
const faultPaths = (text: string): readonly string[] => {
  const checked = DocumentValidation.checkText('blueprint', text);
  return checked.kind === 'good' ? [] : checked.faults.map(({ path }) => path);
};

test('the example configurations are valid', () => {
  for (const name of ['koro-sea', 'swanreach'])
    assert.equal(DocumentValidation.checkText('blueprint', readFileSync(`examples/${name}.json`, 'utf8')).kind, 'good');
});

test('reports all faults at once, each with its path', () => {
  const blueprint = first();
  (blueprint['classes'] ??= {})['long'] = { rank: 1.5, sharePerMille: 2000, extra: 1 };
  (blueprint['tenants'] ??= {})['open1'] = { walled: 'yes', keys: ['short', 7] };
  (blueprint['mappings'] ??= {})['x'] = { path: 'no-slash', service: 'pool', class: 'short', resumable: 'true' };
  (blueprint['classes'] ??= {})['short'] = { rank: '1', sharePerMille: 100 };
  assert.deepEqual([...faultPaths(JSON.stringify(blueprint))].sort(), [
    '/classes/long/extra',
    '/classes/long/rank',
    '/classes/long/sharePerMille',
    '/classes/short/rank',
    '/mappings/x/path',
    '/mappings/x/resumable',
    '/tenants/open1/keys',
    '/tenants/open1/walled',
  ]);
});

test('rejects dangling references, shares above 1000 per mille, a key of two tenants and a duplicate route', () => {
  const blueprint = first();
  (blueprint['mappings'] ??= {})['x'] = { path: '/x', service: 'nowhere', class: 'none' };
  (blueprint['mappings'] ??= {})['y'] = { path: '/v1/chat/completions', model: 'long', service: 'pool', class: 'long' };
  (blueprint['tenants'] ??= {})['thief'] = { keys: ['key-open2-a'] };
  (blueprint['classes'] ??= {})['more'] = { rank: 3, sharePerMille: 1 };
  assert.deepEqual([...faultPaths(JSON.stringify(blueprint))].sort(), [
    '/classes',
    '/mappings/x/class',
    '/mappings/x/service',
    '/mappings/y',
    '/tenants/thief/keys/0',
  ]);
});

test('no fault message contains a key', () => {
  const blueprint = first();
  (blueprint['tenants'] ??= {})['thief'] = { keys: ['key-open2-a', 'tiny'] };
  const checked = DocumentValidation.checkText('blueprint', JSON.stringify(blueprint));
  assert.equal(checked.kind, 'faulty');
  assert.ok(!JSON.stringify(checked).includes('key-open2-a') && !JSON.stringify(checked).includes('tiny'));
});

test('rejects duplicate names, __proto__, broken JSON, and texts that are too deep or too long', () => {
  assert.deepEqual(faultPaths('{"classes":{},"classes":{}}').includes('/classes'), true);
  assert.ok(faultPaths('{"tenants":{"__proto__":{}}}').some((path) => path.includes('__proto__')));
  for (const text of ['', '{', '{"a":1,}', '// c\n{}', '[1', 'nul', '{"a":01}', '{"a":"\u0001"}'])
    assert.equal(JsonDocuments.read(text).kind, 'faulty', text);
  assert.equal(JsonDocuments.read('['.repeat(50) + ']'.repeat(50)).kind, 'faulty');
  assert.equal(DocumentValidation.checkText('blueprint', ' '.repeat(5 * 1024 * 1024)).kind, 'faulty');
});

test('the checker does not modify its input and adds no defaults to the stored text', () => {
  const text = JSON.stringify(first());
  const planned = Changes.plan(emptyEntry, { key: 'blueprint', form: 'whole', text, ifMatch: 0, id: 'a' });
  assert.ok(planned.kind === 'write' && planned.entry.text === text && planned.entry.revision === 1);
});

test('an edit of one value leaves all other bytes unchanged', () => {
  const names = fc
    .string({ minLength: 1, maxLength: 8 })
    .filter((name) => !['__proto__', 'constructor', 'prototype'].includes(name));
  const leaf = fc.oneof(fc.integer(), fc.string({ maxLength: 6 }), fc.boolean());
  fc.assert(
    fc.property(
      fc.dictionary(names, fc.dictionary(names, leaf, { maxKeys: 4 }), { minKeys: 1, maxKeys: 5 }),
      fc.nat(),
      fc.nat(),
      leaf,
      fc.integer({ min: 0, max: 3 }),
      (made, one, two, put, indent) => {
        const value = JSON.parse(JSON.stringify(made)) as typeof made;
        const text = JSON.stringify(value, undefined, indent);
        const outer = Object.keys(value)[one % Object.keys(value).length] ?? '';
        const inner = Object.keys(value[outer] ?? {});
        const name = inner[two % Math.max(1, inner.length)] ?? 'new';
        const path = `/${JsonDocuments.escape(outer)}/${JsonDocuments.escape(name)}`;
        const changed = JsonEdits.apply(text, { kind: 'put', path, text: JSON.stringify(put) });
        assert.equal(changed.kind, 'changed');
        if (changed.kind !== 'changed') return;
        assert.deepEqual(JSON.parse(changed.text), { ...value, [outer]: { ...value[outer], [name]: put } });
        const back = inner.includes(name)
          ? JsonEdits.apply(changed.text, { kind: 'put', path, text: JSON.stringify((value[outer] ?? {})[name]) })
          : JsonEdits.apply(changed.text, { kind: 'remove', path });
        assert.ok(
          back.kind === 'changed' &&
            (inner.includes(name)
              ? back.text === text
              : JSON.stringify(JSON.parse(back.text)) === JSON.stringify(value)),
        );
      },
    ),
    settings,
  );
});

test('a change id has one outcome, its reuse for another change is rejected, and so is an outdated base revision', () => {
  const text = JSON.stringify(first());
  const request = { key: 'blueprint', form: 'whole', text, ifMatch: 0, id: 'a' } as const;
  const planned = Changes.plan(emptyEntry, request);
  assert.ok(planned.kind === 'write');
  if (planned.kind !== 'write') return;
  assert.deepEqual(Changes.plan(planned.entry, request), { kind: 'answer', outcome: { kind: 'taken', revision: 1 } });
  const other = Changes.plan(planned.entry, { ...request, text: `${text} ` });
  assert.ok(other.kind === 'answer' && other.outcome.kind === 'refused' && other.outcome.reason === 'idUsed');
  const late = Changes.plan(planned.entry, { ...request, id: 'b' });
  assert.ok(late.kind === 'answer' && late.outcome.kind === 'refused' && late.outcome.reason === 'revision');
});
