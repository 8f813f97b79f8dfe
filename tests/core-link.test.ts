import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { CoreLink } from '../source/edge-agent/core-link/coreLink';
import { AgentDefaults } from '../source/edge-agent/edgeAgent';
import { SimBlueprints } from '../source/fleet-simulator/machines/simFleet';
import { SimProcess } from '../source/fleet-simulator/world/simProcess';
import { ownDialect } from '../source/shared/blueprint/dialect';
import { Ticker } from '../source/shared/effects/clock/ticker';
import { FleetName } from '../source/shared/fleet/fleetName';
import { FleetTransport } from '../source/shared/fleet/fleetTransport';
import type { Transport } from '../source/shared/effects/transport/transport';
import { Freshness } from '../source/shared/freshness/freshness';
import { ControlFleet } from './support/controlFleet';

const { readMicroseconds, readAskMicroseconds, sharedReadMicroseconds, ownReadMicroseconds } = AgentDefaults;
/** A way to the keepers that takes most of the patience with a reading. */
const slowLinkMicroseconds = 200_000;
/** One that takes longer than it. */
const lateMicroseconds = readAskMicroseconds + 100_000;
/** After this a proxy may no longer rely on a configuration that nobody confirmed. */
const freshMicroseconds = 1_500_000;
const edgeMachine = '10.2.0.1';
const self = { key: 'member/edge-1', version: [1, 1], value: { name: 'edge-1', address: `${edgeMachine}:1` } };

/** One agent's link to three real keepers, on virtual time. */
class LinkedFleet {
  public readonly fleet = new ControlFleet(11, ownDialect);
  public readonly freshness: Freshness;
  public readonly link: CoreLink;
  /** Digests of documents that were asked for although they were not wanted then. */
  public readonly askedInVain: string[] = [];
  private readonly ticker: Ticker;

  private constructor() {
    const { world, network } = this.fleet;
    const process = new SimProcess(world, 'edge-1', edgeMachine);
    const name = new FleetName('');
    this.freshness = new Freshness(process.clock);
    const transport = network.transportOf(process);
    const watched: Transport = {
      ...transport,
      ask: (address, message, limitMicroseconds) => {
        if (message.kind === 'body') this.noteAsk(String(message['digest']));
        return transport.ask(address, message, limitMicroseconds);
      },
    };
    this.link = new CoreLink(
      {
        clock: process.clock,
        random: world.random,
        transport: new FleetTransport(watched, () => name.name),
      },
      name,
      this.freshness,
      {
        seeds: this.fleet.seeds,
        askMicroseconds: readAskMicroseconds,
        sharedReadMicroseconds: () => sharedReadMicroseconds,
        ownReadMicroseconds: () => ownReadMicroseconds,
        readsEngines: true,
        isOnlyFleet: false,
      },
      () => self,
    );
    this.ticker = new Ticker(
      process.clock,
      () => readMicroseconds,
      () => this.link.read(),
      (error) => assert.fail(String(error)),
    );
  }

  public static async begin(): Promise<LinkedFleet> {
    const linked = new LinkedFleet();
    assert.ok(await linked.fleet.begin(3), 'the keepers stand');
    linked.ticker.start();
    const taken = await linked.fleet.persist(
      { key: 'blueprint', form: 'whole', text: JSON.stringify(SimBlueprints.first()), ifMatch: 0, id: 'first' },
      5_000_000,
    );
    assert.equal(taken?.kind, 'taken');
    assert.ok(await linked.fleet.world.runUntil(() => linked.freshness.revision('blueprint') === 1, 3_000_000));
    return linked;
  }

  /** The next revision, taken by any keeper. */
  public async change(revision: number): Promise<void> {
    const text = JSON.stringify(SimBlueprints.first(`w${revision}`));
    const order = { key: 'blueprint', form: 'whole', text, ifMatch: revision - 1, id: `change-${revision}` } as const;
    const taken = await this.fleet.persist(order, 5_000_000);
    assert.equal(taken?.kind, 'taken');
  }

  private noteAsk(digest: string): void {
    if (!this.freshness.wanted().some((wanted) => wanted.digest === digest)) this.askedInVain.push(digest);
  }

  public machineOf(number: number): string {
    return this.fleet.machine(number).machine;
  }

  /** How old what is applied ever becomes within this time. */
  public async worstAge(microseconds: number): Promise<number> {
    const step = 10_000;
    let worst = 0;
    for (let passed = 0; passed < microseconds; passed += step) {
      await this.fleet.world.runFor(step);
      worst = Math.max(worst, this.freshness.ageOf('blueprint'));
    }
    return worst;
  }
}

