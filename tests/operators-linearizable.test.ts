import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { seededRandom, type Random } from '../source/shared/effects/random/random';
import { HttpControlNodes } from './support/httpControlNodes';
import { faultsOfHistory, type ChangeRecord, type OperatorRecord, type ReadRecord } from './support/operatorHistory';
import { platformDocument } from './support/platformDocument';

const operators = 8;
const runMilliseconds = Number(process.env['POSTDRUM_OPERATORS_MILLISECONDS'] ?? 5_000);
const callPatienceMilliseconds = 3_000;
const leastPauseMilliseconds = 10;

const pause = (milliseconds: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, milliseconds));
const oneOf = <Item>(random: Random, items: readonly Item[]): Item => {
  const item = items[Math.floor(random.fraction() * items.length)];
  if (item === undefined) throw new Error('nothing to choose from');
  return item;
};

type Written = Readonly<{ version: number; by: string }>;

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
      await pause(leastPauseMilliseconds + this.random.fraction() * 40);
    }
  }

  public async read(): Promise<ReadRecord | undefined> {
    const startedAt = performance.now();
    const { status, body } = await this.nodes.call(oneOf(this.random, this.nodes.names), 'GET', {});
    if (status !== 200 && status !== 404) return undefined;
    const written = status === 404 ? { version: 0, by: '' } : (JSON.parse(body) as Written);
    const record = {
      kind: 'read',
      version: written.version,
      mark: written.by,
      startedAt,
      endedAt: performance.now(),
    } as const;
    this.history.push(record);
    return record;
  }

  /** One change, sent as it is to one node after the other until its outcome is clear. */
  private async change(base: number): Promise<void> {
    this.count += 1;
    const mark = `${this.name}-${this.count}`;
    const version = base + 1 + Math.floor(this.random.fraction() * 2);
    const text = platformDocument(version, { by: mark });
    const startedAt = performance.now();
    const outcome = await this.persist(base, text, startedAt + callPatienceMilliseconds);
    const record: ChangeRecord = {
      kind: 'change',
      mark,
      base,
      version,
      startedAt,
      endedAt: performance.now(),
      outcome,
    };
    this.history.push(record);
  }

  private async persist(base: number, text: string, until: number): Promise<ChangeRecord['outcome']> {
    const headers = { 'if-match': String(base), 'content-type': 'application/json' };
    while (performance.now() < until) {
      const { status } = await this.nodes.call(oneOf(this.random, this.nodes.names), 'PUT', headers, text);
      // Half of the acknowledgements are lost on their way, so that the same call is sent again.
      const isLost = this.random.fraction() < 0.5;
      if (status === 200 && !isLost) return 'accepted';
      if (status >= 400 && status < 500) return 'refused';
      await pause(leastPauseMilliseconds + this.random.fraction() * 90);
    }
    return 'unclear';
  }
}

const disturb = async (nodes: HttpControlNodes, random: Random, end: number): Promise<void> => {
  while (performance.now() < end - 1_500) {
    await pause(300 + random.fraction() * 500);
    const name = oneOf(random, nodes.names);
    if (random.fraction() < 0.5) {
      const heal = nodes.cutOff(name);
      await pause(random.fraction() * 1_200);
      heal();
    } else {
      await nodes.stop(name);
      await pause(random.fraction() * 600);
      await nodes.start(name);
    }
  }
};

describe('eight operators at once over HTTP, nodes stopped and cut off, acknowledgements lost', () => {
  for (const seed of [1, 2, 3])
    test(`what they hear is what one register would have said, seed ${seed}`, async (context) => {
      const nodes = new HttpControlNodes();
      const history: OperatorRecord[] = [];
      const random = seededRandom(seed);
      try {
        await nodes.begin();
        const end = performance.now() + runMilliseconds;
        const people = Array.from(
          { length: operators },
          (_, index) => new Operator(nodes, random, `op-${index}`, history),
        );
        await Promise.all([disturb(nodes, random, end), ...people.map((person) => person.workUntil(end))]);
        const last = new Operator(nodes, random, 'last', history);
        const until = performance.now() + 5_000;
        let read: ReadRecord | undefined;
        while (read === undefined && performance.now() < until) read = await last.read();
        assert.ok(read !== undefined, 'it is read back at the end');
      } finally {
        await nodes.end();
      }
      const changes = history.filter((record) => record.kind === 'change');
      const count = (outcome: ChangeRecord['outcome']): number =>
        changes.filter((change) => change.outcome === outcome).length;
      context.diagnostic(
        `${history.length - changes.length} reads, ${count('accepted')} accepted, ${count('refused')} refused, ${count('unclear')} unclear`,
      );
      assert.deepEqual(faultsOfHistory(history), []);
      assert.ok(count('accepted') > 5 && count('refused') > 0, 'something happened');
    });
});

describe('the judge of histories sees what one register could not have said', () => {
  const change = (given: Partial<ChangeRecord>): ChangeRecord => ({
    ...{ kind: 'change', mark: 'a', base: 0, version: 1, startedAt: 0, endedAt: 1, outcome: 'accepted' },
    ...given,
  });
  const read = (given: Partial<ReadRecord>): ReadRecord => ({
    ...{ kind: 'read', version: 1, mark: 'a', startedAt: 2, endedAt: 3 },
    ...given,
  });
  const cases: readonly (readonly [string, readonly OperatorRecord[], boolean])[] = [
    [
      'nothing wrong',
      [change({}), read({}), change({ mark: 'b', base: 1, version: 3, startedAt: 4, endedAt: 5 })],
      true,
    ],
    ['two on one base', [change({}), change({ mark: 'b', version: 2 })], false],
    ['one number twice', [change({}), change({ mark: 'b', base: 1, startedAt: 2, endedAt: 3 })], false],
    ['older after an acknowledgement', [change({}), read({ version: 0, mark: '' })], false],
    [
      'older after a read',
      [change({ outcome: 'unclear' }), read({}), read({ version: 0, mark: '', startedAt: 4 })],
      false,
    ],
    ['older beside the change', [change({}), read({ version: 0, mark: '', startedAt: 0 })], true],
    ['refused and read', [change({ outcome: 'refused' }), read({})], false],
    ['unclear and read', [change({ outcome: 'unclear' }), read({})], true],
    ['read from nowhere', [read({})], false],
    [
      'accepted in the wrong order',
      [change({ version: 5, base: 4 }), change({ mark: 'b', base: 1, version: 2, startedAt: 2, endedAt: 3 })],
      false,
    ],
  ];
  for (const [what, history, isWell] of cases)
    test(what, () => assert.equal(faultsOfHistory(history).length === 0, isWell));
});
