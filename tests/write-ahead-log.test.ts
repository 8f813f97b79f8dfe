import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { ReplicaStates, type ReplicaEvent } from '../source/core-keeper/write-ahead-log/replicaState';
import { WriteAheadLog } from '../source/core-keeper/write-ahead-log/writeAheadLog';
import { RecordCodec } from '../source/core-keeper/write-ahead-log/recordCodec';
import { SimDisk } from '../source/fleet-simulator/world/simDisk';
import { SimProcess } from '../source/fleet-simulator/world/simProcess';
import type { Disk, DiskFile } from '../source/shared/effects/disk/disk';
import { World } from '../source/fleet-simulator/world/world';

const seeds = Number(process.env['POSTDRUM_TEST_RUNS'] ?? 100);
const settings = { numRuns: seeds, seed: 4711 };

const promise = (number: number): ReplicaEvent => ({
  kind: 'promised',
  key: 'blueprint',
  epoch: { number, keeper: 'k' },
});

test('records: a file cut at any byte yields only a prefix of the written records', () => {
  fc.assert(
    fc.property(fc.array(fc.string({ maxLength: 40 }), { minLength: 1, maxLength: 8 }), fc.nat(), (texts, position) => {
      const whole = Buffer.concat(texts.map((text) => RecordCodec.encode([text])));
      const cutAt = position % (whole.length + 1);
      const read = RecordCodec.decode(whole.subarray(0, cutAt));
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

test('records: a damaged byte in the last record drops it, and a damaged byte before that is reported as corruption', () => {
  fc.assert(
    fc.property(
      fc.array(fc.string({ maxLength: 40 }), { minLength: 2, maxLength: 6 }),
      fc.nat(),
      fc.integer({ min: 1, max: 255 }),
      (texts, position, flip) => {
        const parts = texts.map((text) => RecordCodec.encode([text]));
        const whole = Buffer.concat(parts);
        const lastStart = whole.length - (parts.at(-1)?.length ?? 0);
        const at = position % whole.length;
        whole[at] = (whole[at] ?? 0) ^ flip;
        const read = RecordCodec.decode(whole);
        if (at < lastStart) assert.equal(read.kind, 'corrupt');
        else assert.ok(read.kind === 'sound' && read.bodies.length === texts.length - 1);
      },
    ),
    settings,
  );
});

const openLog = async (
  world: World,
  disk: SimDisk,
  rewriteBytes = 1_000_000,
): Promise<Readonly<{ ledger: WriteAheadLog; process: SimProcess; kind: string }>> => {
  const process = new SimProcess(world, 'keeper', '10.0.0.1');
  const ledger = new WriteAheadLog(disk.diskFor(process), process.clock, () => undefined, rewriteBytes);
  let kind = '';
  void ledger.open().then((result) => {
    kind = result.kind;
  });
  await world.runFor(10_000);
  return { ledger, process, kind };
};

test('log: writes reported as synced survive a power failure at any time', async () => {
  for (let seed = 1; seed <= 40; seed += 1) {
    const world = new World(seed);
    const disk = new SimDisk(world);
    const { ledger, process } = await openLog(world, disk, 3000);
    let syncedNumber = 0;
    let next = 0;
    const writeNext = (): void => {
      next += 1;
      const number = next;
      void ledger.write([promise(number)]).then((written) => {
        if (written === 'synced') syncedNumber = Math.max(syncedNumber, number);
      });
      world.schedule(Math.floor(world.random.fraction() * 200), writeNext);
    };
    writeNext();
    await world.runFor(2000 + Math.floor(world.random.fraction() * 8000));
    process.kill();
    disk.losePower();
    const acknowledgedNumber = syncedNumber;
    const again = await openLog(world, disk);
    assert.equal(again.kind, 'opened', `seed ${seed}`);
    const found = ReplicaStates.acceptorState(again.ledger.synced, 'blueprint').promised.number;
    assert.ok(
      found >= acknowledgedNumber && found <= next,
      `seed ${seed}: found ${found}, acknowledged ${acknowledgedNumber}, written ${next}`,
    );
  }
});

test('log: rewriting a long log bounds its size and keeps the state', async () => {
  const world = new World(5);
  const disk = new SimDisk(world);
  const { ledger } = await openLog(world, disk, 2000);
  for (let number = 1; number <= 300; number += 1) {
    void ledger.write([promise(number)]);
    await world.runFor(1000);
  }
  assert.ok(disk.length('keeper.ledger') < 8000, `length ${disk.length('keeper.ledger')}`);
  const again = await openLog(world, disk);
  assert.equal(ReplicaStates.acceptorState(again.ledger.synced, 'blueprint').promised.number, 300);
});

test('log: a full disk refuses writes without storing them, and accepts later writes', async () => {
  const world = new World(6);
  const disk = new SimDisk(world);
  const { ledger } = await openLog(world, disk);
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
  assert.equal(ReplicaStates.acceptorState(ledger.pending, 'blueprint').promised.number, 1);
  disk.faults.full = false;
  assert.equal(await write(3), 'synced');
  const again = await openLog(world, disk);
  assert.equal(ReplicaStates.acceptorState(again.ledger.synced, 'blueprint').promised.number, 3);
});

test('log: after a failed sync it refuses all writes and reports itself broken', async () => {
  const world = new World(7);
  const disk = new SimDisk(world);
  const { ledger } = await openLog(world, disk);
  let broken = '';
  ledger.notifications.on('broken', (text) => {
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

test('log: damage before the last record is reported as corruption at the start', async () => {
  const world = new World(8);
  const disk = new SimDisk(world);
  const { ledger } = await openLog(world, disk);
  for (let number = 1; number <= 5; number += 1) {
    void ledger.write([promise(number)]);
    await world.runFor(2000);
  }
  disk.corrupt('keeper.ledger', 20);
  assert.equal((await openLog(world, disk)).kind, 'corrupt');
});

test('log: closing during a write reports no disk failure, and writes reported as synced are on disk', async () => {
  for (let turns = 0; turns <= 12; turns += 1) {
    const world = new World(1);
    const afterTurns = async (count: number): Promise<void> => {
      for (let turn = 0; turn < count; turn += 1) await Promise.resolve();
    };
    let [closed, synced, appended] = [false, 0, 0];
    const whileOpen = async (act: () => void): Promise<void> => {
      await afterTurns(3);
      if (closed) throw new Error('file closed');
      act();
    };
    const file: DiskFile = {
      append: () => whileOpen(() => (appended += 1)),
      sync: () => whileOpen(() => (synced = appended)),
      truncate: () => whileOpen(() => undefined),
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
    const ledger = new WriteAheadLog(disk, world.clock, () => undefined, 1_000_000);
    const broken: string[] = [];
    ledger.notifications.on('broken', (text) => void broken.push(text));
    await ledger.open();
    const outcomesOfWrites = [ledger.write([promise(1)]), ledger.write([promise(2)])];
    await afterTurns(turns);
    outcomesOfWrites.push(ledger.write([promise(3)]));
    await ledger.close();
    const outcomes = await Promise.all(outcomesOfWrites);
    await afterTurns(10);
    assert.deepEqual(broken, [], `closed after ${turns} turns`);
    assert.ok(outcomes.every((outcome) => outcome === 'synced' || outcome === 'lost'));
    assert.equal(outcomes[0], 'synced', 'the write under way is completed');
    assert.equal(synced, appended);
    assert.equal(await ledger.write([promise(4)]), 'lost');
  }
});
