import type { DocumentKey } from '../../shared/configuration/types';
import type { Metrics } from '../../shared/metrics/metrics';

/** Reason for a campaign: the replica receives no heartbeats of a leader, or a request needs one. */
export type CampaignReason = 'vacancy' | 'request';
/** `refused`: no majority granted the pre-vote. `missed`: outranked, or no majority answered. */
export type CampaignOutcome = 'won' | 'refused' | 'missed';
/** Purpose of an accept round: a new value, a check that the leader still leads, or the value found by a campaign. */
export type RoundPurpose = 'change' | 'confirm' | 'commit';
/** `missed`: no majority accepted. `full`: every member refused for lack of disk space. */
export type RoundOutcome = 'reached' | 'missed' | 'full';

/** Counters of one control node's registers that tell competing leaders, slow rounds and lost majorities apart. */
export class RegisterMetrics {
  public constructor(private readonly metrics: Metrics) {}

  public countCampaign(key: DocumentKey, reason: CampaignReason, outcome: CampaignOutcome): void {
    this.metrics.count('postdrum_campaigns_total', { key, reason, outcome });
  }

  /** Counts an accept round; `valueBytes` is the length of the value sent to each replica, 0 if none was sent. */
  public countRound(key: DocumentKey, purpose: RoundPurpose, outcome: RoundOutcome, valueBytes: number): void {
    this.metrics.count('postdrum_rounds_total', { key, purpose, outcome });
    this.metrics.count('postdrum_round_value_bytes_total', { key, purpose }, valueBytes);
  }

  /** Counts a read by an operator or another control node. */
  public countRead(key: DocumentKey, outcome: 'read' | 'noMajority', durationMicroseconds: number): void {
    this.metrics.count('postdrum_reads_total', { key, outcome });
    this.metrics.count('postdrum_read_microseconds_total', { key, outcome }, durationMicroseconds);
  }
}
