import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { WeightsPlans } from '../source/edge-agent/engine-control/weightsPlan';
import { Membership } from '../source/edge-agent/membership/membership';
import { MajorityReads, type StatementsAnswer } from '../source/shared/register/majorityRead';
import { LeaseVoter } from '../source/core-keeper/leases/leaseVoter';
import { ReplicaCore } from '../source/core-keeper/register/replicaCore';
import { WriteAheadLog } from '../source/core-keeper/write-ahead-log/writeAheadLog';
import { Shares, type ClassLoad } from '../source/edge-proxy/holding/shares';
import { TakeDesk, type Room, type TakeOrder } from '../source/edge-proxy/holding/takeDesk';
import { Placements, type ScoredCandidate } from '../source/edge-proxy/placement/placements';
import { RetryBudget } from '../source/edge-proxy/sends/retryBudget';
import { FinalEvent, SendStates } from '../source/edge-proxy/sends/sendState';
import { LinkSpeeds } from '../source/edge-proxy/fetch/linkSpeeds';
import { SimDisk } from '../source/fleet-simulator/world/simDisk';
import { SimProcess } from '../source/fleet-simulator/world/simProcess';
import { World } from '../source/fleet-simulator/world/world';
import { seededRandom } from '../source/shared/effects/random/random';
import { Freshness, type Statement } from '../source/shared/freshness/freshness';
import { Refusals } from '../source/shared/verdict/verdict';
import { Metrics } from '../source/shared/metrics/metrics';
import { FactBook } from '../source/shared/news/facts';
import type { EngineFact } from '../source/shared/news/factTypes';
import { Rendezvous } from '../source/shared/rendezvous/rendezvous';
import { WeightsClocks } from '../source/shared/weights/weightsClocks';
import { Digests } from '../source/core-keeper/register/changes';
import { SimBlueprints } from '../source/fleet-simulator/machines/simFleet';
import type { ServiceClass } from '../source/shared/blueprint/types';

const settings = { numRuns: Number(process.env['POSTDRUM_TEST_RUNS'] ?? 100), seed: 4711 };

const load: fc.Arbitrary<ClassLoad> = fc.record({
  name: fc.constantFrom('a', 'b', 'c'),
  rank: fc.nat(3),
  entitled: fc.nat(10),
  lends: fc.boolean(),
  running: fc.nat(10),
  held: fc.nat(3),
});
const loads = fc.uniqueArray(load, { selector: ({ name }) => name, minLength: 1, maxLength: 3 });

test('shares: never above capacity; a class below its share is never shut out while there is room; best rank first', () => {
  fc.assert(
    fc.property(fc.nat(24), loads, (capacity, classes) => {
      const eligible = Shares.eligible(capacity, classes);
      const total = classes.reduce((sum, { running }) => sum + running, 0);
      if (total >= capacity) assert.deepEqual(eligible, []);
      else for (const item of classes) if (item.running < item.entitled) assert.ok(eligible.includes(item.name));
      const ranks = eligible.map((name) => classes.find((item) => item.name === name)?.rank ?? 0);
      assert.deepEqual(
        ranks,
        [...ranks].sort((left, right) => left - right),
      );
    }),
    settings,
  );
});

test('shares: idle room is lent, what does not lend is kept, and what is asked back is not lent any more', () => {
  const classes = (lends: boolean, held: number): readonly ClassLoad[] => [
    { name: 'busy', rank: 0, entitled: 5, lends: true, running: 5, held: 3 },
    { name: 'idle', rank: 1, entitled: 5, lends, running: 0, held },
  ];
  assert.deepEqual(Shares.eligible(10, classes(true, 0)), ['busy', 'idle']);
  assert.deepEqual(Shares.eligible(10, classes(false, 0)), ['idle']);
  assert.deepEqual(Shares.eligible(10, classes(true, 1)), ['idle']);
});

const deskOf = (
  world: World,
  capacity: number,
  classes: Readonly<Record<string, ServiceClass>>,
  room: Partial<Room> = {},
): TakeDesk =>
  new TakeDesk(
    world.clock,
    { capacity: () => capacity, free: () => capacity, otherLoads: () => [], proxies: () => 1, ...room },
    () => classes,
    (service, name) => `${service}/${name}`,
    new Metrics(),
  );
