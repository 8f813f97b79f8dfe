import Emittery from 'emittery';
import { Ticker } from '../effects/clock/ticker';
import type { Clock } from '../effects/clock/clock';
import type { Log } from '../log/log';

/** The result of parsing settings. */
export type SettingsParseResult<Value> =
  Readonly<{ kind: 'read'; settings: Value }> | Readonly<{ kind: 'wrong'; sentence: string }>;

/** The source of a program's settings: a text that may change while the program runs, and its parser. */
export interface SettingsSource<Value> {
  /** The current text; undefined if it can't be read now. */
  readonly text: () => string | undefined;
  /** A version mark that changes whenever the text may have changed and is cheaper to read; missing: the text is compared. */
  readonly mark?: () => string;
  readonly parse: (text: string) => SettingsParseResult<Value>;
}

/** The file is polled because it may change without a signal. Every 10th poll ignores the mark because a restored file may have the old one. */
const pollIntervalMicroseconds = 1_000_000;
const fullReadEveryPolls = 10;

/**
 * Checks periodically and on demand whether the settings have changed. An invalid text is logged once because it may be
 * half written; the settings in effect remain until a valid text is there.
 */
export class SettingsWatcher<Value> {
  public readonly events = new Emittery<{ changed: Value }>();
  private readonly ticker: Ticker;
  private mark: string | undefined;
  private polls = 0;

  public constructor(
    clock: Clock,
    private readonly source: SettingsSource<Value>,
    private readonly notice: Log,
    /** The text in effect. The caller gives it because reading it again here would miss changes since the start. */
    private currentText: string | undefined = source.text(),
  ) {
    this.ticker = new Ticker(
      clock,
      () => pollIntervalMicroseconds,
      () => this.poll(),
      () => undefined,
    );
  }

  public start(): this {
    this.ticker.start(pollIntervalMicroseconds);
    return this;
  }

  public stop(): void {
    this.ticker.stop();
  }

  public async check(): Promise<void> {
    const text = this.source.text();
    if (text === undefined || text === this.currentText) return;
    this.currentText = text;
    const found = this.source.parse(text);
    if (found.kind === 'wrong') this.notice(`The changed settings are wrong and not taken: ${found.sentence}`);
    else await this.events.emit('changed', found.settings);
  }

  /** Periodic check: reads the text only if its mark has changed, or on every 10th poll. */
  private async poll(): Promise<void> {
    this.polls += 1;
    // The mark is read before the text, so that a write in between is found by the next poll.
    const mark = this.source.mark?.();
    if (mark !== undefined && mark === this.mark && this.polls % fullReadEveryPolls !== 0) return;
    this.mark = mark;
    await this.check();
  }
}
