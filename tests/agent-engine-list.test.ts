import assert from 'node:assert/strict';
import { test } from 'node:test';
import { EngineListDefaults, EngineListReader } from '../source/edge-agent/engine-list/engineListReader';
import type { EngineLister, ListedEngine, ListPage } from '../source/edge-agent/engine-list/engineLister';
import { World } from '../source/fleet-simulator/world/world';
import { Freshness } from '../source/shared/freshness/freshness';
import { LongPollFleet } from './support/longPollFleet';

const engine = (name: string, number: number, more: Partial<ListedEngine> = {}): ListedEngine => ({
  name,
  service: 'pool',
  address: `10.3.0.${number}:1`,
  zone: 'hill',
  state: 'ready',
  capacity: 8,
  weights: { m: '1' },
  ...more,
});

type ReaderSetup = Readonly<{
  reader: EngineListReader;
  freshness: Freshness;
  world: World;
  setResponses: (...answers: readonly (ListPage | undefined)[]) => void;
  names: () => readonly string[];
  setTerm: (term: number | undefined) => void;
  requestedPages: () => readonly (string | undefined)[];
}>;

const setUp = (freshness?: Freshness): ReaderSetup => {
  const world = new World(1);
  const known = freshness ?? new Freshness(world.clock);
  let answers: (ListPage | undefined)[] = [];
  let term: number | undefined = 1;
  const requested: (string | undefined)[] = [];
  const lister: EngineLister = {
    page: (from) => {
      requested.push(from);
      return Promise.resolve(answers.shift());
    },
  };
  const reader = new EngineListReader(
    lister,
    known,
    () => term,
    world.clock,
    world.random,
    { ...EngineListDefaults, maxPages: 4 },
    () => 3,
    () => undefined,
  );
  return {
    reader,
    freshness: known,
    world,
    setResponses: (...responses) => {
      answers = [...responses];
    },
    names: () => Object.keys(known.engines?.engines ?? {}),
    setTerm: (held) => {
      term = held;
    },
    requestedPages: () => requested,
  };
};
const lastPage = (...engines: readonly ListedEngine[]): ListPage => ({ engines, next: undefined });

test('a read is published as the key engines, with all fields of the list', async () => {
  const { reader, freshness, setResponses, world } = setUp();
  setResponses(
    lastPage(
      engine('a', 1),
      engine('b', 2, { state: 'draining' }),
      engine('c', 3, { service: 'slips', weights: {}, capacity: 0 }),
    ),
  );
  await reader.read();
  const engines = freshness.engines?.engines;
  assert.deepEqual(engines?.['a'], {
    kind: 'engine',
    service: 'pool',
    address: '10.3.0.1:1',
    zone: 'hill',
    state: 'ready',
    capacity: 8,
    weights: { m: '1' },
  });
  assert.equal(engines?.['b']?.state, 'draining');
  assert.equal(engines?.['c']?.kind, 'app');
  assert.equal(freshness.revision('engines'), 2 ** 20 + 1);
  await world.runFor(3_000_000);
  setResponses(
    lastPage(
      engine('a', 1),
      engine('b', 2, { state: 'draining' }),
      engine('c', 3, { service: 'slips', weights: {}, capacity: 0 }),
    ),
  );
  await reader.read();
  assert.equal(freshness.revision('engines'), 2 ** 20 + 1, 'an unchanged list keeps its revision');
  assert.equal(freshness.statements().find(({ key }) => key === 'engines')?.ageMicroseconds, 0, 'and its age restarts');
});

test('an invalid response is ignored: the previous list stays in use and its age grows', async () => {
  const { reader, freshness, setResponses, world, names } = setUp();
  setResponses(lastPage(engine('a', 1)));
  await reader.read();
  await world.runFor(1_000_000);
  setResponses(undefined);
  await reader.read();
  setResponses({ engines: [engine('b', 2)], next: 'p' }, undefined);
  await reader.read();
  setResponses(lastPage(engine('a', 1), engine('bad name with spaces', 2)));
  await reader.read();
  assert.deepEqual(names(), ['a']);
  assert.equal(freshness.statements().find(({ key }) => key === 'engines')?.ageMicroseconds, 1_000_000);
});

test('an empty list is accepted only after several consecutive reads', async () => {
  const { reader, setResponses, names, world } = setUp();
  setResponses(lastPage(engine('a', 1)));
  await reader.read();
  for (let turn = 0; turn < EngineListDefaults.emptyReads - 1; turn += 1) {
    await world.runFor(600_000);
    setResponses(lastPage());
    await reader.read();
    assert.deepEqual(names(), ['a']);
  }
  await world.runFor(600_000);
  setResponses(lastPage());
  await reader.read();
  assert.deepEqual(names(), []);
});

