import { DeskMessages, type DeskOrder, type DeskWord } from '../../shared/desk/messages';
import type { Clock } from '../../shared/effects/clock/clock';
import type { Transport } from '../../shared/effects/transport/transport';
import type { Log } from '../../shared/log/log';
import type { Metrics } from '../../shared/metrics/metrics';

/** Starting value, ours: after so many asks in vain the desk is left alone for a while. */
const mostMissed = 2;
const restMicroseconds = 1_000_000;

/** The way to the daemon that places long orders for all. Without a word in time, each proxy places for itself. */
export class DeskLink {
  private missed = 0;
  private restUntil = -Infinity;

  public constructor(
    private readonly transport: Transport,
    private readonly clock: Clock,
    private readonly address: () => string | undefined,
    /** How long a request waits for the desk's word; 0: none is asked. */
    private readonly askMicroseconds: number,
    private readonly metrics: Metrics,
    private readonly log: Log,
  ) {}

  public async reserve(order: DeskOrder): Promise<DeskWord | undefined> {
    const address = this.address();
    if (this.askMicroseconds === 0) return undefined;
    const asked = this.clock.nowMicroseconds();
    if (address === undefined || asked < this.restUntil) {
      this.said(order, address === undefined ? 'unknown' : 'resting', asked);
      return undefined;
    }
    const answer = await this.transport.ask(address, { kind: 'reserve', order }, this.askMicroseconds);
    const word = answer.kind === 'answered' && answer.message.kind === 'reserved' ? answer.message['word'] : undefined;
    if (DeskMessages.isWord(word) && word.engine !== '') {
      this.missed = 0;
      this.said(order, 'placed', asked);
      return word;
    }
    this.said(order, answer.kind === 'answered' ? 'declined' : 'silent', asked);
    this.missed += 1;
    // Why rest: each ask in vain keeps an order waiting.
    if (this.missed >= mostMissed) this.restUntil = this.clock.nowMicroseconds() + restMicroseconds;
    return undefined;
  }

  /** `unknown`: no holder of the list duty is known. `declined`: the agent that was asked holds it no longer. */
  private said(
    { order }: DeskOrder,
    result: 'placed' | 'declined' | 'silent' | 'resting' | 'unknown',
    askedMicroseconds: number,
  ): void {
    const took = Math.round((this.clock.nowMicroseconds() - askedMicroseconds) / 1000);
    this.metrics.count('postdrum_desk_words_total', { result });
    this.log(`Request ${order} ${result} after ${took} ms.`);
  }

  /** Resolves once another order has read what this one shares with it, at the latest after that time. */
  public async read(prefix: string, limitMicroseconds: number): Promise<void> {
    const address = this.address();
    if (address === undefined || limitMicroseconds <= 0) return;
    // Why with a limit here too: a desk that fell silent must not keep the order.
    await this.transport.ask(address, { kind: 'awaitRead', prefix }, limitMicroseconds + this.askMicroseconds);
  }

  /** Said and forgotten: a word that is lost makes the desk think the engine busy for a little longer. */
  public done(engine: string, order: string, good: boolean): void {
    const address = this.address();
    if (address === undefined || this.clock.nowMicroseconds() < this.restUntil) return;
    void this.transport.ask(address, { kind: 'readDone', engine, order, good }, this.askMicroseconds * 4);
  }
}
