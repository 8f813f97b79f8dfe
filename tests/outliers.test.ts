import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import fc from 'fast-check';
import { AnswerCounts } from '../source/edge-proxy/outliers/answerCounts';
import { EjectionLimit, type PoolMember } from '../source/edge-proxy/outliers/ejectionLimit';
import { OutlierDetector } from '../source/edge-proxy/outliers/outlierDetector';
import { OutlierSettings } from '../source/edge-proxy/outliers/outlierSettings';
import { OutlierStates, type OutlierEvent, type OutlierState } from '../source/edge-proxy/outliers/outlierStates';
import { OutlierVerdicts, type Evidence } from '../source/edge-proxy/outliers/outlierVerdicts';
import { Probes } from '../source/edge-proxy/outliers/probes';
import type { LoadEntry } from '../source/shared/gossip/entryTypes';
import { ManualClock } from './support/rawEngine';

const settings = OutlierSettings.usual;

const someEvent: fc.Arbitrary<(atMicroseconds: number) => OutlierEvent> = fc.oneof(
  fc.constantFrom('sound', 'doubtful', 'outlier').map((verdict) => (atMicroseconds: number): OutlierEvent => ({
    kind: 'judged',
    atMicroseconds,
    verdict: verdict as 'sound' | 'doubtful' | 'outlier',
  })),
  fc
    .boolean()
    .map((isGood) => (atMicroseconds: number): OutlierEvent => ({ kind: 'answered', atMicroseconds, isGood })),
  fc.tuple(fc.boolean(), fc.boolean()).map(([isProber, othersFail]) => (atMicroseconds: number): OutlierEvent => ({
    kind: 'passed',
    atMicroseconds,
    isProber,
    othersFail,
  })),
);
const someHistory = fc.array(fc.tuple(fc.integer({ min: 0, max: 20_000_000 }), someEvent), { maxLength: 60 });

/** Each state with the event that led to it. */
const transitions = (
  history: readonly (readonly [number, (at: number) => OutlierEvent])[],
): readonly Readonly<{ before: OutlierState; event: OutlierEvent; after: OutlierState }>[] => {
  let state = OutlierStates.initial;
  let at = 0;
  return history.map(([pause, make]) => {
    at += pause;
    const before = state;
    const event = make(at);
    state = OutlierStates.next(before, event, settings);
    return { before, event, after: state };
  });
};