const takeOrder = (world: World, tenant: string, more: Partial<TakeOrder> = {}): TakeOrder => ({
  service: 's',
  className: 'c',
  tenant,
  arrivedMicroseconds: world.nowMicroseconds,
  turnKept: false,
  whenGone: () => undefined,
  stillStands: () => ({ kind: 'stands' }),
  mayStart: () => true,
  hopeless: () => undefined,
  ...more,
});
const oneClass: ServiceClass = {
  rank: 0,
  sharePerMille: 1000,
  lends: true,
  holdingMost: 6,
  holdingLimitMicroseconds: 1_000_000,
};

test('holding: tenants take turns, however many orders one of them brings', async () => {
  const world = new World(1);
  const desk = deskOf(world, 1, { c: oneClass });
  const row: string[] = [];
  const releases: (() => void)[] = [];
  for (const tenant of ['big', 'big', 'big', 'big', 'small']) {
    void desk.take(takeOrder(world, tenant)).then((taken) => {
      if (taken.kind !== 'taken') return;
      row.push(tenant);
      releases.push(taken.release);
    });
  }
  for (let turn = 0; turn < 5; turn += 1) {
    await world.runFor(1000);
    releases.shift()?.();
  }
  await world.runFor(1000);
  assert.deepEqual(row, ['big', 'big', 'small', 'big', 'big']);
});

test('holding: full is refused at once, waiting ends at its limit, a caller that left gives up its place', async () => {
  const world = new World(2);
  const desk = deskOf(world, 0, { c: oneClass });
  const codes: string[] = [];
  let leave: () => void = () => undefined;
  for (let number = 0; number < 7; number += 1) {
    void desk
      .take(
        takeOrder(world, 't', {
          whenGone: (act) => {
            if (number === 0) leave = act;
          },
        }),
      )
      .then((taken) =>
        codes.push(
          taken.kind === 'refuse'
            ? `${taken.refusal.code} ${taken.refusal.verdict} ${taken.refusal.retryAfterSeconds ?? 0}`
            : 'taken',
        ),
      );
  }
  await world.runFor(1000);
  assert.deepEqual(codes, ['holdingFull notRun 6']);
  leave();
  await world.runFor(1000);
  assert.equal(codes[1], 'userAgentGone notRun 0');
  await world.runFor(1_100_000);
  assert.equal(codes.length, 7);
  assert.ok(codes.slice(2).every((code) => code.startsWith('holdingLimit notRun')));
  assert.equal(desk.heldCount(), 0);
});

test('holding: who was held before and lost its place to a busy engine is served first', async () => {
  const world = new World(4);
  const desk = deskOf(world, 1, { c: oneClass });
  const row: string[] = [];
  let release: () => void = () => undefined;
  const take = (name: string, tenant: string, turnKept: boolean): void =>
    void desk.take(takeOrder(world, tenant, { turnKept })).then((taken) => {
      row.push(`${name} ${taken.kind}`);
      if (taken.kind === 'taken') release = taken.release;
    });
  for (const name of ['a', 'b', 'c']) take(name, `tenant-${name}`, false);
  take('again', 'tenant-c', true);
  for (let turn = 0; turn < 4; turn += 1) {
    await world.runFor(1000);
    release();
  }
  await world.runFor(1000);
  assert.deepEqual(row, ['a taken', 'again taken', 'b taken', 'c taken']);
});

