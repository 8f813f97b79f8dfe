/** Campaigns for keys that nobody leads, as far as this replica hears. */
import { DocumentKeys, type DocumentKey } from '../../shared/blueprint/types';
import type { Clock } from '../../shared/effects/clock/clock';
import type { Random } from '../../shared/effects/random/random';
import { Rendezvous } from '../../shared/rendezvous/rendezvous';
import type { LeaderWatch } from '../standing/leaderWatch';
import type { Heartbeats } from './heartbeats';
import type { KeeperCore } from './keeperCore';
import type { Ownership } from './ownership';

/** Starting values, ours: how far apart members of two ranks campaign, and the pause after a campaign. */
const rankMicroseconds = 250_000;
const leastPauseMicroseconds = 200_000;
const pauseSpreadMicroseconds = 400_000;

export type VacancyParts = Readonly<{
  core: KeeperCore;
  clock: Clock;
  random: Random;
  leadership: (key: DocumentKey) => Ownership;
  leaders: LeaderWatch;
  heartbeats: Heartbeats;
  /** A disk that hangs for longer keeps its node from leading. */
  ownerSilentMicroseconds: number;
}>;

export class Vacancies {
  /** Until when a key without a leader is left alone. */
  private readonly quietUntil = new Map<DocumentKey, number>();

  public constructor(private readonly parts: VacancyParts) {}

  /** One look at all keys; a campaign for each whose pause is over. */
  public async fill(): Promise<void> {
    const { core, ownerSilentMicroseconds } = this.parts;
    if (!core.votes() || core.ledger.stalledMicroseconds() > ownerSilentMicroseconds) return;
    const now = this.parts.clock.nowMicroseconds();
    for (const key of DocumentKeys) await this.fillOne(key, now);
  }

  private async fillOne(key: DocumentKey, now: number): Promise<void> {
    const { random, leadership, heartbeats } = this.parts;
    if (leadership(key).state.kind !== 'none' || this.isLed(key)) {
      this.quietUntil.delete(key);
      return;
    }
    const quiet = this.quietUntil.get(key);
    if (quiet === undefined) {
      this.quietUntil.set(key, now + this.rankPauseMicroseconds(key));
      return;
    }
    if (now < quiet) return;
    if (await leadership(key).win('vacancy')) heartbeats.send();
    this.quietUntil.set(key, now + leastPauseMicroseconds + Math.floor(random.fraction() * pauseSpreadMicroseconds));
  }

  private isLed(key: DocumentKey): boolean {
    const leader = this.parts.leaders.leader(key);
    return leader !== undefined && this.parts.core.members().members[leader.leader] !== undefined;
  }

  /** Why by rank: the keys spread over the members, and two rarely campaign at once. */
  private rankPauseMicroseconds(key: DocumentKey): number {
    const { core } = this.parts;
    const rank = Rendezvous.rank(`owner/${key}`, core.name, Object.keys(core.members().members));
    return Math.max(0, rank) * rankMicroseconds;
  }
}
