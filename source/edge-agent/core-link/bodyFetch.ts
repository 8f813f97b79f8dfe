/**
 * Fetches one text from several control nodes. One that falls silent holds nothing up: after a while the next one is asked beside it. At
 * most two are asked at a time, since on a thin link a further answer only delays those that are on their way.
 */
import type { Clock } from '../../shared/effects/clock/clock';
import type { Message, Transport } from '../../shared/effects/transport/transport';

/** How many nodes are asked at a time. */
const mostOpen = 2;

export type BodyFetchLimits = Readonly<{
  /** How long one node may take for the whole text. */
  askMicroseconds: number;
  /** How long one node is waited for before another is asked beside it. */
  staggerMicroseconds: number;
}>;

export class BodyFetch {
  private readonly waiting: string[];
  private open = 0;
  private isOver = false;
  private settle: (isTaken: boolean) => void = () => undefined;

  /** `take` is given each answer; true: it is what was wanted. */
  public constructor(
    private readonly transport: Transport,
    private readonly clock: Clock,
    private readonly limits: BodyFetchLimits,
    private readonly message: Message,
    addresses: readonly string[],
    private readonly take: (answer: Message) => boolean,
  ) {
    this.waiting = [...addresses];
  }

  /** False: none of the nodes has the text. */
  public run(): Promise<boolean> {
    return new Promise((resolve) => {
      this.settle = resolve;
      this.askNext();
    });
  }

  private askNext(): void {
    if (this.isOver || this.open >= mostOpen) return;
    const address = this.waiting.shift();
    if (address === undefined) {
      if (this.open === 0) this.end(false);
      return;
    }
    this.open += 1;
    this.clock.after(this.limits.staggerMicroseconds, () => this.askNext());
    void this.ask(address);
  }

  private async ask(address: string): Promise<void> {
    const answer = await this.transport.ask(address, this.message, this.limits.askMicroseconds);
    this.open -= 1;
    if (this.isOver) return;
    if (answer.kind === 'answered' && this.take(answer.message)) this.end(true);
    else this.askNext();
  }

  private end(isTaken: boolean): void {
    this.isOver = true;
    this.settle(isTaken);
  }
}