test('holding: the limit counts from the arrival, and news of the setup reaches what is held', async () => {
  const world = new World(5);
  const desk = deskOf(world, 0, { c: oneClass });
  await world.runFor(5_000_000);
  const ends: string[] = [];
  const note = (name: string, order: Partial<TakeOrder>): void =>
    void desk.take(takeOrder(world, 't', order)).then((taken) => ends.push(`${name} ${taken.kind}`));
  note('late', { arrivedMicroseconds: world.nowMicroseconds - 900_000, turnKept: true });
  note('moved', { stillStands: () => ({ kind: 'moved' }) });
  const refusal = Refusals.make(401, 'notRun', 'keyRemoved', 'gone');
  note('removed', { stillStands: () => ({ kind: 'refuse', refusal }) });
  await world.runFor(50_000);
  assert.deepEqual(ends, []);
  desk.recheck();
  await world.runFor(1000);
  assert.deepEqual(ends, ['moved moved', 'removed refuse']);
  await world.runFor(60_000);
  assert.equal(ends[2], 'late refuse');
});

test('holding: what would foreseeably outlast its limit is refused on arrival, with a time that fits', async () => {
  const world = new World(6);
  const classes = { c: { ...oneClass, holdingMost: 100 } };
  const desk = deskOf(world, 1, classes);
  const refused: number[] = [];
  // One order in 100 ms: of the many that come at once, some ten can be served within a second.
  for (let turn = 0; turn < 6; turn += 1) {
    const taken = await desk.take(takeOrder(world, 't'));
    await world.runFor(100_000);
    if (taken.kind === 'taken') taken.release();
  }
  for (let number = 0; number < 30; number += 1)
    void desk.take(takeOrder(world, 't')).then((taken) => {
      if (taken.kind === 'refuse' && taken.refusal.code === 'holdingFull')
        refused.push(taken.refusal.retryAfterSeconds ?? 0);
      if (taken.kind === 'taken') world.plan(100_000, taken.release);
    });
  await world.runFor(1000);
  assert.ok(refused.length >= 15 && refused.length <= 22, `${refused.length} refused at once`);
  assert.ok(refused.every((retryAfter) => retryAfter >= 1 && retryAfter <= 2));
});

test('holding: where more is wanted than there is, proxies keep to their parts and do not rush for one place', () => {
  const world = new World(7);
  const others = [{ classes: { 's/c': 6 }, waiting: { 's/c': 24 } }];
  const desk = deskOf(world, 8, { c: { ...oneClass, holdingMost: 100 } }, { otherLoads: () => others, free: () => 2 });
  for (let number = 0; number < 10; number += 1) void desk.take(takeOrder(world, 't'));
  // Ten of forty orders are here, so two of eight places are.
  assert.equal(desk.runningCount(), 2);
  assert.equal(desk.heldCount(), 8);
});

test('retry budget: nine proxies together stay at a fifth and the allowance in every window of time', async () => {
  const step = fc.tuple(fc.nat(8), fc.constantFrom('first', 'again', 'restart', 'lonely', 'pause'));
  await fc.assert(
    fc.asyncProperty(fc.array(step, { maxLength: 600 }), async (steps) => {
      const world = new World(3);
      const seen = Array.from({ length: 9 }, () => 9);
      const budgetSettings = { perMille: 200, fleetAllowance: 18, allowanceMicroseconds: 10_000_000, leastDaemons: 9 };
      const make = (proxy: number): RetryBudget => new RetryBudget(world.clock, () => seen[proxy] ?? 1, budgetSettings);
      const budgets = seen.map((_, proxy) => make(proxy));
      let heaviest = 0;
      let sum = 0;
      for (const [proxy, act] of steps) {
        if (act === 'restart') budgets[proxy] = make(proxy);
        // Why: cut off, it sees nobody else; that must not give it more.
        else if (act === 'lonely') seen[proxy] = 1;
        else if (act === 'pause') {
          await world.runFor(400_000);
          sum = Math.max(0, sum - 18 * 0.04);
        } else if (act === 'first') {
          budgets[proxy]?.first();
          sum = Math.max(0, sum - 0.2);
        } else if (budgets[proxy]?.spend() === true) sum += 1;
        heaviest = Math.max(heaviest, sum);
      }
      assert.ok(heaviest <= 18 + 1e-6, `${heaviest} above a fifth in some window`);
    }),
    settings,
  );
});

