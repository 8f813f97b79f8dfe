import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { WeightsPlans } from '../source/edge-agent/engine-control/weightsPlan';
import { Membership } from '../source/edge-agent/membership/membership';
import { MajorityReads, type StatementsAnswer } from '../source/shared/register/majorityRead';
import { LeaseVoter } from '../source/core-keeper/leases/leaseVoter';
import { ReplicaCore } from '../source/core-keeper/register/replicaCore';
import { WriteAheadLog } from '../source/core-keeper/write-ahead-log/writeAheadLog';
import { ClassShares, type ClassLoad } from '../source/edge-proxy/admission/classShares';
import {
  AdmissionQueue,
  type CapacityView,
  type AdmissionRequest,
} from '../source/edge-proxy/admission/admissionQueue';
import { Placements, type ScoredCandidate } from '../source/edge-proxy/placement/placements';
import { RetryBudget, type RetryBudgetSettings } from '../source/edge-proxy/attempts/retryBudget';
import { FinalEventDetector, AttemptStates } from '../source/edge-proxy/attempts/attemptState';
import { LinkSpeeds } from '../source/edge-proxy/cache-imports/linkSpeeds';
import { SimDisk } from '../source/fleet-simulator/world/simDisk';
import { SimProcess } from '../source/fleet-simulator/world/simProcess';
import { World } from '../source/fleet-simulator/world/world';
import { seededRandom } from '../source/shared/effects/random/random';
import { Freshness, type Statement } from '../source/shared/freshness/freshness';
import { Refusals } from '../source/shared/verdict/verdict';
import { Metrics } from '../source/shared/metrics/metrics';
import { GossipStore } from '../source/shared/gossip/gossipStore';
import type { EngineEntry } from '../source/shared/gossip/entryTypes';
import { Rendezvous } from '../source/shared/rendezvous/rendezvous';
import { WeightsDeadlines } from '../source/shared/weights/weightsDeadlines';
import { Digests } from '../source/core-keeper/register/changes';
import { SimBlueprints } from '../source/fleet-simulator/machines/simFleet';
import type { ServiceClass } from '../source/shared/configuration/types';

const settings = { numRuns: Number(process.env['POSTDRUM_TEST_RUNS'] ?? 100), seed: 4711 };

const load: fc.Arbitrary<ClassLoad> = fc.record({
  name: fc.constantFrom('a', 'b', 'c'),
  rank: fc.nat(3),
  entitled: fc.nat(10),
  lends: fc.boolean(),
  running: fc.nat(10),
  queued: fc.nat(3),
});
const loads = fc.uniqueArray(load, { selector: ({ name }) => name, minLength: 1, maxLength: 3 });

