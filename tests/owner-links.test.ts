import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { SimBlueprints } from '../source/fleet-simulator/machines/simFleet';
import { nativeConfigurationFormat } from '../source/shared/configuration/configurationFormat';
import { ControlFleet, type ControlMachine } from './support/controlFleet';

const isOwner = ({ controlNode: keeper, name }: ControlMachine): boolean =>
  keeper?.keyLeaders()['blueprint']?.owner === name;

/** Breaks the connection of the first `count` accept messages to a machine, as happens just after a link is restored. */
const dropAccepts = ({ network }: ControlFleet, { member, process }: ControlMachine, count: number): (() => number) => {
  const listening = network.listenerAt(member.address);
  assert.ok(listening !== undefined);
  let broken = 0;
  network.occupyAddress(member.address, (message) => {
    if (message.kind !== 'accept' || broken >= count) {
      return new Promise((resolve, reject) =>
        process.execute(() => void listening.handler(message).then(resolve, reject)),
      );
    }
    broken += 1;
    return Promise.reject(new Error('connection broken'));
  });
  return () => broken;
};

describe('a key owner with one unreachable control node and a link that breaks', () => {
  for (const count of [1, 3])
    test(`commits a change soon and under the same owner when ${count} accept message(s) in a row are lost`, async () => {
      const fleet = new ControlFleet(21, nativeConfigurationFormat);
      assert.ok(await fleet.startAll(3));
      assert.ok(await fleet.world.runUntil(() => fleet.machines.some(isOwner), 3_000_000));
      const owner = fleet.machines.find(isOwner);
      assert.ok(owner !== undefined);
      const [silent, broken] = fleet.machines.filter((machine) => machine !== owner);
      assert.ok(silent !== undefined && broken !== undefined);
      fleet.network.cutLink(owner.machine, silent.machine);
      const brokenTimes = dropAccepts(fleet, broken, count);
      const epoch = owner.controlNode?.keyLeaders()['blueprint']?.epoch;
      const began = fleet.world.nowMicroseconds;
      const text = JSON.stringify(SimBlueprints.initial());
      const outcome = await fleet.change(owner, { key: 'blueprint', form: 'whole', text, ifMatch: 0, id: 'one' });
      assert.deepEqual(outcome, { kind: 'taken', revision: 1 });
      assert.equal(brokenTimes(), count);
      // Until the commit no agent can confirm any revision, and the freshness lease of every proxy runs down.
      const took = fleet.world.nowMicroseconds - began;
      assert.ok(took < fleet.settings.askMicroseconds / 2, `${took} µs`);
      assert.equal(owner.controlNode?.keyLeaders()['blueprint']?.epoch, epoch);
    });

  test('gives up after one request timeout when no majority can be reached', async () => {
    const fleet = new ControlFleet(22, nativeConfigurationFormat);
    assert.ok(await fleet.startAll(3));
    assert.ok(await fleet.world.runUntil(() => fleet.machines.some(isOwner), 3_000_000));
    const owner = fleet.machines.find(isOwner);
    assert.ok(owner !== undefined);
    const others = fleet.machines.filter((machine) => machine !== owner);
    for (const machine of others) machine.kill();
    const before = fleet.network.messages;
    const text = JSON.stringify(SimBlueprints.initial());
    const outcome = await fleet.change(owner, { key: 'blueprint', form: 'whole', text, ifMatch: 0, id: 'one' });
    assert.equal(outcome?.kind, 'unknown');
    assert.ok(fleet.network.messages - before < 400, `${fleet.network.messages - before} messages`);
  });
});