test('retry budget: who waits for one hopes only for what the traffic will earn', async () => {
  const world = new World(4);
  const budget = new RetryBudget(world.clock, () => 9, {
    perMille: 200,
    fleetAllowance: 18,
    allowanceMicroseconds: 10_000_000,
    leastDaemons: 9,
  });
  assert.equal(budget.mayHope(1_000_000), false);
  for (let number = 0; number < 20; number += 1) {
    await world.runFor(100_000);
    budget.first();
  }
  while (budget.spend());
  // Ten first sends a second earn two, and the allowance a fifth of one: two may wait for a second, not three.
  const over = new Promise<void>(() => undefined);
  void budget.waitingFor(over);
  assert.equal(budget.mayHope(1_000_000), true);
  void budget.waitingFor(over);
  assert.equal(budget.mayHope(1_000_000), false);
});

test('sends: an unframed answer is whole only with its final event; nothing follows the end', () => {
  const head = SendStates.step(SendStates.start, { kind: 'head', status: 200, framed: false });
  const part = SendStates.step(head, { kind: 'part', hasFinal: false });
  assert.deepEqual(SendStates.step(part, { kind: 'end' }), { kind: 'over', how: 'cut' });
  const final = SendStates.step(part, { kind: 'part', hasFinal: true });
  const over = SendStates.step(final, { kind: 'end' });
  assert.deepEqual(over, { kind: 'over', how: 'whole' });
  assert.equal(SendStates.step(over, { kind: 'failed' }), over);
});

test('the final event is found however the bytes are cut, and not when more follows', () => {
  fc.assert(
    fc.property(fc.array(fc.nat(40), { maxLength: 5 }), fc.boolean(), (cuts, more) => {
      const text = `data: {"a":1}\n\ndata: [DONE]\n\n${more ? 'data: {"late":1}\n\n' : ''}`;
      const places = [...new Set([0, ...cuts.map((cut) => cut % text.length), text.length])].sort(
        (left, right) => left - right,
      );
      const final = new FinalEvent();
      let last = false;
      let seen = false;
      for (let index = 1; index < places.length; index += 1) {
        last = final.see(Buffer.from(text.slice(places[index - 1], places[index])));
        seen ||= last;
      }
      if (!more) assert.ok(seen);
    }),
    settings,
  );
});

test('weights: about half of a pool keeps serving until the first half is done or time is short', () => {
  const engines = ['e1', 'e2', 'e3', 'e4', 'e5'];
  const fact = (engine: string, weights: string): EngineFact => ({
    engine,
    kind: 'engine',
    address: '',
    bootEpoch: 'b',
    weights,
    capacity: 1,
    inFlight: 0,
    accepting: true,
    changing: false,
    reachable: true,
  });
  const pool = (done: readonly string[]): Record<string, EngineFact> =>
    Object.fromEntries(engines.map((engine) => [engine, fact(engine, done.includes(engine) ? 'new' : 'old')]));
  const since = { weights: 'new', previous: 'old', sinceMicroseconds: 0 };
  const first = WeightsPlans.firstRound('s', 'new', engines);
  assert.equal(first.length, 3);
  const kinds = (done: readonly string[], now: number): readonly string[] =>
    engines.filter(
      (engine) =>
        WeightsPlans.step(engine, since, done.includes(engine) ? 'new' : 'old', pool(done), 's', now).kind === 'load',
    );
  assert.deepEqual([...kinds([], 1000)].sort(), [...first].sort());
  assert.deepEqual(
    [...kinds(first, 1000)].sort(),
    engines.filter((engine) => !first.includes(engine)),
  );
  assert.equal(kinds([], WeightsClocks.secondRoundMicroseconds).length, 5);
  const late = WeightsPlans.step('e1', since, 'old', pool([]), 's', WeightsClocks.drainUntilMicroseconds + 1);
  assert.deepEqual(late, { kind: 'load', drainMicroseconds: 0 });
  assert.deepEqual(WeightsPlans.step('e1', { ...since, sinceMicroseconds: null }, 'old', pool([]), 's', 5), {
    kind: 'load',
    drainMicroseconds: 0,
  });
});

