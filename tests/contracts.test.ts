import assert from 'node:assert/strict';
import { mkdtempSync, rmSync } from 'node:fs';
import net from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { describe, test } from 'node:test';
import { SimDisk } from '../source/fleet-simulator/world/simDisk';
import { SimNetwork } from '../source/fleet-simulator/world/simNetwork';
import { SimProcess } from '../source/fleet-simulator/world/simProcess';
import { World } from '../source/fleet-simulator/world/world';
import type { Clock } from '../source/shared/effects/clock/clock';
import { Clocks } from '../source/shared/effects/clock/clock';
import { realClock } from '../source/shared/effects/clock/realClock';
import type { Disk } from '../source/shared/effects/disk/disk';
import { nodeDisk } from '../source/shared/effects/disk/nodeDisk';
import { realRandom, seededRandom, type Random } from '../source/shared/effects/random/random';
import { TcpTransport } from '../source/shared/effects/transport/tcpTransport';
import { TransportLimits, type Transport } from '../source/shared/effects/transport/transport';

/** Awaits an implementation's work; a simulated one needs its world to run meanwhile. */
type Run = <Result>(work: Promise<Result>) => Promise<Result>;

const plainRun: Run = (work) => work;
const worldRun =
  (world: World): Run =>
  async (work) => {
    let finished = false;
    const done = work.finally(() => {
      finished = true;
    });
    done.catch(() => undefined);
    for (let turn = 0; turn < 10_000 && !finished; turn += 1) await world.runFor(10_000);
    return done;
  };

const clockContract = (name: string, make: () => Readonly<{ clock: Clock; run: Run }>): void => {
  describe(`clock contract: ${name}`, () => {
    test('times are whole microseconds and never go back', async () => {
      const { clock, run } = make();
      const before = clock.nowMicroseconds();
      await run(Clocks.wait(clock, 3000));
      const after = clock.nowMicroseconds();
      assert.ok(Number.isSafeInteger(before) && Number.isSafeInteger(after));
      assert.ok(after - before >= 2900);
    });
    test('timers fire in the order of their delays, and cancelled ones never', async () => {
      const { clock, run } = make();
      const fired: number[] = [];
      const cancel = clock.after(2000, () => fired.push(2));
      clock.after(9000, () => fired.push(9));
      clock.after(4000, () => fired.push(4));
      cancel();
      await run(Clocks.wait(clock, 25_000));
      assert.deepEqual(fired, [4, 9]);
    });
    test('within limits how long it waits for the work', async () => {
      const { clock, run } = make();
      assert.equal(await run(Clocks.withTimeout(clock, 50_000, Promise.resolve('in time'))), 'in time');
      assert.equal(await run(Clocks.withTimeout(clock, 2000, new Promise<string>(() => undefined))), undefined);
    });
  });
};

clockContract('real', () => ({ clock: realClock, run: plainRun }));
clockContract('simulated', () => {
  const world = new World(1);
  return { clock: new SimProcess(world, 'one', '10.0.0.1', 50).clock, run: worldRun(world) };
});

const randomContract = (name: string, random: Random): void => {
  test(`random contract: ${name}`, () => {
    const fractions = Array.from({ length: 2000 }, () => random.fraction());
    assert.ok(fractions.every((fraction) => fraction >= 0 && fraction < 1));
    const mean = fractions.reduce((sum, fraction) => sum + fraction, 0) / fractions.length;
    assert.ok(mean > 0.45 && mean < 0.55, `mean ${mean}`);
    assert.equal(new Set(Array.from({ length: 500 }, () => random.name())).size, 500);
  });
};
randomContract('real', realRandom);
randomContract('seeded', seededRandom(7));
test('the same seed gives the same sequence', () => {
  const [one, two] = [seededRandom(9), seededRandom(9)];
  assert.deepEqual(
    Array.from({ length: 50 }, () => one.name()),
    Array.from({ length: 50 }, () => two.name()),
  );
});

type TransportFixture = Readonly<{
  one: Transport;
  two: Transport;
  address: (host: number) => string;
  run: Run;
  end: () => Promise<void>;
}>;

const transportContract = (name: string, make: () => TransportFixture): void => {
  describe(`transport contract: ${name}`, () => {
    test('matches responses to concurrent requests', async () => {
      const { one, two, address, run, end } = make();
      const listener = await run(
        two.listen(address(2), (message) => Promise.resolve({ kind: 'back', number: message['number'] })),
      );
      const answers = await run(
        Promise.all(
          Array.from({ length: 200 }, (_, number) => one.ask(listener.address, { kind: 'there', number }, 5_000_000)),
        ),
      );
      answers.forEach((answer, number) =>
        assert.deepEqual(answer, { kind: 'answered', message: { kind: 'back', number } }),
      );
      await end();
    });
    test('delivers a message of many frames in both directions', async () => {
      const { one, two, address, run, end } = make();
      const listener = await run(two.listen(address(2), (message) => Promise.resolve({ ...message, kind: 'back' })));
      const text = 'x'.repeat(TransportLimits.frameBytes * 5 + 17);
      const answer = await run(one.ask(listener.address, { kind: 'there', text }, 10_000_000));
      assert.ok(answer.kind === 'answered' && answer.message['text'] === text);
      await end();
    });
    test('reports silence within the limit for a refused connection, a failing handler and one that never responds', async () => {
      const { one, two, address, run, end } = make();
      assert.equal((await run(one.ask(address(3), { kind: 'there' }, 300_000))).kind, 'silent');
      const failing = await run(two.listen(address(2), () => Promise.reject(new Error('inside'))));
      assert.equal((await run(one.ask(failing.address, { kind: 'there' }, 300_000))).kind, 'silent');
      await run(failing.close());
      const unresponsive = await run(two.listen(address(4), () => new Promise(() => undefined)));
      assert.equal((await run(one.ask(unresponsive.address, { kind: 'there' }, 100_000))).kind, 'silent');
      await end();
    });
    test('a closed listener is silent, and a new one at the same address responds', async () => {
      const { one, two, address, run, end } = make();
      const first = await run(two.listen(address(2), () => Promise.resolve({ kind: 'first' })));
      const reusedAddress = first.address;
      assert.equal((await run(one.ask(reusedAddress, { kind: 'there' }, 1_000_000))).kind, 'answered');
      await run(first.close());
      assert.equal((await run(one.ask(reusedAddress, { kind: 'there' }, 300_000))).kind, 'silent');
      await run(two.listen(reusedAddress, () => Promise.resolve({ kind: 'second' })));
      const answer = await run(one.ask(reusedAddress, { kind: 'there' }, 1_000_000));
      assert.ok(answer.kind === 'answered' && answer.message.kind === 'second');
      await end();
    });
  });
};

