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
  readonly parse: (text: string) => SettingsFound<Value>;
}

/** Starting value, ours: a file may change without a signal. */
const lookMicroseconds = 2_000_000;

/**
 * Looks whether the settings have changed, now and then and when told to. Why a wrong text is only told once: it may be
 * half written, and what is in force stays in force until a sound one is there.
 */
export class SettingsWatch<Value> {
  public readonly news = new Emittery<{ changed: Value }>();
  private readonly ticker: Ticker;
  private seen: string | undefined;

  public constructor(
    clock: Clock,
    private readonly source: SettingsSource<Value>,
    private readonly notice: Log,
  ) {
    this.seen = source.text();
    this.ticker = new Ticker(
      clock,
      () => lookMicroseconds,
      () => this.look(),
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
}
