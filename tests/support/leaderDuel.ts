/** Scenario of incident inc1: the leader of a large configuration is unreachable while operators keep calling every member. */
import assert from 'node:assert/strict';
import { platformConfigurationFormat } from '../../platform/operators/configurationFormat';
import type { ChangeRequest } from '../../source/core-keeper/register/messages';
import { ControlFleet, type ControlMachine } from './controlFleet';
import { platformDocument } from './platformDocument';

/** The number of routes in the incident, for a value of about 400 kB. */
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

/** A change that replaces the configuration with a large document. */
export const largePut = (version: number, ifMatch: number): ChangeRequest => {
  const text = largeDocument(version);
  return { key: 'blueprint', form: 'whole', text, ifMatch, id: `put ${ifMatch} ${version}` };
};

/** Bandwidth of the links between control nodes in the incident. */
export const linkBytesPerSecond = 15_000_000;
const readLimitMicroseconds = 850_000;
const writePauseMicroseconds = 500_000;
const readPauseMicroseconds = 200_000;
/** Reads of the last 0.85 s may still be in progress when the observation ends. */
const maxReadsInFlight = 5;
const faultMicroseconds = 4_000_000;
const settleMicroseconds = 3_000_000;
/** One when the leader is lost, and one more if the first winner is partitioned or an old epoch returns. */
const maxTakeovers = 2;
const observationMicroseconds = 4_000_000;

type Reads = { answered: number; started: number };

/** Reads at one member after the other, with a new call every 0.2 s even if the last one has not been answered. */
const readPeriodically = (fleet: ControlFleet, machines: readonly ControlMachine[], reads: Reads): (() => void) => {
  let isOn = true;
  const next = (): void => {
    if (!isOn) return;
    const machine = machines[reads.started % machines.length];
    reads.started += 1;
    const began = fleet.world.nowMicroseconds;
    machine?.process.execute(
      () =>
        void machine.controlNode?.read('blueprint').then((read) => {
          if (read.kind === 'read' && fleet.world.nowMicroseconds - began <= readLimitMicroseconds) reads.answered += 1;
        }),
    );
    fleet.world.schedule(readPauseMicroseconds, next);
  };
  next();
  return () => {
    isOn = false;
  };
};

/** Two operators change the first version and repeat the same call until the test ends. */
const writePeriodically = (fleet: ControlFleet): (() => void) => {
  let isOn = true;
  const send = (order: ChangeRequest, turn: number): void => {
    if (!isOn) return;
    const machine = fleet.machines[turn % fleet.machines.length];
    machine?.process.execute(() => void machine.controlNode?.change(order));
    fleet.world.schedule(writePauseMicroseconds, () => send(order, turn + 1));
  };
  send(largePut(2, 1), 0);
  send(largePut(3, 1), 2);
  return () => {
    isOn = false;
  };
};

const takeovers = (fleet: ControlFleet): number =>
  fleet.machines.reduce(
    (sum, { controlNode: keeper }) => sum + (keeper?.replicaStatus().keys['blueprint']?.takeovers ?? 0),
    0,
  );

const leaderOf = (fleet: ControlFleet): ControlMachine => {
  const found = fleet.machines.find(({ process, controlNode: keeper, name }) => {
    return process.alive && keeper?.keyLeaders()['blueprint']?.owner === name;
  });
  assert.ok(found !== undefined);
  return found;
};

/** How the leader becomes unreachable. */
export type Fault = 'cut' | 'killed';
/** What operators do during the fault: read only, or also repeat two changes on one base. */
export type Workload = 'reads' | 'changes';

/** Runs the scenario and describes what was still wrong 3 s after the fault ended; empty if nothing was. */
export const runFault = async (fault: Fault, workload: Workload, seed: number): Promise<string> => {
  const fleet = new ControlFleet(seed, platformConfigurationFormat, { membersWanted: 5 });
  assert.ok(await fleet.startAll(5));
  fleet.network.linkBytesPerSecond = linkBytesPerSecond;
  assert.equal((await fleet.changeWithRetries(largePut(1, 0), 10_000_000))?.kind, 'taken');
  await fleet.world.runFor(1_000_000);
  const leader = leaderOf(fleet);
  const reads = { answered: 0, started: 0 };
  const first = takeovers(fleet);
  const stopReading = readPeriodically(fleet, fleet.machines, reads);
  const stopWriting = workload === 'changes' ? writePeriodically(fleet) : () => undefined;
  const heals = fleet.machines
    .filter((machine) => machine !== leader)
    .flatMap((other) => [
      fleet.network.cutLink(other.machine, leader.machine),
      fleet.network.cutLink(leader.machine, other.machine),
    ]);
  if (fault === 'killed') leader.kill();
  await fleet.world.runFor(faultMicroseconds);
  for (const heal of heals) heal();
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
    : `seed ${seed}: ${during} takeovers during the fault, ${changes} after it, ${answered} of ${started} reads answered, ${bytes} bytes`;
};
