import type { Dialect } from '../../shared/blueprint/dialect';
import type { Disk } from '../../shared/effects/disk/disk';
import type { Effects } from '../../shared/effects/effects';
import type { HttpDoor } from '../../shared/http/httpDoor';
import type { KeeperSettings } from '../controlSettings';
import { CoreKeeper } from '../coreKeeper';
import { OperatorsDoor, type DoorSettings } from '../operators/operatorsDoor';
import type { OperatorsWords } from '../operators/operatorsWords';

/** What the variants of the control node's program provide. */
export type KeeperParts = Readonly<{
  effects: Effects;
  disk: Disk;
  settings: KeeperSettings;
  dialect: Dialect;
  words: OperatorsWords;
  door: DoorSettings;
  /** Called when the disk can no longer be trusted; the process must then exit. */
  broken: (sentence: string) => void;
}>;

/** A running control node with its operator API. */
export type KeeperProgram = Readonly<{
  keeper: CoreKeeper;
  door: HttpDoor;
  address: string;
  stop: () => Promise<void>;
}>;

/** Starts a complete control node: the replica, the listener for other processes and the operator API. */
export const startKeeper = async (options: KeeperParts): Promise<KeeperProgram> => {
  const { effects, settings } = options;
  const keeper = new CoreKeeper(effects, options.disk, settings, options.dialect);
  const { metrics } = keeper;
  metrics.watch(() => [
    ['postdrum_keeper_votes', {}, keeper.core.votes() ? 1 : 0],
    ...Object.entries(keeper.owners()).map(
      ([key, { revision, owner }]) => ['postdrum_key_revision', { key, owner }, revision] as const,
    ),
  ]);
  metrics.watch(() => {
    const { bytes, snapshotBytes, snapshots } = keeper.core.ledger.size;
    return [
      ['postdrum_log_bytes', {}, bytes],
      ['postdrum_log_snapshot_bytes', {}, snapshotBytes],
      ['postdrum_log_snapshots_total', {}, snapshots],
      ...Object.entries(keeper.replicaStatus().keys).flatMap(([key, { leadsForMicroseconds, takeovers }]) => [
        ['postdrum_key_leads', { key }, leadsForMicroseconds === null ? 0 : 1] as const,
        ['postdrum_key_takeovers_total', { key }, takeovers] as const,
      ]),
    ];
  });
  keeper.news.on('broken', options.broken);
  const started = await keeper.start();
  if (started.kind === 'corrupt')
    throw new Error(
      `the file in the data folder is damaged at byte ${started.at}; this keeper must not vote. Empty the folder, and it catches up from the others.`,
    );
  if (started.kind === 'unreadable')
    throw new Error(
      `record ${started.record} of the file in the data folder is not of a form that this build knows; it was written by a later one. Start that build, or empty the folder, and this keeper catches up from the others.`,
    );
  const door = await OperatorsDoor.open(keeper, options.words, options.door, effects.clock, metrics);
  return {
    keeper,
    door,
    address: started.address,
    stop: async () => {
      // The operator API is drained first, so that calls already read get their outcome while this node still reaches the others.
      await door.drain();
      await keeper.leave();
      await effects.transport.close();
    },
  };
};
