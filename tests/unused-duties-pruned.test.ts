import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import fc from 'fast-check';
import { LeaseVoter, type LeaseVote } from '../source/core-keeper/leases/leaseVoter';
import {
  ReplicaStates,
  type ReplicaEvent,
  type ReplicaState,
} from '../source/core-keeper/write-ahead-log/replicaState';
import { WriteAheadLog } from '../source/core-keeper/write-ahead-log/writeAheadLog';
import { ReplicaCore } from '../source/core-keeper/register/replicaCore';
import type { ControlLink } from '../source/edge-agent/control-link/controlLink';
import { LeaseHolder } from '../source/edge-agent/leases/leaseHolder';
import { SimDisk } from '../source/fleet-simulator/world/simDisk';
import { SimNetwork } from '../source/fleet-simulator/world/simNetwork';
import { SimProcess } from '../source/fleet-simulator/world/simProcess';
import { World } from '../source/fleet-simulator/world/world';

const settings = { numRuns: Number(process.env['POSTDRUM_TEST_RUNS'] ?? 300), seed: 4711 };
const duties = ['engine/a', 'engine/b', 'engine/c'];
const lease = 2_500_000;
const minute = 60_000_000;

describe('removal of unused duties', () => {
  test('no event of a replica and no merge of transferred states lowers the term of a duty', () => {
    const step = fc.oneof(
      fc.record({ act: fc.constant('grant' as const), keeper: fc.nat(2), duty: fc.nat(2), above: fc.nat(3) }),
      fc.record({ act: fc.constant('forget' as const), keeper: fc.nat(2), removed: fc.subarray(duties) }),
      fc.record({ act: fc.constant('wipe' as const), keeper: fc.nat(2) }),
      fc.record({ act: fc.constant('rewrite' as const), keeper: fc.nat(2) }),
    );
    const terms = (state: ReplicaState): readonly number[] =>
      duties.map((duty) => ReplicaStates.dutyTerm(state, duty).term);
    fc.assert(
      fc.property(fc.array(step, { maxLength: 40, size: 'max' }), (steps) => {
        const keepers = [ReplicaStates.initial, ReplicaStates.initial, ReplicaStates.initial];
        for (const operation of steps) {
          const before = keepers[operation.keeper] ?? ReplicaStates.initial;
          const others = keepers.filter((_, index) => index !== operation.keeper);
          const events: readonly ReplicaEvent[] =
            operation.act === 'grant'
              ? [
                  {
                    kind: 'dutyGranted',
                    duty: duties[operation.duty] ?? '',
                    term: ReplicaStates.dutyTerm(before, duties[operation.duty] ?? '').term + 1 + operation.above,
                    holder: 'x',
                  },
                ]
              : operation.act === 'forget'
                ? [{ kind: 'dutiesForgotten', duties: operation.removed }]
                : operation.act === 'rewrite'
                  ? [{ kind: 'whole', state: before }]
                  : [
                      { kind: 'joining', fleet: 'f', incarnation: 1 },
                      { kind: 'joined', frames: others },
                    ];
          const next = events.reduce(ReplicaStates.apply, before);
          keepers[operation.keeper] = next;
          // A replica with a wiped disk takes over the terms of the replicas that it joins from.
          const least = operation.act === 'wipe' ? others : [before];
          for (const state of least)
            for (const [index, term] of terms(state).entries())
              assert.ok(
                (terms(next)[index] ?? 0) >= term,
                `${JSON.stringify(operation)}: ${duties[index]} fell below ${term}`,
              );
        }
      }),
      settings,
    );
  });

  test('a transferred state and a log of an earlier version have a floor of 0', () => {
    const { dutyFloor, ...earlier } = { ...ReplicaStates.initial, duties: { 'engine/a': { term: 4, holder: 'x' } } };
    assert.equal(dutyFloor, 0);
    const joined = ReplicaStates.apply(ReplicaStates.initial, { kind: 'joined', frames: [earlier] });
    assert.deepEqual([joined.dutyFloor, joined.duties['engine/a']?.term], [0, 4]);
    const read = ReplicaStates.apply(ReplicaStates.initial, {
      kind: 'whole',
      state: earlier as unknown as ReplicaState,
    });
    assert.equal(ReplicaStates.dutyTerm(read, 'engine/b').term, 0);
  });

  type VoterHarness = Readonly<{
    world: World;
    ledger: WriteAheadLog;
    request: (duty: string, candidate: string, term: number) => Promise<LeaseVote>;
    /** Keeps requesting one duty for this time. */
    keepRequesting: (microseconds: number) => Promise<void>;
  }>;
  const openVoter = async (world: World, disk: SimDisk, isNew: boolean): Promise<VoterHarness> => {
    const process = new SimProcess(world, 'k', '10.0.0.1');
    const ledger = new WriteAheadLog(disk.diskFor(process), world.clock, () => undefined, 20_000);
    const settle = async <Result>(work: Promise<Result>): Promise<Result> => {
      const [result] = await Promise.all([work, world.runFor(5000)]);
      return result;
    };
    await settle(ledger.open());
    if (isNew) await settle(ledger.write([{ kind: 'forming', fleet: 'f', members: {} }, { kind: 'formed' }]));
    const voter = new LeaseVoter(new ReplicaCore('k', ledger, world.clock), world.clock);
    const request = async (duty: string, candidate: string, term: number): Promise<LeaseVote> => {
      const [answer] = await settle(voter.vote([{ duty, candidate, term, leaseMicroseconds: lease }], 0));
      assert.ok(answer !== undefined);
      return answer;
    };
    let term = 0;
    const keepRequesting = async (microseconds: number): Promise<void> => {
      const until = world.nowMicroseconds + microseconds;
      while (world.nowMicroseconds < until) {
        const answer = await request('engine/live', 'x', Math.max(1, term));
        if (!answer.granted) term = answer.term + 1;
        await world.runFor(4_000_000);
      }
    };
    return { world, ledger, request, keepRequesting };
  };

  test('removes duties that nobody requests, and grants such a duty again only above its old term', async () => {
    const world = new World(1);
    const disk = new SimDisk(world);
    const { ledger, request, keepRequesting } = await openVoter(world, disk, true);
    assert.equal((await request('engine/gone', 'x', 7)).granted, true);
    assert.equal((await request('engine/live', 'x', 1)).granted, true);
    await keepRequesting(5 * minute);
    assert.ok('engine/gone' in ledger.synced.duties, 'not removed yet');
    await keepRequesting(7 * minute);
    assert.deepEqual(Object.keys(ledger.synced.duties), ['engine/live']);
    assert.equal(ledger.synced.duties['engine/live']?.term, 1, 'a requested duty keeps its term');
    const reopened = await openVoter(world, disk, false);
    for (const harness of [{ request }, reopened]) {
      const refused = await harness.request('engine/gone', 'x', 7);
      assert.deepEqual(
        [refused.granted, refused.term, refused.floor],
        [false, 7, 7],
        'the old term is refused, also to its holder',
      );
      assert.equal((await harness.request('engine/new', '', 7)).granted, false, 'and to an empty candidate');
    }
    assert.equal((await reopened.request('engine/gone', 'y', 8)).granted, true);
  });

  test('the state stays bounded while engines are added and removed', async () => {
    const world = new World(2);
    const disk = new SimDisk(world);
    const { ledger, request, keepRequesting } = await openVoter(world, disk, true);
    let most = 0;
    for (let round = 0; round < 30; round += 1) {
      for (let number = 0; number < 5; number += 1) await request(`engine/${round}-${number}`, 'x', round + 1);
      await keepRequesting(2 * minute);
      most = Math.max(most, Object.keys(ledger.synced.duties).length);
    }
    assert.ok(most <= 5 * 8, `${most} duties kept of 150`);
    assert.ok(disk.length('keeper.ledger') < 100_000, `${disk.length('keeper.ledger')} bytes`);
  });

  test('time without contact to agents does not count: other replicas may have renewed the duties meanwhile', async () => {
    const world = new World(3);
    const { ledger, request, keepRequesting } = await openVoter(world, new SimDisk(world), true);
    await request('engine/held', 'x', 3);
    await world.runFor(60 * minute);
    await keepRequesting(2 * minute);
    assert.equal(ledger.synced.duties['engine/held']?.term, 3);
    assert.equal((await request('engine/held', 'x', 3)).granted, true, 'it is renewed under its term');
  });
});

