import type { CheckReport } from '../checking/fleetCheck';
import type { FleetView, ControlNodeStatus } from '../client/fleetClient';
import type { EngineEntry } from '../../shared/gossip/entryTypes';

const age = (microseconds: number | null): string =>
  microseconds === null ? 'never' : `${(microseconds / 1000).toFixed(0)} ms`;

const seconds = (microseconds: number): string => `${(microseconds / 1_000_000).toFixed(0)} s`;

/** Members that have not answered for longer than this are named as silent. */
const silentMicroseconds = 2_000_000;

/** Per key: whether it leads and since when, or how far behind the newest revision that any replica holds it is. */
const replicaLines = ({ replica }: ControlNodeStatus, newest: Readonly<Record<string, number>>): readonly string[] => {
  if (replica === undefined) return [];
  const keys = Object.entries(replica.keys).map(([key, { epoch, revision, leadsForMicroseconds }]) => {
    const behind = (newest[key] ?? 0) - revision;
    const role = leadsForMicroseconds === null ? 'follows' : `leads for ${seconds(leadsForMicroseconds)}`;
    return `    ${key}: ${role}, epoch ${epoch === '' ? '-' : epoch}, revision ${revision}${behind > 0 ? `, ${behind} behind` : ''}`;
  });
  const silent = Object.entries(replica.silentMicroseconds).flatMap(([name, time]) =>
    time !== null && time > silentMicroseconds ? [`${name} for ${seconds(time)}`] : [],
  );
  return silent.length === 0 ? keys : [...keys, `    hears nothing of ${silent.join(', ')}`];
};

const newestRevisions = (keepers: readonly ControlNodeStatus[]): Readonly<Record<string, number>> => {
  const newest: Record<string, number> = {};
  for (const { replica } of keepers)
    for (const [key, { revision }] of Object.entries(replica?.keys ?? {}))
      newest[key] = Math.max(newest[key] ?? 0, revision);
  return newest;
};

/** The weights of an engine, by model if it has several. */
const weightsText = ({ weights, models = {} }: EngineEntry): string => {
  const named = Object.entries(models).map(([model, version]) => `${model} ${version === '' ? '-' : version}`);
  if (named.length > 0) return named.join(' and ');
  return weights === '' ? '-' : weights;
};

/** Human-readable output of the check and status commands. */
export const Reports = {
  check: ({ changes, concerned, findings, partial }: CheckReport): string =>
    [
      ...(partial ? ['partial: some of the fleet did not answer'] : []),
      changes.length === 0 ? 'nothing would change' : 'would change:',
      ...changes.map((line) => `  ${line}`),
      ...(concerned.length === 0 ? [] : ['concerned:', ...concerned.map((line) => `  ${line}`)]),
      findings.length === 0 ? 'no findings' : 'findings:',
      ...findings.map(({ path, finding }) => `  ${path}: ${finding}`),
    ].join('\n'),

  status: ({ keepers, agents, silent }: FleetView): string => {
    const newest = newestRevisions(keepers);
    const first = keepers.find(({ standing }) => standing === 'voting');
    const engines = new Map(agents.flatMap((agent) => agent.engines.map((engine) => [engine.engine, engine] as const)));
    const controllers = new Map(
      agents.flatMap((agent) => agent.stewards.map((controller) => [controller.engine, controller] as const)),
    );
    const shards = new Map(agents.flatMap((agent) => agent.shards.map((shard) => [shard.holder, shard] as const)));
    return [
      ...(silent.length > 0 ? [`partial: no answer from ${silent.join(', ')}`] : []),
      `fleet ${first?.fleet ?? 'unknown'}`,
      'keepers:',
      ...keepers.flatMap((status) => [
        `  ${status.keeper}: ${status.standing}, incarnation ${status.incarnation}, members revision ${status.membersRevision}`,
        ...replicaLines(status, newest),
      ]),
      'owners:',
      ...Object.entries(first?.owners ?? {}).map(
        ([key, { owner, epoch, revision }]) =>
          `  ${key}: ${owner === '' ? 'nobody' : `${owner} under ${epoch}`}, revision ${revision}`,
      ),
      'daemons:',
      ...agents.map(
        ({ agent, revisions, ageMicroseconds, members }) =>
          `  ${agent}: blueprint ${revisions['blueprint'] ?? 0}, engines ${revisions['engines'] ?? 0}, age ${age(ageMicroseconds)}, knows ${members.filter(({ state }) => state === 'alive').length}`,
      ),
      'engines:',
      ...[...engines.values()]
        .sort((left, right) => (left.engine < right.engine ? -1 : 1))
        .map((entry) => {
          const { engine, kind, bootEpoch, capacity, inFlight, reachable, accepting, changing } = entry;
          const controller = controllers.get(engine);
          const shard = shards.get(engine);
          return `  ${engine}: ${kind}, ${reachable ? (changing ? 'changing' : accepting ? 'ready' : 'not accepting') : 'not reached'}, weights ${weightsText(entry)}, boot ${bootEpoch.slice(0, 8)}, ${inFlight}/${capacity}, steward ${controller?.holder ?? 'nobody'} term ${controller?.term ?? 0}, directory ${shard?.committed ?? 0} blocks at epoch ${shard?.epoch ?? 0}`;
        }),
    ].join('\n');
  },
} as const;
