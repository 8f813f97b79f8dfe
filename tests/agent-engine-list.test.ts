import assert from 'node:assert/strict';
import { test } from 'node:test';
import { EngineListDefaults, EngineListKeeper } from '../source/edge-agent/engine-list/engineListKeeper';
import type { EngineLister, ListedEngine, ListPage } from '../source/edge-agent/engine-list/engineLister';
import { World } from '../source/fleet-simulator/world/world';
import { Freshness } from '../source/shared/freshness/freshness';
import { HeldFleet } from './support/heldFleet';

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

type Desk = Readonly<{
  keeper: EngineListKeeper;
  freshness: Freshness;
  world: World;
  say: (...answers: readonly (ListPage | undefined)[]) => void;
  names: () => readonly string[];
  hold: (term: number | undefined) => void;
  pages: () => readonly (string | undefined)[];
}>;

const desk = (freshness?: Freshness): Desk => {
  const world = new World(1);
  const known = freshness ?? new Freshness(world.clock);
  let answers: (ListPage | undefined)[] = [];
  let term: number | undefined = 1;
  const asked: (string | undefined)[] = [];
  const lister: EngineLister = {
    page: (from) => {
      asked.push(from);
      return Promise.resolve(answers.shift());
    },
  };
  const keeper = new EngineListKeeper(
    lister,
    known,
    () => term,
    world.clock,
    world.random,
    { ...EngineListDefaults, mostPages: 4 },
    () => 3,
    () => undefined,
  );
  return {
    keeper,
    freshness: known,
    world,
    say: (...said) => {
      answers = [...said];
    },
    names: () => Object.keys(known.engines?.engines ?? {}),
    hold: (held) => {
      term = held;
    },
    pages: () => asked,
  };
};
const one = (...engines: readonly ListedEngine[]): ListPage => ({ engines, next: undefined });

test('a read becomes the key engines, with what the list says of each', async () => {
  const { keeper, freshness, say, world } = desk();
  say(
    one(
      engine('a', 1),
      engine('b', 2, { state: 'draining' }),
      engine('c', 3, { service: 'slips', weights: {}, capacity: 0 }),
    ),
  );
  await keeper.read();
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
  say(
    one(
      engine('a', 1),
      engine('b', 2, { state: 'draining' }),
      engine('c', 3, { service: 'slips', weights: {}, capacity: 0 }),
    ),
  );
  await keeper.read();
  assert.equal(freshness.revision('engines'), 2 ** 20 + 1, 'the same list is the same revision');
  assert.equal(freshness.statements().find(({ key }) => key === 'engines')?.ageMicroseconds, 0, 'and is young again');
});

test('no sound answer says nothing: the list before stands and gets older', async () => {
  const { keeper, freshness, say, world, names } = desk();
  say(one(engine('a', 1)));
  await keeper.read();
  await world.runFor(1_000_000);
  say(undefined);
  await keeper.read();
  say({ engines: [engine('b', 2)], next: 'p' }, undefined);
  await keeper.read();
  say(one(engine('a', 1), engine('bad name with spaces', 2)));
  await keeper.read();
  assert.deepEqual(names(), ['a']);
  assert.equal(freshness.statements().find(({ key }) => key === 'engines')?.ageMicroseconds, 1_000_000);
});

test('a list with nothing on it is believed only when it is said again and again', async () => {
  const { keeper, say, names, world } = desk();
  say(one(engine('a', 1)));
  await keeper.read();
  for (let turn = 0; turn < EngineListDefaults.emptyReads - 1; turn += 1) {
    await world.runFor(600_000);
    say(one());
    await keeper.read();
    assert.deepEqual(names(), ['a']);
  }
  await world.runFor(600_000);
  say(one());
  await keeper.read();
  assert.deepEqual(names(), []);
});

