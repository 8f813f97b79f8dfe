import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { ControlLink } from '../source/edge-agent/control-link/controlLink';
import { AgentDefaults } from '../source/edge-agent/edgeAgent';
import { SimBlueprints } from '../source/fleet-simulator/machines/simFleet';
import { SimProcess } from '../source/fleet-simulator/world/simProcess';
import { nativeConfigurationFormat } from '../source/shared/configuration/configurationFormat';
import { Ticker } from '../source/shared/effects/clock/ticker';
import { FleetName } from '../source/shared/fleet/fleetName';
import { FleetTransport } from '../source/shared/fleet/fleetTransport';
import type { Transport } from '../source/shared/effects/transport/transport';
import { Freshness } from '../source/shared/freshness/freshness';
import { ControlFleet } from './support/controlFleet';

const { readMicroseconds, readAskMicroseconds, sharedReadMicroseconds, ownReadMicroseconds } = AgentDefaults;
/** A link delay to the control nodes that uses up most of the timeout of a read. */
const slowLinkMicroseconds = 200_000;
/** A link delay beyond that timeout. */
const lateLinkMicroseconds = readAskMicroseconds + 100_000;
/** After this time without confirmation a proxy may no longer rely on its configuration. */
const freshLimitMicroseconds = 1_500_000;
const edgeMachine = '10.2.0.1';
const self = { key: 'member/edge-1', version: [1, 1], value: { name: 'edge-1', address: `${edgeMachine}:1` } };

/** One agent's link to three control nodes that run the real code, on virtual time. */
class LinkedFleet {
  public readonly fleet = new ControlFleet(11, nativeConfigurationFormat);
  public readonly freshness: Freshness;
  public readonly link: ControlLink;
  /** Digests of documents that were requested although they were no longer wanted. */
  public readonly staleRequests: string[] = [];
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
        if (message.kind === 'body') this.noteRequest(String(message['digest']));
        return transport.ask(address, message, limitMicroseconds);
      },
    };
    this.link = new ControlLink(
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
    assert.ok(await linked.fleet.startAll(3), 'the control nodes are up');
    linked.ticker.start();
    const outcome = await linked.fleet.changeWithRetries(
      { key: 'blueprint', form: 'whole', text: JSON.stringify(SimBlueprints.initial()), ifMatch: 0, id: 'first' },
      5_000_000,
    );
    assert.equal(outcome?.kind, 'taken');
    assert.ok(await linked.fleet.world.runUntil(() => linked.freshness.revision('blueprint') === 1, 3_000_000));
    return linked;
  }

  /** Submits the next revision to any control node. */
  public async change(revision: number): Promise<void> {
    const text = JSON.stringify(SimBlueprints.initial(`w${revision}`));
    const request = { key: 'blueprint', form: 'whole', text, ifMatch: revision - 1, id: `change-${revision}` } as const;
    const outcome = await this.fleet.changeWithRetries(request, 5_000_000);
    assert.equal(outcome?.kind, 'taken');
  }

  private noteRequest(digest: string): void {
    if (!this.freshness.wanted().some((wanted) => wanted.digest === digest)) this.staleRequests.push(digest);
  }

  public machineOf(number: number): string {
    return this.fleet.machine(number).machine;
  }

  /** The highest age of the applied configuration within this time. */
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