test('class shares: capacity is never exceeded, a class below its share is never blocked while a place is free, best rank first', () => {
  fc.assert(
    fc.property(fc.nat(24), loads, (capacity, classes) => {
      const eligible = ClassShares.eligibleClasses(capacity, classes);
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

test('class shares: idle capacity is lent unless its class does not lend or has requests waiting itself', () => {
  const classes = (lends: boolean, queued: number): readonly ClassLoad[] => [
    { name: 'busy', rank: 0, entitled: 5, lends: true, running: 5, queued: 3 },
    { name: 'idle', rank: 1, entitled: 5, lends, running: 0, queued },
  ];
  assert.deepEqual(ClassShares.eligibleClasses(10, classes(true, 0)), ['busy', 'idle']);
  assert.deepEqual(ClassShares.eligibleClasses(10, classes(false, 0)), ['idle']);
  assert.deepEqual(ClassShares.eligibleClasses(10, classes(true, 1)), ['idle']);
});

const queueOf = (
  world: World,
  capacity: number,
  classes: Readonly<Record<string, ServiceClass>>,
  room: Partial<CapacityView> = {},
): AdmissionQueue =>
  new AdmissionQueue(
    world.clock,
    { capacity: () => capacity, free: () => capacity, otherLoads: () => [], proxies: () => 1, ...room },
    () => classes,
    (service, name) => `${service}/${name}`,
    new Metrics(),
  );
const admissionRequest = (world: World, tenant: string, more: Partial<AdmissionRequest> = {}): AdmissionRequest => ({
  service: 's',
  className: 'c',
  tenant,
  arrivedMicroseconds: world.nowMicroseconds,
  keepsQueuePosition: false,
  onClientGone: () => undefined,
  revalidate: () => ({ kind: 'stands' }),
  tryStart: () => true,
  refusalIfTooLate: () => undefined,
  ...more,
});
const oneClass: ServiceClass = {
  rank: 0,
  sharePerMille: 1000,
  lends: true,
  holdingMost: 6,
  holdingLimitMicroseconds: 1_000_000,
};

test('admission: tenants are served round-robin, however many requests one of them has', async () => {
  const world = new World(1);
  const queue = queueOf(world, 1, { c: oneClass });
  const admitted: string[] = [];
  const releases: (() => void)[] = [];
  for (const tenant of ['big', 'big', 'big', 'big', 'small']) {
    void queue.admit(admissionRequest(world, tenant)).then((taken) => {
      if (taken.kind !== 'taken') return;
      admitted.push(tenant);
      releases.push(taken.release);
    });
  }
  for (let turn = 0; turn < 5; turn += 1) {
    await world.runFor(1000);
    releases.shift()?.();
  }
  await world.runFor(1000);
  assert.deepEqual(admitted, ['big', 'big', 'small', 'big', 'big']);
});

test('admission: a full queue refuses at once, waiting ends at its time limit, and a disconnected client leaves the queue', async () => {
  const world = new World(2);
  const queue = queueOf(world, 0, { c: oneClass });
  const codes: string[] = [];
  let disconnect: () => void = () => undefined;
  for (let number = 0; number < 7; number += 1) {
    void queue
      .admit(
        admissionRequest(world, 't', {
          onClientGone: (act) => {
            if (number === 0) disconnect = act;
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
  disconnect();
  await world.runFor(1000);
  assert.equal(codes[1], 'userAgentGone notRun 0');
  await world.runFor(1_100_000);
  assert.equal(codes.length, 7);
  assert.ok(codes.slice(2).every((code) => code.startsWith('holdingLimit notRun')));
  assert.equal(queue.queuedCount(), 0);
});

test('admission: a request that returns from a busy engine is served first', async () => {
  const world = new World(4);
  const queue = queueOf(world, 1, { c: oneClass });
  const admitted: string[] = [];
  let release: () => void = () => undefined;
  const take = (name: string, tenant: string, turnKept: boolean): void =>
    void queue.admit(admissionRequest(world, tenant, { keepsQueuePosition: turnKept })).then((taken) => {
      admitted.push(`${name} ${taken.kind}`);
      if (taken.kind === 'taken') release = taken.release;
    });
  for (const name of ['a', 'b', 'c']) take(name, `tenant-${name}`, false);
  take('again', 'tenant-c', true);
  for (let turn = 0; turn < 4; turn += 1) {
    await world.runFor(1000);
    release();
  }
  await world.runFor(1000);
  assert.deepEqual(admitted, ['a taken', 'again taken', 'b taken', 'c taken']);
});

test('admission: the time limit counts from arrival, and queued requests follow changes of the configuration', async () => {
  const world = new World(5);
  const queue = queueOf(world, 0, { c: oneClass });
  await world.runFor(5_000_000);
  const ends: string[] = [];
  const admit = (name: string, order: Partial<AdmissionRequest>): void =>
    void queue.admit(admissionRequest(world, 't', order)).then((taken) => ends.push(`${name} ${taken.kind}`));
  admit('late', { arrivedMicroseconds: world.nowMicroseconds - 900_000, keepsQueuePosition: true });
  admit('moved', { revalidate: () => ({ kind: 'moved' }) });
  const refusal = Refusals.make(401, 'notRun', 'keyRemoved', 'gone');
  admit('removed', { revalidate: () => ({ kind: 'refuse', refusal }) });
  await world.runFor(50_000);
  assert.deepEqual(ends, []);
  queue.revalidateQueued();
  await world.runFor(1000);
  assert.deepEqual(ends, ['moved moved', 'removed refuse']);
  await world.runFor(60_000);
  assert.equal(ends[2], 'late refuse');
});

test('admission: a request that would outlast its time limit is refused on arrival with a fitting retry-after', async () => {
  const world = new World(6);
  const classes = { c: { ...oneClass, holdingMost: 100 } };
  const queue = queueOf(world, 1, classes);
  const refused: number[] = [];
  // At one request per 100 ms, about ten of those that arrive at once can be served within a second.
  for (let turn = 0; turn < 6; turn += 1) {
    const taken = await queue.admit(admissionRequest(world, 't'));
    await world.runFor(100_000);
    if (taken.kind === 'taken') taken.release();
  }
  for (let number = 0; number < 30; number += 1)
    void queue.admit(admissionRequest(world, 't')).then((taken) => {
      if (taken.kind === 'refuse' && taken.refusal.code === 'holdingFull')
        refused.push(taken.refusal.retryAfterSeconds ?? 0);
      if (taken.kind === 'taken') world.schedule(100_000, taken.release);
    });
  await world.runFor(1000);
  assert.ok(refused.length >= 15 && refused.length <= 22, `${refused.length} refused at once`);
  assert.ok(refused.every((retryAfter) => retryAfter >= 1 && retryAfter <= 2));
});

test('admission: when demand exceeds capacity, a proxy keeps to its own part and does not compete for one place', () => {
  const world = new World(7);
  const others = [{ classes: { 's/c': 6 }, waiting: { 's/c': 24 } }];
  const queue = queueOf(
    world,
    8,
    { c: { ...oneClass, holdingMost: 100 } },
    { otherLoads: () => others, free: () => 2 },
  );
  for (let number = 0; number < 10; number += 1) void queue.admit(admissionRequest(world, 't'));
  // This proxy has ten of forty requests, so it gets two of eight places.
  assert.equal(queue.runningCount(), 2);
  assert.equal(queue.queuedCount(), 8);
});

test('retry budget: in every window of time nine proxies together stay within a fifth of first attempts plus the allowance', async () => {
  const step = fc.tuple(fc.nat(8), fc.constantFrom('first', 'again', 'restart', 'lonely', 'pause'));
  await fc.assert(
    fc.asyncProperty(fc.array(step, { maxLength: 600 }), async (steps) => {
      const world = new World(3);
      const seen = Array.from({ length: 9 }, () => 9);
      const budgetSettings: RetryBudgetSettings = {
        perMille: 200,
        fleetAllowance: 18,
        allowanceIntervalMicroseconds: 10_000_000,
        minProxies: 9,
      };
      const make = (proxy: number): RetryBudget => new RetryBudget(world.clock, () => seen[proxy] ?? 1, budgetSettings);
      const budgets = seen.map((_, proxy) => make(proxy));
      let maxSum = 0;
      let sum = 0;
      for (const [proxy, act] of steps) {
        if (act === 'restart') budgets[proxy] = make(proxy);
        // A partitioned proxy sees no other proxy, which must not increase its budget.
        else if (act === 'lonely') seen[proxy] = 1;
        else if (act === 'pause') {
          await world.runFor(400_000);
          sum = Math.max(0, sum - 18 * 0.04);
        } else if (act === 'first') {
          budgets[proxy]?.recordFirstAttempt();
          sum = Math.max(0, sum - 0.2);
        } else if (budgets[proxy]?.trySpend() === true) sum += 1;
        maxSum = Math.max(maxSum, sum);
      }
      assert.ok(maxSum <= 18 + 1e-6, `${maxSum} above a fifth in some window`);
    }),
    settings,
  );
});

test('retry budget: a waiting request expects only as many retries as the traffic will earn', async () => {
  const world = new World(4);
  const budget = new RetryBudget(world.clock, () => 9, {
    perMille: 200,
    fleetAllowance: 18,
    allowanceIntervalMicroseconds: 10_000_000,
    minProxies: 9,
  });
  assert.equal(budget.canExpectAnotherRetry(1_000_000), false);
  for (let number = 0; number < 20; number += 1) {
    await world.runFor(100_000);
    budget.recordFirstAttempt();
  }
  while (budget.trySpend());
  // Ten first attempts per second earn two retries, and the allowance a fifth of one: in one second two requests may
  // expect a retry, but not three.
  const over = new Promise<void>(() => undefined);
  void budget.countWaiting(over);
  assert.equal(budget.canExpectAnotherRetry(1_000_000), true);
  void budget.countWaiting(over);
  assert.equal(budget.canExpectAnotherRetry(1_000_000), false);
});

test('attempts: an unframed response is complete only with its final event, and no event changes an ended attempt', () => {
  const head = AttemptStates.next(AttemptStates.initial, { kind: 'head', status: 200, framed: false });
  const part = AttemptStates.next(head, { kind: 'part', hasFinal: false });
  assert.deepEqual(AttemptStates.next(part, { kind: 'end' }), { kind: 'over', how: 'cut' });
  const final = AttemptStates.next(part, { kind: 'part', hasFinal: true });
  const over = AttemptStates.next(final, { kind: 'end' });
  assert.deepEqual(over, { kind: 'over', how: 'whole' });
  assert.equal(AttemptStates.next(over, { kind: 'failed' }), over);
});

test('final event: it is found however the bytes are split, but not when more follows', () => {
  fc.assert(
    fc.property(fc.array(fc.nat(40), { maxLength: 5 }), fc.boolean(), (cuts, more) => {
      const text = `data: {"a":1}\n\ndata: [DONE]\n\n${more ? 'data: {"late":1}\n\n' : ''}`;
      const places = [...new Set([0, ...cuts.map((cut) => cut % text.length), text.length])].sort(
        (left, right) => left - right,
      );
      const final = new FinalEventDetector();
      let last = false;
      let seen = false;
      for (let index = 1; index < places.length; index += 1) {
        last = final.endsWithFinalEvent(Buffer.from(text.slice(places[index - 1], places[index])));
        seen ||= last;
      }
      if (!more) assert.ok(seen);
    }),
    settings,
  );
});

test('weights: about half of a pool keeps serving until the other half has loaded or time is short', () => {
  const engines = ['e1', 'e2', 'e3', 'e4', 'e5'];
  const fact = (engine: string, weights: string): EngineEntry => ({
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
  const pool = (done: readonly string[]): Record<string, EngineEntry> =>
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
  assert.equal(kinds([], WeightsDeadlines.secondRoundMicroseconds).length, 5);
  const late = WeightsPlans.step('e1', since, 'old', pool([]), 's', WeightsDeadlines.drainUntilMicroseconds + 1);
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
test('placement: an engine with free capacity is preferred to a full one, and high load outweighs a cached prefix', () => {
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

test('link speeds: one slow import raises the cost of a pair at once, and the cost decays to the default', () => {
  const speeds = new LinkSpeeds(1500, 10);
  speeds.addMeasurement('a', 'b', 1000);
  speeds.addMeasurement('a', 'b', 100_000);
  assert.ok(speeds.blockMicroseconds('a', 'b') > 50_000);
  assert.equal(speeds.blockMicroseconds('b', 'a'), 1500);
  for (let turn = 0; turn < 400; turn += 1) speeds.decay();
  assert.equal(speeds.blockMicroseconds('a', 'b'), 1500);
});

test('rendezvous: an added node takes over subjects but moves none between the others', () => {
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

test('facts: two stores that exchange newer entries end equal, whatever each held before', () => {
  const fact = fc.record({ key: fc.constantFrom('a', 'b', 'c', 'd'), version: fc.tuple(fc.nat(3), fc.nat(3)) });
  fc.assert(
    fc.property(fc.array(fact), fc.array(fact), (left, right) => {
      const [one, two] = [new GossipStore(), new GossipStore()];
      for (const item of left) one.put({ ...item, value: `${item.key}${item.version.join()}` });
      for (const item of right) two.put({ ...item, value: `${item.key}${item.version.join()}` });
      for (const item of one.entriesNewerThan(two.digest())) two.put(item);
      for (const item of two.entriesNewerThan(one.digest())) one.put(item);
      assert.equal(one.sum(), two.sum());
      assert.deepEqual(one.digest(), two.digest());
    }),
    settings,
  );
});

const text = JSON.stringify(SimBlueprints.initial());
const statement = (revision: number, ageMicroseconds: number): Statement => ({
  key: 'blueprint',
  revision,
  digest: Digests.of(`${text}${' '.repeat(revision)}`),
  ageMicroseconds,
  weights: {},
});

test('freshness: the revision never decreases, and the age falls only by a later confirmation of the same or a newer revision', () => {
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
          freshness.applyStatement(statement(revision, age), now);
          if (body)
            freshness.applyBody({
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

test('leases: one holder while a lease runs, increasing terms, and no grant from a control node that has just restarted', async () => {
  const world = new World(9);
  const process = new SimProcess(world, 'k', '10.0.0.1');
  const ledger = new WriteAheadLog(new SimDisk(world).diskFor(process), world.clock, () => undefined, 1_000_000);
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
  assert.equal(await ask('y', 1), false, 'a term is granted once');
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

test('rendezvous: first and rank agree with the full order, also for unknown names', () => {
  fc.assert(
    fc.property(fc.string(), fc.uniqueArray(fc.string(), { maxLength: 12 }), fc.string(), (subject, names, other) => {
      const order = Rendezvous.order(subject, names);
      assert.equal(Rendezvous.first(subject, names), order[0]);
      for (const name of [...names, other]) assert.equal(Rendezvous.rank(subject, name, names), order.indexOf(name));
    }),
    settings,
  );
});

test('rendezvous: a hundred names share ten thousand subjects about evenly', () => {
  const names = Array.from({ length: 100 }, (_, index) => `edge-hall-${index}`);
  const counts = new Map<string, number>();
  for (let number = 0; number < 10_000; number += 1) {
    const first = Rendezvous.first(`steward/i-${number.toString(16)}`, names) ?? '';
    counts.set(first, (counts.get(first) ?? 0) + 1);
  }
  // The mean is a hundred per name with a standard deviation of ten, so the bounds are wide.
  for (const name of names) assert.ok((counts.get(name) ?? 0) > 55 && (counts.get(name) ?? 0) < 150, name);
});

test('members: the known and probed members follow each update about a member and no other facts', () => {
  const book = new GossipStore();
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
  assert.equal(members.present(), before, 'a load fact does not change the members');
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
