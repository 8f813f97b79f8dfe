import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { KeeperStates, type KeeperEvent } from '../source/core-keeper/ledger/keeperState';
import { Ledger } from '../source/core-keeper/ledger/ledger';
import { Records } from '../source/core-keeper/ledger/records';
import { SimDisk } from '../source/fleet-simulator/world/simDisk';
import { SimProcess } from '../source/fleet-simulator/world/simProcess';
import type { Disk, DiskFile } from '../source/shared/effects/disk/disk';
import { World } from '../source/fleet-simulator/world/world';

const seeds = Number(process.env['POSTDRUM_TEST_RUNS'] ?? 100);
const settings = { numRuns: seeds, seed: 4711 };

const promise = (number: number): KeeperEvent => ({
  kind: 'promised',
  key: 'blueprint',
  epoch: { number, keeper: 'k' },
});

test('records: cut anywhere, a file gives back a whole prefix of what was written, never anything else', () => {
  fc.assert(
    fc.property(fc.array(fc.string({ maxLength: 40 }), { minLength: 1, maxLength: 8 }), fc.nat(), (texts, place) => {
      const whole = Buffer.concat(texts.map((text) => Records.make([text])));
      const cutAt = place % (whole.length + 1);
      const read = Records.read(whole.subarray(0, cutAt));
      assert.equal(read.kind, 'sound');
      if (read.kind !== 'sound') return;
      assert.deepEqual(
        read.bodies,
        texts.slice(0, read.bodies.length).map((text) => [text]),
      );
      assert.ok(read.length <= cutAt);
    }),
    settings,
  );
});

test('records: a flipped byte before the last record is a refusal, in the last one a cut, never silent loss', () => {
  fc.assert(
    fc.property(
      fc.array(fc.string({ maxLength: 40 }), { minLength: 2, maxLength: 6 }),
      fc.nat(),
      fc.integer({ min: 1, max: 255 }),
      (texts, place, flip) => {
        const parts = texts.map((text) => Records.make([text]));
        const whole = Buffer.concat(parts);
        const lastStart = whole.length - (parts.at(-1)?.length ?? 0);
        const at = place % whole.length;
        whole[at] = (whole[at] ?? 0) ^ flip;
        const read = Records.read(whole);
        if (at < lastStart) assert.equal(read.kind, 'corrupt');
        else assert.ok(read.kind === 'sound' && read.bodies.length === texts.length - 1);
      },
    ),
    settings,
  );
});

const opened = async (
  world: World,
  disk: SimDisk,
  rewriteBytes = 1_000_000,
): Promise<Readonly<{ ledger: Ledger; process: SimProcess; kind: string }>> => {
  const process = new SimProcess(world, 'keeper', '10.0.0.1');
  const ledger = new Ledger(disk.of(process), process.clock, () => undefined, rewriteBytes);
  let kind = '';
  void ledger.open().then((result) => {
    kind = result.kind;
  });
  await world.runFor(10_000);
  return { ledger, process, kind };
};

test('ledger: what was answered synced is there after a loss of power, at whatever moment it comes', async () => {
  for (let seed = 1; seed <= 40; seed += 1) {
    const world = new World(seed);
    const disk = new SimDisk(world);
    const { ledger, process } = await opened(world, disk, 3000);
    let answered = 0;
    let next = 0;
    const more = (): void => {
      next += 1;
      const number = next;
      void ledger.write([promise(number)]).then((written) => {
        if (written === 'synced') answered = Math.max(answered, number);
      });
      world.plan(Math.floor(world.random.fraction() * 200), more);
    };
    more();
    await world.runFor(2000 + Math.floor(world.random.fraction() * 8000));
    process.kill();
    disk.losePower();
    const told = answered;
    const again = await opened(world, disk);
    assert.equal(again.kind, 'opened', `seed ${seed}`);
    const found = KeeperStates.cell(again.ledger.synced, 'blueprint').promised.number;
    assert.ok(found >= told && found <= next, `seed ${seed}: found ${found}, told ${told}, written ${next}`);
  }
});

