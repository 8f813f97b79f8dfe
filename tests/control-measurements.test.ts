/** Measures the control nodes in virtual time, checks an upper bound for each figure and prints the figures as diagnostics. */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { platformConfigurationFormat } from '../platform/operators/configurationFormat';
import type { ChangeRequest } from '../source/core-keeper/register/messages';
import { ControlFleet, type ControlMachine } from './support/controlFleet';
import { platformDocument } from './support/platformDocument';

const seeds = [1001, 1002, 1003, 1004, 1005, 1006, 1007, 1008];

const put = (version: number): ChangeRequest => {
  const text = platformDocument(version);
  return { key: 'blueprint', form: 'whole', text, ifMatch: version - 1, id: `put ${version}` };
};

const startedFleet = async (seed: number, count: number): Promise<ControlFleet> => {
  const fleet = new ControlFleet(seed, platformConfigurationFormat, { membersWanted: count });
  assert.ok(await fleet.startAll(count));
  await fleet.world.runFor(3_000_000);
  assert.equal((await fleet.change(fleet.machine(1), put(1)))?.kind, 'taken');
  return fleet;
};

const leaderOf = (fleet: ControlFleet): ControlMachine => {
  const found = fleet.machines.find(
    ({ controlNode: keeper, name }) => keeper?.keyLeaders()['blueprint']?.owner === name,
  );
  assert.ok(found !== undefined, 'there is a leader');
  return found;
};

const sorted = (values: readonly number[]): readonly number[] => [...values].sort((left, right) => left - right);
const quantile = (values: readonly number[], share: number): number =>
  sorted(values)[Math.min(values.length - 1, Math.floor(values.length * share))] ?? 0;
const milliseconds = (microseconds: number): string => `${(microseconds / 1000).toFixed(1)} ms`;
const summary = (values: readonly number[]): string =>
  `median ${milliseconds(quantile(values, 0.5))}, p99 ${milliseconds(quantile(values, 0.99))}`;

type Fault = (fleet: ControlFleet, leader: ControlMachine) => void;

const faults: Readonly<Record<string, Fault>> = {
  lost: (_, leader) => leader.kill(true),
  'cut off': (fleet, leader) => {
    for (const other of fleet.machines.filter((machine) => machine !== leader)) {
      fleet.network.cutLink(leader.machine, other.machine);
      fleet.network.cutLink(other.machine, leader.machine);
    }
  },
  'slowed by 300 ms each way': (fleet, leader) => {
    for (const other of fleet.machines.filter((machine) => machine !== leader)) {
      fleet.network.slowDown(leader.machine, other.machine, 300_000);
      fleet.network.slowDown(other.machine, leader.machine, 300_000);
    }
  },
};

describe('measurements of the control nodes', () => {
  for (const [how, fault] of Object.entries(faults))
    for (const count of [3, 5])
      test(`the leader of ${count} nodes is ${how}: the next change is confirmed elsewhere in time`, async (context) => {
        const times: number[] = [];
        for (const seed of seeds) {
          const fleet = await startedFleet(seed, count);
          const leader = leaderOf(fleet);
          fault(fleet, leader);
          const began = fleet.world.nowMicroseconds;
          const others = fleet.machines.filter((machine) => machine !== leader);
          assert.equal((await fleet.changeWithRetriesAt(others, put(2), 6_000_000))?.kind, 'taken');
          times.push(fleet.world.nowMicroseconds - began);
        }
        context.diagnostic(summary(times));
        assert.ok(Math.max(...times) <= 4_000_000);
      });

  test('a wiped member catches up after 300 changes', async (context) => {
    const times: number[] = [];
    const bytes: number[] = [];
    for (const seed of seeds) {
      const fleet = await startedFleet(seed, 3);
      for (let version = 2; version <= 301; version += 1)
        assert.equal((await fleet.change(leaderOf(fleet), put(version)))?.kind, 'taken');
      const wiped = fleet.machines.find((machine) => machine !== leaderOf(fleet));
      assert.ok(wiped !== undefined);
      wiped.kill(true);
      wiped.disk.wipe();
      const [began, before] = [fleet.world.nowMicroseconds, fleet.network.bytes];
      wiped.start();
      assert.ok(await fleet.world.runUntil(() => wiped.votes, 6_000_000));
      times.push(fleet.world.nowMicroseconds - began);
      bytes.push(fleet.network.bytes - before);
    }
    context.diagnostic(`${summary(times)}; ${quantile(bytes, 0.5)} bytes on all links during that time`);
    assert.ok(Math.max(...times) <= 4_000_000);
    assert.ok(Math.max(...bytes) <= 400_000);
  });

  for (const [count, away] of [
    [3, 1],
    [5, 2],
  ] as const)
    test(`a change is confirmed while ${away} of ${count} nodes are down`, async (context) => {
      const times: number[] = [];
      for (const seed of seeds) {
        const fleet = await startedFleet(seed, count);
        const leader = leaderOf(fleet);
        for (const gone of fleet.machines.filter((machine) => machine !== leader).slice(0, away)) gone.kill();
        await fleet.world.runFor(3_000_000);
        for (let version = 2; version <= 41; version += 1) {
          const began = fleet.world.nowMicroseconds;
          const asked = fleet.machines.find((machine) => machine.process.alive && machine !== leader) ?? leader;
          assert.equal((await fleet.change(asked, put(version)))?.kind, 'taken');
          times.push(fleet.world.nowMicroseconds - began);
        }
      }
      context.diagnostic(summary(times));
      assert.ok(quantile(times, 0.99) <= 300_000);
    });

  test('three idle control nodes exchange few bytes', async (context) => {
    const fleet = await startedFleet(1001, 3);
    const [messages, bytes] = [fleet.network.messages, fleet.network.bytes];
    await fleet.world.runFor(60_000_000);
    const perSecond = (fleet.network.bytes - bytes) / 60;
    context.diagnostic(
      `${((fleet.network.messages - messages) / 60).toFixed(1)} messages, ${perSecond.toFixed(0)} bytes a second`,
    );
    assert.ok(perSecond <= 60_000);
  });
});
