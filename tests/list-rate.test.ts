import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { CallRateLimiter } from '../source/edge-agent/engine-list/callRateLimiter';
import { EngineLifetimes } from '../source/edge-agent/engine-list/engineLifetimes';
import { EngineListDefaults, EngineListReader } from '../source/edge-agent/engine-list/engineListReader';
import type { EngineLister, ListedEngine } from '../source/edge-agent/engine-list/engineLister';
import { World } from '../source/fleet-simulator/world/world';
import { Freshness } from '../source/shared/freshness/freshness';
import { LongPollFleet } from './support/longPollFleet';

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
const maxCallsPerSecond = (calls: readonly number[]): number =>
  Math.max(0, ...calls.map((first) => calls.filter((at) => at >= first && at < first + 1_000_000).length));

/** A list with this many pages of one engine each, and a reader that reads it repeatedly. */
const setUpReader = (
  callsPerSecond: number,
  pages: number,
  term: number | undefined,
): Readonly<{
  world: World;
  calls: number[];
  freshness: Freshness;
  reader: EngineListReader;
  setResponse: (answer: 'overRate' | undefined) => void;
  run: (microseconds: number) => Promise<void>;
}> => {
  const world = new World(1);
  const calls: number[] = [];
  let rejection: 'overRate' | undefined;
  const lister: EngineLister = {
    page: (from) => {
      calls.push(world.nowMicroseconds);
      const page = Number(from ?? 1);
      const next = page < pages ? String(page + 1) : undefined;
      return Promise.resolve(rejection ?? { engines: [engine(page)], next });
    },
  };
  const freshness = new Freshness(world.clock, undefined, 'listed');
  const reader = new EngineListReader(
    lister,
    freshness,
    () => term,
    world.clock,
    world.random,
    { ...EngineListDefaults, callsPerSecond },
    () => 3,
    () => undefined,
  );
  const repeatRead = (): void => void reader.read().then(() => world.schedule(500_000, repeatRead));
  return {
    world,
    calls,
    freshness,
    reader,
    setResponse: (answer) => {
      rejection = answer;
    },
    run: async (microseconds) => {
      if (calls.length === 0) repeatRead();
      await world.runFor(microseconds);
    },
  };
};

