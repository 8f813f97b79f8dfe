import { DocumentKeys, type DocumentKey } from '../../shared/configuration/types';
import type { Clock } from '../../shared/effects/clock/clock';
import type { StatementsAnswer } from '../../shared/register/majorityRead';
import { Epochs, type KeyStatement } from '../../shared/register/types';
import { ReplicaStates } from '../write-ahead-log/replicaState';
import type { LeaderTracker } from '../membership/leaderTracker';
import type { Heartbeats } from './heartbeats';
import type { ReplicaCore } from './replicaCore';
import type { Leadership } from './leadership';
import type { QuorumWatch } from './quorumWatch';
import type { WeightsAges } from './weightsAges';

/** What one replica holds of a key, and how long it has led the key; null if it does not lead. */
export type ReplicaKeyStatus = Readonly<{
  epoch: string;
  revision: number;
  leadsForMicroseconds: number | null;
  takeovers: number;
}>;

/** The status of one replica that operators see. */
export type ReplicaStatus = Readonly<{
  keys: Readonly<Record<string, ReplicaKeyStatus>>;
  /** How long each other member has not answered a heartbeat; null if it never has. */
  silentMicroseconds: Readonly<Record<string, number | null>>;
}>;

/** The leader of a key, with its epoch and revision. */
export type KeyLeader = Readonly<{ owner: string; epoch: string; revision: number }>;

/** The parts of a control node that the report reads. */
export type ReportParts = Readonly<{
  core: ReplicaCore;
  clock: Clock;
  leadership: (key: DocumentKey) => Leadership;
  leaders: LeaderTracker;
  heartbeats: Heartbeats;
  quorum: QuorumWatch;
  ages: WeightsAges;
}>;

/** Reports what this replica holds and leads: to members and agents that read, and to operators. */
export class ReplicaReport {
  public constructor(private readonly parts: ReportParts) {}

  /** The leader of each key as known to this node; an empty name if it knows none. */
  public keyLeaders(): Readonly<Record<string, KeyLeader>> {
    const { core, leadership, leaders } = this.parts;
    return Object.fromEntries(
      DocumentKeys.map((key) => {
        const own = leadership(key).statement();
        const leader = leaders.leader(key);
        if (own !== undefined)
          return [key, { owner: core.name, epoch: Epochs.toText(own.epoch), revision: own.revision }];
        if (leader?.announced === undefined)
          return [
            key,
            {
              owner: '',
              epoch: '',
              revision: ReplicaStates.acceptorState(core.state, key).accepted?.entry.revision ?? 0,
            },
          ];
        return [
          key,
          { owner: leader.leader, epoch: Epochs.toText(leader.announced.epoch), revision: leader.announced.revision },
        ];
      }),
    );
  }

  public replicaStatus(): ReplicaStatus {
    const { core, clock, leadership, quorum } = this.parts;
    const now = clock.nowMicroseconds();
    const keys = DocumentKeys.map((key): readonly [string, ReplicaKeyStatus] => {
      const accepted = ReplicaStates.acceptorState(core.state, key).accepted;
      const led = leadership(key);
      const status = {
        epoch: accepted === null ? '' : Epochs.toText(accepted.epoch),
        revision: accepted?.entry.revision ?? 0,
        leadsForMicroseconds: led.state.kind === 'owning' ? now - led.ledSinceMicroseconds : null,
        takeovers: led.takeovers,
      };
      return [key, status];
    });
    const silent = Object.entries(quorum.silenceMicroseconds());
    return {
      keys: Object.fromEntries(keys),
      silentMicroseconds: Object.fromEntries(silent.map(([name, time]) => [name, time ?? null])),
    };
  }

  public keyStatements(): readonly KeyStatement[] {
    const { core, leadership, heartbeats, leaders, ages } = this.parts;
    return DocumentKeys.map((key) => {
      const accepted = ReplicaStates.acceptorState(core.state, key).accepted;
      const decided = leadership(key).statement() ?? heartbeats.decidedStatement(key);
      return {
        key,
        epoch: accepted?.epoch ?? Epochs.none,
        revision: accepted?.entry.revision ?? 0,
        digest: accepted?.entry.digest ?? '',
        decidedRevision: decided?.revision ?? 0,
        decidedDigest: decided?.digest ?? '',
        owner: leaders.lastLeader(key),
        ...(key === 'blueprint' ? { weights: ages.ages() } : {}),
      };
    });
  }

  /** What this replica holds, as an answer that agents and readers evaluate. */
  public statementsAnswer(): StatementsAnswer {
    const { core } = this.parts;
    const view = core.members();
    return { kind: 'words', stamp: core.stamp(), membersRevision: view.revision, view, words: this.keyStatements() };
  }

  /** The text of a key with this digest; undefined if this replica does not hold it. */
  public heldText(key: DocumentKey, digest: string): string | undefined {
    const { core } = this.parts;
    const entry = ReplicaStates.acceptorState(core.state, key).accepted?.entry;
    return entry?.digest === digest ? entry.text : undefined;
  }
}
