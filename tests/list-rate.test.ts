import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { CallPace } from '../source/edge-agent/engine-list/callPace';
import { EngineLives } from '../source/edge-agent/engine-list/engineLives';
import { EngineListDefaults, EngineListKeeper } from '../source/edge-agent/engine-list/engineListKeeper';
import type { EngineLister, ListedEngine } from '../source/edge-agent/engine-list/engineLister';
import { World } from '../source/fleet-simulator/world/world';
import { Freshness } from '../source/shared/freshness/freshness';
import { HeldFleet } from './support/heldFleet';

const engine = (number: number): ListedEngine => ({
  name: `e-${number}`,
  service: 'pool',
  address: `10.3.0.${number}:1`,
  zone: 'hill',
  state: 'ready',
  capacity: 8,
  weights: { m: '1' },
});

/** The most calls in any window of a second. */
const mostInASecond = (calls: readonly number[]): number =>
  Math.max(0, ...calls.map((first) => calls.filter((at) => at >= first && at < first + 1_000_000).length));

/** A list of so many pages with one engine each, and a keeper that reads it again and again. */
const reading = (
  callsPerSecond: number,
  pages: number,
  term: number | undefined,
): Readonly<{
  world: World;
  calls: number[];
  freshness: Freshness;
  keeper: EngineListKeeper;
  say: (answer: 'overRate' | undefined) => void;
  run: (microseconds: number) => Promise<void>;
}> => {
  const world = new World(1);
  const calls: number[] = [];
  let said: 'overRate' | undefined;
  const lister: EngineLister = {
    page: (from) => {
      calls.push(world.nowMicroseconds);
      const page = Number(from ?? 1);
      const next = page < pages ? String(page + 1) : undefined;
      return Promise.resolve(said ?? { engines: [engine(page)], next });
    },
  };
  const freshness = new Freshness(world.clock, undefined, 'listed');
  const keeper = new EngineListKeeper(
    lister,
    freshness,
    () => term,
    world.clock,
    world.random,
    { ...EngineListDefaults, callsPerSecond },
    () => 3,
    () => undefined,
  );
  const again = (): void => void keeper.read().then(() => world.plan(500_000, again));
  return {
    world,
    calls,
    freshness,
    keeper,
    say: (answer) => {
      said = answer;
    },
    run: async (microseconds) => {
      if (calls.length === 0) again();
      await world.runFor(microseconds);
    },
  };
};

