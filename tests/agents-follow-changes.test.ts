/** All agents must apply each confirmed change in time while a majority of the control nodes works. */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { AgentFleet, type SentChange } from './support/agentFleet';
import type { ControlMachine } from './support/controlFleet';

const routeCount = 1_480;
/** The bandwidth of a control node's link. */
const linkBytesPerSecond = 15_000_000;
/** Less than half of the shortest time in which users require a change to be in force; the rest is for the proxies. */
const appliedWithinMicroseconds = 1_000_000;
const changesMicroseconds = 4_000_000;

const startFleet = async (seed: number): Promise<Readonly<{ fleet: AgentFleet; leader: ControlMachine }>> => {
  const fleet = new AgentFleet(seed, routeCount);
  await fleet.begin();
  fleet.control.network.linkBytesPerSecond = linkBytesPerSecond;
  return { fleet, leader: fleet.leader() };
};

const slowDown = (fleet: AgentFleet, machine: ControlMachine, microseconds: number): void => {
  const others = [...fleet.others(machine), ...fleet.agents].map((other) => other.machine);
  for (const other of others) {
    fleet.control.network.slowDown(machine.machine, other, microseconds);
    fleet.control.network.slowDown(other, machine.machine, microseconds);
  }
};

const assertAppliedInTime = (fleet: AgentFleet, changes: readonly SentChange[]): void => {
  const late = changes.filter((change) => fleet.lag(change) > appliedWithinMicroseconds);
  const lateChanges = late.map((change) => `revision ${change.revision}: ${fleet.lag(change)} µs`);
  assert.deepEqual(lateChanges, []);
};

describe('agents follow confirmed changes', () => {
  for (const [name, delayMicroseconds] of [
    ['without delay', 0],
    ['slowed by 50 ms each way', 50_000],
    ['slowed by 100 ms each way', 100_000],
  ] as const)
    test(`changes in quick succession with a leader ${name}: all agents apply each in time, 3 seeds`, async () => {
      for (const seed of [31, 32, 33]) {
        const { fleet, leader } = await startFleet(seed);
        if (delayMicroseconds > 0) slowDown(fleet, leader, delayMicroseconds);
        const changes = await fleet.changesFor(changesMicroseconds, fleet.others(leader));
        await fleet.runFor(appliedWithinMicroseconds);
        assertAppliedInTime(fleet, changes);
      }
    });
});
