import { DocumentKeys, type DocumentKey } from '../../shared/configuration/types';
import type { Clock } from '../../shared/effects/clock/clock';
import { Epochs, type Epoch } from '../../shared/register/types';
import type { LeaderStatement } from '../register/messages';

type Contact = Readonly<{
  leader: string;
  epoch: Epoch;
  atMicroseconds: number;
  /** The last heartbeat's statement on this key; undefined before the first heartbeat. */
  announced: LeaderStatement | undefined;
}>;

/** A leader and its last statement on the key, if a heartbeat has arrived. */
export type KnownLeader = Readonly<{ leader: string; announced: LeaderStatement | undefined }>;

/**
 * Tracks the leader of each key as this replica sees it. Heartbeats and accept requests identify a leader. It is dropped when it is silent for
 * the timeout or when its heartbeat no longer lists the key. A promise to a candidate blocks others for the same time, so that an election
 * under way can finish before another one starts.
 */
export class LeaderTracker {
  private readonly contacts = new Map<DocumentKey, Contact>();
  private readonly promises = new Map<DocumentKey, Readonly<{ candidate: string; atMicroseconds: number }>>();

  public constructor(
    private readonly clock: Clock,
    private readonly timeoutMicroseconds: number,
  ) {}

  /** Processes a heartbeat, which lists all keys that a node leads. Returns the statements that are not outdated. */
  public recordHeartbeat(leader: string, statements: readonly LeaderStatement[]): readonly LeaderStatement[] {
    for (const key of DocumentKeys) {
      const contact = this.contacts.get(key);
      const hasAnnounced = contact?.leader === leader && contact.announced !== undefined;
      if (hasAnnounced && !statements.some((statement) => statement.key === key)) this.contacts.delete(key);
    }
    return statements.filter((statement) => this.recordContact(statement.key, leader, statement.epoch, statement));
  }

  /** Records an accept request; its epoch names the leader. */
  public recordAccept(key: DocumentKey, epoch: Epoch): void {
    this.recordContact(key, epoch.keeper, epoch, undefined);
  }

  /** Records that this replica promised an epoch to a candidate. */
  public recordPromise(key: DocumentKey, epoch: Epoch): void {
    this.promises.set(key, { candidate: epoch.keeper, atMicroseconds: this.clock.nowMicroseconds() });
  }

  /** Drops a node that stops as the leader of all its keys. */
  public removeLeader(leader: string): void {
    for (const [key, contact] of this.contacts) if (contact.leader === leader) this.contacts.delete(key);
  }

  /** The leader of a key, if it was in contact within the timeout. */
  public leader(key: DocumentKey): KnownLeader | undefined {
    const contact = this.contacts.get(key);
    return contact !== undefined && this.isRecent(contact.atMicroseconds) ? contact : undefined;
  }

  /** The last known leader of a key, however old; empty if there was none. */
  public lastLeader(key: DocumentKey): string {
    return this.contacts.get(key)?.leader ?? '';
  }

  /** Whether an election by this candidate would interrupt a current leader or another candidate with a recent promise. */
  public wouldDepose(key: DocumentKey, candidate: string): boolean {
    const leader = this.leader(key);
    if (leader !== undefined && leader.leader !== candidate) return true;
    const promise = this.promises.get(key);
    return promise !== undefined && promise.candidate !== candidate && this.isRecent(promise.atMicroseconds);
  }

  private recordContact(
    key: DocumentKey,
    leader: string,
    epoch: Epoch,
    announced: LeaderStatement | undefined,
  ): boolean {
    const known = this.contacts.get(key);
    if (known !== undefined && Epochs.compare(known.epoch, epoch) > 0) return false;
    const isSame = known?.leader === leader;
    this.contacts.set(key, {
      leader,
      epoch,
      atMicroseconds: this.clock.nowMicroseconds(),
      announced: announced ?? (isSame ? known.announced : undefined),
    });
    if (this.promises.get(key)?.candidate === leader) this.promises.delete(key);
    return true;
  }

  private isRecent(atMicroseconds: number): boolean {
    return this.clock.nowMicroseconds() - atMicroseconds <= this.timeoutMicroseconds;
  }
}
