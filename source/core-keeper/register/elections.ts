import { DocumentKeys, type DocumentKey } from '../../shared/configuration/types';
import type { Clock } from '../../shared/effects/clock/clock';
import type { Random } from '../../shared/effects/random/random';
import { Rendezvous } from '../../shared/rendezvous/rendezvous';
import type { LeaderTracker } from '../membership/leaderTracker';
import type { Heartbeats } from './heartbeats';
import type { ReplicaCore } from './replicaCore';
import type { Leadership } from './leadership';

/** Delay between the campaigns of members of successive ranks, and delay with random jitter after a campaign. */
const rankStepMicroseconds = 250_000;
const minRetryDelayMicroseconds = 200_000;
const retryJitterMicroseconds = 400_000;

/** What elections need from their control node. */
export type ElectionParts = Readonly<{
  core: ReplicaCore;
  clock: Clock;
  random: Random;
  leadership: (key: DocumentKey) => Leadership;
  leaders: LeaderTracker;
  heartbeats: Heartbeats;
  /** A node whose disk has stalled for longer than this does not campaign. */
  ownerSilentMicroseconds: number;
}>;

/** Campaigns for keys without a leader, as far as this replica receives heartbeats. */
export class Elections {
  /** Earliest time of the next campaign for a key without a leader. */
  private readonly nextCampaignMicroseconds = new Map<DocumentKey, number>();

  public constructor(private readonly parts: ElectionParts) {}

  /** Checks all keys and campaigns for each vacant one whose delay has passed. */
  public async campaignForVacantKeys(): Promise<void> {
    const { core, ownerSilentMicroseconds } = this.parts;
    if (!core.votes() || core.ledger.oldestWriteMicroseconds() > ownerSilentMicroseconds) return;
    const now = this.parts.clock.nowMicroseconds();
    for (const key of DocumentKeys) await this.campaignIfVacant(key, now);
  }

  private async campaignIfVacant(key: DocumentKey, now: number): Promise<void> {
    const { random, leadership, heartbeats } = this.parts;
    if (leadership(key).state.kind !== 'none' || this.isLed(key)) {
      this.nextCampaignMicroseconds.delete(key);
      return;
    }
    const nextCampaign = this.nextCampaignMicroseconds.get(key);
    if (nextCampaign === undefined) {
      this.nextCampaignMicroseconds.set(key, now + this.campaignDelayMicroseconds(key));
      return;
    }
    if (now < nextCampaign) return;
    if (await leadership(key).acquire('vacancy')) heartbeats.send();
    this.nextCampaignMicroseconds.set(
      key,
      now + minRetryDelayMicroseconds + Math.floor(random.fraction() * retryJitterMicroseconds),
    );
  }

  private isLed(key: DocumentKey): boolean {
    const leader = this.parts.leaders.leader(key);
    return leader !== undefined && this.parts.core.members().members[leader.leader] !== undefined;
  }

  /** The delay depends on the member's rank for the key, which spreads the keys over the members and makes simultaneous campaigns rare. */
  private campaignDelayMicroseconds(key: DocumentKey): number {
    const { core } = this.parts;
    const rank = Rendezvous.rank(`owner/${key}`, core.name, Object.keys(core.members().members));
    return Math.max(0, rank) * rankStepMicroseconds;
  }
}
