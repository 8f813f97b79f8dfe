import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import fc from 'fast-check';
import { DutyVoter, type BallotAnswer } from '../source/core-keeper/duties/dutyVoter';
import { KeeperStates, type KeeperEvent, type KeeperState } from '../source/core-keeper/ledger/keeperState';
import { Ledger } from '../source/core-keeper/ledger/ledger';
import { KeeperCore } from '../source/core-keeper/register/keeperCore';
import type { CoreLink } from '../source/edge-agent/core-link/coreLink';
import { DutyHolder } from '../source/edge-agent/stewards/dutyHolder';
import { SimDisk } from '../source/fleet-simulator/world/simDisk';
import { SimNetwork } from '../source/fleet-simulator/world/simNetwork';
import { SimProcess } from '../source/fleet-simulator/world/simProcess';
import { World } from '../source/fleet-simulator/world/world';

const settings = { numRuns: Number(process.env['POSTDRUM_TEST_RUNS'] ?? 300), seed: 4711 };
const duties = ['engine/a', 'engine/b', 'engine/c'];
const lease = 2_500_000;
const minute = 60_000_000;

describe('forgotten duties', () => {
  test('no step of a keeper, nor any join of frames, lets the term of a duty fall', () => {
    const step = fc.oneof(
      fc.record({ act: fc.constant('grant' as const), keeper: fc.nat(2), duty: fc.nat(2), above: fc.nat(3) }),
      fc.record({ act: fc.constant('forget' as const), keeper: fc.nat(2), some: fc.subarray(duties) }),
      fc.record({ act: fc.constant('wipe' as const), keeper: fc.nat(2) }),
      fc.record({ act: fc.constant('rewrite' as const), keeper: fc.nat(2) }),
    );
    const terms = (state: KeeperState): readonly number[] => duties.map((duty) => KeeperStates.duty(state, duty).term);
    fc.assert(
      fc.property(fc.array(step, { maxLength: 40, size: 'max' }), (steps) => {
        const keepers = [KeeperStates.start, KeeperStates.start, KeeperStates.start];
        for (const one of steps) {
          const before = keepers[one.keeper] ?? KeeperStates.start;
          const others = keepers.filter((_, index) => index !== one.keeper);
          const events: readonly KeeperEvent[] =
            one.act === 'grant'
              ? [
                  {
                    kind: 'dutyGranted',
                    duty: duties[one.duty] ?? '',
                    term: KeeperStates.duty(before, duties[one.duty] ?? '').term + 1 + one.above,
                    holder: 'x',
                  },
                ]
              : one.act === 'forget'
                ? [{ kind: 'dutiesForgotten', duties: one.some }]
                : one.act === 'rewrite'
                  ? [{ kind: 'whole', state: before }]
                  : [
                      { kind: 'joining', fleet: 'f', incarnation: 1 },
                      { kind: 'joined', frames: others },
                    ];
          const next = events.reduce(KeeperStates.reduce, before);
          keepers[one.keeper] = next;
          // A wiped disk knows nothing of its own: what counts is all that those it joins from have promised.
          const least = one.act === 'wipe' ? others : [before];
          for (const state of least)
            for (const [index, term] of terms(state).entries())
              assert.ok(
                (terms(next)[index] ?? 0) >= term,
                `${JSON.stringify(one)}: ${duties[index]} fell below ${term}`,
              );
        }
      }),
      settings,
    );
  });

  test('a frame and a file of an earlier build count as having forgotten none', () => {
    const { dutyFloor, ...earlier } = { ...KeeperStates.start, duties: { 'engine/a': { term: 4, holder: 'x' } } };
    assert.equal(dutyFloor, 0);
    const joined = KeeperStates.reduce(KeeperStates.start, { kind: 'joined', frames: [earlier] });
    assert.deepEqual([joined.dutyFloor, joined.duties['engine/a']?.term], [0, 4]);
    const read = KeeperStates.reduce(KeeperStates.start, { kind: 'whole', state: earlier as unknown as KeeperState });
    assert.equal(KeeperStates.duty(read, 'engine/b').term, 0);
  });

  type Desk = Readonly<{
    world: World;
    ledger: Ledger;
    ask: (duty: string, candidate: string, term: number) => Promise<BallotAnswer>;
    /** Somebody asks for a duty all the time. */
    live: (microseconds: number) => Promise<void>;
  }>;
  const opened = async (world: World, disk: SimDisk, isNew: boolean): Promise<Desk> => {
    const process = new SimProcess(world, 'k', '10.0.0.1');
    const ledger = new Ledger(disk.of(process), world.clock, () => undefined, 20_000);
    const settle = async <Result>(work: Promise<Result>): Promise<Result> => {
      const [result] = await Promise.all([work, world.runFor(5000)]);
      return result;
    };
    await settle(ledger.open());
    if (isNew) await settle(ledger.write([{ kind: 'forming', fleet: 'f', members: {} }, { kind: 'formed' }]));
    const voter = new DutyVoter(new KeeperCore('k', ledger, world.clock), world.clock);
    const ask = async (duty: string, candidate: string, term: number): Promise<BallotAnswer> => {
      const [answer] = await settle(voter.vote([{ duty, candidate, term, leaseMicroseconds: lease }], 0));
      assert.ok(answer !== undefined);
      return answer;
    };
    let term = 0;
    const live = async (microseconds: number): Promise<void> => {
      const until = world.nowMicroseconds + microseconds;
      while (world.nowMicroseconds < until) {
        const answer = await ask('engine/live', 'x', Math.max(1, term));
        if (!answer.granted) term = answer.term + 1;
        await world.runFor(4_000_000);
      }
    };
    return { world, ledger, ask, live };
  };

  test('a keeper forgets duties that nobody asks for, and such a duty comes back only above its old term', async () => {
    const world = new World(1);
    const disk = new SimDisk(world);
    const { ledger, ask, live } = await opened(world, disk, true);
    assert.equal((await ask('engine/gone', 'x', 7)).granted, true);
    assert.equal((await ask('engine/live', 'x', 1)).granted, true);
    await live(5 * minute);
    assert.ok('engine/gone' in ledger.synced.duties, 'not so soon');
    await live(7 * minute);
    assert.deepEqual(Object.keys(ledger.synced.duties), ['engine/live']);
    assert.equal(ledger.synced.duties['engine/live']?.term, 1, 'what lives goes on under its term');
    const again = await opened(world, disk, false);
    for (const desk of [{ ask }, again]) {
      const early = await desk.ask('engine/gone', 'x', 7);
      assert.deepEqual([early.granted, early.term, early.floor], [false, 7, 7], 'not the same term, not even to x');
      assert.equal((await desk.ask('engine/new', '', 7)).granted, false, 'nor to nobody');
    }
    assert.equal((await again.ask('engine/gone', 'y', 8)).granted, true);
  });

  test('its state stays bounded when engines come and go', async () => {
    const world = new World(2);
    const disk = new SimDisk(world);
    const { ledger, ask, live } = await opened(world, disk, true);
    let most = 0;
    for (let round = 0; round < 30; round += 1) {
      for (let number = 0; number < 5; number += 1) await ask(`engine/${round}-${number}`, 'x', round + 1);
      await live(2 * minute);
      most = Math.max(most, Object.keys(ledger.synced.duties).length);
    }
    assert.ok(most <= 5 * 8, `${most} duties kept of 150`);
    assert.ok(disk.length('keeper.ledger') < 100_000, `${disk.length('keeper.ledger')} bytes`);
  });

  test('a keeper that was cut off forgets nothing for it: others may have renewed those duties all the time', async () => {
    const world = new World(3);
    const { ledger, ask, live } = await opened(world, new SimDisk(world), true);
    await ask('engine/held', 'x', 3);
    await world.runFor(60 * minute);
    await live(2 * minute);
    assert.equal(ledger.synced.duties['engine/held']?.term, 3);
    assert.equal((await ask('engine/held', 'x', 3)).granted, true, 'and it is renewed under its term');
  });
});

