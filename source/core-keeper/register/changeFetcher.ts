import type { DocumentKey } from '../../shared/configuration/types';
import type { Transport } from '../../shared/effects/transport/transport';
import { ControlResponses } from '../messages/controlResponses';
import type { ChangeRequest, ChangeOutcome, FetchChange, FetchedChange } from './messages';

/** What the fetcher needs from its control node. */
export type FetchingNode = Readonly<{
  fleet: () => string;
  ledKeys: () => readonly DocumentKey[];
  /** Makes the change on this replica only; undefined if it does not lead the key. */
  changeAsLeader: (request: ChangeRequest) => Promise<ChangeOutcome | undefined>;
}>;

/** Fetches changes that members could not deliver to this leader, applies them and reports their outcomes. */
export class ChangeFetcher {
  private readonly activeFetches = new Set<string>();

  public constructor(
    private readonly node: FetchingNode,
    private readonly transport: Transport,
    private readonly askMicroseconds: number,
  ) {}

  /** Fetches the changes that wait at a member one after the other, until none is left or the member does not answer. */
  public async fetchFrom(name: string, address: string): Promise<void> {
    if (this.activeFetches.has(name)) return;
    this.activeFetches.add(name);
    try {
      for (
        let next = await this.fetchNext(address, 0);
        next !== undefined;
        next = await this.applyAndFetchNext(address, next)
      );
    } finally {
      this.activeFetches.delete(name);
    }
  }

  private async applyAndFetchNext(
    address: string,
    { number, order }: FetchedChange,
  ): Promise<FetchedChange | undefined> {
    const outcome = (await this.node.changeAsLeader(order)) ?? null;
    return this.fetchNext(address, number, { outcome });
  }

  private async fetchNext(
    address: string,
    after: number,
    done?: FetchChange['done'],
  ): Promise<FetchedChange | undefined> {
    const message = { kind: 'fetchChange', fleet: this.node.fleet(), keys: this.node.ledKeys(), after } as const;
    const request: FetchChange = done === undefined ? message : { ...message, done };
    return ControlResponses.read(await this.transport.ask(address, request, this.askMicroseconds), 'fetchedChange');
  }
}