test('ledger: rewritten when long, it stays short and keeps its state', async () => {
  const world = new World(5);
  const disk = new SimDisk(world);
  const { ledger } = await opened(world, disk, 2000);
  for (let number = 1; number <= 300; number += 1) {
    void ledger.write([promise(number)]);
    await world.runFor(1000);
  }
  assert.ok(disk.length('keeper.ledger') < 8000, `length ${disk.length('keeper.ledger')}`);
  const again = await opened(world, disk);
  assert.equal(KeeperStates.cell(again.ledger.synced, 'blueprint').promised.number, 300);
});

test('ledger: a full disk refuses and goes on later; what it refused is not there', async () => {
  const world = new World(6);
  const disk = new SimDisk(world);
  const { ledger } = await opened(world, disk);
  const write = async (number: number): Promise<string> => {
    let written = '';
    void ledger.write([promise(number)]).then((result) => {
      written = result;
    });
    await world.runFor(5000);
    return written;
  };
  assert.equal(await write(1), 'synced');
  disk.faults.full = true;
  assert.equal(await write(2), 'full');
  assert.equal(KeeperStates.cell(ledger.pending, 'blueprint').promised.number, 1);
  disk.faults.full = false;
  assert.equal(await write(3), 'synced');
  const again = await opened(world, disk);
  assert.equal(KeeperStates.cell(again.ledger.synced, 'blueprint').promised.number, 3);
});

test('ledger: after a failed sync it never writes again and says that it is broken', async () => {
  const world = new World(7);
  const disk = new SimDisk(world);
  const { ledger } = await opened(world, disk);
  let broken = '';
  ledger.news.on('broken', (text) => {
    broken = text;
  });
  disk.faults.syncFails = true;
  const outcomes: string[] = [];
  void ledger.write([promise(1)]).then((result) => outcomes.push(result));
  await world.runFor(5000);
  disk.faults.syncFails = false;
  void ledger.write([promise(2)]).then((result) => outcomes.push(result));
  await world.runFor(5000);
  assert.deepEqual(outcomes, ['lost', 'lost']);
  assert.match(broken, /sync failed/);
});

test('ledger: a damaged middle is a refusal to start', async () => {
  const world = new World(8);
  const disk = new SimDisk(world);
  const { ledger } = await opened(world, disk);
  for (let number = 1; number <= 5; number += 1) {
    void ledger.write([promise(number)]);
    await world.runFor(2000);
  }
  disk.corrupt('keeper.ledger', 20);
  assert.equal((await opened(world, disk)).kind, 'corrupt');
});

test('a planned stop in the midst of a write is no failure of the disk: what was said to be synced is', async () => {
  for (let turns = 0; turns <= 12; turns += 1) {
    const world = new World(1);
    const later = async (count: number): Promise<void> => {
      for (let turn = 0; turn < count; turn += 1) await Promise.resolve();
    };
    let [closed, synced, appended] = [false, 0, 0];
    const soundly = async (act: () => void): Promise<void> => {
      await later(3);
      if (closed) throw new Error('file closed');
      act();
    };
    const file: DiskFile = {
      append: () => soundly(() => (appended += 1)),
      sync: () => soundly(() => (synced = appended)),
      truncate: () => soundly(() => undefined),
      close: () => {
        closed = true;
        return Promise.resolve();
      },
    };
    const disk: Disk = {
      read: () => Promise.resolve(undefined),
      open: () => Promise.resolve(file),
      replace: () => Promise.resolve(),
    };
    const ledger = new Ledger(disk, world.clock, () => undefined, 1_000_000);
    const broken: string[] = [];
    ledger.news.on('broken', (text) => void broken.push(text));
    await ledger.open();
    const said = [ledger.write([promise(1)]), ledger.write([promise(2)])];
    await later(turns);
    said.push(ledger.write([promise(3)]));
    await ledger.close();
    const outcomes = await Promise.all(said);
    await later(10);
    assert.deepEqual(broken, [], `closed after ${turns} turns`);
    assert.ok(outcomes.every((outcome) => outcome === 'synced' || outcome === 'lost'));
    assert.equal(outcomes[0], 'synced', 'what was being written is finished');
    assert.equal(synced, appended);
    assert.equal(await ledger.write([promise(4)]), 'lost');
  }
});