describe("a holder's side", () => {
  const stage = async (
    vote: (duty: string, term: number) => BallotAnswer | undefined,
  ): Promise<Readonly<{ world: World; holder: DutyHolder; told: string[]; rounds: () => number }>> => {
    const world = new World(4);
    const network = new SimNetwork(world);
    const keeper = new SimProcess(world, 'k', '10.1.0.1');
    let rounds = 0;
    await network.transportOf(keeper).listen('10.1.0.1:1', (message) => {
      if (message.kind !== 'ballots') return Promise.resolve({ kind: 'heard' });
      rounds += 1;
      const answers = (message['ballots'] as readonly { duty: string; term: number }[]).flatMap(
        ({ duty, term }) => vote(duty, term) ?? [],
      );
      return Promise.resolve({ kind: 'ballots', answers });
    });
    const member = { address: '10.1.0.1:1', operatorsAddress: '10.1.0.1:2', zone: '' };
    const link = {
      keepers: () => ({ k: member }),
      sets: () => [['k']],
      membersRevision: () => 0,
    } as unknown as CoreLink;
    const agent = new SimProcess(world, 'a', '10.2.0.1');
    const told: string[] = [];
    const holder = new DutyHolder(
      'a',
      link,
      { clock: agent.clock, random: world.random, transport: network.transportOf(agent) },
      { leaseMicroseconds: lease, askMicroseconds: 300_000 },
      (sentence) => told.push(sentence),
    );
    return { world, holder, told, rounds: () => rounds };
  };
  const answer = (duty: string, term: number, floor: number): BallotAnswer => ({
    duty,
    granted: term > floor,
    term: Math.max(term, floor),
    holder: 'a',
    waitMicroseconds: 0,
    floor,
  });

  test('learns the floor with its first ballot, and asks above it for every other duty at once', async () => {
    const { world, holder, rounds } = await stage((duty, term) => answer(duty, term, 40));
    await Promise.all([holder.ballot(['engine/a']), world.runFor(200_000)]);
    assert.deepEqual([holder.term('engine/a'), rounds()], [41, 2]);
    await Promise.all([holder.ballot(['engine/a', 'engine/b']), world.runFor(200_000)]);
    assert.deepEqual([holder.term('engine/b'), rounds()], [41, 3], 'one round more, not two');
  });

  test('says once which duties lapsed, in one sentence, and nothing of those it gave back', async () => {
    let away = false;
    const { world, holder, told } = await stage((duty, term) => (away ? undefined : answer(duty, term, 0)));
    const names = Array.from({ length: 8 }, (_, number) => `engine/${number}`);
    await Promise.all([holder.ballot([...names, 'list']), world.runFor(200_000)]);
    await Promise.all([holder.giveBack(['list']), world.runFor(200_000)]);
    away = true;
    for (let turn = 0; turn < 12; turn += 1) await Promise.all([holder.ballot(names), world.runFor(400_000)]);
    assert.deepEqual(told, [`Duties lapsed without renewal: ${names.slice(0, 6).join(', ')} and 2 more.`]);
    away = false;
    for (let turn = 0; turn < 12; turn += 1) await Promise.all([holder.ballot(names), world.runFor(400_000)]);
    assert.equal(told.length, 1);
    assert.equal(holder.held().length, 8);
  });
});