describe('state machine of an engine', () => {
  test('each ejection in a row is twice as long as the one before, up to the maximum', () => {
    let state = OutlierStates.initial;
    let at = 0;
    const lengths: number[] = [];
    for (let round = 0; round < 8; round += 1) {
      state = OutlierStates.next(state, { kind: 'judged', verdict: 'outlier', atMicroseconds: at }, settings);
      assert.equal(state.kind, 'ejected');
      if (state.kind !== 'ejected') return;
      lengths.push(state.untilMicroseconds - at);
      at = state.untilMicroseconds;
      const passed = { kind: 'passed', isProber: true, othersFail: false, atMicroseconds: at } as const;
      state = OutlierStates.next(state, passed, settings);
      for (let good = 0; good < settings.probeAnswers; good += 1)
        state = OutlierStates.next(state, { kind: 'answered', isGood: true, atMicroseconds: at }, settings);
      assert.equal(state.kind, 'good');
    }
    assert.deepEqual(
      lengths.map((length) => length / 1_000_000),
      [6, 12, 24, 48, 60, 60, 60, 60],
    );
  });

  test('earlier ejections are reset once an engine has been good for long', () => {
    const state: OutlierState = { kind: 'good', offences: 3, atMicroseconds: 0 };
    const sound = (atMicroseconds: number): OutlierState =>
      OutlierStates.next(state, { kind: 'judged', verdict: 'sound', atMicroseconds }, settings);
    assert.equal(sound(settings.forgetMicroseconds - 1), state);
    assert.equal(sound(settings.forgetMicroseconds).offences, 0);
  });

  test('only the probing proxies end an ejection on time; the others wait, and longer while the engine still fails', () => {
    const state: OutlierState = { kind: 'ejected', offences: 1, atMicroseconds: 0, untilMicroseconds: 10 };
    const passed = (atMicroseconds: number, isProber: boolean, othersFail: boolean): OutlierState =>
      OutlierStates.next(state, { kind: 'passed', atMicroseconds, isProber, othersFail }, settings);
    assert.equal(passed(10, true, true).kind, 'probation');
    assert.equal(passed(10 + settings.laterMicroseconds - 1, false, false), state);
    const later = 10 + settings.laterMicroseconds;
    assert.equal(passed(later, false, false).kind, 'probation');
    assert.deepEqual(passed(later, false, true), { ...state, untilMicroseconds: later + settings.ejectMicroseconds });
  });

  test('any history follows only the allowed transitions, and an event that does not apply changes nothing', () => {
    const allowed: Readonly<Record<OutlierState['kind'], readonly OutlierState['kind'][]>> = {
      good: ['good', 'suspected', 'ejected'],
      suspected: ['good', 'suspected', 'ejected'],
      ejected: ['ejected', 'probation'],
      probation: ['probation', 'ejected', 'good'],
    };
    fc.assert(
      fc.property(someHistory, (history) => {
        for (const { before, event, after } of transitions(history)) {
          assert.ok(allowed[before.kind].includes(after.kind), `${before.kind} to ${after.kind}`);
          // No request is sent to a failing engine before the ejection ends, whatever other proxies report.
          if (before.kind === 'ejected' && after.kind === 'probation')
            assert.ok(event.atMicroseconds >= before.untilMicroseconds);
          if (after.kind === 'ejected' && before.kind !== 'ejected') {
            const length = after.untilMicroseconds - event.atMicroseconds;
            assert.ok(length >= settings.ejectMicroseconds && length <= settings.mostEjectMicroseconds);
            assert.equal(after.offences, before.offences + 1);
          }
          if (before.kind === 'probation' && after.kind === 'good')
            assert.equal(before.good, settings.probeAnswers - 1);
          if (event.kind === 'answered' && before.kind !== 'probation') assert.equal(after, before);
        }
      }),
    );
  });

  test('a flapping engine is probed less and less often', () => {
    let state = OutlierStates.initial;
    let probeCount = 0;
    for (let at = 0; at < 300_000_000; at += 100_000) {
      if (state.kind === 'good')
        state = OutlierStates.next(state, { kind: 'judged', verdict: 'outlier', atMicroseconds: at }, settings);
      const before = state.kind;
      state = OutlierStates.next(
        state,
        { kind: 'passed', isProber: true, othersFail: false, atMicroseconds: at },
        settings,
      );
      if (before === 'ejected' && String(state.kind) === 'probation') probeCount += 1;
      // The engine is good only while it is probed, then fails again.
      state = OutlierStates.next(state, { kind: 'answered', isGood: true, atMicroseconds: at }, settings);
    }
    // With the length of the first ejection alone, 300 s would have 47 probes.
    assert.ok(probeCount <= 9, `${probeCount}`);
  });
});

const someMember: fc.Arbitrary<Omit<PoolMember, 'name'>> = fc.record({
  capacity: fc.integer({ min: 0, max: 24 }),
  inFlight: fc.integer({ min: 0, max: 30 }),
  offences: fc.integer({ min: 0, max: 5 }),
  isOut: fc.boolean(),
});
const named = (members: readonly Omit<PoolMember, 'name'>[]): readonly PoolMember[] =>
  members.map((member, place) => ({ ...member, name: `e${place}` }));

