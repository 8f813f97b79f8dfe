import assert from 'node:assert/strict';
import { test } from 'node:test';
import { WeightsAges } from '../source/core-keeper/register/weightsAges';
import { nativeConfigurationFormat } from '../source/shared/configuration/configurationFormat';
import { SimBlueprints } from '../source/fleet-simulator/machines/simFleet';
import { StalenessGuard } from '../source/edge-proxy/identification/stalenessGuard';
import { Digests } from '../source/core-keeper/register/changes';
import { Freshness, type Statement } from '../source/shared/freshness/freshness';
import { MajorityReads, type StatementsAnswer } from '../source/shared/register/majorityRead';
import { Epochs, type Entry, type WeightsAge } from '../source/shared/register/types';
import { timerlessClock } from './support/timerlessClock';

const epoch = { ...Epochs.none, counter: 1 } as typeof Epochs.none;

const answer = (keeper: string, age: WeightsAge): StatementsAnswer => ({
  kind: 'words',
  stamp: { keeper, fleet: 'f', incarnation: 1, known: {} } as StatementsAnswer['stamp'],
  membersRevision: 1,
  view: { revision: 1, sets: [['a', 'b', 'c']], members: {} },
  words: [
    {
      key: 'blueprint',
      epoch,
      revision: 2,
      digest: 'd',
      decidedRevision: 2,
      decidedDigest: 'd',
      owner: 'a',
      weights: { pool: age },
    },
  ],
});

test('the previous weights come from a node that knows them, even if another has held the new ones for longer', () => {
  // The control node that joined recently received the change first and does not know the previous weights.
  const joined: WeightsAge = { weights: 'w2', previous: null, ageMicroseconds: 900_000 };
  const knows: WeightsAge = { weights: 'w2', previous: 'w1', ageMicroseconds: 400_000 };
  for (const [first, second] of [
    [joined, knows],
    [knows, joined],
  ] as const) {
    const read = MajorityReads.evaluate([answer('a', first), answer('b', second)], 'f', () => undefined);
    const [statement] = read.statements;
    assert.deepEqual(statement?.weights, { pool: { weights: 'w2', previous: 'w1', ageMicroseconds: 900_000 } });
  }
});

test('engines on the previous weights stay in use until the limit although one statement does not name them', () => {
  const clock = timerlessClock();
  const freshness = new Freshness(clock);
  const fence = new StalenessGuard(freshness, clock, Infinity, 8_000_000);
  const text = JSON.stringify(SimBlueprints.initial('w2'));
  const digest = Digests.of(text);
  const statement = (previous: string | null, ageMicroseconds: number): Statement => ({
    key: 'blueprint',
    revision: 2,
    digest,
    ageMicroseconds: 0,
    weights: { pool: { weights: 'w2', previous, ageMicroseconds } },
  });
  clock.now = 5_000_000;
  freshness.applyStatement(statement('w1', 300_000), clock.now);
  assert.ok(
    freshness.applyBody({ key: 'blueprint', revision: 2, digest, text } as Parameters<Freshness['applyBody']>[0]),
  );
  assert.equal(fence.weights('pool', 'w1'), 'untilChanged');
  freshness.applyStatement(statement(null, 900_000), clock.now);
  assert.equal(
    fence.weights('pool', 'w1'),
    'untilChanged',
    'a higher age without previous weights does not remove the known ones',
  );
  clock.now += 7_200_000;
  assert.equal(fence.weights('pool', 'w1'), 'forbidden', 'the higher age counts');
});

test('a control node with restored state knows the previous weights after the next change', () => {
  const clock = timerlessClock();
  const ages = new WeightsAges(clock, nativeConfigurationFormat);
  const entry = (weights: string): Entry => {
    const text = JSON.stringify(SimBlueprints.initial(weights));
    return { text, digest: Digests.of(text), revision: 1 } as Entry;
  };
  ages.restored(entry('w1'));
  clock.now = 2_000_000;
  ages.accepted(entry('w2'));
  assert.deepEqual(ages.ages()['pool'], { weights: 'w2', previous: 'w1', ageMicroseconds: 0 });
});

test('a statement without weights does not erase the weights that its receiver knows', () => {
  const clock = timerlessClock();
  const freshness = new Freshness(clock);
  const fence = new StalenessGuard(freshness, clock, Infinity, 8_000_000);
  const texts = ['one', 'two'].map((path) => {
    const first = SimBlueprints.initial('w2');
    const route = first.mappings['slip'];
    assert.ok(route !== undefined);
    return JSON.stringify({ ...first, mappings: { ...first.mappings, more: { ...route, path: `/${path}` } } });
  });
  const hear = (revision: number, weights: Statement['weights']): void => {
    const text = texts[revision - 1] ?? '';
    const digest = Digests.of(text);
    freshness.applyStatement({ key: 'blueprint', revision, digest, ageMicroseconds: 0, weights }, clock.now);
    freshness.applyBody({ key: 'blueprint', revision, digest, text });
  };
  hear(1, { pool: { weights: 'w2', previous: 'w1', ageMicroseconds: 300_000 } });
  assert.equal(fence.weights('pool', 'w1'), 'untilChanged');
  hear(2, {});
  assert.equal(freshness.revision('blueprint'), 2);
  assert.equal(fence.weights('pool', 'w1'), 'untilChanged');
  clock.now += 8_000_000;
  assert.equal(fence.weights('pool', 'w1'), 'forbidden');
});
