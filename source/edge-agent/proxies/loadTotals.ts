import type { Clock } from '../../shared/effects/clock/clock';
import type { Random } from '../../shared/effects/random/random';
import { LoadSums, loadTables, type LoadTable, type LoadVector } from '../../shared/loads/loadSums';
import { LoadUpdates, type LoadUpdate } from '../../shared/loads/loadUpdates';
import type { GossipEntry, GossipStore, EntryVersion } from '../../shared/gossip/gossipStore';
import { GossipKeys, MemberStates, type LoadEntry, type MemberEntry } from '../../shared/gossip/entryTypes';

type Row = Readonly<{ vector: LoadVector; change: number }>;

/** The minimum interval of recomputation grows by this per load, so the processor share is the same in any fleet. */
const minIntervalMicrosecondsPerLoad = 500;
/** Upper bound of the rows, including removed ones; above it all followers get the sums from scratch. */
const maxRows = 20_000;

const isSame = (left: LoadVector, right: LoadVector): boolean =>
  left.length === right.length && left.every((value, place) => value === right[place]);

const hasSameNames = (left: readonly string[], right: readonly string[]): boolean =>
  left.length === right.length && left.every((name, place) => name === right[place]);

/** Sums the loads of all proxies of the fleet, and returns to each proxy the changes of the sums since its last request. */
export class LoadTotals {
  private book: string;
  private readonly rows = new Map<LoadTable, Map<string, Row>>();
  private rowCount = 0;
  private change = 0;
  private proxies: readonly string[] = [];
  private counted: ReadonlyMap<string, EntryVersion> = new Map();
  private proxiesChange = 0;
  private countedRevision = '';
  private countedAt = -Infinity;

  public constructor(
    private readonly facts: GossipStore,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {
    this.book = random.name();
  }

  /** Returns the changes since `position`; everything if the position is missing, invalid or of another numbering. */
  public update(proxy: string, position: unknown): LoadUpdate {
    this.recompute();
    const isKnown =
      LoadUpdates.isLoadPosition(position) && position.book === this.book && position.change <= this.change;
    const from = isKnown ? position.change : null;
    return {
      book: this.book,
      from,
      change: this.change,
      rows: this.rowsSince(from),
      ...(from === null || this.proxiesChange > from ? { proxies: this.proxies } : {}),
      everSeen: this.facts.countOf('load'),
      counted: this.counted.get(proxy) ?? null,
    };
  }

  private recompute(): void {
    const revision = `${this.facts.changesOf('load')}/${this.facts.changesOf('member')}`;
    const now = this.clock.nowMicroseconds();
    if (revision === this.countedRevision || now - this.countedAt < this.counted.size * minIntervalMicrosecondsPerLoad)
      return;
    this.countedRevision = revision;
    this.countedAt = now;
    const present = this.presentLoads();
    this.counted = new Map(present.map(({ key, version }) => [key.slice(GossipKeys.load('').length), version]));
    this.setRows(LoadSums.of(present.map(({ value }) => value as LoadEntry)));
    const proxies = [...this.counted.keys()].sort();
    if (hasSameNames(proxies, this.proxies)) return;
    this.change += 1;
    this.proxies = proxies;
    this.proxiesChange = this.change;
  }

  /** The loads of present proxies: those that are not silent and whose agent is present. */
  private presentLoads(): readonly GossipEntry[] {
    const agents = new Set(
      this.facts
        .withPrefix('member/')
        .map(({ value }) => value as MemberEntry)
        .filter(MemberStates.isPresent)
        .map(({ name }) => name),
    );
    return this.facts.withPrefix('load/').filter(({ value }) => {
      const { agent, isSilent } = value as LoadEntry;
      return isSilent !== true && agents.has(agent);
    });
  }

  private setRows(sums: ReturnType<typeof LoadSums.of>): void {
    const change = this.change + 1;
    for (const table of loadTables) {
      const known = this.rows.get(table) ?? new Map<string, Row>();
      this.rows.set(table, known);
      for (const [name, vector] of sums[table]) this.setRow(known, name, vector, change);
      for (const name of known.keys()) if (!sums[table].has(name)) this.setRow(known, name, [], change);
    }
    if (this.rowCount > maxRows) this.restartNumbering();
  }

  private setRow(rows: Map<string, Row>, name: string, vector: LoadVector, change: number): void {
    const before = rows.get(name);
    if (before !== undefined && isSame(before.vector, vector)) return;
    if (before === undefined) this.rowCount += 1;
    rows.set(name, { vector, change });
    this.change = change;
  }

  /** Drops the rows of removed names, which would accumulate otherwise, and starts a new numbering. */
  private restartNumbering(): void {
    this.book = this.random.name();
    this.rowCount = 0;
    for (const [table, rows] of this.rows) {
      const present = [...rows].filter(([, { vector }]) => vector.length > 0);
      this.rows.set(table, new Map(present));
      this.rowCount += present.length;
    }
  }

  private rowsSince(from: number | null): LoadUpdate['rows'] {
    const changed: Partial<Record<LoadTable, Readonly<Record<string, LoadVector>>>> = {};
    for (const [table, rows] of this.rows) {
      const updates = [...rows].filter(([, { vector, change }]) => (from === null ? vector.length > 0 : change > from));
      if (updates.length === 0) continue;
      changed[table] = Object.fromEntries(updates.map(([name, { vector }]) => [name, vector] as const));
    }
    return changed;
  }
}