describe('the link of an agent to the control nodes', () => {
  test('a silent control node does not delay the reads from the others', async () => {
    const linked = await LinkedFleet.begin();
    const usualAge = await linked.worstAge(4_000_000);
    for (const number of [1, 2, 3]) {
      const mend = linked.fleet.network.cutLink(edgeMachine, linked.machineOf(number));
      // The first read after the cut waits for the node's timeout and is left out; later reads do not wait for it.
      await linked.fleet.world.runFor(readMicroseconds + readAskMicroseconds * 2);
      const ageWhileCut = await linked.worstAge(4_000_000);
      assert.ok(
        ageWhileCut <= usualAge + 20_000,
        `control node ${number}: ${ageWhileCut} µs with it cut off, ${usualAge} µs before`,
      );
      mend();
      await linked.fleet.world.runFor(1_000_000);
    }
  });

  test('a control node that is reachable again counts again, also when a majority needs it', async () => {
    const linked = await LinkedFleet.begin();
    const cuts = [1, 2].map((number) => linked.fleet.network.cutLink(edgeMachine, linked.machineOf(number)));
    await linked.fleet.world.runFor(5_000_000);
    assert.ok(linked.freshness.ageOf('blueprint') > 4_000_000, 'one control node of three confirms nothing');
    for (const mend of cuts) mend();
    assert.ok(
      await linked.fleet.world.runUntil(
        () => linked.freshness.ageOf('blueprint') < readMicroseconds,
        readMicroseconds + readAskMicroseconds * 2,
      ),
    );
    // The third node is cut off now, so the majority needs both nodes that came back.
    linked.fleet.network.cutLink(edgeMachine, linked.machineOf(3));
    await linked.fleet.world.runFor(readMicroseconds + readAskMicroseconds * 2);
    assert.ok((await linked.worstAge(2_000_000)) < readMicroseconds * 2);
  });

  test('fetches a configuration from another control node in time if the first one stops answering', async () => {
    // Each node is cut off once, because the agent may ask any of them first.
    for (const number of [1, 2, 3]) {
      const linked = await LinkedFleet.begin();
      const { world, network } = linked.fleet;
      const text = JSON.stringify(SimBlueprints.initial('w2'));
      const request = { key: 'blueprint', form: 'whole', text, ifMatch: 1, id: 'second' } as const;
      assert.equal((await linked.fleet.changeWithRetries(request, 5_000_000))?.kind, 'taken');
      const isWanted = (): boolean => linked.freshness.wanted().some(({ key }) => key === 'blueprint');
      assert.ok(await world.runUntil(isWanted, 1_000_000, 50));
      network.cutLink(edgeMachine, linked.machineOf(number));
      network.cutLink(linked.machineOf(number), edgeMachine);
      const isApplied = (): boolean => linked.freshness.revision('blueprint') === 2;
      assert.ok(await world.runUntil(isApplied, readAskMicroseconds * 2), `control node ${number}`);
    }
  });

  test('restarted control nodes soon know the agent again, one alone and all at once', async () => {
    const linked = await LinkedFleet.begin();
    const { world, machines } = linked.fleet;
    const knowsAgent = (number: number): boolean => linked.fleet.machine(number).controlNode?.agents().length === 1;
    // The agent usually sends its member entry on every tenth read only. A restarted node must not wait for that, at any phase of the count.
    for (let round = 0; round < 10; round += 1) {
      const numbers = round % 2 === 0 ? [(round % 3) + 1] : [1, 2, 3];
      assert.ok(await world.runUntil(() => [1, 2, 3].every(knowsAgent), 3_000_000));
      await world.runFor(1_000_000 + round * readMicroseconds);
      for (const number of numbers) linked.fleet.machine(number).kill();
      await world.runFor(round * 30_000);
      for (const number of numbers) linked.fleet.machine(number).start();
      assert.ok(await world.runUntil(() => machines.every(({ votes }) => votes), 1_000_000));
      assert.ok(await world.runUntil(() => numbers.every(knowsAgent), readMicroseconds * 3), `round ${round}`);
    }
  });

  test('does not fetch a document that a newer one has replaced', async () => {
    const linked = await LinkedFleet.begin();
    for (const number of [1, 2, 3])
      linked.fleet.network.slowDown(edgeMachine, linked.machineOf(number), slowLinkMicroseconds);
    let revision = 1;
    for (let round = 0; round < 10; round += 1) {
      for (const pause of [150_000, 150_000, 2_000_000]) {
        revision += 1;
        await linked.change(revision);
        await linked.fleet.world.runFor(pause);
      }
      assert.equal(linked.freshness.revision('blueprint'), revision);
    }
    assert.deepEqual(linked.staleRequests, []);
  });

  test('state reports that all arrive after the timeout still confirm the configuration', async () => {
    const linked = await LinkedFleet.begin();
    for (const number of [1, 2, 3])
      linked.fleet.network.slowDown(edgeMachine, linked.machineOf(number), lateLinkMicroseconds);
    assert.ok((await linked.worstAge(5_000_000)) < freshLimitMicroseconds);
  });
});
