import { LoadSums, type LoadSumTables, type LoadTable, type LoadVector } from '../../shared/loads/loadSums';
import { LoadUpdates, type LoadPosition, type LoadUpdate } from '../../shared/loads/loadUpdates';
import type { EntryVersion } from '../../shared/gossip/gossipStore';
import type { LoadEntry } from '../../shared/gossip/entryTypes';

/** The combined load of all other proxies. */
export type OtherProxiesSum = Readonly<{
  /** Rises with each update. */
  changes: number;
  /** Names of the other proxies that seem to be present. */
  names: readonly string[];
  /** Their loads, added up. */
  sum: LoadEntry;
  /** Number of proxies known to have belonged to the fleet recently, this one included. */
  everSeen: number;
}>;

/** The agent and fact book that an update comes from, and when this proxy requested it, by its own clock. */
type Source = Readonly<{ address: string; book: string; askedMicroseconds: number }>;

type Subscription = Readonly<{ position: LoadPosition; sums: LoadSumTables; proxies: readonly string[] }>;

/** A proxy subscribes to few agents at a time; the one without an update for the longest time starts again from full sums. */
const maxSubscriptions = 8;

const applyRows = (before: LoadSumTables, rows: LoadUpdate['rows']): LoadSumTables => {
  const updated = (table: LoadTable): ReadonlyMap<string, LoadVector> => {
    const changedRows = rows[table];
    if (changedRows === undefined) return before[table];
    const next = new Map(before[table]);
    for (const [name, vector] of Object.entries(changedRows))
      if (vector.length === 0) next.delete(name);
      else next.set(name, vector);
    return next;
  };
  return {
    engines: updated('engines'),
    failing: updated('failing'),
    answering: updated('answering'),
    classes: updated('classes'),
    waiting: updated('waiting'),
    mixes: updated('mixes'),
  };
};

/** The sums of the loads of all proxies, as received from agents in incremental updates. */
export class ReceivedLoads {
  private readonly subscriptions = new Map<string, Subscription>();
  private latest: (OtherProxiesSum & Source) | undefined;

  public constructor(private readonly self: string) {}

  /** Undefined: no agent has sent any yet. */
  public get others(): OtherProxiesSum | undefined {
    return this.latest;
  }

  /** The position in the sums of the agent at an address up to which this proxy has received them; null: it has none. */
  public position(address: string): LoadPosition | null {
    return this.subscriptions.get(address)?.position ?? null;
  }

  /**
   * Applies the answer of an agent. `ownLoad`: the load that this proxy published under a version, which the sums may contain and
   * which is subtracted. `askedMicroseconds`: when the agent was asked; an answer to an earlier request than that of the known sums
   * does not replace them.
   */
  public applyUpdate(
    address: string,
    update: unknown,
    ownLoad: (version: EntryVersion) => LoadEntry | undefined,
    askedMicroseconds = this.latest?.askedMicroseconds ?? 0,
  ): void {
    if (update === undefined) this.latest = undefined;
    if (!LoadUpdates.is(update)) return;
    const next = this.next(this.subscriptions.get(address), update);
    this.subscriptions.delete(address);
    if (next === undefined) return;
    this.subscriptions.set(address, next);
    const [oldest] = this.subscriptions.keys();
    if (this.subscriptions.size > maxSubscriptions && oldest !== undefined) this.subscriptions.delete(oldest);
    const names = next.proxies.filter((name) => name !== this.self);
    const source = { address, book: update.book, askedMicroseconds };
    if (!this.isBetter(source, names.length)) return;
    const own = update.counted === null ? undefined : ownLoad(update.counted);
    const sums = own === undefined ? next.sums : LoadSums.without(next.sums, own);
    this.latest = {
      ...source,
      changes: (this.latest?.changes ?? 0) + 1,
      names,
      sum: LoadSums.asLoad(sums, address),
      everSeen: this.isSameSource(source) ? update.everSeen : Math.max(update.everSeen, this.latest?.everSeen ?? 0),
    };
  }

  private isSameSource({ address, book }: Source): boolean {
    return this.latest?.address === address && this.latest.book === book;
  }

  /** An agent that has just started, or is partitioned, knows few proxies: it does not replace the sums of an agent that knows many. */
  private isBetter(source: Source, proxies: number): boolean {
    const { latest } = this;
    if (latest === undefined) return true;
    if (source.askedMicroseconds < latest.askedMicroseconds) return false;
    return this.isSameSource(source) || proxies * 2 >= latest.names.length;
  }

  /** Undefined: the update does not continue the known position. */
  private next(known: Subscription | undefined, update: LoadUpdate): Subscription | undefined {
    const { book, from, change, rows, proxies } = update;
    const position = { book, change };
    if (from === null) return { position, sums: applyRows(LoadSums.none(), rows), proxies: proxies ?? [] };
    if (known === undefined || known.position.book !== book || known.position.change !== from) return undefined;
    return { position, sums: applyRows(known.sums, rows), proxies: proxies ?? known.proxies };
  }
}
