/** The trouble of incident inc1: the leader of a large configuration out of reach while operators go on calling every member. */
import assert from 'node:assert/strict';
import { platformDialect } from '../../platform/operators/dialect';
import type { ChangeOrder } from '../../source/core-keeper/register/messages';
import { ControlFleet, type ControlMachine } from './controlFleet';
import { platformDocument } from './platformDocument';

/** As many routes as the incident's day had, so that a value is some 400 kB. */
const extraRouteCount = 1_800;

const largeDocument = (version: number): string => {
  const small = JSON.parse(platformDocument(version)) as { routes: readonly Record<string, unknown>[] };
  const more = Array.from({ length: extraRouteCount }, (_, index) => ({
    ...small.routes[0],
    name: `r-${index}`,
    pathPrefix: `/more-${index}/`,
  }));
  return JSON.stringify({ ...small, routes: [...small.routes, ...more] });
};

export const largePut = (version: number, ifMatch: number): ChangeOrder => {
  const text = largeDocument(version);
  return { key: 'blueprint', form: 'whole', text, ifMatch, id: `put ${ifMatch} ${version}` };
};

/** The incident's links between core machines. */
export const linkBytesPerSecond = 15_000_000;
const readLimitMicroseconds = 850_000;
const writePauseMicroseconds = 500_000;
const readPauseMicroseconds = 200_000;
/** A read of the last 0.85 s may still be under way when the look ends. */
const maxReadsInFlight = 5;
const faultMicroseconds = 4_000_000;
const settleMicroseconds = 3_000_000;
/** One when the leader is lost, and one more where the first winner is cut off or an old epoch comes back. */
const maxTakeovers = 2;
const observationMicroseconds = 4_000_000;

type Reads = { answered: number; started: number };

/** An operator that reads at one member after the other, a new call every 0.2 s whether the last was answered or not. */
const readPeriodically = (fleet: ControlFleet, machines: readonly ControlMachine[], reads: Reads): (() => void) => {
  let isOn = true;
  const next = (): void => {
    if (!isOn) return;
    const machine = machines[reads.started % machines.length];
    reads.started += 1;
    const began = fleet.world.nowMicroseconds;
    machine?.process.enter(
      () =>
        void machine.keeper?.read('blueprint').then((read) => {
          if (read.kind === 'read' && fleet.world.nowMicroseconds - began <= readLimitMicroseconds) reads.answered += 1;
        }),
    );
    fleet.world.plan(readPauseMicroseconds, next);
  };
  next();
  return () => {
    isOn = false;
  };
};

/** Two operators that both change the first version, and send the very same call again until the test is over. */
const writePeriodically = (fleet: ControlFleet): (() => void) => {
  let isOn = true;
  const send = (order: ChangeOrder, turn: number): void => {
    if (!isOn) return;
    const machine = fleet.machines[turn % fleet.machines.length];
    machine?.process.enter(() => void machine.keeper?.change(order));
    fleet.world.plan(writePauseMicroseconds, () => send(order, turn + 1));
  };
  send(largePut(2, 1), 0);
  send(largePut(3, 1), 2);
  return () => {
    isOn = false;
  };
};

const takeovers = (fleet: ControlFleet): number =>
  fleet.machines.reduce((sum, { keeper }) => sum + (keeper?.replicaStatus().keys['blueprint']?.takeovers ?? 0), 0);

const leaderOf = (fleet: ControlFleet): ControlMachine => {
  const found = fleet.machines.find(({ process, keeper, name }) => {
    return process.alive && keeper?.owners()['blueprint']?.owner === name;
  });
  assert.ok(found !== undefined);
  return found;
};

export type Fault = 'cut' | 'killed';
/** What operators do meanwhile: read, or send two changes on one base again and again. */
export type Workload = 'reads' | 'changes';

/** What was wrong once the trouble was 3 s over; empty: nothing. */
export const runFault = async (fault: Fault, workload: Workload, seed: number): Promise<string> => {
  const fleet = new ControlFleet(seed, platformDialect, { membersWanted: 5 });
  assert.ok(await fleet.begin(5));
  fleet.network.linkBytesPerSecond = linkBytesPerSecond;
  assert.equal((await fleet.persist(largePut(1, 0), 10_000_000))?.kind, 'taken');
  await fleet.world.runFor(1_000_000);
  const leader = leaderOf(fleet);
  const reads = { answered: 0, started: 0 };
  const first = takeovers(fleet);
  const stopReading = readPeriodically(fleet, fleet.machines, reads);
  const stopWriting = workload === 'changes' ? writePeriodically(fleet) : () => undefined;
  const mends = fleet.machines
    .filter((machine) => machine !== leader)
    .flatMap((other) => [
      fleet.network.cut(other.machine, leader.machine),
      fleet.network.cut(leader.machine, other.machine),
    ]);
  if (fault === 'killed') leader.kill();
  await fleet.world.runFor(faultMicroseconds);
  for (const mend of mends) mend();
  if (fault === 'killed') leader.start();
  await fleet.world.runFor(settleMicroseconds);
  const before = { ...reads, takeovers: takeovers(fleet), bytes: fleet.network.bytes };
  await fleet.world.runFor(observationMicroseconds);
  stopReading();
  stopWriting();
  const changes = takeovers(fleet) - before.takeovers;
  const answered = reads.answered - before.answered;
  const started = reads.started - before.started;
  const during = before.takeovers - first;
  const isHealthy = during <= maxTakeovers && changes === 0 && answered >= started - maxReadsInFlight;
  const bytes = fleet.network.bytes - before.bytes;
  return isHealthy
    ? ''
    : `seed ${seed}: ${during} takeovers in the trouble, ${changes} after it, ${answered} of ${started} reads answered, ${bytes} bytes`;
};
