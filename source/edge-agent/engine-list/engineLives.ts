import type { ListedEngine } from './engineLister';

type Life = Readonly<{ engine: ListedEngine; firstRead: number; seenMicroseconds: number }>;

const keptOver = 4096;

/**
 * What a series of answers says of lives that begin and end. Answers may be behind by different times, so one may show an
 * earlier moment than the one before; and a name is one life, so what has ended does not come back.
 */
export class EngineLives {
  private readonly lives = new Map<string, Life>();
  private readonly over = new Set<string>();
  private reads = 0;

  public constructor(private readonly lagMicroseconds: () => number) {}

  /**
   * The engines that live, after one more answer; `known` are those that the fleet knew before this series. Why two times:
   * the pages of a long list come one after the other, and what stood on the last of them was seen that late.
   */
  public heard(
    listed: readonly ListedEngine[],
    known: readonly ListedEngine[],
    askedMicroseconds: number,
    heardMicroseconds = askedMicroseconds,
  ): readonly ListedEngine[] {
    if (this.reads === 0)
      for (const engine of known)
        this.lives.set(engine.name, { engine, firstRead: 0, seenMicroseconds: askedMicroseconds });
    this.reads += 1;
    for (const engine of listed) this.seen(engine, heardMicroseconds);
    const names = new Set(listed.map(({ name }) => name));
    for (const [name, { seenMicroseconds }] of [...this.lives])
      // Why not at once: the answer may be from before it came up, or it slipped from one page to another.
      if (!names.has(name) && askedMicroseconds - seenMicroseconds >= this.lagMicroseconds()) this.end(name);
    return this.oneAnAddress();
  }

  private seen(engine: ListedEngine, heardMicroseconds: number): void {
    if (this.over.has(engine.name)) return;
    const life = this.lives.get(engine.name);
    // Why for good: who leaves does not stay after all, and an answer from before must not make it look so.
    const state = life?.engine.state === 'draining' ? 'draining' : engine.state;
    this.lives.set(engine.name, {
      engine: { ...engine, state },
      firstRead: life?.firstRead ?? this.reads,
      seenMicroseconds: heardMicroseconds,
    });
  }

  /** Why the later one: an engine that has ended stays listed for a while, and its address is given on. */
  private oneAnAddress(): readonly ListedEngine[] {
    const byAddress = new Map<string, Life>();
    for (const life of this.lives.values()) {
      const other = byAddress.get(life.engine.address);
      if (other === undefined) {
        byAddress.set(life.engine.address, life);
        continue;
      }
      const [later, earlier] = isLater(life, other) ? [life, other] : [other, life];
      byAddress.set(life.engine.address, later);
      // Why only then: of two that came up in one answer nobody knows for sure.
      if (later.firstRead > earlier.firstRead) this.end(earlier.engine.name);
    }
    return [...byAddress.values()].map(({ engine }) => engine);
  }

  private end(name: string): void {
    this.lives.delete(name);
    this.over.add(name);
    for (const oldest of this.over) {
      if (this.over.size <= keptOver) break;
      this.over.delete(oldest);
    }
  }
}

const isLater = (left: Life, right: Life): boolean =>
  left.firstRead !== right.firstRead
    ? left.firstRead > right.firstRead
    : left.engine.state !== right.engine.state
      ? left.engine.state === 'ready'
      : (left.engine.coldMicroseconds ?? 0) > (right.engine.coldMicroseconds ?? 0);
