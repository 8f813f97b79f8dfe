/**
 * Guards against answers to operators that contradict each other, such as two accepted changes on one base or a read that goes back
 * to an older version, while control nodes stop, links are cut and acknowledgements get lost.
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { seededRandom, type Random } from '../source/shared/effects/random/random';
import { HttpControlNodes } from './support/httpControlNodes';
import {
  linearizabilityViolations,
  type ChangeRecord,
  type OperatorRecord,
  type ReadRecord,
} from './support/operatorHistory';
import { platformDocument } from './support/platformDocument';

const operatorCount = 8;
const runMilliseconds = Number(process.env['POSTDRUM_OPERATORS_MILLISECONDS'] ?? 5_000);
const retryLimitMilliseconds = 3_000;
const minPauseMilliseconds = 10;

const sleep = (milliseconds: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, milliseconds));
const pick = <Item>(random: Random, items: readonly Item[]): Item => {
  const item = items[Math.floor(random.fraction() * items.length)];
  if (item === undefined) throw new Error('no item to pick');
  return item;
};

type StoredDocument = Readonly<{ version: number; by: string }>;

class Operator {
  private count = 0;

  public constructor(
    private readonly nodes: HttpControlNodes,
    private readonly random: Random,
    private readonly name: string,
    private readonly history: OperatorRecord[],
  ) {}

  public async workUntil(end: number): Promise<void> {
    while (performance.now() < end) {
      const base = await this.read();
      if (base !== undefined && this.random.fraction() < 0.6) await this.change(base.version);
      await sleep(minPauseMilliseconds + this.random.fraction() * 40);
    }
  }

  public async read(): Promise<ReadRecord | undefined> {
    const startedAt = performance.now();
    const { status, body } = await this.nodes.call(pick(this.random, this.nodes.names), 'GET', {});
    if (status !== 200 && status !== 404) return undefined;
    const stored = status === 404 ? { version: 0, by: '' } : (JSON.parse(body) as StoredDocument);
    const record: ReadRecord = {
      kind: 'read',
      version: stored.version,
      changeId: stored.by,
      startedAt,
      endedAt: performance.now(),
    };
    this.history.push(record);
    return record;
  }

  /** Sends one change unmodified to random nodes until its outcome is known. */
  private async change(base: number): Promise<void> {
    this.count += 1;
    const mark = `${this.name}-${this.count}`;
    const version = base + 1 + Math.floor(this.random.fraction() * 2);
    const text = platformDocument(version, { by: mark });
    const startedAt = performance.now();
    const outcome = await this.sendUntilKnown(base, text, startedAt + retryLimitMilliseconds);
    const record: ChangeRecord = {
      kind: 'change',
      changeId: mark,
      base,
      version,
      startedAt,
      endedAt: performance.now(),
      outcome,
    };
    this.history.push(record);
  }

  private async sendUntilKnown(base: number, text: string, until: number): Promise<ChangeRecord['outcome']> {
    const headers = { 'if-match': String(base), 'content-type': 'application/json' };
    while (performance.now() < until) {
      const { status } = await this.nodes.call(pick(this.random, this.nodes.names), 'PUT', headers, text);
      // Half of the acknowledgements are dropped, so that the same call is sent again.
      const isLost = this.random.fraction() < 0.5;
      if (status === 200 && !isLost) return 'accepted';
      if (status >= 400 && status < 500) return 'refused';
      await sleep(minPauseMilliseconds + this.random.fraction() * 90);
    }
    return 'unclear';
  }
}

const injectFaults = async (nodes: HttpControlNodes, random: Random, end: number): Promise<void> => {
  while (performance.now() < end - 1_500) {
    await sleep(300 + random.fraction() * 500);
    const name = pick(random, nodes.names);
    if (random.fraction() < 0.5) {
      const heal = nodes.isolate(name);
      await sleep(random.fraction() * 1_200);
      heal();
    } else {
      await nodes.stop(name);
      await sleep(random.fraction() * 600);
      await nodes.start(name);
    }
  }
};

describe('eight concurrent operators over HTTP, with nodes stopped and isolated and acknowledgements lost', () => {
  for (const seed of [1, 2, 3])
    test(`get linearizable answers, seed ${seed}`, async (context) => {
      const nodes = new HttpControlNodes();
      const history: OperatorRecord[] = [];
      const random = seededRandom(seed);
      try {
        await nodes.startAll();
        const end = performance.now() + runMilliseconds;
        const operators = Array.from(
          { length: operatorCount },
          (_, index) => new Operator(nodes, random, `op-${index}`, history),
        );
        await Promise.all([injectFaults(nodes, random, end), ...operators.map((operator) => operator.workUntil(end))]);
        const last = new Operator(nodes, random, 'last', history);
        const until = performance.now() + 5_000;
        let read: ReadRecord | undefined;
        while (read === undefined && performance.now() < until) read = await last.read();
        assert.ok(read !== undefined, 'a final read succeeds');
      } finally {
        await nodes.stopAll();
      }
      const changes = history.filter((record) => record.kind === 'change');
      const count = (outcome: ChangeRecord['outcome']): number =>
        changes.filter((change) => change.outcome === outcome).length;
      context.diagnostic(
        `${history.length - changes.length} reads, ${count('accepted')} accepted, ${count('refused')} refused, ${count('unclear')} unclear`,
      );
      assert.deepEqual(linearizabilityViolations(history), []);
      assert.ok(count('accepted') > 5 && count('refused') > 0, 'changes were both accepted and refused');
    });
});

describe('the checker of histories reports those that are not linearizable', () => {
  const change = (given: Partial<ChangeRecord>): ChangeRecord => ({
    ...{ kind: 'change', changeId: 'a', base: 0, version: 1, startedAt: 0, endedAt: 1, outcome: 'accepted' },
    ...given,
  });
  const read = (given: Partial<ReadRecord>): ReadRecord => ({
    ...{ kind: 'read', version: 1, changeId: 'a', startedAt: 2, endedAt: 3 },
    ...given,
  });
  const cases: readonly (readonly [string, readonly OperatorRecord[], boolean])[] = [
    [
      'valid history',
      [change({}), read({}), change({ changeId: 'b', base: 1, version: 3, startedAt: 4, endedAt: 5 })],
      true,
    ],
    ['two accepted changes on one base', [change({}), change({ changeId: 'b', version: 2 })], false],
    ['one version accepted twice', [change({}), change({ changeId: 'b', base: 1, startedAt: 2, endedAt: 3 })], false],
    ['older version read after an acknowledgement', [change({}), read({ version: 0, changeId: '' })], false],
    [
      'older version read after a read',
      [change({ outcome: 'unclear' }), read({}), read({ version: 0, changeId: '', startedAt: 4 })],
      false,
    ],
    ['older version read during the change', [change({}), read({ version: 0, changeId: '', startedAt: 0 })], true],
    ['refused change read', [change({ outcome: 'refused' }), read({})], false],
    ['unclear change read', [change({ outcome: 'unclear' }), read({})], true],
    ['read of a change that was never sent', [read({})], false],
    [
      'changes accepted out of order',
      [change({ version: 5, base: 4 }), change({ changeId: 'b', base: 1, version: 2, startedAt: 2, endedAt: 3 })],
      false,
    ],
  ];
  for (const [title, history, isLinearizable] of cases)
    test(title, () => assert.equal(linearizabilityViolations(history).length === 0, isLinearizable));
});
