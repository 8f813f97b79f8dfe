import { DeskMessages, type DeskOrder, type DeskWord } from '../../shared/desk/messages';
import type { Clock } from '../../shared/effects/clock/clock';
import type { Transport } from '../../shared/effects/transport/transport';

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
  ) {}

  public async reserve(order: DeskOrder): Promise<DeskWord | undefined> {
    const address = this.address();
    if (address === undefined || this.askMicroseconds === 0 || this.clock.nowMicroseconds() < this.restUntil)
      return undefined;
    const answer = await this.transport.ask(address, { kind: 'reserve', order }, this.askMicroseconds);
    const word = answer.kind === 'answered' && answer.message.kind === 'reserved' ? answer.message['word'] : undefined;
    if (DeskMessages.isWord(word) && word.engine !== '') {
      this.missed = 0;
      return word;
    }
    this.missed += 1;
    // Why rest: each ask in vain keeps an order waiting.
    if (this.missed >= mostMissed) this.restUntil = this.clock.nowMicroseconds() + restMicroseconds;
    return undefined;
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
