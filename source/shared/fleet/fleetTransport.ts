import type { Answer, Handler, Listener, Message, Transport } from '../effects/transport/transport';

const nameIn = (message: Message): string => (typeof message['fleet'] === 'string' ? message['fleet'] : '');

/**
 * Every message says which fleet it belongs to, and one of another fleet is neither heard nor believed, whatever it
 * says. Why here and not at each message: addresses change hands, and the one that was forgotten would be the way in.
 * Who does not know its fleet yet may ask, and is answered.
 */
export class FleetTransport implements Transport {
  public constructor(
    private readonly inner: Transport,
    private readonly own: () => string,
  ) {}

  public readonly ask = async (address: string, message: Message, limitMicroseconds: number): Promise<Answer> => {
    const answer = await this.inner.ask(address, { fleet: this.own(), ...message }, limitMicroseconds);
    if (answer.kind === 'silent') return answer;
    return answer.message.kind === 'otherFleet' || this.isOther(answer.message)
      ? { kind: 'silent', reason: 'it belongs to another fleet' }
      : answer;
  };

  public readonly listen = (address: string, handler: Handler): Promise<Listener> =>
    this.inner.listen(address, async (message) => {
      if (this.isOther(message)) return { kind: 'otherFleet' };
      return { fleet: this.own(), ...(await handler(message)) };
    });

  public readonly close = (): Promise<void> => this.inner.close();

  private isOther(message: Message): boolean {
    const [theirs, own] = [nameIn(message), this.own()];
    return theirs !== '' && own !== '' && theirs !== own;
  }
}
