import type { RequestOutcome, Handler, Listener, Message, Transport } from '../effects/transport/transport';

const fleetOf = (message: Message): string => (typeof message['fleet'] === 'string' ? message['fleet'] : '');

/**
 * Adds the fleet name to every message and rejects messages of other fleets. This is done here for all messages because
 * addresses pass from one fleet to another, and a message type without the check would let foreign state in. A process
 * that doesn't know its fleet yet may send requests and is answered.
 */
export class FleetTransport implements Transport {
  public constructor(
    private readonly inner: Transport,
    private readonly own: () => string,
  ) {}

  public readonly ask = async (
    address: string,
    message: Message,
    limitMicroseconds: number,
  ): Promise<RequestOutcome> => {
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
    const [theirs, own] = [fleetOf(message), this.own()];
    return theirs !== '' && own !== '' && theirs !== own;
  }
}
