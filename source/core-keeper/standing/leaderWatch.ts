/**
 * Whom a replica takes for the leader of each key. A leader is known by its heartbeats and by the rounds it asks this replica to
 * accept, whichever came last; one that says nothing for the whole silence, or no longer names the key, is none. A promise
 * given to a candidate counts for as long: an election under way is left to end before another one begins.
 */
import { DocumentKeys, type DocumentKey } from '../../shared/blueprint/types';
import type { Clock } from '../../shared/effects/clock/clock';
import { Epochs, type Epoch } from '../../shared/register/types';
import type { OwnerWord } from '../register/messages';

type Contact = Readonly<{
  leader: string;
  epoch: Epoch;
  atMicroseconds: number;
  /** What it last announced as decided; undefined before its first heartbeat. */
  announced: OwnerWord | undefined;
}>;

export type KnownLeader = Readonly<{ leader: string; announced: OwnerWord | undefined }>;

export class LeaderWatch {
  private readonly contacts = new Map<DocumentKey, Contact>();
  private readonly promises = new Map<DocumentKey, Readonly<{ candidate: string; atMicroseconds: number }>>();

  public constructor(
    private readonly clock: Clock,
    private readonly silenceMicroseconds: number,
  ) {}

  /** All that a node says it leads. Gives the statements that are not older than what was known. */
  public heartbeat(leader: string, words: readonly OwnerWord[]): readonly OwnerWord[] {
    for (const key of DocumentKeys) {
      const contact = this.contacts.get(key);
      const isGivenUp = contact?.leader === leader && contact.announced !== undefined;
      if (isGivenUp && !words.some((word) => word.key === key)) this.contacts.delete(key);
    }
    return words.filter((word) => this.hear(word.key, leader, word.epoch, word));
  }

  /** A leader asked this replica to accept under its epoch, which names it. */
  public accepted(key: DocumentKey, epoch: Epoch): void {
    this.hear(key, epoch.keeper, epoch, undefined);
  }

  /** This replica promised an epoch to a candidate. */
  public promised(key: DocumentKey, epoch: Epoch): void {
    this.promises.set(key, { candidate: epoch.keeper, atMicroseconds: this.clock.nowMicroseconds() });
  }

  /** A node that stops leads nothing any more. */
  public forget(leader: string): void {
    for (const [key, contact] of this.contacts) if (contact.leader === leader) this.contacts.delete(key);
  }

  /** The leader of a key that was heard within the silence. */
  public leader(key: DocumentKey): KnownLeader | undefined {
    const contact = this.contacts.get(key);
    return contact !== undefined && this.isRecent(contact.atMicroseconds) ? contact : undefined;
  }

  /** Who led a key when it was last heard, however long ago; empty: nobody yet. */
  public lastLeader(key: DocumentKey): string {
    return this.contacts.get(key)?.leader ?? '';
  }

  /** Whether a candidate would depose somebody: a leader, or a candidate that was promised a moment ago. */
  public wouldDepose(key: DocumentKey, candidate: string): boolean {
    const leader = this.leader(key);
    if (leader !== undefined && leader.leader !== candidate) return true;
    const promise = this.promises.get(key);
    return promise !== undefined && promise.candidate !== candidate && this.isRecent(promise.atMicroseconds);
  }

  private hear(key: DocumentKey, leader: string, epoch: Epoch, announced: OwnerWord | undefined): boolean {
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
    return this.clock.nowMicroseconds() - atMicroseconds <= this.silenceMicroseconds;
  }
}
