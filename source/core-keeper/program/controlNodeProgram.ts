import type { ConfigurationFormat } from '../../shared/configuration/configurationFormat';
import type { Disk } from '../../shared/effects/disk/disk';
import type { Effects } from '../../shared/effects/effects';
import type { HttpApiServer } from '../../shared/http/httpApiServer';
import type { ControlNodeSettings } from '../controlNodeSettings';
import { ControlNode } from '../controlNode';
import { OperatorApi, type OperatorApiSettings } from '../operators/operatorApi';
import type { OperatorApiFormat } from '../operators/operatorApiFormat';

/** What the variants of the control node's program provide. */
export type ControlNodeOptions = Readonly<{
  effects: Effects;
  disk: Disk;
  settings: ControlNodeSettings;
  dialect: ConfigurationFormat;
  operatorApiFormat: OperatorApiFormat;
  operatorApi: OperatorApiSettings;
  /** Called when the disk can no longer be trusted; the process must then exit. */
  onDiskFailure: (sentence: string) => void;
}>;

/** A running control node with its operator API. */
export type RunningControlNode = Readonly<{
  controlNode: ControlNode;
  operatorApi: HttpApiServer;
  address: string;
  stop: () => Promise<void>;
}>;

/** Starts a complete control node: the replica, the listener for other processes and the operator API. */
export const startControlNode = async (options: ControlNodeOptions): Promise<RunningControlNode> => {
  const { effects, settings } = options;
  const node = new ControlNode(effects, options.disk, settings, options.dialect);
  const { metrics } = node;
  metrics.addGauges(() => [
    ['postdrum_keeper_votes', {}, node.core.votes() ? 1 : 0],
    ...Object.entries(node.keyLeaders()).map(
      ([key, { revision, owner }]) => ['postdrum_key_revision', { key, owner }, revision] as const,
    ),
  ]);
  metrics.addGauges(() => {
    const { bytes, snapshotBytes, snapshots } = node.core.ledger.size;
    return [
      ['postdrum_log_bytes', {}, bytes],
      ['postdrum_log_snapshot_bytes', {}, snapshotBytes],
      ['postdrum_log_snapshots_total', {}, snapshots],
      ...Object.entries(node.replicaStatus().keys).flatMap(([key, { leadsForMicroseconds, takeovers }]) => [
        ['postdrum_key_leads', { key }, leadsForMicroseconds === null ? 0 : 1] as const,
        ['postdrum_key_takeovers_total', { key }, takeovers] as const,
      ]),
    ];
  });
  node.events.on('broken', options.onDiskFailure);
  const started = await node.start();
  if (started.kind === 'corrupt')
    throw new Error(
      `the file in the data folder is damaged at byte ${started.at}; this keeper must not vote. Empty the folder, and it catches up from the others.`,
    );
  if (started.kind === 'unreadable')
    throw new Error(
      `record ${started.record} of the file in the data folder is not of a form that this build knows; it was written by a later one. Start that build, or empty the folder, and this keeper catches up from the others.`,
    );
  const api = await OperatorApi.open(node, options.operatorApiFormat, options.operatorApi, effects.clock, metrics);
  return {
    controlNode: node,
    operatorApi: api,
    address: started.address,
    stop: async () => {
      // The operator API is drained first, so that calls already read get their outcome while this node still reaches the others.
      await api.drain();
      await node.leave();
      await effects.transport.close();
    },
  };
};