test('all pages are read, and a page that points to itself ends the read', async () => {
  const { reader, setResponses, names, requestedPages } = setUp();
  setResponses(
    { engines: [engine('a', 1)], next: 'p1' },
    { engines: [engine('b', 2)], next: 'p2' },
    lastPage(engine('c', 3)),
  );
  await reader.read();
  assert.deepEqual(names(), ['a', 'b', 'c']);
  assert.deepEqual(requestedPages(), [undefined, 'p1', 'p2']);
  setResponses({ engines: [engine('d', 4)], next: 'p1' }, { engines: [], next: 'p1' });
  await reader.read();
  assert.deepEqual(names(), ['a', 'b', 'c']);
  setResponses(...Array.from({ length: 9 }, (_, index) => ({ engines: [engine('e', 5)], next: `q${index}` })));
  await reader.read();
  assert.deepEqual(names(), ['a', 'b', 'c'], 'a list with too many pages is rejected');
});

test('an outdated response neither ends an engine that was just listed nor revives an ended one', async () => {
  const { reader, setResponses, names, world } = setUp();
  const readListing = async (...engines: readonly ListedEngine[]): Promise<readonly string[]> => {
    await world.runFor(500_000);
    setResponses(lastPage(...engines));
    await reader.read();
    return names();
  };
  const [a, b, c] = [engine('a', 1), engine('b', 2), engine('c', 3)];
  assert.deepEqual(await readListing(a, b), ['a', 'b']);
  assert.deepEqual(await readListing(a), ['a', 'b'], 'the entry may have moved between pages');
  assert.deepEqual(await readListing(a), ['a'], 'missing for longer than the lag of the list: it has ended');
  assert.deepEqual(await readListing(a, b, c), ['a', 'c'], 'an ended name does not come back');
  assert.deepEqual(await readListing(a), ['a', 'c'], 'a response from before the start of c');
  assert.deepEqual(await readListing(a, c), ['a', 'c']);
});

test('an engine listed without its models is not an app if its service has engines', async () => {
  const { reader, setResponses, freshness, world } = setUp();
  setResponses(
    lastPage(engine('a', 1), engine('b', 2, { weights: {} }), engine('c', 3, { service: 'slips', weights: {} })),
  );
  await reader.read();
  const kinds = (): unknown => Object.values(freshness.engines?.engines ?? {}).map(({ kind }) => kind);
  assert.deepEqual(kinds(), ['engine', 'engine', 'app']);
  await world.runFor(500_000);
  setResponses(lastPage(engine('a', 1, { weights: {} }), engine('c', 3, { service: 'slips', weights: {} })));
  await reader.read();
  assert.deepEqual(kinds(), ['engine', 'engine', 'app'], 'also when all of them have just restarted');
});

test('a draining engine does not become ready again', async () => {
  const { reader, setResponses, freshness, world } = setUp();
  for (const state of ['ready', 'draining', 'ready'] as const) {
    await world.runFor(500_000);
    setResponses(lastPage(engine('a', 1, { state })));
    await reader.read();
  }
  assert.equal(freshness.engines?.engines['a']?.state, 'draining');
});

test('of two engines at one address the later one is used, and the other has ended', async () => {
  const { reader, setResponses, names, world } = setUp();
  const readListing = async (...engines: readonly ListedEngine[]): Promise<readonly string[]> => {
    await world.runFor(500_000);
    setResponses(lastPage(...engines));
    await reader.read();
    return names();
  };
  const [before, after] = [engine('old', 1), engine('new', 1)];
  assert.deepEqual(await readListing(before), ['old']);
  assert.deepEqual(await readListing(before, after), ['new']);
  assert.deepEqual(await readListing(after, before), ['new'], 'in any order of the list');
  assert.deepEqual(await readListing(before), ['new'], 'a response from before its start');
  assert.deepEqual(await readListing(before, after), ['new']);
});

test('of two engines at one address that appear in the same response the colder one is used', async () => {
  const { reader, setResponses, names } = setUp();
  setResponses(lastPage(engine('x', 1, { coldMicroseconds: 2_000_000 }), engine('y', 1)));
  await reader.read();
  assert.deepEqual(names(), ['x']);
});

test('a new reader starts from the known list: of two engines at one address the unknown one is the later', async () => {
  const first = setUp();
  first.setResponses(lastPage(engine('old', 1)));
  await first.reader.read();
  const second = setUp(first.freshness);
  second.setTerm(2);
  second.setResponses(lastPage(engine('new', 1), engine('old', 1)));
  await second.reader.read();
  assert.deepEqual(second.names(), ['new']);
});

