import { createHash } from 'node:crypto';

/** A piece of news with one author at a time and a version that rises. The higher version stands. */
export type FactVersion = readonly [major: number, minor: number];
export type Fact = Readonly<{ key: string; version: FactVersion; value: unknown }>;
/** By kind, and within a kind by the rest of the key. */
export type FactDigest = Readonly<Record<string, Readonly<Record<string, FactVersion>>>>;
export type FactSums = Readonly<Record<string, string>>;

export const FactLimits = { facts: 20_000, perMessage: 2000 } as const;

export const FactVersions = {
  compare: (left: FactVersion, right: FactVersion): number => left[0] - right[0] || left[1] - right[1],
} as const;

/** What a fact tells of: the first word of its key. */
const kindOf = (key: string): string => key.slice(0, Math.max(0, key.indexOf('/')));

export const FactKinds = { of: kindOf } as const;

const allKinds = (): boolean => true;
/** The rest of the key; all of it where it names no kind. */
const nameOf = (key: string, kind: string): string => (kind === '' ? key : key.slice(kind.length + 1));
const keyOf = (kind: string, name: string): string => (kind === '' ? name : `${kind}/${name}`);

export class FactBook {
  private changeCount = 0;
  private readonly facts = new Map<string, Fact>();
  /** The facts of each kind, so that what is at rest is neither told nor summed again. */
  private readonly kinds = new Map<string, Map<string, Fact>>();
  private readonly sumsNow = new Map<string, string>();
  private readonly kindChanges = new Map<string, number>();
  /** At which change each fact came; in that order. */
  private readonly changedAt = new Map<string, number>();

  public get(key: string): Fact | undefined {
    return this.facts.get(key);
  }

  public value<Value>(key: string): Value | undefined {
    return this.facts.get(key)?.value as Value | undefined;
  }

  public withPrefix(prefix: string): readonly Fact[] {
    const kind = this.kinds.get(kindOf(prefix));
    return [...(kind ?? this.facts).values()].filter(({ key }) => key.startsWith(prefix));
  }

  /** Rises with every change, so that what was worked out from the facts need not be worked out again. */
  public get changes(): number {
    return this.changeCount;
  }

  /** The same for the facts of one kind. */
  public changesOf(kind: string): number {
    return this.kindChanges.get(kind) ?? 0;
  }

  /** How many facts of one kind are known. */
  public countOf(kind: string): number {
    return this.kinds.get(kind)?.size ?? 0;
  }

  /** True when the fact was newer than what was known. */
  public put(fact: Fact): boolean {
    const known = this.facts.get(fact.key);
    if (known !== undefined && FactVersions.compare(fact.version, known.version) <= 0) return false;
    // Why a bound: news of strangers must not fill the memory.
    if (known === undefined && this.facts.size >= FactLimits.facts) return false;
    this.facts.set(fact.key, fact);
    this.changeCount += 1;
    // Why taken out first: what is put in anew stands last.
    this.changedAt.delete(fact.key);
    this.changedAt.set(fact.key, this.changeCount);
    const kind = kindOf(fact.key);
    const others = this.kinds.get(kind) ?? new Map<string, Fact>();
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

  /** One short sum over the versions of each kind: what has equal sums needs no digest. */
  public sums(): FactSums {
    return Object.fromEntries([...this.kinds].map(([kind, facts]) => [kind, this.sumOf(kind, facts)]));
  }

  public sum(): string {
    return createHash('sha256')
      .update(JSON.stringify(Object.entries(this.sums()).sort()))
      .digest('hex')
      .slice(0, 16);
  }

  /** The versions of those kinds whose sums differ, as far as they are wanted. */
  public digest(theirs: FactSums = {}, isWanted: (kind: string) => boolean = allKinds): FactDigest {
    const differing = [...this.kinds].filter(
      ([kind, facts]) => isWanted(kind) && this.sumOf(kind, facts) !== theirs[kind],
    );
    return Object.fromEntries(
      // Why those without facts too: the other side has some, and must be told that they are unknown here.
      [
        ...Object.keys(theirs)
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

  /** What this book has that the digest lacks; `kinds`: those that it tells of, if it is not of all. */
  public newerThan(digest: FactDigest, kinds: Iterable<string> = this.kinds.keys()): readonly Fact[] {
    const newer: Fact[] = [];
    for (const kind of kinds)
      for (const fact of this.kinds.get(kind)?.values() ?? []) {
        const known = digest[kind]?.[nameOf(fact.key, kind)];
        if (known === undefined || FactVersions.compare(fact.version, known) > 0) newer.push(fact);
        if (newer.length >= FactLimits.perMessage) return newer;
      }
    return newer;
  }

  /** What came after a change of this book, the earliest first, and up to which change that is all. */
  public changedSince(
    change: number,
    most: number = FactLimits.perMessage,
    isWanted: (kind: string) => boolean = allKinds,
  ): Readonly<{ facts: readonly Fact[]; change: number }> {
    const found: Fact[] = [];
    let upTo = change;
    for (const [key, at] of this.changedAt) {
      if (at <= change || !isWanted(kindOf(key))) continue;
      if (found.length >= most) return { facts: found, change: upTo };
      const fact = this.facts.get(key);
      if (fact !== undefined) found.push(fact);
      upTo = at;
    }
    return { facts: found, change: this.changeCount };
  }

  /** What the digest has that this book lacks. */
  public lacks(digest: FactDigest): readonly string[] {
    const keys = Object.entries(digest).flatMap(([kind, versions]) =>
      Object.entries(versions).flatMap(([name, version]) => {
        const key = keyOf(kind, name);
        const known = this.facts.get(key);
        return known === undefined || FactVersions.compare(version, known.version) > 0 ? [key] : [];
      }),
    );
    return keys.slice(0, FactLimits.perMessage);
  }

  private changed(kind: string): void {
    this.sumsNow.delete(kind);
    this.kindChanges.set(kind, this.changesOf(kind) + 1);
  }

  private sumOf(kind: string, facts: ReadonlyMap<string, Fact>): string {
    const known = this.sumsNow.get(kind);
    if (known !== undefined) return known;
    const lines = [...facts.values()].map(({ key, version }) => `${key}@${version[0]}.${version[1]}`).sort();
    const sum = createHash('sha256').update(lines.join('\n')).digest('hex').slice(0, 12);
    this.sumsNow.set(kind, sum);
    return sum;
  }
}

const isVersion = (value: unknown): value is FactVersion =>
  Array.isArray(value) && value.length === 2 && value.every((part) => Number.isSafeInteger(part));
const isRecord = (value: unknown): value is Readonly<Record<string, unknown>> =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

export const Facts = {
  isList: (value: unknown): value is readonly Fact[] =>
    Array.isArray(value) &&
    value.length <= FactLimits.perMessage &&
    value.every((item: unknown) => {
      const fact = item as Partial<Fact> | null;
      return (
        typeof fact === 'object' &&
        fact !== null &&
        typeof fact.key === 'string' &&
        fact.key.length <= 256 &&
        isVersion(fact.version)
      );
    }),
  isSums: (value: unknown): value is FactSums =>
    isRecord(value) && Object.values(value).every((sum) => typeof sum === 'string'),
  isDigest: (value: unknown): value is FactDigest =>
    isRecord(value) &&
    Object.values(value).every((versions) => isRecord(versions) && Object.values(versions).every(isVersion)),
  isKeys: (value: unknown): value is readonly string[] =>
    Array.isArray(value) && value.length <= FactLimits.perMessage && value.every((key) => typeof key === 'string'),
} as const;