describe('the lease holder', () => {
  const setUp = async (
    vote: (duty: string, term: number) => LeaseVote | undefined,
  ): Promise<Readonly<{ world: World; holder: LeaseHolder; logged: string[]; rounds: () => number }>> => {
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
      controlNodes: () => ({ k: member }),
      memberSets: () => [['k']],
      membersRevision: () => 0,
    } as unknown as ControlLink;
    const agent = new SimProcess(world, 'a', '10.2.0.1');
    const logged: string[] = [];
    const holder = new LeaseHolder(
      'a',
      link,
      { clock: agent.clock, random: world.random, transport: network.transportOf(agent) },
      { leaseMicroseconds: lease, askMicroseconds: 300_000 },
      (sentence) => logged.push(sentence),
    );
    return { world, holder, logged, rounds: () => rounds };
  };
  const answer = (duty: string, term: number, floor: number): LeaseVote => ({
    duty,
    granted: term > floor,
    term: Math.max(term, floor),
    holder: 'a',
    waitMicroseconds: 0,
    floor,
  });

  test('learns the floor from its first request and starts above it for every other duty', async () => {
    const { world, holder, rounds } = await setUp((duty, term) => answer(duty, term, 40));
    await Promise.all([holder.requestLeases(['engine/a']), world.runFor(200_000)]);
    assert.deepEqual([holder.term('engine/a'), rounds()], [41, 2]);
    await Promise.all([holder.requestLeases(['engine/a', 'engine/b']), world.runFor(200_000)]);
    assert.deepEqual([holder.term('engine/b'), rounds()], [41, 3], 'one more round, not two');
  });

  test('logs the expired duties once, in one line, without those that it released', async () => {
    let isSilent = false;
    const { world, holder, logged } = await setUp((duty, term) => (isSilent ? undefined : answer(duty, term, 0)));
    const names = Array.from({ length: 8 }, (_, number) => `engine/${number}`);
    await Promise.all([holder.requestLeases([...names, 'list']), world.runFor(200_000)]);
    await Promise.all([holder.release(['list']), world.runFor(200_000)]);
    isSilent = true;
    for (let turn = 0; turn < 12; turn += 1) await Promise.all([holder.requestLeases(names), world.runFor(400_000)]);
    assert.deepEqual(logged, [`Duties lapsed without renewal: ${names.slice(0, 6).join(', ')} and 2 more.`]);
    isSilent = false;
    for (let turn = 0; turn < 12; turn += 1) await Promise.all([holder.requestLeases(names), world.runFor(400_000)]);
    assert.equal(logged.length, 1);
    assert.equal(holder.heldLeases().length, 8);
  });
});
