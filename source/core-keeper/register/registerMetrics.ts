/** What the replicated registers of one control node count, so that a duel of leaders, slow rounds and lost majorities look different. */
import type { DocumentKey } from '../../shared/blueprint/types';
import type { Metrics } from '../../shared/metrics/metrics';

/** Why a replica campaigns: it hears no leader, or somebody waits for an answer that needs one. */
export type CampaignReason = 'vacancy' | 'request';
/** `refused`: no majority would let it lead (pre-vote). `missed`: outranked, or no majority answered. */
export type CampaignOutcome = 'won' | 'refused' | 'missed';
/** Why a leader asks its replicas to accept: a new value, proof that it still leads, or the value found by a campaign. */
export type RoundPurpose = 'change' | 'confirm' | 'commit';
export type RoundOutcome = 'reached' | 'missed' | 'full';

export class RegisterMetrics {
  public constructor(private readonly metrics: Metrics) {}

  public campaign(key: DocumentKey, reason: CampaignReason, outcome: CampaignOutcome): void {
    this.metrics.count('postdrum_campaigns_total', { key, reason, outcome });
  }

  /** One accept round; `valueBytes` is the length of the value offered to each replica, 0 where none was sent. */
  public round(key: DocumentKey, purpose: RoundPurpose, outcome: RoundOutcome, valueBytes: number): void {
    this.metrics.count('postdrum_rounds_total', { key, purpose, outcome });
    this.metrics.count('postdrum_round_value_bytes_total', { key, purpose }, valueBytes);
  }

  /** One operator's read, or one of another control node, by its outcome. */
  public read(key: DocumentKey, outcome: 'read' | 'noMajority', durationMicroseconds: number): void {
    this.metrics.count('postdrum_reads_total', { key, outcome });
    this.metrics.count('postdrum_read_microseconds_total', { key, outcome }, durationMicroseconds);
  }
}