const scored = fc.record({
  name: fc.string(),
  address: fc.constant(''),
  bootEpoch: fc.constant(''),
  weights: fc.constant(''),
  capacity: fc.integer({ min: 1, max: 8 }),
  inFlight: fc.nat(8),
  likelyInFlight: fc.nat(16),
  matched: fc.nat(16),
});
test('placement: an engine with room is taken before a full one; a crowd outweighs a prefix in the end', () => {
  fc.assert(
    fc.property(fc.array(scored, { minLength: 1, maxLength: 8 }), fc.nat(16), (candidates, blocks) => {
      for (const placement of [Placements.byLoad, Placements.byPrefix]) {
        const chosen = placement.choose(candidates, blocks, seededRandom(1));
        assert.ok(chosen !== undefined);
        if (chosen !== undefined && candidates.some(({ inFlight, capacity }) => inFlight < capacity))
          assert.ok(chosen.inFlight < chosen.capacity);
      }
    }),
    settings,
  );
  const engine = (name: string, matched: number, inFlight: number): ScoredCandidate => ({
    name,
    address: '',
    bootEpoch: '',
    weights: '',
    capacity: 8,
    inFlight,
    likelyInFlight: inFlight,
    matched,
  });
  assert.equal(
    Placements.byPrefix.choose([engine('hot', 16, 1), engine('cold', 0, 0)], 16, seededRandom(1))?.name,
    'hot',
  );
  assert.equal(
    Placements.byPrefix.choose([engine('hot', 8, 7), engine('cold', 0, 0)], 16, seededRandom(1))?.name,
    'cold',
  );
});

test('links: one slow import makes a pair dear at once, and it fades back', () => {
  const speeds = new LinkSpeeds(1500, 10);
  speeds.measured('a', 'b', 1000);
  speeds.measured('a', 'b', 100_000);
  assert.ok(speeds.blockMicroseconds('a', 'b') > 50_000);
  assert.equal(speeds.blockMicroseconds('b', 'a'), 1500);
  for (let turn = 0; turn < 400; turn += 1) speeds.fade();
  assert.equal(speeds.blockMicroseconds('a', 'b'), 1500);
});

test('rendezvous: one daemon more moves only what becomes its own', () => {
  fc.assert(
    fc.property(
      fc.uniqueArray(fc.string({ minLength: 1 }), { minLength: 2, maxLength: 10 }),
      fc.array(fc.string(), { maxLength: 20 }),
      (names, subjects) => {
        const [added, ...before] = names;
        for (const subject of subjects) {
          const [old, now] = [Rendezvous.order(subject, before)[0], Rendezvous.order(subject, names)[0]];
          assert.ok(now === old || now === added);
        }
      },
    ),
    settings,
  );
});

test('facts: two books that exchange what is newer end equal, whatever was put where', () => {
  const fact = fc.record({ key: fc.constantFrom('a', 'b', 'c', 'd'), version: fc.tuple(fc.nat(3), fc.nat(3)) });
  fc.assert(
    fc.property(fc.array(fact), fc.array(fact), (left, right) => {
      const [one, two] = [new FactBook(), new FactBook()];
      for (const item of left) one.put({ ...item, value: `${item.key}${item.version.join()}` });
      for (const item of right) two.put({ ...item, value: `${item.key}${item.version.join()}` });
      for (const item of one.newerThan(two.digest())) two.put(item);
      for (const item of two.newerThan(one.digest())) one.put(item);
      assert.equal(one.sum(), two.sum());
      assert.deepEqual(one.digest(), two.digest());
    }),
    settings,
  );
});

const text = JSON.stringify(SimBlueprints.first());
const statement = (revision: number, ageMicroseconds: number): Statement => ({
  key: 'blueprint',
  revision,
  digest: Digests.of(`${text}${' '.repeat(revision)}`),
  ageMicroseconds,
  weights: {},
});

