/** What the answers of five control nodes prove while a change is being accepted. */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { MajorityReads, type StatementsAnswer } from '../source/shared/register/majorityRead';

const names = ['a', 'b', 'c', 'd', 'e'];
const member = { address: '', operatorsAddress: '', zone: '' };
const view = { revision: 1, sets: [names], members: Object.fromEntries(names.map((name) => [name, member])) };

/** What a control node has accepted, and which revision it knows to be decided. */
type Held = Readonly<{ epoch: number; revision: number; decided: number }>;

const answerOf = (keeper: string, { epoch, revision, decided }: Held): StatementsAnswer => ({
  kind: 'words',
  stamp: { fleet: 'fleet', keeper, incarnation: 0, known: {} },
  membersRevision: 1,
  view,
  words: [
    {
      key: 'blueprint',
      epoch: { number: epoch, keeper: 'a' },
      revision,
      digest: `digest ${revision}`,
      decidedRevision: decided,
      decidedDigest: `digest ${decided}`,
      owner: 'a',
    },
  ],
});

const provenRevisions = (held: Readonly<Record<string, Held>>): readonly number[] =>
  MajorityReads.evaluate(
    Object.entries(held).map(([keeper, word]) => answerOf(keeper, word)),
    'fleet',
    () => undefined,
  ).statements.map(({ revision }) => revision);

const settled: Held = { epoch: 1, revision: 7, decided: 7 };
const offered: Held = { epoch: 1, revision: 8, decided: 7 };

describe('a majority read while a change is being accepted', () => {
  test('a majority that has not accepted the change proves the previous revision', () => {
    assert.deepEqual(provenRevisions({ a: offered, b: settled, c: settled, d: settled, e: settled }), [7]);
    assert.deepEqual(provenRevisions({ a: offered, b: offered, c: settled, d: settled, e: settled }), [7]);
    assert.deepEqual(provenRevisions({ a: offered, b: settled, c: settled, d: settled }), [7]);
  });

  test('nothing is proven if the members that have not accepted the change are no majority', () => {
    assert.deepEqual(provenRevisions({ a: offered, b: settled, c: settled }), []);
    assert.deepEqual(provenRevisions({ a: offered, b: offered, c: settled, d: settled }), []);
    assert.deepEqual(provenRevisions({ a: offered, d: settled, e: settled }), []);
  });

  test('a change held by a majority, or known to be decided, is never hidden by the other members', () => {
    assert.deepEqual(provenRevisions({ a: offered, b: offered, c: offered, d: settled, e: settled }), [8]);
    const informed: Held = { ...settled, decided: 8 };
    assert.deepEqual(provenRevisions({ a: offered, b: settled, c: settled, d: informed, e: settled }), [8]);
  });

  test('with two concurrent changes of different epochs only a majority of the remaining members proves a revision', () => {
    const other: Held = { epoch: 2, revision: 8, decided: 7 };
    assert.deepEqual(provenRevisions({ a: offered, b: other, c: settled, d: settled, e: settled }), [7]);
    assert.deepEqual(provenRevisions({ a: offered, b: other, c: settled, d: settled }), []);
  });

  test('holders of a value under a lower epoch do not prove it once it is offered under a higher epoch', () => {
    const again: Held = { epoch: 2, revision: 7, decided: 0 };
    const before: Held = { epoch: 1, revision: 7, decided: 0 };
    assert.deepEqual(provenRevisions({ a: again, b: before, c: before }), []);
    assert.deepEqual(provenRevisions({ a: again, b: before, c: before, d: before }), [7]);
  });
});
