import murmurhash from 'murmurhash';

/** Requests that one connection may carry; the ids of all of them are remembered. */
const maxRequests = 2000;

/**
 * The ids of the requests that a connection has carried. Only their hashes are kept; two ids with the same hash merely look
 * like one.
 */
export class CarriedRequests {
  private readonly hashes: number[] = [];

  public add(id: string): void {
    this.hashes.push(CarriedRequests.hash(id));
  }

  public has(id: string): boolean {
    return this.hashes.length > 0 && this.hashes.includes(CarriedRequests.hash(id));
  }

  /** Whether the connection must carry no further request. */
  public get isFull(): boolean {
    return this.hashes.length >= maxRequests;
  }

  private static hash(id: string): number {
    return murmurhash.v3(id) | 0;
  }
}
