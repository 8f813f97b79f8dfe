import { createHash } from 'node:crypto';

/** A piece of news with one author at a time and a version that rises. The higher version stands. */
export type FactVersion = readonly [major: number, minor: number];
export type Fact = Readonly<{ key: string; version: FactVersion; value: unknown }>;
export type FactDigest = Readonly<Record<string, FactVersion>>;

export const FactLimits = { facts: 20_000, perMessage: 2000 } as const;

export const FactVersions = {
  compare: (left: FactVersion, right: FactVersion): number => left[0] - right[0] || left[1] - right[1],
} as const;

export class FactBook {
  private readonly facts = new Map<string, Fact>();
  private sumNow: string | undefined;

  public get(key: string): Fact | undefined {
    return this.facts.get(key);
  }

  public value<Value>(key: string): Value | undefined {
    return this.facts.get(key)?.value as Value | undefined;
  }

  public withPrefix(prefix: string): readonly Fact[] {
    return [...this.facts.values()].filter(({ key }) => key.startsWith(prefix));
  }

  /** True when the fact was newer than what was known. */
  public put(fact: Fact): boolean {
    const known = this.facts.get(fact.key);
    if (known !== undefined && FactVersions.compare(fact.version, known.version) <= 0) return false;
    // Why a bound: news of strangers must not fill the memory.
    if (known === undefined && this.facts.size >= FactLimits.facts) return false;
    this.facts.set(fact.key, fact);
    this.sumNow = undefined;
    return true;
  }

  public forget(key: string): void {
    if (this.facts.delete(key)) this.sumNow = undefined;
  }

  public get size(): number {
    return this.facts.size;
  }

  public digest(): FactDigest {
    return Object.fromEntries([...this.facts.values()].map(({ key, version }) => [key, version]));
  }

  /** One short sum over all versions: equal sums need no digest. */
  public sum(): string {
    if (this.sumNow === undefined) {
      const lines = [...this.facts.values()].map(({ key, version }) => `${key}@${version[0]}.${version[1]}`).sort();
      this.sumNow = createHash('sha256').update(lines.join('\n')).digest('hex').slice(0, 16);
    }
    return this.sumNow;
  }

  public newerThan(digest: FactDigest): readonly Fact[] {
    const newer: Fact[] = [];
    for (const fact of this.facts.values()) {
      const known = digest[fact.key];
      if (known === undefined || FactVersions.compare(fact.version, known) > 0) newer.push(fact);
      if (newer.length >= FactLimits.perMessage) break;
    }
    return newer;
  }
}

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
        Array.isArray(fact.version) &&
        fact.version.length === 2 &&
        fact.version.every((part) => Number.isSafeInteger(part))
      );
    }),
} as const;
