import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import type * as ModelScopes from './support/model/modelScopes';
import { exploreScope, modelScopes, scopeNames, type ScopeName } from './support/model/modelScopes';
import { RegisterModel, type Scope } from './support/model/registerModel';
import { loadWithout, type Cuts } from './support/sabotages';

/** For long: `POSTDRUM_MODEL_STATES=200000 POSTDRUM_MODEL_UNUSUAL=3 node build/runTests.mjs dist/tests/model-checker.test.cjs`. */
const only = process.env['POSTDRUM_MODEL_SCOPE'] ?? '';
const mostStates = Number(process.env['POSTDRUM_MODEL_STATES'] ?? 2500);
const mostUnusual = Number(process.env['POSTDRUM_MODEL_UNUSUAL'] ?? 2);
const bounds = { unusualChoices: mostUnusual, mostStates, mostSteps: 1500 };

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
    const model = await usual(modelScopes['two changes on one base, messages and power lost']);
    assert.deepEqual(model.outcomes(), ['taken', 'refused', 1, 1]);
  });

  test('the learner takes its place, and the change beside it is read', async () => {
    const model = await usual(modelScopes['one member replaced by a learner while changes go on']);
    assert.deepEqual(model.outcomes(), ['taken', 'taken', 'taken', 2, 2]);
    assert.deepEqual(model.voters(), ['a', 'b', 'd']);
  });

  test('a wiped replica votes again with what it had', async () => {
    const model = await usual(modelScopes['the disk of one of two copies lost, and the other copy out of reach']);
    assert.deepEqual(
      [model.outcomes(), model.voters()],
      [
        ['taken', 1],
        ['a', 'b', 'c'],
      ],
    );
  });

  test('the replaced member is refused, the others go on', async () => {
    const model = await usual(modelScopes['a replaced member that does not know it, cut apart with half of the rest']);
    assert.equal(model.outcomes().filter((outcome) => outcome === 'taken').length, 2);
  });
});

describe('all histories within a bound', () => {
  for (const name of scopeNames.filter((scope) => scope.includes(only)))
    test(name, async (context) => {
      const { states, histories, isComplete, broken } = await exploreScope(name, bounds);
      context.diagnostic(
        `${states} states, ${histories} histories, ${isComplete ? 'all' : 'not all'} within the bound`,
      );
      assert.equal(broken, undefined, JSON.stringify(broken, undefined, 2));
      assert.ok(states > 60, `only ${states} states`);
    });
});

type Mutation = Readonly<{ what: string; scope: ScopeName; cuts: Cuts; sees: RegExp; unusualChoices?: number }>;

