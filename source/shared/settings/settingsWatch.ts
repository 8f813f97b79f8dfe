import Emittery from 'emittery';
import { Ticker } from '../effects/clock/ticker';
import type { Clock } from '../effects/clock/clock';
import type { Log } from '../log/log';

export type SettingsFound<Value> =
  Readonly<{ kind: 'read'; settings: Value }> | Readonly<{ kind: 'wrong'; sentence: string }>;

/** Where a program's settings come from: a text that may change while it runs, and how it is read. */
export interface SettingsSource<Value> {
  /** Undefined: it cannot be read now. */
  readonly text: () => string | undefined;
  /** Changes whenever the text may have changed, and costs less than reading it; missing: the text itself is looked at. */
  readonly mark?: () => string;
  readonly parse: (text: string) => SettingsFound<Value>;
}

/** Starting values, ours: a file may change without a signal, and one put back may look untouched. */
const lookMicroseconds = 1_000_000;
const wholeLookEvery = 10;

/**
 * Looks whether the settings have changed, now and then and when told to. Why a wrong text is only told once: it may be
 * half written, and what is in force stays in force until a sound one is there.
 */
export class SettingsWatch<Value> {
  public readonly news = new Emittery<{ changed: Value }>();
  private readonly ticker: Ticker;
  private mark: string | undefined;
  private looks = 0;

  public constructor(
    clock: Clock,
    private readonly source: SettingsSource<Value>,
    private readonly notice: Log,
    /** The text that is in force. Why given: read again here, what changed since the start would never be seen. */
    private seen: string | undefined = source.text(),
  ) {
    this.ticker = new Ticker(
      clock,
      () => lookMicroseconds,
      () => this.lookSometimes(),
      () => undefined,
    );
  }

  public start(): this {
    this.ticker.start(lookMicroseconds);
    return this;
  }

  public stop(): void {
    this.ticker.stop();
  }

  public async look(): Promise<void> {
    const text = this.source.text();
    if (text === undefined || text === this.seen) return;
    this.seen = text;
    const found = this.source.parse(text);
    if (found.kind === 'wrong') this.notice(`The changed settings are wrong and not taken: ${found.sentence}`);
    else await this.news.emit('changed', found.settings);
  }

  /** Without being told to: the text is only read when its mark is another, or after so many looks at that alone. */
  private async lookSometimes(): Promise<void> {
    this.looks += 1;
    // Why before the text: what is written in between is then seen at the next look.
    const mark = this.source.mark?.();
    if (mark !== undefined && mark === this.mark && this.looks % wholeLookEvery !== 0) return;
    this.mark = mark;
    await this.look();
  }
}