describe('limit on ejections', () => {
  test('never ejects more than its share of a pool, capacity that the others need, or an engine that should stay', () => {
    fc.assert(
      fc.property(
        fc.array(someMember, { maxLength: 12 }),
        fc.integer({ min: 0, max: OutlierSettings.mostEjectPerMille }),
        (members, ejectPerMille) => {
          const pool = named(members);
          const out = EjectionLimit.ejected(pool, { ...settings, ejectPerMille });
          assert.ok(out.size * 1000 <= pool.length * ejectPerMille);
          const rest = pool.filter(({ name }) => !out.has(name));
          assert.ok(pool.every(({ name, isOut }) => isOut || !out.has(name)));
          if (out.size === 0) return;
          const places = rest.reduce((sum, { capacity }) => sum + capacity, 0);
          const free = rest.reduce((sum, { capacity, inFlight }) => sum + Math.max(0, capacity - inFlight), 0);
          assert.ok(places > 0 && free * 1000 >= places * settings.sparePerMille);
        },
      ),
    );
  });

  test('the same information leads to the same ejections, in whatever order it is held', () => {
    fc.assert(
      fc.property(
        fc.array(someMember, { maxLength: 12 }),
        fc.infiniteStream(fc.double({ min: 0, max: 1, noNaN: true })),
        (members, draws) => {
          const pool = named(members);
          const shuffled = pool
            .map((member) => ({ member, place: Number(draws.next().value) }))
            .sort((one, two) => one.place - two.place)
            .map(({ member }) => member);
          assert.deepEqual(
            [...EjectionLimit.ejected(shuffled, settings)].sort(),
            [...EjectionLimit.ejected(pool, settings)].sort(),
          );
        },
      ),
    );
  });

  test('ejects no engine of a pool of two, and one engine of a pool of four', () => {
    const pool = (count: number): readonly PoolMember[] =>
      Array.from({ length: count }, (_, place) => ({
        name: `e${place}`,
        capacity: 6,
        inFlight: 0,
        offences: 1,
        isOut: place === 0,
      }));
    assert.equal(EjectionLimit.ejected(pool(2), settings).size, 0);
    assert.deepEqual([...EjectionLimit.ejected(pool(4), settings)], ['e0']);
  });
});

const item = (
  name: string,
  own: [good: number, failed: number],
  others: [number, number, number] = [0, 0, 0],
): Evidence => ({
  name,
  own: { good: own[0], failed: own[1] },
  others: { good: others[0], failed: others[1], reporters: others[2] },
});
const verdicts = (pool: readonly Evidence[], proxies = 4): Readonly<Record<string, string>> =>
  Object.fromEntries(OutlierVerdicts.of(pool, proxies, settings));

describe('verdicts', () => {
  test('an engine that fails some of its requests is an outlier, the others are sound', () => {
    assert.deepEqual(verdicts([item('a', [10, 4]), item('b', [15, 0]), item('c', [15, 0])]), {
      a: 'outlier',
      b: 'sound',
      c: 'sound',
    });
  });

  test('few failures only make an engine doubtful', () => {
    assert.equal(verdicts([item('a', [8, 1]), item('b', [9, 0]), item('c', [9, 0])])['a'], 'doubtful');
  });

  test('reports of all proxies together suffice if no proxy alone has enough failures', () => {
    const pool = [item('a', [0, 1], [2, 8, 7]), item('b', [1, 0]), item('c', [1, 0]), item('d', [1, 0])];
    assert.equal(verdicts(pool, 30)['a'], 'outlier');
  });

  test('a single proxy with a failing link does not decide for others', () => {
    const pool = [item('a', [5, 0], [0, 40, 1]), item('b', [5, 0]), item('c', [5, 0])];
    assert.deepEqual(new Set(Object.values(verdicts(pool))), new Set(['sound']));
  });

  test('an engine that fails only for other proxies stays sound for a proxy that it answers', () => {
    const pool = [item('a', [30, 0], [0, 60, 5]), item('b', [30, 0]), item('c', [30, 0])];
    assert.equal(verdicts(pool)['a'], 'sound');
  });

  test('equal failures at all engines eject none, whatever their number', () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 2, max: 42 }),
        fc.integer({ min: 1, max: 50 }),
        fc.integer({ min: 0, max: 50 }),
        fc.integer({ min: 0, max: 70 }),
        (engines, failed, good, reporters) => {
          const pool = Array.from({ length: engines }, (_, place) =>
            item(`e${place}`, [good, failed], [good, failed, reporters]),
          );
          assert.ok(Object.values(verdicts(pool, 70)).every((verdict) => verdict === 'sound'));
        },
      ),
    );
  });

  test('a proxy whose own link fails, so that all its requests fail unevenly, ejects no engine', () => {
    const pool = [item('a', [0, 12]), item('b', [0, 4]), item('c', [1, 3]), item('d', [0, 6])];
    assert.ok(!Object.values(verdicts(pool)).includes('outlier'));
  });

  test('engines without failures are sound', () => {
    fc.assert(
      fc.property(fc.array(fc.integer({ min: 0, max: 99 }), { maxLength: 20 }), (goods) => {
        const pool = goods.map((good, place) => item(`e${place}`, [good, 0]));
        assert.ok(Object.values(verdicts(pool)).every((verdict) => verdict === 'sound'));
      }),
    );
  });
});

