import { createHash } from 'node:crypto';

/** Version of a gossip entry. An entry has one author at a time, who raises the version, and the higher version wins. */
export type EntryVersion = readonly [major: number, minor: number];
/** One versioned value that is spread by gossip. */
export type GossipEntry = Readonly<{ key: string; version: EntryVersion; value: unknown }>;
/** Versions of known entries by kind, and within a kind by the rest of the key. */
export type GossipDigest = Readonly<Record<string, Readonly<Record<string, EntryVersion>>>>;
/** Checksum over the versions of all entries of a kind, by kind. */
export type GossipChecksums = Readonly<Record<string, string>>;

export const GossipLimits = { maxEntries: 20_000, perMessage: 2000 } as const;

export const EntryVersions = {
  compare: (left: EntryVersion, right: EntryVersion): number => left[0] - right[0] || left[1] - right[1],
} as const;

/** The kind of an entry: the first segment of its key. */
const kindOf = (key: string): string => key.slice(0, Math.max(0, key.indexOf('/')));

export const EntryKinds = { of: kindOf } as const;

const allKinds = (): boolean => true;
/** The key without its kind; the whole key when it has no kind. */
const nameOf = (key: string, kind: string): string => (kind === '' ? key : key.slice(kind.length + 1));
const keyOf = (kind: string, name: string): string => (kind === '' ? name : `${kind}/${name}`);

/** One daemon's gossip entries, with a count of changes, digests and checksums for the exchange with peers. */
export class GossipStore {
  private changeCount = 0;
  private readonly facts = new Map<string, GossipEntry>();
  /** Entries by kind, so that a kind without changes is neither sent nor hashed again. */
  private readonly kinds = new Map<string, Map<string, GossipEntry>>();
  private readonly checksumsByKind = new Map<string, string>();
  private readonly kindChanges = new Map<string, number>();
  /** The change at which each entry was last set, in that order. */
  private readonly changedAt = new Map<string, number>();

  public get(key: string): GossipEntry | undefined {
    return this.facts.get(key);
  }

  public value<Value>(key: string): Value | undefined {
    return this.facts.get(key)?.value as Value | undefined;
  }

  public withPrefix(prefix: string): readonly GossipEntry[] {
    const kind = this.kinds.get(kindOf(prefix));
    return [...(kind ?? this.facts).values()].filter(({ key }) => key.startsWith(prefix));
  }

  /** Rises with every change, so that values computed from the entries can be cached. */
  public get changes(): number {
    return this.changeCount;
  }

  /** The count of changes to entries of one kind. */
  public changesOf(kind: string): number {
    return this.kindChanges.get(kind) ?? 0;
  }

  /** Number of known entries of one kind. */
  public countOf(kind: string): number {
    return this.kinds.get(kind)?.size ?? 0;
  }

  /** Stores an entry. True when it was newer than the known one. */
  public put(fact: GossipEntry): boolean {
    const known = this.facts.get(fact.key);
    if (known !== undefined && EntryVersions.compare(fact.version, known.version) <= 0) return false;
    // The number of entries is bounded so that peers cannot exhaust the memory.
    if (known === undefined && this.facts.size >= GossipLimits.maxEntries) return false;
    this.facts.set(fact.key, fact);
    this.changeCount += 1;
    // Deleting first moves the key to the end of the map's order.
    this.changedAt.delete(fact.key);
    this.changedAt.set(fact.key, this.changeCount);
    const kind = kindOf(fact.key);
    const others = this.kinds.get(kind) ?? new Map<string, GossipEntry>();
    others.set(fact.key, fact);
    this.kinds.set(kind, others);
    this.changed(kind);
    return true;
  }

  public forget(key: string): void {
    if (!this.facts.delete(key)) return;
    this.changeCount += 1;
    this.changedAt.delete(key);
    const kind = kindOf(key);
    this.kinds.get(kind)?.delete(key);
    this.changed(kind);
  }

  public get size(): number {
    return this.facts.size;
  }

  /** A short checksum over the versions of each kind; kinds with equal checksums need no digest. */
  public sums(): GossipChecksums {
    return Object.fromEntries([...this.kinds].map(([kind, facts]) => [kind, this.checksumOf(kind, facts)]));
  }

  /** One checksum over all kinds. */
  public sum(): string {
    return createHash('sha256')
      .update(JSON.stringify(Object.entries(this.sums()).sort()))
      .digest('hex')
      .slice(0, 16);
  }