describe('the rate of the list of engines', () => {
  test('its holder stays under half of the rate, each page counted, and reads all of it all the same', async () => {
    for (const [rate, pages] of [
      [1, 1],
      [1, 4],
      [5, 3],
      [20, 30],
    ] as const) {
      const { calls, freshness, run } = reading(rate, pages, 1);
      await run(60_000_000);
      assert.ok(calls.length <= rate * 0.5 * 60 + 1, `${calls.length} calls in a minute at ${rate} a second`);
      assert.ok(mostInASecond(calls) <= Math.max(1, rate * 0.65), `${mostInASecond(calls)} of ${rate} in a second`);
      assert.ok(
        calls.length >= Math.min(rate * 0.45, 2 * pages * 0.9) * 60 - 2,
        `${calls.length} at ${rate}, ${pages}`,
      );
      assert.equal(Object.keys(freshness.engines?.engines ?? {}).length, pages);
    }
  });

  test('at 47 a second a list of a few pages is read as often as without any rate', async () => {
    for (const pages of [1, 3, 5]) {
      const [bounded, free] = [reading(47, pages, 1), reading(Infinity, pages, 1)];
      await bounded.run(20_000_000);
      await free.run(20_000_000);
      assert.deepEqual(bounded.calls, free.calls, `${pages} pages`);
    }
    const [alone, free] = [reading(47, 1, undefined), reading(Infinity, 1, undefined)];
    await alone.run(20_000_000);
    await free.run(20_000_000);
    assert.deepEqual(alone.calls, free.calls);
  });

  test('who reads alone keeps to its share of a quarter of the rate', async () => {
    const { calls, run, say } = reading(4, 2, undefined);
    // Why no answers that count: a list that is known is not read alone.
    say('overRate');
    await run(1_000_000);
    say(undefined);
    await run(120_000_000);
    assert.ok(calls.length > 0);
    assert.ok(calls.length <= ((4 * 0.25) / 3) * 121 + 2, `${calls.length} calls of one of three in two minutes`);
  });

  test('turned away it waits longer each time, up to a bound, and is back to the usual after one answer', async () => {
    const { calls, run, say } = reading(47, 1, 1);
    await run(2_000_000);
    say('overRate');
    calls.length = 0;
    await run(1);
    await run(12_000_000);
    const gaps = calls.slice(1).map((at, index) => at - (calls[index] ?? 0));
    assert.ok((gaps[0] ?? 0) >= 500_000 && (gaps[0] ?? 0) <= 1_100_000, `${gaps.join(' ')}`);
    assert.ok((gaps[2] ?? 0) >= 1_900_000, `${gaps.join(' ')}`);
    assert.ok(
      gaps.every((gap) => gap <= 2_100_000),
      `${gaps.join(' ')}`,
    );
    say(undefined);
    await run(4_000_000);
    calls.length = 0;
    await run(5_000_000);
    assert.ok(calls.length >= 9, `${calls.length}`);
  });

  test('a pace lets a small burst through and no more than the rate in the long run', async () => {
    const world = new World(1);
    const pace = new CallPace(world.clock);
    const waits = Array.from({ length: 12 }, () => pace.waitMicroseconds(20));
    assert.deepEqual(waits.slice(0, 7), [0, 0, 0, 0, 0, 50_000, 100_000]);
    await world.runFor(10_000_000);
    assert.equal(pace.waitMicroseconds(20), 0);
  });

  test('a long read says of no engine that it is gone before the list can be behind by so much', () => {
    const lives = new EngineLives(() => 1_000_000);
    lives.heard([engine(1), engine(2)], [], 0, 10_000_000);
    const names = (listed: readonly ListedEngine[], asked: number): readonly string[] =>
      lives.heard(listed, [], asked).map(({ name }) => name);
    assert.deepEqual(names([engine(1)], 10_500_000), ['e-1', 'e-2'], 'the last page was seen half a second before');
    assert.deepEqual(names([engine(1)], 11_000_000), ['e-1']);
  });

  test('what another read alone meanwhile is gone above, in the same term only', async () => {
    const { keeper, freshness, world } = reading(Infinity, 1, 1);
    await keeper.read();
    const alone = reading(Infinity, 2, undefined);
    alone.freshness.hear(freshness.statements().find(({ key }) => key === 'engines') as never, 0);
    alone.freshness.give(freshness.sent('engines') as never);
    await alone.world.runFor(10_000_000);
    await alone.keeper.read();
    const said = alone.freshness.revision('engines');
    assert.equal(said, freshness.revision('engines') + 1);
    await world.runFor(10_000_000);
    freshness.hear(alone.freshness.statements().find(({ key }) => key === 'engines') as never, world.nowMicroseconds);
    freshness.give(alone.freshness.sent('engines') as never);
    assert.equal(freshness.revision('engines'), said);
    await keeper.read();
    // The engine of the second page is not gone yet for this reader either way; what counts is one text a revision.
    assert.ok(freshness.revision('engines') >= said);
    const [mine, theirs] = [freshness.applied('engines'), alone.freshness.applied('engines')];
    assert.ok(mine?.revision !== theirs?.revision || mine?.text === theirs?.text, 'one revision, one text');
  });

  test('in a fleet: all daemons together stay within the rate, also when its holder is killed, and all know the list', async () => {
    for (const seed of [1, 2, 3]) {
      const rate = 4;
      const fleet = new HeldFleet(new World(seed), 5, { listCallsPerSecond: rate });
      const names = fleet.addEngines(3);
      fleet.engines.pageSize = 2;
      await fleet.start();
      const { world, engines } = fleet;
      const knows = (): boolean =>
        fleet.agents.every(
          ({ process, agent }) =>
            !process.alive || Object.keys(agent.freshness.engines?.engines ?? {}).length === names.length,
        );
      assert.ok(await world.runUntil(() => knows() && fleet.settled(names), 30_000_000), `seed ${seed}`);
      const lister = fleet.lister();
      assert.ok(lister !== undefined);
      fleet.kill(lister);
      await world.runFor(10_000_000);
      fleet.restart(lister);
      await world.runFor(10_000_000);
      assert.ok(knows() && fleet.settled(names), `seed ${seed}`);
      const most = mostInASecond(engines.pageCalls.map(({ atMicroseconds }) => atMicroseconds));
      assert.ok(most <= rate, `seed ${seed}: ${most} calls in a second`);
    }
  });
});