test('responses count for one to two half windows', () => {
  fc.assert(
    fc.property(
      fc.array(fc.tuple(fc.integer({ min: 0, max: 2_000_000 }), fc.boolean()), { maxLength: 40 }),
      fc.integer({ min: 0, max: 9_000_000 }),
      (answers, pause) => {
        const half = settings.halfWindowMicroseconds;
        const counts = new AnswerCounts(half);
        let now = 0;
        const all = answers.map(([after, isGood]) => {
          now += after;
          counts.count('e', isGood, now);
          return { at: now, isGood };
        });
        now += pause;
        const from = (Math.floor(now / half) - 1) * half;
        const recent = all.filter(({ at }) => at >= from);
        const failed = recent.filter(({ isGood }) => !isGood).length;
        assert.deepEqual(counts.of('e', now), { failed, good: recent.length - failed });
        assert.equal(counts.hasFailures(now), failed > 0);
        assert.deepEqual(counts.failing(now), failed > 0 ? { e: [failed, recent.length - failed] } : {});
      },
    ),
  );
});

const engines = ['e0', 'e1', 'e2', 'e3'];
const setUp = (
  given: OutlierSettings = settings,
): Readonly<{
  clock: ManualClock;
  detector: OutlierDetector;
  review: (others?: readonly LoadEntry[]) => void;
  standing: (name: string, isFree?: boolean) => string | undefined;
  addGoodAnswers: () => void;
}> => {
  const clock = new ManualClock();
  const detector = new OutlierDetector('p1', clock, given);
  const daemons = ['p1', 'p2', 'p3'];
  return {
    clock,
    detector,
    review: (others = []) => detector.evaluate(others, () => [{ names: engines, daemons }]),
    standing: (name, isFree = true) =>
      detector
        .statusesIn(
          engines.map((engine) => ({ name: engine, capacity: 6, inFlight: 0 })),
          () => isFree,
        )
        .get(name),
    addGoodAnswers: () =>
      engines.forEach((name) => Array.from({ length: 6 }, () => detector.recordAnswer(name, 'good'))),
  };
};

const fail = (detector: OutlierDetector, name: string, times: number): void => {
  for (let time = 0; time < times; time += 1) detector.recordAnswer(name, 'failed');
};

