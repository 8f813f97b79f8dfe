import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { SendStage } from './support/sendStage';

const sealed = { 'postdrum-request-id': 'r1', 'postdrum-server-seal': 'seal', 'content-type': 'text/event-stream' };
const without = (name: keyof typeof sealed): Readonly<Record<string, string>> =>
  Object.fromEntries(Object.entries(sealed).filter(([other]) => other !== name));

describe('a success reaches the caller only with the seal of its engine and the id of its request', () => {
  test('with both it is passed on', async () => {
    const stage = new SendStage();
    stage.head(200, sealed);
    stage.part('id: 1\ndata: x\n\n');
    await stage.end();
    assert.equal(stage.step?.kind, 'done');
    assert.equal(stage.caller.given?.headers['postdrum-server-seal'], 'seal');
    assert.equal(stage.caller.text, 'id: 1\ndata: x\n\n');
  });

  for (const missing of ['postdrum-server-seal', 'postdrum-request-id'] as const)
    test(`without ${missing} it is no answer: 502, its connection is not used again`, async () => {
      const stage = new SendStage();
      stage.head(200, without(missing));
      stage.part('id: 1\ndata: x\n\n');
      await stage.end();
      assert.equal(stage.caller.begun(), false);
      assert.equal(stage.cuts, 1);
      assert.equal(
        stage.step?.kind === 'refuse' ? `${stage.step.refusal.status} ${stage.step.refusal.verdict}` : '',
        '502 mayHaveRun',
      );
    });

  test('a failure without a seal is passed on as it came', async () => {
    const stage = new SendStage();
    stage.head(500, { 'postdrum-request-id': 'r1' });
    stage.part('x');
    await stage.end();
    assert.equal(stage.caller.given?.status, 500);
    assert.equal(stage.step?.kind, 'done');
  });
});

describe('each send names a deadline, never later than what its caller and its route allow', () => {
  const deadlineOf = (order: ConstructorParameters<typeof SendStage>[0]): string | undefined =>
    new SendStage(order).sent?.headers['postdrum-deadline-ms'];

  test("the caller's, or the route's where that is sooner", () => {
    assert.equal(deadlineOf({ limitMicroseconds: 3_000_000, mapping: { limitMicroseconds: 6_000_000 } }), '3000');
    assert.equal(deadlineOf({ limitMicroseconds: 6_000_000, mapping: { limitMicroseconds: 3_000_000 } }), '3000');
    assert.equal(deadlineOf({ limitMicroseconds: 3_000_000 }), '3000');
  });

  test("the route's where the caller names none", () => {
    assert.equal(deadlineOf({ mapping: { limitMicroseconds: 6_000_000 } }), '6000');
  });

  test('none where nobody names one', () => {
    assert.equal(deadlineOf({}), undefined);
    assert.equal(deadlineOf({ mapping: { limitMicroseconds: 0 } }), undefined);
  });
});

describe('an answer without a length ends with its connection', () => {
  const event = (number: number): string => `id: ${number}\ndata: x\n\n`;

  test('a connection that closes ends it well', async () => {
    const stage = new SendStage();
    stage.head(200, sealed, false);
    stage.part(event(1));
    stage.part(event(2));
    await stage.end();
    assert.equal(stage.step?.kind, 'done');
    assert.equal(stage.caller.ended, true);
    assert.equal(stage.caller.text, event(1) + event(2));
  });

  test('one that is reset does not: the caller sees that it broke off', async () => {
    const stage = new SendStage();
    stage.head(200, sealed, false);
    stage.part(event(1));
    await stage.reset();
    assert.equal(stage.step?.kind, 'refuse');
    assert.equal(stage.caller.ended, false);
  });

  test('one that closes in the middle of an event does not either', async () => {
    const stage = new SendStage();
    stage.head(200, sealed, false);
    stage.part(event(1));
    stage.part('id: 2\nda');
    await stage.end();
    assert.equal(stage.step?.kind, 'refuse');
    assert.equal(stage.caller.ended, false);
    assert.equal(stage.caller.text, event(1));
  });

  test('one that closes before anything came does not either', async () => {
    const stage = new SendStage();
    stage.head(200, sealed, false);
    await stage.end();
    assert.equal(stage.step?.kind, 'refuse');
    assert.equal(stage.caller.begun(), false);
  });
});

describe('a caller that leaves', () => {
  for (const begun of [false, true])
    test(`its engine's work is ended at once, ${begun ? 'in the middle of the answer' : 'before the answer'}`, async () => {
      const stage = new SendStage({ mapping: { resumable: true } });
      if (begun) {
        stage.head(200, sealed);
        stage.part('id: 1\ndata: x\n\n');
      }
      assert.equal(stage.cuts, 0);
      stage.caller.leave();
      assert.equal(stage.cuts, 1, 'without waiting for anything');
      await stage.settle();
      assert.equal(stage.step?.kind, 'refuse', 'and it goes to no other engine');
    });
});