test('pages are followed to the last one, and one that leads nowhere new ends the read', async () => {
  const { keeper, say, names, pages } = desk();
  say({ engines: [engine('a', 1)], next: 'p1' }, { engines: [engine('b', 2)], next: 'p2' }, one(engine('c', 3)));
  await keeper.read();
  assert.deepEqual(names(), ['a', 'b', 'c']);
  assert.deepEqual(pages(), [undefined, 'p1', 'p2']);
  say({ engines: [engine('d', 4)], next: 'p1' }, { engines: [], next: 'p1' });
  await keeper.read();
  assert.deepEqual(names(), ['a', 'b', 'c']);
  say(...Array.from({ length: 9 }, (_, index) => ({ engines: [engine('e', 5)], next: `q${index}` })));
  await keeper.read();
  assert.deepEqual(names(), ['a', 'b', 'c'], 'a list without an end is none');
});

test('an answer may show an earlier moment: who was just there is not gone, who has gone does not come back', async () => {
  const { keeper, say, names, world } = desk();
  const hear = async (...engines: readonly ListedEngine[]): Promise<readonly string[]> => {
    await world.runFor(500_000);
    say(one(...engines));
    await keeper.read();
    return names();
  };
  const [a, b, c] = [engine('a', 1), engine('b', 2), engine('c', 3)];
  assert.deepEqual(await hear(a, b), ['a', 'b']);
  assert.deepEqual(await hear(a), ['a', 'b'], 'perhaps it slipped from one page to another');
  assert.deepEqual(await hear(a), ['a'], 'longer than the list can be behind: it is gone');
  assert.deepEqual(await hear(a, b, c), ['a', 'c'], 'and is one life, that is over');
  assert.deepEqual(await hear(a), ['a', 'c'], 'from before c came up');
  assert.deepEqual(await hear(a, c), ['a', 'c']);
});

test('an engine listed without its models is no app where its service has engines', async () => {
  const { keeper, say, freshness, world } = desk();
  say(one(engine('a', 1), engine('b', 2, { weights: {} }), engine('c', 3, { service: 'slips', weights: {} })));
  await keeper.read();
  const kinds = (): unknown => Object.values(freshness.engines?.engines ?? {}).map(({ kind }) => kind);
  assert.deepEqual(kinds(), ['engine', 'engine', 'app']);
  await world.runFor(500_000);
  say(one(engine('a', 1, { weights: {} }), engine('c', 3, { service: 'slips', weights: {} })));
  await keeper.read();
  assert.deepEqual(kinds(), ['engine', 'engine', 'app'], 'also when all of them have just started again');
});

test('who leaves does not stay after all', async () => {
  const { keeper, say, freshness, world } = desk();
  for (const state of ['ready', 'draining', 'ready'] as const) {
    await world.runFor(500_000);
    say(one(engine('a', 1, { state })));
    await keeper.read();
  }
  assert.equal(freshness.engines?.engines['a']?.state, 'draining');
});

test('of two engines at one address the one that came up later is meant, and the other is over', async () => {
  const { keeper, say, names, world } = desk();
  const hear = async (...engines: readonly ListedEngine[]): Promise<readonly string[]> => {
    await world.runFor(500_000);
    say(one(...engines));
    await keeper.read();
    return names();
  };
  const [before, after] = [engine('old', 1), engine('new', 1)];
  assert.deepEqual(await hear(before), ['old']);
  assert.deepEqual(await hear(before, after), ['new']);
  assert.deepEqual(await hear(after, before), ['new'], 'in whatever order they are listed');
  assert.deepEqual(await hear(before), ['new'], 'an answer from before it came up');
  assert.deepEqual(await hear(before, after), ['new']);
});

test('of two engines at one address that come up in one answer the colder one is meant', async () => {
  const { keeper, say, names } = desk();
  say(one(engine('x', 1, { coldMicroseconds: 2_000_000 }), engine('y', 1)));
  await keeper.read();
  assert.deepEqual(names(), ['x']);
});

test('a new reader knows what the fleet knew: of two at one address the one it had not heard of is the later', async () => {
  const first = desk();
  first.say(one(engine('old', 1)));
  await first.keeper.read();
  const second = desk(first.freshness);
  second.hold(2);
  second.say(one(engine('new', 1), engine('old', 1)));
  await second.keeper.read();
  assert.deepEqual(second.names(), ['new']);
});