describe('the link of an agent to the core', () => {
  test('a keeper that says nothing does not hold up what the others say', async () => {
    const linked = await LinkedFleet.begin();
    const calm = await linked.worstAge(4_000_000);
    for (const number of [1, 2, 3]) {
      const mend = linked.fleet.network.cut(edgeMachine, linked.machineOf(number));
      // Why first: the reading that finds it silent waits for it, and no other does.
      await linked.fleet.world.runFor(readMicroseconds + readAskMicroseconds * 2);
      const cut = await linked.worstAge(4_000_000);
      assert.ok(cut <= calm + 20_000, `keeper ${number}: ${cut} µs with it cut off, ${calm} µs before`);
      mend();
      await linked.fleet.world.runFor(1_000_000);
    }
  });

  test('a keeper that is back is heard again, also when it is one of two that a majority needs', async () => {
    const linked = await LinkedFleet.begin();
    const cuts = [1, 2].map((number) => linked.fleet.network.cut(edgeMachine, linked.machineOf(number)));
    await linked.fleet.world.runFor(5_000_000);
    assert.ok(linked.freshness.ageOf('blueprint') > 4_000_000, 'one keeper of three proves nothing');
    for (const mend of cuts) mend();
    assert.ok(
      await linked.fleet.world.runUntil(
        () => linked.freshness.ageOf('blueprint') < readMicroseconds,
        readMicroseconds + readAskMicroseconds * 2,
      ),
    );
    // The other two are cut now: what the ones that came back say must count.
    linked.fleet.network.cut(edgeMachine, linked.machineOf(3));
    await linked.fleet.world.runFor(readMicroseconds + readAskMicroseconds * 2);
    assert.ok((await linked.worstAge(2_000_000)) < readMicroseconds * 2);
  });

  test('a control node falls silent after it was asked for a configuration: another one is asked in time', async () => {
    // Whichever of them the agent asks first.
    for (const number of [1, 2, 3]) {
      const linked = await LinkedFleet.begin();
      const { world, network } = linked.fleet;
      const text = JSON.stringify(SimBlueprints.first('w2'));
      const order = { key: 'blueprint', form: 'whole', text, ifMatch: 1, id: 'second' } as const;
      assert.equal((await linked.fleet.persist(order, 5_000_000))?.kind, 'taken');
      const isWanted = (): boolean => linked.freshness.wanted().some(({ key }) => key === 'blueprint');
      assert.ok(await world.runUntil(isWanted, 1_000_000, 50));
      network.cut(edgeMachine, linked.machineOf(number));
      network.cut(linked.machineOf(number), edgeMachine);
      const isApplied = (): boolean => linked.freshness.revision('blueprint') === 2;
      assert.ok(await world.runUntil(isApplied, readAskMicroseconds * 2), `keeper ${number}`);
    }
  });

  test('keepers that began anew soon know again whom they met, one alone and all at once', async () => {
    const linked = await LinkedFleet.begin();
    const { world, machines } = linked.fleet;
    const meets = (number: number): boolean => linked.fleet.machine(number).keeper?.agents().length === 1;
    // Why each of ten: wherever its count of readings stands, an agent must not wait for the next time it says who it is.
    for (let turn = 0; turn < 10; turn += 1) {
      const numbers = turn % 2 === 0 ? [(turn % 3) + 1] : [1, 2, 3];
      assert.ok(await world.runUntil(() => [1, 2, 3].every(meets), 3_000_000));
      await world.runFor(1_000_000 + turn * readMicroseconds);
      for (const number of numbers) linked.fleet.machine(number).kill();
      await world.runFor(turn * 30_000);
      for (const number of numbers) linked.fleet.machine(number).start();
      assert.ok(await world.runUntil(() => machines.every(({ votes }) => votes), 1_000_000));
      assert.ok(await world.runUntil(() => numbers.every(meets), readMicroseconds * 3), `turn ${turn}`);
    }
  });

  test('a document that a newer one has overtaken is asked for no more', async () => {
    const linked = await LinkedFleet.begin();
    for (const number of [1, 2, 3])
      linked.fleet.network.slowDown(edgeMachine, linked.machineOf(number), slowLinkMicroseconds);
    let revision = 1;
    for (let turn = 0; turn < 10; turn += 1) {
      for (const pause of [150_000, 150_000, 2_000_000]) {
        revision += 1;
        await linked.change(revision);
        await linked.fleet.world.runFor(pause);
      }
      assert.equal(linked.freshness.revision('blueprint'), revision);
    }
    assert.deepEqual(linked.askedInVain, []);
  });

  test('words of all control nodes that come later than the patience still confirm the configuration', async () => {
    const linked = await LinkedFleet.begin();
    for (const number of [1, 2, 3])
      linked.fleet.network.slowDown(edgeMachine, linked.machineOf(number), lateMicroseconds);
    assert.ok((await linked.worstAge(5_000_000)) < freshMicroseconds);
  });
});