describe('outlier detector', () => {
  test('without failures nothing is reported and no pool is evaluated', () => {
    const { detector, addGoodAnswers } = setUp();
    addGoodAnswers();
    assert.deepEqual(detector.reportToPublish(), {});
    detector.evaluate([], () => assert.fail('pools were evaluated'));
    assert.equal(detector.statusesIn([], () => true).size, 0);
  });

  test('a failing engine is reported, ejected, probed by one request at a time, and good again', () => {
    const { clock, detector, review, standing, addGoodAnswers } = setUp();
    addGoodAnswers();
    fail(detector, 'e2', 3);
    assert.deepEqual(detector.reportToPublish(), { failing: { e2: [3, 6] } });
    review();
    assert.equal(standing('e2'), 'out');
    clock.pass(settings.ejectMicroseconds);
    assert.deepEqual(detector.reportToPublish(), {}, 'old failures are not reported');
    review();
    assert.equal(standing('e2'), 'probation');
    assert.equal(standing('e2', false), 'out', 'one request at a time');
    for (let time = 0; time < settings.probeAnswers; time += 1) detector.recordAnswer('e2', 'good');
    assert.equal(standing('e2'), undefined);
    addGoodAnswers();
    fail(detector, 'e2', 6);
    review();
    clock.pass(settings.ejectMicroseconds);
    review();
    assert.equal(standing('e2'), 'out', 'the second ejection is longer');
  });

  test('a failure on probation ejects again', () => {
    const { clock, detector, review, standing, addGoodAnswers } = setUp();
    addGoodAnswers();
    fail(detector, 'e2', 3);
    review();
    clock.pass(settings.ejectMicroseconds);
    review();
    fail(detector, 'e2', 1);
    assert.equal(standing('e2'), 'out');
  });

  test('no engine is ejected if ejection is off', () => {
    const { detector, review, standing, addGoodAnswers } = setUp({ ...settings, ejectPerMille: 0 });
    addGoodAnswers();
    fail(detector, 'e2', 30);
    review();
    assert.equal(standing('e2'), undefined);
  });

  test('reports of other proxies count, and a client that disconnected early does not', () => {
    const { detector, review, standing, addGoodAnswers } = setUp();
    addGoodAnswers();
    detector.recordAnswer('e1', 'silent', settings.silentMicroseconds - 1);
    assert.deepEqual(detector.reportToPublish(), {});
    const load = (agent: string): LoadEntry => ({
      agent,
      engines: {},
      classes: {},
      waiting: {},
      tenants: {},
      failing: { e3: [6, 6] },
    });
    review([load('p2'), load('p3')]);
    assert.equal(standing('e3'), 'out');
  });

  test('an engine that its controller cannot reach is used while its responses since that report are good', () => {
    const { clock, detector } = setUp();
    detector.recordAnswer('e1', 'good');
    clock.pass(settings.wordMicroseconds);
    assert.equal(detector.answersThoughUnreachable('e1', '1.2'), false, 'older responses do not count');
    clock.pass(1000);
    detector.recordAnswer('e1', 'good');
    assert.equal(detector.answersThoughUnreachable('e1', '1.2'), true);
    assert.deepEqual(detector.reportToPublish(), { answering: ['e1'] }, 'the proxy reports that the engine answers');
    clock.pass(settings.wordMicroseconds);
    assert.equal(detector.answersThoughUnreachable('e1', '1.3'), false, 'a new report needs new responses');
    detector.recordAnswer('e1', 'good');
    assert.equal(detector.answersThoughUnreachable('e1', '1.3'), true);
    clock.pass(1000);
    detector.recordConnectFailure('e1');
    assert.equal(
      detector.answersThoughUnreachable('e1', '1.3'),
      false,
      'a failed connection attempt counts against the engine',
    );
    clock.pass(1000);
    detector.recordAnswer('e1', 'good');
    clock.pass(settings.speaksMicroseconds);
    assert.equal(
      detector.answersThoughUnreachable('e1', '1.3'),
      false,
      'a good response counts only for a limited time',
    );
    detector.recordAnswer('e1', 'good');
    detector.recordReachable('e1');
    assert.deepEqual(
      detector.reportToPublish(),
      {},
      'nothing is reported once the controller reaches the engine again',
    );
  });

  test('an engine that its controller cannot reach is used while another proxy reports that it answers', () => {
    const { detector, review } = setUp();
    assert.equal(detector.answersThoughUnreachable('e1', '1.2'), false);
    review([{ agent: 'p2', engines: {}, classes: {}, waiting: {}, tenants: {}, answering: ['e1'] }]);
    assert.equal(detector.answersThoughUnreachable('e1', '1.2'), true);
    review([]);
    assert.equal(detector.answersThoughUnreachable('e1', '1.2'), false);
  });

  test('requests that may run again probe an engine; others only if there are none of those', () => {
    const { clock, detector } = setUp();
    assert.equal(detector.mayProbe('pool', false), true);
    assert.equal(detector.mayProbe('pool', true), true);
    assert.equal(detector.mayProbe('pool', false), false);
    clock.pass(settings.fitMicroseconds);
    assert.equal(detector.mayProbe('pool', false), true);
    const offered = [{ name: 'a' }, { name: 'b', standing: 'probation' as const }];
    assert.deepEqual(Probes.among(offered, true), [offered[1]]);
    assert.deepEqual(Probes.among(offered, false), [offered[0]]);
  });

  test('reports invalid settings', () => {
    assert.equal(OutlierSettings.fault(settings), undefined);
    assert.match(OutlierSettings.fault({ ...settings, ejectPerMille: 501 }) ?? '', /per mille/);
    assert.match(OutlierSettings.fault({ ...settings, ejectMicroseconds: 1 }) ?? '', /as long as/);
    assert.match(OutlierSettings.fault({ ...settings, probeAnswers: -1 }) ?? '', /whole numbers/);
  });
});