test('freshness: a daemon never goes back, and its age only falls by a later look at the same or a newer revision', () => {
  fc.assert(
    fc.property(
      fc.array(
        fc.record({
          revision: fc.integer({ min: 1, max: 4 }),
          age: fc.nat(3_000_000),
          wait: fc.nat(500_000),
          body: fc.boolean(),
        }),
        { maxLength: 40 },
      ),
      (steps) => {
        let now = 10_000_000;
        const freshness = new Freshness({
          nowMicroseconds: () => now,
          steadyMicroseconds: () => now,
          after: () => () => undefined,
        });
        let applied = 0;
        let newestLook = -Infinity;
        for (const { revision, age, wait, body } of steps) {
          now += wait;
          freshness.hear(statement(revision, age), now);
          if (body)
            freshness.give({
              key: 'blueprint',
              revision,
              digest: Digests.of(`${text}${' '.repeat(revision)}`),
              text: `${text}${' '.repeat(revision)}`,
            });
          const present = freshness.revision('blueprint');
          assert.ok(present >= applied);
          if (present > applied) newestLook = -Infinity;
          applied = present;
          if (present === revision) newestLook = Math.max(newestLook, now - age);
          if (present > 0 && newestLook > -Infinity)
            assert.ok(freshness.statements().find(({ key }) => key === 'blueprint')?.ageMicroseconds !== undefined);
        }
      },
    ),
    settings,
  );
});

const answer = (
  keeper: string,
  incarnation: number,
  known: Record<string, number>,
  epoch: number,
  revision: number,
  decided = 0,
): StatementsAnswer => ({
  kind: 'words',
  stamp: { fleet: 'f', keeper, incarnation, known },
  membersRevision: 1,
  view: { revision: 1, sets: [['a', 'b', 'c']], members: {} },
  words: [
    {
      key: 'blueprint',
      epoch: { number: epoch, keeper: 'a' },
      revision,
      digest: `d${revision}`,
      decidedRevision: decided,
      decidedDigest: `d${decided}`,
      owner: 'a',
    },
  ],
});

test('a majority read names a revision only when it is known to stand', () => {
  const judge = (
    answers: readonly StatementsAnswer[],
    applied?: { revision: number; digest: string },
  ): readonly number[] =>
    MajorityReads.evaluate(answers, 'f', () => applied).statements.map(({ revision }) => revision);
  assert.deepEqual(judge([answer('a', 0, {}, 1, 2)]), [], 'one keeper is no majority');
  assert.deepEqual(judge([answer('a', 0, {}, 1, 2), answer('b', 0, {}, 1, 2)]), [2]);
  assert.deepEqual(judge([answer('a', 0, {}, 1, 3), answer('b', 0, {}, 1, 2)]), [], 'the higher one may vanish');
  assert.deepEqual(judge([answer('a', 0, {}, 1, 3, 3), answer('b', 0, {}, 1, 2)]), [3], 'the owner said it stands');
  assert.deepEqual(
    judge([answer('a', 0, {}, 2, 2), answer('b', 0, {}, 1, 2)], { revision: 2, digest: 'd2' }),
    [2],
    'already applied',
  );
  assert.deepEqual(judge([answer('a', 0, {}, 1, 2), answer('b', 0, { a: 1 }, 1, 2)]), [], 'a has lost its disk since');
  assert.deepEqual(
    MajorityReads.evaluate(
      [
        answer('a', 0, {}, 1, 2),
        { ...answer('b', 0, {}, 1, 2), stamp: { fleet: 'other', keeper: 'b', incarnation: 0, known: {} } },
      ],
      'f',
      () => undefined,
    ).statements,
    [],
    'a stranger does not count',
  );
});

