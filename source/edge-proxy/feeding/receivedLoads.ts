/** The sums of all proxies' loads as agents have told them to this proxy. */
import { LoadSums, type LoadSumTables, type LoadTable, type LoadVector } from '../../shared/loads/loadSums';
import { LoadUpdates, type LoadPosition, type LoadUpdate } from '../../shared/loads/loadUpdates';
import type { FactVersion } from '../../shared/news/facts';
import type { LoadFact } from '../../shared/news/factTypes';

/** What is known of all other proxies together. */
export type OthersTogether = Readonly<{
  /** Rises with each update. */
  changes: number;
  /** Names of the other proxies that seem to be there. */
  names: readonly string[];
  /** Their loads, added up. */
  sum: LoadFact;
  /** Proxies that are known to have belonged to the fleet lately, this one included. */
  everSeen: number;
}>;

/** Whose update it was, and when this proxy asked for it, in microseconds of its clock. */
type Source = Readonly<{ address: string; book: string; askedMicroseconds: number }>;

type Followed = Readonly<{ position: LoadPosition; sums: LoadSumTables; proxies: readonly string[] }>;

/** A proxy has few agents that it follows at a time; the longest unheard is begun anew. */
const mostFollowed = 8;

const applied = (before: LoadSumTables, rows: LoadUpdate['rows']): LoadSumTables => {
  const changed = (table: LoadTable): ReadonlyMap<string, LoadVector> => {
    const news = rows[table];
    if (news === undefined) return before[table];
    const next = new Map(before[table]);
    for (const [name, vector] of Object.entries(news))
      if (vector.length === 0) next.delete(name);
      else next.set(name, vector);
    return next;
  };
  return {
    engines: changed('engines'),
    failing: changed('failing'),
    answering: changed('answering'),
    classes: changed('classes'),
    waiting: changed('waiting'),
    mixes: changed('mixes'),
  };
};

export class ReceivedLoads {
  private readonly followed = new Map<string, Followed>();
  private latest: (OthersTogether & Source) | undefined;

  public constructor(private readonly self: string) {}

  /** Undefined: no agent has told any yet. */
  public get others(): OthersTogether | undefined {
    return this.latest;
  }

  /** What to tell the agent at an address that this proxy has of its sums; null: nothing. */
  public position(address: string): LoadPosition | null {
    return this.followed.get(address)?.position ?? null;
  }

  /**
   * An agent answered. `ownLoad`: the load that this proxy said under a version, which the sums may contain. `askedMicroseconds`: when it
   * was asked; what was asked for earlier than the sums that are known does not replace them.
   */
  public take(
    address: string,
    told: unknown,
    ownLoad: (version: FactVersion) => LoadFact | undefined,
    askedMicroseconds = this.latest?.askedMicroseconds ?? 0,
  ): void {
    if (told === undefined) this.latest = undefined;
    if (!LoadUpdates.is(told)) return;
    const next = this.next(this.followed.get(address), told);
    this.followed.delete(address);
    if (next === undefined) return;
    this.followed.set(address, next);
    const [oldest] = this.followed.keys();
    if (this.followed.size > mostFollowed && oldest !== undefined) this.followed.delete(oldest);
    const names = next.proxies.filter((name) => name !== this.self);
    const source = { address, book: told.book, askedMicroseconds };
    if (!this.isBetter(source, names.length)) return;
    const own = told.counted === null ? undefined : ownLoad(told.counted);
    const sums = own === undefined ? next.sums : LoadSums.without(next.sums, own);
    this.latest = {
      ...source,
      changes: (this.latest?.changes ?? 0) + 1,
      names,
      sum: LoadSums.asLoad(sums, address),
      everSeen: this.isSameSource(source) ? told.everSeen : Math.max(told.everSeen, this.latest?.everSeen ?? 0),
    };
  }

  private isSameSource({ address, book }: Source): boolean {
    return this.latest?.address === address && this.latest.book === book;
  }

  /** An agent that has just started, or is cut off, knows few proxies: what another one told of many stands. */
  private isBetter(source: Source, proxies: number): boolean {
    const { latest } = this;
    if (latest === undefined) return true;
    if (source.askedMicroseconds < latest.askedMicroseconds) return false;
    return this.isSameSource(source) || proxies * 2 >= latest.names.length;
  }

  /** Undefined: the update does not continue what is known. */
  private next(known: Followed | undefined, told: LoadUpdate): Followed | undefined {
    const { book, from, change, rows, proxies } = told;
    const position = { book, change };
    if (from === null) return { position, sums: applied(LoadSums.none(), rows), proxies: proxies ?? [] };
    if (known === undefined || known.position.book !== book || known.position.change !== from) return undefined;
    return { position, sums: applied(known.sums, rows), proxies: proxies ?? known.proxies };
  }
}