transportContract('tcp', () => {
  const one = new TcpTransport(realClock);
  const two = new TcpTransport(realClock);
  return {
    one,
    two,
    address: (host) => (host === 3 ? '127.0.0.1:1' : '127.0.0.1:0'),
    run: plainRun,
    end: async () => void (await Promise.all([one.close(), two.close()])),
  };
});
transportContract('simulated', () => {
  const world = new World(2);
  const network = new SimNetwork(world);
  const of = (number: number): Transport =>
    network.transportOf(new SimProcess(world, `p${number}`, `10.0.0.${number}`));
  return {
    one: of(1),
    two: of(2),
    address: (host) => `10.0.0.${host}:1`,
    run: worldRun(world),
    end: () => Promise.resolve(),
  };
});

test('tcp: garbage, an oversized frame and a truncated message close only their own connection', async () => {
  const transport = new TcpTransport(realClock);
  const client = new TcpTransport(realClock);
  const listener = await transport.listen('127.0.0.1:0', () => Promise.resolve({ kind: 'back' }));
  const port = Number(listener.address.split(':')[1]);
  const closed = (bytes: Buffer, end: boolean): Promise<boolean> =>
    new Promise((resolve) => {
      const socket = net.connect(port, '127.0.0.1', () => {
        socket.write(bytes);
        if (end) socket.end();
      });
      socket.on('error', () => undefined);
      socket.on('close', () => resolve(true));
      socket.resume();
    });
  assert.ok(await closed(Buffer.from('GET / HTTP/1.1\r\n\r\n'), false));
  assert.ok(await closed(Buffer.from([0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0, 1]), false));
  assert.ok(await closed(Buffer.from([0, 0, 0, 3, 2, 0, 0, 0, 1, 0xc1, 0xc1, 0xc1]), false));
  assert.ok(await closed(Buffer.from([0, 0, 0, 9, 2, 0]), true));
  assert.equal((await client.ask(listener.address, { kind: 'there' }, 2_000_000)).kind, 'answered');
  await Promise.all([transport.close(), client.close()]);
});

type DiskFixture = Readonly<{ disk: () => Promise<Disk>; run: Run; end: () => void }>;

const diskContract = (name: string, make: () => DiskFixture): void => {
  describe(`disk contract: ${name}`, () => {
    test('reads back appended and synced data in order', async () => {
      const { disk, run, end } = make();
      const first = await run(disk());
      assert.equal(await run(first.read('file')), undefined);
      const file = await run(first.open('file'));
      await run(file.append(Buffer.from('one ')));
      await run(file.append(Buffer.from('two')));
      await run(file.sync());
      await run(file.close());
      assert.equal(Buffer.from((await run((await run(disk())).read('file'))) ?? []).toString(), 'one two');
      end();
    });
    test('appends after the truncated end', async () => {
      const { disk, run, end } = make();
      const file = await run((await run(disk())).open('file'));
      await run(file.append(Buffer.from('keep and drop')));
      await run(file.truncate(5));
      await run(file.append(Buffer.from('go')));
      await run(file.sync());
      assert.equal(Buffer.from((await run((await run(disk())).read('file'))) ?? []).toString(), 'keep go');
      await run(file.close());
      end();
    });
    test('replace replaces the whole file', async () => {
      const { disk, run, end } = make();
      const given = await run(disk());
      const file = await run(given.open('file'));
      await run(file.append(Buffer.from('old')));
      await run(file.sync());
      await run(file.close());
      await run(given.replace('file', Buffer.from('new and longer')));
      assert.equal(Buffer.from((await run(given.read('file'))) ?? []).toString(), 'new and longer');
      end();
    });
  });
};

diskContract('node', () => {
  const folder = mkdtempSync(path.join(tmpdir(), 'postdrum-disk-'));
  return { disk: () => nodeDisk(folder), run: plainRun, end: () => rmSync(folder, { recursive: true }) };
});
diskContract('simulated', () => {
  const world = new World(3);
  const disk = new SimDisk(world);
  return {
    disk: () => Promise.resolve(disk.diskFor(new SimProcess(world, 'one', '10.0.0.1'))),
    run: worldRun(world),
    end: () => undefined,
  };
});