test('an agent without the lease makes no calls, and a response after the end of the lease is dropped', async () => {
  const { reader, setResponses, names, setTerm, requestedPages, freshness } = setUp();
  setTerm(undefined);
  setResponses(lastPage(engine('a', 1)));
  await reader.read();
  assert.equal(requestedPages().length, 0);
  setTerm(1);
  await reader.read();
  assert.deepEqual(names(), ['a']);
  let term: number | undefined = 1;
  const slow = new EngineListReader(
    {
      page: () => {
        term = undefined;
        return Promise.resolve(lastPage(engine('b', 2)));
      },
    },
    freshness,
    () => term,
    new World(2).clock,
    new World(2).random,
    EngineListDefaults,
    () => 3,
    () => undefined,
  );
  await slow.read();
  assert.deepEqual(names(), ['a']);
});

test('revisions of a later term exceed all of an earlier term, also those that never arrived here', async () => {
  const first = setUp();
  for (const number of [1, 2, 3, 4, 5]) {
    first.setResponses(lastPage(engine(`e${number}`, number)));
    await first.reader.read();
  }
  const otherRevision = first.freshness.revision('engines');
  const { reader, setResponses, setTerm, freshness } = setUp();
  setResponses(lastPage(engine('e1', 1)));
  await reader.read();
  setTerm(2);
  setResponses(lastPage(engine('e1', 1)));
  await reader.read();
  assert.ok(freshness.revision('engines') > otherRevision, 'although the text is the same');
});

const knownEngines = (fleet: LongPollFleet): readonly (readonly string[])[] =>
  fleet.agents.flatMap(({ process, agent }) =>
    process.alive ? [Object.keys(agent.freshness.engines?.engines ?? {})] : [],
  );

test('in a fleet one agent reads, all know a change within 1.5 s, and no agent reverts when the lease holder changes', async () => {
  for (const seed of [1, 2, 3]) {
    const fleet = new LongPollFleet(new World(seed), 5);
    const names = fleet.addEngines(3);
    await fleet.start();
    const { world, engines } = fleet;
    assert.ok(await world.runUntil(() => knownEngines(fleet).every((all) => all.length === 3), 12_000_000));
    assert.ok(await world.runUntil(() => fleet.hasAllLeaseHolders(names), 12_000_000));
    const revisions = new Map<string, number>();
    const assertNoRevert = (): void => {
      for (const { name, process, agent } of fleet.agents) {
        if (!process.alive) continue;
        const revision = agent.freshness.revision('engines');
        assert.ok(revision >= (revisions.get(name) ?? 0), `${name} reverted to a lower revision`);
        revisions.set(name, revision);
      }
    };
    engines.get('engine-2').state = 'draining';
    const allKnow = await world.runUntil(
      () => fleet.agents.every(({ agent }) => agent.freshness.engines?.engines['engine-2']?.state === 'draining'),
      1_500_000,
    );
    assert.ok(allKnow, `seed ${seed}`);
    for (let turn = 0; turn < 3; turn += 1) {
      const lister = fleet.listReader();
      assert.ok(lister !== undefined);
      // The lease holder is frozen while it reads, and must not publish after it resumes.
      lister.process.freeze();
      engines.add(`more-${turn}`, `10.3.1.${turn + 1}`, 'w1');
      for (let step = 0; step < 50; step += 1) {
        await world.runFor(100_000);
        assertNoRevert();
      }
      lister.process.unfreeze();
      await world.runFor(1_000_000);
      assertNoRevert();
      assert.ok(
        knownEngines(fleet).every((all) => all.includes(`more-${turn}`)),
        `seed ${seed}, turn ${turn}`,
      );
    }
    const before = engines.pageCalls.length;
    await world.runFor(4_000_000);
    assert.equal(new Set(engines.pageCalls.slice(before).map(({ agent }) => agent)).size, 1, 'only one agent reads');
    assert.ok(names.every((name) => knownEngines(fleet)[0]?.includes(name)));
  }
});

test('engines stay in use while the list service is unavailable', async () => {
  const fleet = new LongPollFleet(new World(5), 3);
  fleet.addEngines(2);
  await fleet.start();
  assert.ok(await fleet.world.runUntil(() => knownEngines(fleet).every((all) => all.length === 2), 12_000_000));
  fleet.engines.listOverride = () => undefined;
  await fleet.world.runFor(20_000_000);
  assert.ok(knownEngines(fleet).every((all) => all.length === 2));
  assert.ok(fleet.controllerOf('engine-1') !== undefined);
});