describe('the call rate to the list of engines', () => {
  test('the lease holder stays below half of the rate, counting each page, and still reads the whole list', async () => {
    for (const [rate, pages] of [
      [1, 1],
      [1, 4],
      [5, 3],
      [20, 30],
    ] as const) {
      const { calls, freshness, run } = setUpReader(rate, pages, 1);
      await run(60_000_000);
      assert.ok(calls.length <= rate * 0.5 * 60 + 1, `${calls.length} calls in a minute at ${rate} a second`);
      assert.ok(
        maxCallsPerSecond(calls) <= Math.max(1, rate * 0.65),
        `${maxCallsPerSecond(calls)} of ${rate} in a second`,
      );
      assert.ok(
        calls.length >= Math.min(rate * 0.45, 2 * pages * 0.9) * 60 - 2,
        `${calls.length} at ${rate}, ${pages}`,
      );
      assert.equal(Object.keys(freshness.engines?.engines ?? {}).length, pages);
    }
  });

  test('at 47 calls per second a list of a few pages is read as often as without a limit', async () => {
    for (const pages of [1, 3, 5]) {
      const [bounded, free] = [setUpReader(47, pages, 1), setUpReader(Infinity, pages, 1)];
      await bounded.run(20_000_000);
      await free.run(20_000_000);
      assert.deepEqual(bounded.calls, free.calls, `${pages} pages`);
    }
    const [alone, free] = [setUpReader(47, 1, undefined), setUpReader(Infinity, 1, undefined)];
    await alone.run(20_000_000);
    await free.run(20_000_000);
    assert.deepEqual(alone.calls, free.calls);
  });

  test('a reader without the lease keeps to its share of a quarter of the rate', async () => {
    const { calls, run, setResponse } = setUpReader(4, 2, undefined);
    // The first calls are rejected because an agent that knows a list does not read it without the lease.
    setResponse('overRate');
    await run(1_000_000);
    setResponse(undefined);
    await run(120_000_000);
    assert.ok(calls.length > 0);
    assert.ok(calls.length <= ((4 * 0.25) / 3) * 121 + 2, `${calls.length} calls of one of three in two minutes`);
  });

  test('rejected calls back off up to a bound, and one response restores the usual interval', async () => {
    const { calls, run, setResponse } = setUpReader(47, 1, 1);
    await run(2_000_000);
    setResponse('overRate');
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
    setResponse(undefined);
    await run(4_000_000);
    calls.length = 0;
    await run(5_000_000);
    assert.ok(calls.length >= 9, `${calls.length}`);
  });

  test('the rate limiter allows a small burst and otherwise no more than the rate', async () => {
    const world = new World(1);
    const rateLimiter = new CallRateLimiter(world.clock);
    const waits = Array.from({ length: 12 }, () => rateLimiter.reserveCall(20));
    assert.deepEqual(waits.slice(0, 7), [0, 0, 0, 0, 0, 50_000, 100_000]);
    await world.runFor(10_000_000);
    assert.equal(rateLimiter.reserveCall(20), 0);
  });

  test('a long read ends no engine before it is missing for longer than the lag of the list', () => {
    const lifetimes = new EngineLifetimes(() => 1_000_000);
    lifetimes.applyResponse([engine(1), engine(2)], [], 0, 10_000_000);
    const names = (listed: readonly ListedEngine[], asked: number): readonly string[] =>
      lifetimes.applyResponse(listed, [], asked).map(({ name }) => name);
    assert.deepEqual(names([engine(1)], 10_500_000), ['e-1', 'e-2'], 'the last page was seen half a second earlier');
    assert.deepEqual(names([engine(1)], 11_000_000), ['e-1']);
  });

  test('a revision published without the lease meanwhile is exceeded within the same term', async () => {
    const { reader, freshness, world } = setUpReader(Infinity, 1, 1);
    await reader.read();
    const alone = setUpReader(Infinity, 2, undefined);
    alone.freshness.applyStatement(freshness.statements().find(({ key }) => key === 'engines') as never, 0);
    alone.freshness.applyBody(freshness.encodedBody('engines') as never);
    await alone.world.runFor(10_000_000);
    await alone.reader.read();
    const otherRevision = alone.freshness.revision('engines');
    assert.equal(otherRevision, freshness.revision('engines') + 1);
    await world.runFor(10_000_000);
    freshness.applyStatement(
      alone.freshness.statements().find(({ key }) => key === 'engines') as never,
      world.nowMicroseconds,
    );
    freshness.applyBody(alone.freshness.encodedBody('engines') as never);
    assert.equal(freshness.revision('engines'), otherRevision);
    await reader.read();
    // Whether the engine of the second page is listed does not matter here; each revision must have only one text.
    assert.ok(freshness.revision('engines') >= otherRevision);
    const [mine, theirs] = [freshness.applied('engines'), alone.freshness.applied('engines')];
    assert.ok(mine?.revision !== theirs?.revision || mine?.text === theirs?.text, 'one revision, one text');
  });

  test('in a fleet all agents together stay within the rate, also when the lease holder is killed, and all know the list', async () => {
    for (const seed of [1, 2, 3]) {
      const rate = 4;
      const fleet = new LongPollFleet(new World(seed), 5, { listCallsPerSecond: rate });
      const names = fleet.addEngines(3);
      fleet.engines.pageSize = 2;
      await fleet.start();
      const { world, engines } = fleet;
      const knows = (): boolean =>
        fleet.agents.every(
          ({ process, agent }) =>
            !process.alive || Object.keys(agent.freshness.engines?.engines ?? {}).length === names.length,
        );
      assert.ok(await world.runUntil(() => knows() && fleet.hasAllLeaseHolders(names), 30_000_000), `seed ${seed}`);
      const lister = fleet.listReader();
      assert.ok(lister !== undefined);
      fleet.kill(lister);
      await world.runFor(10_000_000);
      fleet.restart(lister);
      await world.runFor(10_000_000);
      assert.ok(knows() && fleet.hasAllLeaseHolders(names), `seed ${seed}`);
      const most = maxCallsPerSecond(engines.pageCalls.map(({ atMicroseconds }) => atMicroseconds));
      assert.ok(most <= rate, `seed ${seed}: ${most} calls in a second`);
    }
  });
});