const mutations: readonly Mutation[] = [
  {
    what: 'an acceptor that keeps no promise',
    scope: 'two changes on one base, messages and power lost',
    cuts: [['core-keeper/register/acceptor.ts', 'Epochs.compare(request.epoch, cell.promised) < 0 ||', '']],
    sees: /two changes on one base|a later read/,
  },
  {
    what: 'answers before the disk has them',
    scope: 'power lost on two of three right after a change',
    cuts: [
      [
        'core-keeper/write-ahead-log/writeAheadLog.ts',
        '      await file.sync();\n    } catch (error) {\n      // The log stops',
        '    } catch (error) {\n      // The log stops',
      ],
    ],
    sees: /no majority|a later read/,
  },
  {
    what: 'a replica that lost its disk votes without a majority of snapshots',
    scope: 'a wiped member and the one that lacks the change, apart from the last copy',
    cuts: [
      [
        'core-keeper/membership/fleetMembership.ts',
        'return answering.length >= Math.min(others.length, Stamps.majoritySize(set.length));',
        'return answering.length > 0;',
      ],
    ],
    sees: /a later read/,
  },
  {
    what: 'a changed list that stands alone at once',
    scope: 'a member out of reach right after a replacement began',
    cuts: [['core-keeper/register/leadership.ts', ' || entry.learner !== undefined', '']],
    sees: /no majority/,
  },
  {
    what: 'votes under an older list of members',
    scope: 'a replaced member that does not know it, cut apart with half of the rest',
    cuts: [
      [
        'core-keeper/register/acceptor.ts',
        'if (isOutdatedList || Epochs.compare(request.epoch, promised) <= 0)',
        'if (Epochs.compare(request.epoch, promised) <= 0)',
      ],
      ['core-keeper/register/acceptor.ts', 'if (isOutdatedList || isOutranked)', 'if (isOutranked)'],
      ['core-keeper/register/prepareRound.ts', '|| answer.membersRevision <= membersRevision', '|| true'],
      ['core-keeper/register/acceptRound.ts', '|| answer.membersRevision <= request.membersRevision', '|| true'],
      ['core-keeper/register/preVote.ts', 'if (address !== undefined) await this.settings.learnMembers(address);', ''],
    ],
    sees: /two changes on one base/,
  },
  {
    what: 'a value found is not written again under the epoch of the new leader',
    scope: 'two changes on one base, messages and power lost',
    cuts: [
      [
        'core-keeper/register/leadership.ts',
        'const entry = promises.accepted?.entry ?? this.initialEntry();',
        'const entry = this.initialEntry();',
      ],
    ],
    sees: /a later read|two changes on one base/,
  },
  {
    what: 'a minority of the seeds founds',
    scope: 'two seeds found a fleet without the third; one of them loses its disk and meets the third alone',
    cuts: [['core-keeper/membership/fleetBootstrap.ts', 'names.size < Stamps.majoritySize(founders) || ', '']],
    sees: /two fleets/,
  },
  {
    what: 'a seed that lost its disk founds a fleet again',
    scope: 'two seeds found a fleet without the third; one of them loses its disk and meets the third alone',
    cuts: [['core-keeper/membership/fleetBootstrap.ts', '!hellos.every(isOfFirstStart)', 'false']],
    sees: /two fleets/,
  },
  {
    what: 'a member that leaves does not wait for its successor',
    scope: 'a member leaves that holds one of two copies, and the other copy is lost',
    cuts: [['core-keeper/membership/memberChanges.ts', "if (leaveAnswer === 'free') return;", 'return;']],
    sees: /no majority|a later read/,
  },
  {
    what: 'a member wiped while the list changes votes again with one snapshot',
    scope: 'a member wiped while the list changes, apart from the last copy',
    cuts: [
      [
        'core-keeper/membership/fleetMembership.ts',
        'return answering.length >= Math.min(others.length, Stamps.majoritySize(set.length));',
        'return answering.length > 0;',
      ],
    ],
    sees: /a later read|two changes on one base|no majority/,
    unusualChoices: 1,
  },
  {
    what: 'a changed list that cannot be accepted is not learned',
    scope: 'the leader out of reach right after a replacement began, and a member that promised a higher epoch before',
    cuts: [
      [
        'core-keeper/register/entryTransfer.ts',
        "await this.core.ledger.write([{ kind: 'membersLearned', epoch: offer.epoch, entry: offer.entry }]);",
        '',
      ],
    ],
    sees: /does not end|no majority/,
    unusualChoices: 1,
  },
  {
    what: 'a log that is written on after its snapshot took its name',
    scope: 'power lost at any step while the log is rewritten as a snapshot',
    cuts: [
      [
        'core-keeper/write-ahead-log/writeAheadLog.ts',
        '    this.file = await this.disk.open(fileName);\n    await oldFile?.close();',
        '    void oldFile;',
      ],
    ],
    sees: /a later read|no majority|two changes on one base/,
  },
];

describe('the checker sees each mechanism cut out', () => {
  for (const { what, scope, cuts, sees, unusualChoices = bounds.unusualChoices } of mutations)
    test(what, async () => {
      const { module, cut, end } = await loadWithout<typeof ModelScopes>('tests/support/model/modelScopes.ts', cuts);
      const { broken } = await module.exploreScope(scope, { ...bounds, unusualChoices, mostStates: 60_000 });
      end();
      assert.equal(cut, cuts.length);
      assert.match(broken?.what ?? 'nothing', sees);
    });
});
