import type { Clock } from '../../shared/effects/clock/clock';
import type { Message, Transport } from '../../shared/effects/transport/transport';

/** The most requests in flight at a time. */
const maxInFlight = 2;

export type DocumentFetchLimits = Readonly<{
  /** The timeout of one node for the whole document. */
  askMicroseconds: number;
  /** The time without an answer after which a second node is asked in parallel. */
  staggerMicroseconds: number;
}>;

/**
 * Fetches one document from several control nodes with hedged requests: a node that does not answer delays nothing, because after a
 * while the next node is asked in parallel. At most two requests are in flight, since on a slow link a further answer only delays those
 * already being transferred.
 */
export class DocumentFetch {
  private readonly remaining: string[];
  private inFlight = 0;
  private isFinished = false;
  private resolveRun: (isAccepted: boolean) => void = () => undefined;

  /** `accept` is called with each answer and returns true if it is the wanted document. */
  public constructor(
    private readonly transport: Transport,
    private readonly clock: Clock,
    private readonly limits: DocumentFetchLimits,
    private readonly message: Message,
    addresses: readonly string[],
    private readonly accept: (answer: Message) => boolean,
  ) {
    this.remaining = [...addresses];
  }

  /** Resolves to false if none of the nodes returned the document. */
  public run(): Promise<boolean> {
    return new Promise((resolve) => {
      this.resolveRun = resolve;
      this.requestNext();
    });
  }

  private requestNext(): void {
    if (this.isFinished || this.inFlight >= maxInFlight) return;
    const address = this.remaining.shift();
    if (address === undefined) {
      if (this.inFlight === 0) this.finish(false);
      return;
    }
    this.inFlight += 1;
    this.clock.after(this.limits.staggerMicroseconds, () => this.requestNext());
    void this.request(address);
  }

  private async request(address: string): Promise<void> {
    const answer = await this.transport.ask(address, this.message, this.limits.askMicroseconds);
    this.inFlight -= 1;
    if (this.isFinished) return;
    if (answer.kind === 'answered' && this.accept(answer.message)) this.finish(true);
    else this.requestNext();
  }

  private finish(isAccepted: boolean): void {
    this.isFinished = true;
    this.resolveRun(isAccepted);
  }
}