test('who does not hold the duty does not call, and what comes after its end is dropped', async () => {
  const { keeper, say, names, hold, pages, freshness } = desk();
  hold(undefined);
  say(one(engine('a', 1)));
  await keeper.read();
  assert.equal(pages().length, 0);
  hold(1);
  await keeper.read();
  assert.deepEqual(names(), ['a']);
  let term: number | undefined = 1;
  const slow = new EngineListKeeper(
    {
      page: () => {
        term = undefined;
        return Promise.resolve(one(engine('b', 2)));
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

test('a later term goes before all that an earlier one said, also where that never came here', async () => {
  const first = desk();
  for (const number of [1, 2, 3, 4, 5]) {
    first.say(one(engine(`e${number}`, number)));
    await first.keeper.read();
  }
  const elsewhere = first.freshness.revision('engines');
  const { keeper, say, hold, freshness } = desk();
  say(one(engine('e1', 1)));
  await keeper.read();
  hold(2);
  say(one(engine('e1', 1)));
  await keeper.read();
  assert.ok(freshness.revision('engines') > elsewhere, 'though the text is the same');
});

const known = (fleet: HeldFleet): readonly (readonly string[])[] =>
  fleet.agents.flatMap(({ process, agent }) =>
    process.alive ? [Object.keys(agent.freshness.engines?.engines ?? {})] : [],
  );

test('in a fleet: one agent reads, all know within a second and a half, and a change of hands sends nobody back', async () => {
  for (const seed of [1, 2, 3]) {
    const fleet = new HeldFleet(new World(seed), 5);
    const names = fleet.addEngines(3);
    await fleet.start();
    const { world, engines } = fleet;
    assert.ok(await world.runUntil(() => known(fleet).every((all) => all.length === 3), 12_000_000));
    assert.ok(await world.runUntil(() => fleet.settled(names), 12_000_000));
    const revisions = new Map<string, number>();
    const neverBack = (): void => {
      for (const { name, process, agent } of fleet.agents) {
        if (!process.alive) continue;
        const revision = agent.freshness.revision('engines');
        assert.ok(revision >= (revisions.get(name) ?? 0), `${name} went back`);
        revisions.set(name, revision);
      }
    };
    engines.get('engine-2').state = 'draining';
    const told = await world.runUntil(
      () => fleet.agents.every(({ agent }) => agent.freshness.engines?.engines['engine-2']?.state === 'draining'),
      1_500_000,
    );
    assert.ok(told, `seed ${seed}`);
    for (let turn = 0; turn < 3; turn += 1) {
      const lister = fleet.lister();
      assert.ok(lister !== undefined);
      // Frozen in the middle of it all: it must not speak when it wakes.
      lister.process.freeze();
      engines.add(`more-${turn}`, `10.3.1.${turn + 1}`, 'w1');
      for (let step = 0; step < 50; step += 1) {
        await world.runFor(100_000);
        neverBack();
      }
      lister.process.thaw();
      await world.runFor(1_000_000);
      neverBack();
      assert.ok(
        known(fleet).every((all) => all.includes(`more-${turn}`)),
        `seed ${seed}, turn ${turn}`,
      );
    }
    const before = engines.pageCalls.length;
    await world.runFor(4_000_000);
    assert.equal(new Set(engines.pageCalls.slice(before).map(({ agent }) => agent)).size, 1, 'one reads, no other');
    assert.ok(names.every((name) => known(fleet)[0]?.includes(name)));
  }
});

test('when the list is away, engines go on being used', async () => {
  const fleet = new HeldFleet(new World(5), 3);
  fleet.addEngines(2);
  await fleet.start();
  assert.ok(await fleet.world.runUntil(() => known(fleet).every((all) => all.length === 2), 12_000_000));
  fleet.engines.listAnswer = () => undefined;
  await fleet.world.runFor(20_000_000);
  assert.ok(known(fleet).every((all) => all.length === 2));
  assert.ok(fleet.stewardOf('engine-1') !== undefined);
});
