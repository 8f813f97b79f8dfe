import type { FillReport } from '../../shared/directory/shardDirectory';
import type { Cancel, Clock } from '../../shared/effects/clock/clock';
import type { Transport } from '../../shared/effects/transport/transport';

/** How often a directory note is sent at most, and how many notes may wait. */
const maxAttempts = 20;
const maxPendingNotes = 4096;

export type NoteSenderSettings = Readonly<{
  /** How long notes are batched, starting with the first one. */
  notesMicroseconds: number;
  feedAskMicroseconds: number;
}>;

/**
 * Sends directory notes to an agent in batches. Notes that were not delivered are retried a bounded number of times, which is
 * safe because they are idempotent. No timer runs while no note waits.
 */
export class NoteSender {
  private notes: readonly Readonly<{ note: FillReport; attempts: number }>[] = [];
  private state: 'idle' | 'batching' | 'sending' | 'stopped' = 'idle';
  private cancel: Cancel = () => undefined;

  public constructor(
    private readonly clock: Clock,
    private readonly transport: Pick<Transport, 'ask'>,
    private readonly address: () => string,
    private readonly settings: NoteSenderSettings,
  ) {}

  public get pendingCount(): number {
    return this.notes.length;
  }

  public send(notes: readonly FillReport[]): void {
    if (notes.length === 0) return;
    this.notes = [...this.notes, ...notes.map((note) => ({ note, attempts: 1 }))].slice(-maxPendingNotes);
    this.scheduleBatch();
  }

  public stop(): void {
    this.state = 'stopped';
    this.cancel();
  }

  private scheduleBatch(): void {
    if (this.state !== 'idle') return;
    this.state = 'batching';
    this.cancel = this.clock.after(this.settings.notesMicroseconds, () => void this.sendBatch());
  }

  private async sendBatch(): Promise<void> {
    this.state = 'sending';
    const sent = this.notes;
    this.notes = [];
    const message = { kind: 'notes', notes: sent.map(({ note }) => note) };
    const answer = await this.transport.ask(this.address(), message, this.settings.feedAskMicroseconds);
    const isHeard = answer.kind === 'answered' && answer.message.kind === 'heard';
    const missed = isHeard && Array.isArray(answer.message['missed']) ? (answer.message['missed'] as unknown[]) : [];
    const undelivered = isHeard ? sent.filter((_, index) => missed.includes(index)) : sent;
    const retried = undelivered
      .filter(({ attempts }) => attempts < maxAttempts)
      .map(({ note, attempts }) => ({ note, attempts: attempts + 1 }));
    this.notes = [...retried, ...this.notes].slice(-maxPendingNotes);
    if (this.state !== 'sending') return;
    this.state = 'idle';
    if (this.notes.length > 0) this.scheduleBatch();
  }
}