test('duties: one holder while a lease runs, rising terms, and none from a keeper that has just come back', async () => {
  const world = new World(9);
  const process = new SimProcess(world, 'k', '10.0.0.1');
  const ledger = new WriteAheadLog(new SimDisk(world).of(process), world.clock, () => undefined, 1_000_000);
  const settle = async <Result>(work: Promise<Result>): Promise<Result> => {
    const box: Result[] = [];
    void work.then((result) => box.push(result));
    await world.runFor(5000);
    assert.equal(box.length, 1);
    return box[0] as Result;
  };
  await settle(ledger.open());
  await settle(ledger.write([{ kind: 'forming', fleet: 'f', members: {} }, { kind: 'formed' }]));
  const voter = new LeaseVoter(new ReplicaCore('k', ledger, world.clock), world.clock);
  const ask = async (candidate: string, term: number): Promise<boolean> =>
    (await settle(voter.vote([{ duty: 'd', candidate, term, leaseMicroseconds: 1_000_000 }], 0)))[0]?.granted ?? false;
  assert.equal(await ask('x', 1), true);
  assert.equal(await ask('y', 2), false);
  assert.equal(await ask('x', 1), true);
  voter.withdraw([{ duty: 'd', candidate: 'x', term: 1 }]);
  assert.equal(await ask('y', 1), false, 'a term is given once');
  assert.equal(await ask('y', 2), true);
  await world.runFor(1_100_000);
  assert.equal(await ask('x', 2), false);
  assert.equal(await ask('x', 3), true);
  const again = new LeaseVoter(new ReplicaCore('k', ledger, world.clock), world.clock);
  again.delayGrants(1_000_000);
  const early = (
    await settle(again.vote([{ duty: 'd', candidate: 'z', term: 4, leaseMicroseconds: 1_000_000 }], 0))
  )[0];
  assert.equal(early?.granted, false);
  await world.runFor(1_100_000);
  assert.equal(
    (await settle(again.vote([{ duty: 'd', candidate: 'z', term: 4, leaseMicroseconds: 1_000_000 }], 0)))[0]?.granted,
    true,
  );
});

test('rendezvous: first and rank say the same as the whole order, also for names that are not there', () => {
  fc.assert(
    fc.property(fc.string(), fc.uniqueArray(fc.string(), { maxLength: 12 }), fc.string(), (subject, names, other) => {
      const order = Rendezvous.order(subject, names);
      assert.equal(Rendezvous.first(subject, names), order[0]);
      for (const name of [...names, other]) assert.equal(Rendezvous.rank(subject, name, names), order.indexOf(name));
    }),
    settings,
  );
});

test('rendezvous: a hundred names share a thousand subjects about evenly', () => {
  const names = Array.from({ length: 100 }, (_, index) => `edge-hall-${index}`);
  const counts = new Map<string, number>();
  for (let number = 0; number < 10_000; number += 1) {
    const first = Rendezvous.first(`steward/i-${number.toString(16)}`, names) ?? '';
    counts.set(first, (counts.get(first) ?? 0) + 1);
  }
  // Why so wide: a hundred each is the mean, and its chance deviation is ten.
  for (const name of names) assert.ok((counts.get(name) ?? 0) > 55 && (counts.get(name) ?? 0) < 150, name);
});

test('members: whom a daemon knows and watches follows each piece of news about a member, and nothing else', () => {
  const book = new FactBook();
  const own = { name: 'a', zone: 'z1', address: 'a:1', proxyAddress: '', pagesAddress: '', boot: 'b' };
  const clock = { nowMicroseconds: () => 0, steadyMicroseconds: () => 0, after: () => () => undefined };
  const bounds = { colleagues: 2, watchers: 2, goneMicroseconds: 1, forgetMicroseconds: 1 };
  const members = new Membership(own, book, clock, bounds, () => undefined);
  const say = (name: string, state: 'alive' | 'gone', minor: number): boolean =>
    book.put({ key: `member/${name}`, version: [1, minor], value: { ...own, name, address: `${name}:1`, state } });
  assert.deepEqual(members.probeTargets(), []);
  say('b', 'alive', 0);
  say('c', 'alive', 0);
  assert.deepEqual(
    members.probeTargets().map(({ name }) => name),
    ['b', 'c'],
  );
  const before = members.present();
  book.put({ key: 'load/b', version: [1, 1], value: {} });
  assert.equal(members.present(), before, 'a load says nothing of members');
  say('c', 'gone', 2);
  assert.deepEqual(
    members.probeTargets().map(({ name }) => name),
    ['b'],
  );
  assert.deepEqual(
    members.gossipPeers().map(({ name }) => name),
    ['b'],
  );
  book.forget('member/b');
  assert.deepEqual(members.probeTargets(), []);
});
