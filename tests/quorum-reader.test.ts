import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { Digests } from '../source/core-keeper/register/changes';
import { QuorumReader, type ReadOutcome } from '../source/core-keeper/register/quorumReader';
import { World } from '../source/fleet-simulator/world/world';
import type { RequestOutcome, Message, Transport } from '../source/shared/effects/transport/transport';
import type { StatementsAnswer } from '../source/shared/register/majorityRead';

/** What one member has accepted for the configuration; undefined: it does not answer. */
type Held =
  Readonly<{ epoch: number; revision: number; text: string; decided?: number; incarnation?: number }> | undefined;

const names = ['a', 'b', 'c'];
const addressOf = (name: string): string => `10.0.0.${names.indexOf(name) + 1}:1`;
const view = {
  revision: 1,
  sets: [names],
  members: Object.fromEntries(
    names.map((name) => [name, { address: addressOf(name), operatorsAddress: '', zone: '' }]),
  ),
};

const wordsOf = (
  keeper: string,
  held: NonNullable<Held>,
  known: Readonly<Record<string, number>>,
): StatementsAnswer => ({
  kind: 'words',
  stamp: { fleet: 'fleet', keeper, incarnation: held.incarnation ?? 0, known },
  membersRevision: 1,
  view,
  words: [
    {
      key: 'blueprint',
      epoch: { number: held.epoch, keeper: held.epoch === 0 ? '' : 'a' },
      revision: held.revision,
      digest: held.text === '' ? '' : Digests.of(held.text),
      decidedRevision: held.decided ?? 0,
      decidedDigest: held.decided === held.revision ? Digests.of(held.text) : '',
      owner: '',
    },
  ],
});

const limitMicroseconds = 850_000;

/** Reads at a node that does not vote, from members with the given state. */
const readOf = async (
  members: Readonly<Record<string, Held>>,
  known: Readonly<Record<string, number>> = {},
): Promise<Readonly<{ outcome: ReadOutcome; tookMicroseconds: number; asked: readonly string[] }>> => {
  const world = new World(1);
  const asked: string[] = [];
  const answerOf = (address: string, message: Message): Message | undefined => {
    const name = names.find((one) => addressOf(one) === address) ?? '';
    const held = members[name];
    if (held === undefined) return undefined;
    if (message.kind === 'words') return wordsOf(name, held, known);
    const isHeld = message['digest'] === Digests.of(held.text);
    return isHeld
      ? { kind: 'body', key: 'blueprint', revision: held.revision, digest: Digests.of(held.text), text: held.text }
      : { kind: 'noBody' };
  };
  const transport: Transport = {
    ask: (address, message, limit) =>
      new Promise<RequestOutcome>((resolve) => {
        asked.push(message.kind);
        const answer = answerOf(address, message);
        if (answer === undefined) world.schedule(limit, () => resolve({ kind: 'silent', reason: 'limit passed' }));
        else world.schedule(1_000, () => resolve({ kind: 'answered', message: answer }));
      }),
    listen: () => Promise.reject(new Error('this transport does not listen')),
    close: () => Promise.resolve(),
  };
  const node = {
    fleet: () => 'fleet',
    members: () => Object.values(view.members),
    ownAnswer: () => undefined,
    heldText: () => undefined,
  };
  const reader = new QuorumReader(node, transport, world.clock, { askMicroseconds: 600_000 });
  let outcome: ReadOutcome | undefined;
  void reader.read('blueprint', limitMicroseconds).then((read) => (outcome = read));
  await world.runUntil(() => outcome !== undefined, 5_000_000, 1_000);
  assert.ok(outcome !== undefined);
  return { outcome, tookMicroseconds: world.nowMicroseconds, asked };
};

const old: Held = { epoch: 1, revision: 1, text: 'old' };
const next: Held = { epoch: 1, revision: 2, text: 'next' };

describe('a majority read', () => {
  test('returns a value held by a majority under one epoch although another member does not answer', async () => {
    const { outcome, tookMicroseconds, asked } = await readOf({ a: next, b: next, c: undefined });
    assert.deepEqual(outcome, { kind: 'read', revision: 2, text: 'next' });
    assert.ok(tookMicroseconds < 10_000, `${tookMicroseconds}`);
    assert.deepEqual(
      asked.filter((kind) => kind !== 'words' && kind !== 'body'),
      [],
      'only read requests are sent',
    );
  });

  test('neither returns nor ignores a newer value held by one member', async () => {
    const { outcome, tookMicroseconds } = await readOf({ a: next, b: old, c: undefined });
    assert.deepEqual(outcome, { kind: 'noMajority' });
    assert.ok(tookMicroseconds <= limitMicroseconds + 2_000, `it ends at the caller's time limit: ${tookMicroseconds}`);
  });

  test('returns the newer value once a leader has announced it as decided', async () => {
    const { outcome } = await readOf({ a: { ...next, decided: 2 }, b: old, c: undefined });
    assert.deepEqual(outcome, { kind: 'read', revision: 2, text: 'next' });
  });

  test('the same revision under two epochs is no majority', async () => {
    const { outcome } = await readOf({ a: { ...next, epoch: 2 }, b: next, c: undefined });
    assert.deepEqual(outcome, { kind: 'noMajority' });
  });

  test('one member, or none, is no majority', async () => {
    assert.deepEqual((await readOf({ a: next, b: undefined, c: undefined })).outcome, { kind: 'noMajority' });
    assert.deepEqual((await readOf({})).outcome, { kind: 'noMajority' });
  });

  test('does not count an answer of a member from before it lost its disk', async () => {
    const { outcome } = await readOf({ a: old, b: old, c: undefined }, { b: 1 });
    assert.deepEqual(outcome, { kind: 'noMajority' });
  });

  test('returns the empty value before the first change', async () => {
    const none: Held = { epoch: 0, revision: 0, text: '' };
    assert.deepEqual((await readOf({ a: none, b: none, c: undefined })).outcome, {
      kind: 'read',
      revision: 0,
      text: '',
    });
  });
});
