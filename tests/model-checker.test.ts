import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { Explorer, type Explored } from './support/model/explorer';
import { RegisterModel, type Scope } from './support/model/registerModel';

/** `POSTDRUM_MODEL_STATES=200000 POSTDRUM_MODEL_UNUSUAL=3 node build/runTests.mjs dist/tests/model-checker.test.cjs` for long. */
const mostStates = Number(process.env['POSTDRUM_MODEL_STATES'] ?? 4000);
const unusualChoices = Number(process.env['POSTDRUM_MODEL_UNUSUAL'] ?? 2);

const change = (at: string, text: string, ifMatch: number): Scope['script'][number] => ({
  kind: 'change',
  at,
  text,
  ifMatch,
});
const read = (at: string): Scope['script'][number] => ({ kind: 'read', at });
const three = ['a', 'b', 'c'];

const scopes: Readonly<Record<string, Scope>> = {
  'three members, two changes on one base, messages and power lost': {
    founders: three,
    newcomers: [],
    script: [change('a', 'one', 0), change('b', 'two', 0), read('c'), read('a')],
    powerLosses: 1,
    diskLosses: 0,
    messageLosses: 2,
  },
  'three members, a disk lost': {
    founders: three,
    newcomers: [],
    script: [change('a', 'one', 0), read('b'), change('b', 'two', 1), read('c')],
    powerLosses: 1,
    diskLosses: 1,
    messageLosses: 1,
  },
  'three members, one replaced by a learner while changes go on': {
    founders: three,
    newcomers: ['d'],
    script: [
      change('a', 'one', 0),
      { kind: 'replace', at: 'b', gone: 'c', newcomer: 'd' },
      change('a', 'two', 1),
      read('b'),
      read('a'),
    ],
    powerLosses: 1,
    diskLosses: 0,
    messageLosses: 1,
  },
  'five members, two without power at once': {
    founders: ['a', 'b', 'c', 'd', 'e'],
    newcomers: [],
    script: [change('a', 'one', 0), change('b', 'two', 0), read('e')],
    powerLosses: 2,
    diskLosses: 0,
    messageLosses: 1,
  },
};

const explored = (scope: Scope, bounds = { unusualChoices, mostStates, mostSteps: 600 }): Promise<Explored> =>
  new Explorer(() => RegisterModel.begin(scope), bounds).explore();

describe('the usual history of each scope', () => {
  const usual = async (scope: Scope): Promise<RegisterModel> => {
    const model = await RegisterModel.begin(scope);
    for (let next = model.choices()[0]; next !== undefined; next = model.choices()[0]) {
      next.act();
      await new Promise((resolve) => setImmediate(resolve));
    }
    return model;
  };

  test('one of two changes is confirmed and read', async () => {
    const model = await usual(scopes['three members, two changes on one base, messages and power lost'] as Scope);
    assert.deepEqual(model.outcomes(), ['taken', 'refused', 1, 1]);
  });

  test('the learner takes its place, and the change beside it is read', async () => {
    const model = await usual(scopes['three members, one replaced by a learner while changes go on'] as Scope);
    assert.deepEqual(model.outcomes(), ['taken', 'taken', 'taken', 2, 2]);
    assert.deepEqual(model.voters(), ['a', 'b', 'd']);
  });
});

describe('all histories within a bound', () => {
  for (const [name, scope] of Object.entries(scopes))
    test(name, async (context) => {
      const { states, histories, isComplete, broken } = await explored(scope);
      context.diagnostic(
        `${states} states, ${histories} histories, ${isComplete ? 'all' : 'not all'} within the bound`,
      );
      assert.equal(broken, undefined, JSON.stringify(broken, undefined, 2));
      assert.ok(states > 200, `only ${states} states`);
    });
});
