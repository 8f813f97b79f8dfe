import type { CheckReport } from '../checking/blueprintCheck';
import type { FleetView } from '../reaching/fleetReach';

const age = (microseconds: number | null): string =>
  microseconds === null ? 'never' : `${(microseconds / 1000).toFixed(0)} ms`;

/** What a person reads. */
export const Texts = {
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
    const first = keepers.find(({ standing }) => standing === 'voting');
    const engines = new Map(agents.flatMap((agent) => agent.engines.map((engine) => [engine.engine, engine] as const)));
    const stewards = new Map(
      agents.flatMap((agent) => agent.stewards.map((steward) => [steward.engine, steward] as const)),
    );
    const shards = new Map(agents.flatMap((agent) => agent.shards.map((shard) => [shard.holder, shard] as const)));
    return [
      ...(silent.length > 0 ? [`partial: no answer from ${silent.join(', ')}`] : []),
      `fleet ${first?.fleet ?? 'unknown'}`,
      'keepers:',
      ...keepers.map(
        ({ keeper, standing, incarnation, membersRevision }) =>
          `  ${keeper}: ${standing}, incarnation ${incarnation}, members revision ${membersRevision}`,
      ),
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
        .map(({ engine, kind, weights, bootEpoch, capacity, inFlight, reachable, accepting, changing }) => {
          const steward = stewards.get(engine);
          const shard = shards.get(engine);
          return `  ${engine}: ${kind}, ${reachable ? (changing ? 'changing' : accepting ? 'ready' : 'not accepting') : 'not reached'}, weights ${weights === '' ? '-' : weights}, boot ${bootEpoch.slice(0, 8)}, ${inFlight}/${capacity}, steward ${steward?.holder ?? 'nobody'} term ${steward?.term ?? 0}, directory ${shard?.committed ?? 0} blocks at epoch ${shard?.epoch ?? 0}`;
        }),
    ].join('\n');
  },
} as const;
