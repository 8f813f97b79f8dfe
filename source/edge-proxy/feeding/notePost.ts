import type { DirectoryNote } from '../../shared/directory/shardDirectory';
import type { Cancel, Clock } from '../../shared/effects/clock/clock';
import type { Transport } from '../../shared/effects/transport/transport';

/** Starting values, ours: how often a note of the directory is passed on, and how many may wait. */
const noteTries = 20;
const mostNotes = 4096;

export type NotePostSettings = Readonly<{
  /** How long notes are gathered, from the first one on. */
  notesMicroseconds: number;
  feedAskMicroseconds: number;
}>;

/**
 * Passes notes of the directory to an agent, gathered for a moment. Notes that reached nobody are passed again, a bounded
 * number of times: they say nothing new when heard twice. Where nothing is noted nothing wakes up.
 */
export class NotePost {
  private notes: readonly Readonly<{ note: DirectoryNote; tries: number }>[] = [];
  private state: 'resting' | 'gathering' | 'passing' | 'stopped' = 'resting';
  private cancel: Cancel = () => undefined;

  public constructor(
    private readonly clock: Clock,
    private readonly transport: Pick<Transport, 'ask'>,
    private readonly address: () => string,
    private readonly settings: NotePostSettings,
  ) {}

  public get waiting(): number {
    return this.notes.length;
  }

  public tell(notes: readonly DirectoryNote[]): void {
    if (notes.length === 0) return;
    this.notes = [...this.notes, ...notes.map((note) => ({ note, tries: 1 }))].slice(-mostNotes);
    this.gather();
  }

  public stop(): void {
    this.state = 'stopped';
    this.cancel();
  }

  private gather(): void {
    if (this.state !== 'resting') return;
    this.state = 'gathering';
    this.cancel = this.clock.after(this.settings.notesMicroseconds, () => void this.pass());
  }

  private async pass(): Promise<void> {
    this.state = 'passing';
    const passed = this.notes;
    this.notes = [];
    const message = { kind: 'notes', notes: passed.map(({ note }) => note) };
    const answer = await this.transport.ask(this.address(), message, this.settings.feedAskMicroseconds);
    const heard = answer.kind === 'answered' && answer.message.kind === 'heard';
    const missed = heard && Array.isArray(answer.message['missed']) ? (answer.message['missed'] as unknown[]) : [];
    const again = heard ? passed.filter((_, index) => missed.includes(index)) : passed;
    const kept = again.filter(({ tries }) => tries < noteTries).map(({ note, tries }) => ({ note, tries: tries + 1 }));
    this.notes = [...kept, ...this.notes].slice(-mostNotes);
    if (this.state !== 'passing') return;
    this.state = 'resting';
    if (this.notes.length > 0) this.gather();
  }
}
