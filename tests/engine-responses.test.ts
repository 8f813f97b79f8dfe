import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { AttemptHarness } from './support/attemptHarness';

const sealed = { 'postdrum-request-id': 'r1', 'postdrum-server-seal': 'seal', 'content-type': 'text/event-stream' };
const without = (name: keyof typeof sealed): Readonly<Record<string, string>> =>
  Object.fromEntries(Object.entries(sealed).filter(([other]) => other !== name));

describe('a successful response is forwarded only with the seal of its engine and the id of its request', () => {
  test('forwards a response with both', async () => {
    const stage = new AttemptHarness();
    stage.head(200, sealed);
    stage.part('id: 1\ndata: x\n\n');
    await stage.end();
    assert.equal(stage.step?.kind, 'done');
    assert.equal(stage.client.given?.headers['postdrum-server-seal'], 'seal');
    assert.equal(stage.client.text, 'id: 1\ndata: x\n\n');
  });

  for (const missing of ['postdrum-server-seal', 'postdrum-request-id'] as const)
    test(`answers 502 and closes the connection without ${missing}`, async () => {
      const stage = new AttemptHarness();
      stage.head(200, without(missing));
      stage.part('id: 1\ndata: x\n\n');
      await stage.end();
      assert.equal(stage.client.begun(), false);
      assert.equal(stage.cuts, 1);
      assert.equal(
        stage.step?.kind === 'refuse' ? `${stage.step.refusal.status} ${stage.step.refusal.verdict}` : '',
        '502 mayHaveRun',
      );
    });

  // REFUSED, TWICE: guards against a refusal that belongs to no request being taken for the response to this one.
  for (const [status, headers] of [
    [503, { 'postdrum-not-run': '1' }],
    [429, { 'postdrum-not-run': '1' }],
    [421, {}],
    [500, {}],
  ] as const)
    test(`answers 502 and closes the connection on a ${status} without the id of the request`, async () => {
      const stage = new AttemptHarness();
      stage.head(status, headers);
      await stage.end();
      assert.equal(stage.cuts, 1);
      assert.equal(
        stage.step?.kind === 'refuse' ? `${stage.step.refusal.status} ${stage.step.refusal.verdict}` : '',
        '502 mayHaveRun',
      );
    });

  test('forwards an error response without a seal unchanged', async () => {
    const stage = new AttemptHarness();
    stage.head(500, { 'postdrum-request-id': 'r1' });
    stage.part('x');
    await stage.end();
    assert.equal(stage.client.given?.status, 500);
    assert.equal(stage.step?.kind, 'done');
  });
});

describe('each request to an engine carries a deadline within the limits of its client and its route', () => {
  const deadlineOf = (settings: ConstructorParameters<typeof AttemptHarness>[0]): string | undefined =>
    new AttemptHarness(settings).sent?.headers['postdrum-deadline-ms'];

  test("uses the client's limit, or the route's if that is shorter", () => {
    assert.equal(deadlineOf({ limitMicroseconds: 3_000_000, mapping: { limitMicroseconds: 6_000_000 } }), '3000');
    assert.equal(deadlineOf({ limitMicroseconds: 6_000_000, mapping: { limitMicroseconds: 3_000_000 } }), '3000');
    assert.equal(deadlineOf({ limitMicroseconds: 3_000_000 }), '3000');
  });

  test("uses the route's limit if the client sets none", () => {
    assert.equal(deadlineOf({ mapping: { limitMicroseconds: 6_000_000 } }), '6000');
  });

  test('sets no deadline if neither sets a limit', () => {
    assert.equal(deadlineOf({}), undefined);
    assert.equal(deadlineOf({ mapping: { limitMicroseconds: 0 } }), undefined);
  });
});

describe('a response without a length ends with its connection', () => {
  const event = (number: number): string => `id: ${number}\ndata: x\n\n`;

  test('is complete when the connection closes', async () => {
    const stage = new AttemptHarness();
    stage.head(200, sealed, false);
    stage.part(event(1));
    stage.part(event(2));
    await stage.end();
    assert.equal(stage.step?.kind, 'done');
    assert.equal(stage.client.ended, true);
    assert.equal(stage.client.text, event(1) + event(2));
  });

  test('is incomplete when the connection is reset', async () => {
    const stage = new AttemptHarness();
    stage.head(200, sealed, false);
    stage.part(event(1));
    await stage.reset();
    assert.equal(stage.step?.kind, 'refuse');
    assert.equal(stage.client.ended, false);
  });

  test('is incomplete when the connection closes in the middle of an event', async () => {
    const stage = new AttemptHarness();
    stage.head(200, sealed, false);
    stage.part(event(1));
    stage.part('id: 2\nda');
    await stage.end();
    assert.equal(stage.step?.kind, 'refuse');
    assert.equal(stage.client.ended, false);
    assert.equal(stage.client.text, event(1));
  });

  test('is incomplete when the connection closes before the first event', async () => {
    const stage = new AttemptHarness();
    stage.head(200, sealed, false);
    await stage.end();
    assert.equal(stage.step?.kind, 'refuse');
    assert.equal(stage.client.begun(), false);
  });
});

describe('a client that disconnects', () => {
  for (const begun of [false, true])
    test(`cancels the request to the engine at once, ${begun ? 'in the middle of the response' : 'before the response'}`, async () => {
      const stage = new AttemptHarness({ mapping: { resumable: true } });
      if (begun) {
        stage.head(200, sealed);
        stage.part('id: 1\ndata: x\n\n');
      }
      assert.equal(stage.cuts, 0);
      stage.client.leave();
      assert.equal(stage.cuts, 1, 'cancelled without waiting');
      await stage.settle();
      assert.equal(stage.step?.kind, 'refuse', 'not sent to another engine');
    });
});
