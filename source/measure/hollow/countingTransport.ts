import { pack } from 'msgpackr';
import type { RequestOutcome, Handler, Listener, Message, Transport } from '../../shared/effects/transport/transport';

/** What went over the links of many daemons, both ways, by kind of message. */
export class Traffic {
  public counting = false;
  public messages = 0;
  public bytes = 0;
  private readonly kinds = new Map<string, Readonly<{ messages: number; bytes: number }>>();

  public add(kind: string, bytes: number): void {
    const known = this.kinds.get(kind) ?? { messages: 0, bytes: 0 };
    this.kinds.set(kind, { messages: known.messages + 1, bytes: known.bytes + bytes });
    this.messages += 1;
    this.bytes += bytes;
  }

  public of(kind: string): Readonly<{ messages: number; bytes: number }> {
    return this.kinds.get(kind) ?? { messages: 0, bytes: 0 };
  }

  public clear(): void {
    this.kinds.clear();
    this.messages = 0;
    this.bytes = 0;
  }
}

/** Counts asks and answers by their packed length while it is told to; costs no time else. */
export class CountingTransport implements Transport {
  public constructor(
    private readonly inner: Transport,
    private readonly traffic: Traffic,
  ) {}

  public readonly ask = async (
    address: string,
    message: Message,
    limitMicroseconds: number,
  ): Promise<RequestOutcome> => {
    const answer = await this.inner.ask(address, message, limitMicroseconds);
    if (this.traffic.counting) {
      this.traffic.add(message.kind, pack(message).length);
      if (answer.kind === 'answered') this.traffic.add(answer.message.kind, pack(answer.message).length);
    }
    return answer;
  };

  public readonly listen = (address: string, handler: Handler): Promise<Listener> =>
    this.inner.listen(address, handler);

  public readonly close = (): Promise<void> => this.inner.close();
}
