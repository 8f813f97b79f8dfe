import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { LeaseVoter } from '../source/core-keeper/leases/leaseVoter';
import { WriteAheadLog } from '../source/core-keeper/write-ahead-log/writeAheadLog';
import { ReplicaCore } from '../source/core-keeper/register/replicaCore';
import type { ControlLink } from '../source/edge-agent/control-link/controlLink';
import { LeaseHolder } from '../source/edge-agent/leases/leaseHolder';
import { SimDisk } from '../source/fleet-simulator/world/simDisk';
import { SimNetwork } from '../source/fleet-simulator/world/simNetwork';
import { SimProcess } from '../source/fleet-simulator/world/simProcess';
import { World } from '../source/fleet-simulator/world/world';
import { bootStepMicroseconds, ElapsedTime } from '../source/shared/effects/clock/elapsedTime';
import { Freshness } from '../source/shared/freshness/freshness';
import { SimBlueprints } from '../source/fleet-simulator/machines/simFleet';
import { Digests } from '../source/core-keeper/register/changes';

const settings = { numRuns: Number(process.env['POSTDRUM_TEST_RUNS'] ?? 200), seed: 1907 };

test('elapsed time never decreases and lags behind a suspension by at most three steps of the boot clock', () => {
  const awakeAndAsleep = fc.record({ awake: fc.nat(400_000), asleep: fc.oneof(fc.constant(0), fc.nat(5_000_000)) });
  fc.assert(
    fc.property(fc.array(awakeAndAsleep, { minLength: 1, maxLength: 20 }), fc.nat(9999), (periods, phase) => {
      let real = phase;
      let slept = 0;
      const clock = new ElapsedTime({
        monotonicMicroseconds: () => real - slept,
        bootMicroseconds: () => Math.floor(real / 10_000) * 10_000,
      });
      const start = clock.nowMicroseconds();
      let before = start;
      for (const { awake, asleep } of periods) {
        real += awake + asleep;
        slept += asleep;
        const now = clock.nowMicroseconds();
        assert.ok(now >= before);
        assert.ok(now - start > real - phase - 30_000, `lags by ${real - phase - (now - start)}`);
        assert.ok(now - start <= real - phase + bootStepMicroseconds * 1.5);
        before = now;
      }
    }),
    settings,
  );
});

test('a boot clock that jumps back, stops or cannot be read has no effect, and a jump forward only adds time', () => {
  let monotonic = 5_000_000;
  let boot: number | undefined = 9_000_000;
  const clock = new ElapsedTime({ monotonicMicroseconds: () => monotonic, bootMicroseconds: () => boot });
  assert.equal(clock.nowMicroseconds(), 5_000_000);
  for (const shown of [1_000_000, undefined, 9_000_000]) {
    boot = shown;
    monotonic += 1000;
    assert.equal(clock.nowMicroseconds(), monotonic);
  }
  boot = 19_000_000;
  const afterJump = clock.nowMicroseconds();
  assert.ok(afterJump - monotonic >= 9_000_000);
  boot = 9_000_000;
  monotonic += 1000;
  assert.equal(clock.nowMicroseconds(), afterJump + 1000);
});

test('a daemon whose machine was suspended knows immediately that its configuration may be outdated', async () => {
  const world = new World(3);
  const process = new SimProcess(world, 'proxy', '10.2.0.1');
  const freshness = new Freshness(process.clock);
  const text = JSON.stringify(SimBlueprints.initial());
  const list = JSON.stringify({ engines: {} });
  const asked = process.clock.nowMicroseconds();
  for (const [key, body] of [
    ['blueprint', text],
    ['engines', list],
  ] as const) {
    const digest = Digests.of(body);
    freshness.applyStatement({ key, revision: 1, digest, ageMicroseconds: 0, weights: {} }, asked);
    assert.ok(freshness.applyBody({ key, revision: 1, digest, text: body }));
  }
  await world.runFor(300_000);
  assert.ok(freshness.ageMicroseconds() < 400_000);
  process.suspend();
  await world.runFor(4_000_000);
  process.resume();
  assert.ok(freshness.ageMicroseconds() > 4_200_000);
});

test('a timer does not count the time of a suspension', async () => {
  const world = new World(4);
  const process = new SimProcess(world, 'one', '10.2.0.1');
  let hasFired = false;
  process.clock.after(1_000_000, () => (hasFired = true));
  await world.runFor(400_000);
  process.suspend();
  await world.runFor(5_000_000);
  process.resume();
  await world.runFor(500_000);
  assert.equal(hasFired, false);
  await world.runFor(110_000);
  assert.equal(hasFired, true);
});

/** Whether the voter grants the lease to another candidate while the holder still considers it valid. */
const overlaps = async (holderDrift: number, voterDrift: number, voterLeaps = 0): Promise<boolean> => {
  const world = new World(8);
  const network = new SimNetwork(world);
  const keeperProcess = new SimProcess(world, 'k', '10.1.0.1', voterDrift);
  const ledger = new WriteAheadLog(
    new SimDisk(world).diskFor(keeperProcess),
    keeperProcess.clock,
    () => undefined,
    1_000_000,
  );
  await Promise.all([ledger.open(), world.runFor(5000)]);
  await Promise.all([
    ledger.write([{ kind: 'forming', fleet: 'f', members: {} }, { kind: 'formed' }]),
    world.runFor(5000),
  ]);
  const voter = new LeaseVoter(new ReplicaCore('k', ledger, keeperProcess.clock), keeperProcess.clock);
  await network.transportOf(keeperProcess).listen('10.1.0.1:1', async (message) => {
    if (message.kind !== 'ballots') return { kind: 'heard' };
    return { kind: 'ballots', answers: await voter.vote(message['ballots'] as never, 0) };
  });
  const member = { address: '10.1.0.1:1', operatorsAddress: '10.1.0.1:2', zone: '' };
  const link = {
    controlNodes: () => ({ k: member }),
    memberSets: () => [['k']],
    membersRevision: () => 0,
  } as unknown as ControlLink;
  const holderOf = (name: string, drift: number): LeaseHolder => {
    const process = new SimProcess(world, name, `10.2.0.${name.length}`, drift);
    const effects = { clock: process.clock, random: world.random, transport: network.transportOf(process) };
    return new LeaseHolder(name, link, effects, { leaseMicroseconds: 2_500_000, askMicroseconds: 300_000 });
  };
  const first = holderOf('a', holderDrift);
  await Promise.all([first.requestLeases(['d']), world.runFor(20_000)]);
  assert.equal(first.term('d'), 1);
  await world.runFor(400_000);
  keeperProcess.clockFaults.bootLeapMicroseconds += voterLeaps;
  for (;;) {
    const asked = voter.vote([{ duty: 'd', candidate: 'b', term: 2, leaseMicroseconds: 2_500_000 }], 0);
    await world.runFor(500);
    if ((await asked)[0]?.granted === true) return first.term('d') !== undefined;
  }
};

test('a lease ends for its holder before its voter grants it again, with clock errors of 5 per mille on either side', async () => {
  for (const [holder, voter] of [
    [-5000, 5000],
    [5000, -5000],
    [0, 0],
    [-5000, -5000],
  ] as const)
    assert.equal(await overlaps(holder, voter), false, `${holder} and ${voter} parts per million`);
});

test('a voter whose boot clock jumps forward does not grant a lease again too early', async () => {
  assert.equal(await overlaps(0, 0, 3_000_000), false);
  assert.equal(await overlaps(-5000, 5000, 60_000_000), false);
});