  /** The versions of the wanted kinds whose checksums differ from the peer's. */
  public digest(peerSums: GossipChecksums = {}, isWanted: (kind: string) => boolean = allKinds): GossipDigest {
    const differing = [...this.kinds].filter(
      ([kind, facts]) => isWanted(kind) && this.checksumOf(kind, facts) !== peerSums[kind],
    );
    return Object.fromEntries(
      // Kinds without entries are included, because the peer has some and must learn that they are unknown here.
      [
        ...Object.keys(peerSums)
          .filter((kind) => !this.kinds.has(kind) && isWanted(kind))
          .map((kind) => [kind, {}] as const),
      ].concat(
        differing.map(([kind, facts]) => [
          kind,
          Object.fromEntries([...facts.values()].map(({ key, version }) => [nameOf(key, kind), version])),
        ]),
      ),
    );
  }

  /** Entries that are newer than the digest or missing in it; `kinds`: the kinds that the digest covers, if not all. */
  public entriesNewerThan(digest: GossipDigest, kinds: Iterable<string> = this.kinds.keys()): readonly GossipEntry[] {
    const newer: GossipEntry[] = [];
    for (const kind of kinds)
      for (const fact of this.kinds.get(kind)?.values() ?? []) {
        const known = digest[kind]?.[nameOf(fact.key, kind)];
        if (known === undefined || EntryVersions.compare(fact.version, known) > 0) newer.push(fact);
        if (newer.length >= GossipLimits.perMessage) return newer;
      }
    return newer;
  }

  /** Entries that were set after a change of this store, the earliest first, and the change up to which they are complete. */
  public changedSince(
    change: number,
    maxEntries: number = GossipLimits.perMessage,
    isWanted: (kind: string) => boolean = allKinds,
  ): Readonly<{ facts: readonly GossipEntry[]; change: number }> {
    const found: GossipEntry[] = [];
    let upTo = change;
    for (const [key, at] of this.changedAt) {
      if (at <= change || !isWanted(kindOf(key))) continue;
      if (found.length >= maxEntries) return { facts: found, change: upTo };
      const fact = this.facts.get(key);
      if (fact !== undefined) found.push(fact);
      upTo = at;
    }
    return { facts: found, change: this.changeCount };
  }

  /** Keys of entries that the digest has in a newer version than this store. */
  public missingKeys(digest: GossipDigest): readonly string[] {
    const keys = Object.entries(digest).flatMap(([kind, versions]) =>
      Object.entries(versions).flatMap(([name, version]) => {
        const key = keyOf(kind, name);
        const known = this.facts.get(key);
        return known === undefined || EntryVersions.compare(version, known.version) > 0 ? [key] : [];
      }),
    );
    return keys.slice(0, GossipLimits.perMessage);
  }

  private changed(kind: string): void {
    this.checksumsByKind.delete(kind);
    this.kindChanges.set(kind, this.changesOf(kind) + 1);
  }

  private checksumOf(kind: string, facts: ReadonlyMap<string, GossipEntry>): string {
    const known = this.checksumsByKind.get(kind);
    if (known !== undefined) return known;
    const versionLines = [...facts.values()].map(({ key, version }) => `${key}@${version[0]}.${version[1]}`).sort();
    const sum = createHash('sha256').update(versionLines.join('\n')).digest('hex').slice(0, 12);
    this.checksumsByKind.set(kind, sum);
    return sum;
  }
}

const isVersion = (value: unknown): value is EntryVersion =>
  Array.isArray(value) && value.length === 2 && value.every((part) => Number.isSafeInteger(part));
const isRecord = (value: unknown): value is Readonly<Record<string, unknown>> =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

/** Checks of received gossip messages. */
export const GossipValidation = {
  isList: (value: unknown): value is readonly GossipEntry[] =>
    Array.isArray(value) &&
    value.length <= GossipLimits.perMessage &&
    value.every((item: unknown) => {
      const fact = item as Partial<GossipEntry> | null;
      return (
        typeof fact === 'object' &&
        fact !== null &&
        typeof fact.key === 'string' &&
        fact.key.length <= 256 &&
        isVersion(fact.version)
      );
    }),
  isSums: (value: unknown): value is GossipChecksums =>
    isRecord(value) && Object.values(value).every((sum) => typeof sum === 'string'),
  isDigest: (value: unknown): value is GossipDigest =>
    isRecord(value) &&
    Object.values(value).every((versions) => isRecord(versions) && Object.values(versions).every(isVersion)),
  isKeys: (value: unknown): value is readonly string[] =>
    Array.isArray(value) && value.length <= GossipLimits.perMessage && value.every((key) => typeof key === 'string'),
} as const;
