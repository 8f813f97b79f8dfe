import type { ListedEngine } from './engineLister';

type TrackedEngine = Readonly<{ engine: ListedEngine; firstRead: number; seenMicroseconds: number }>;

/** Upper bound of the names of ended engines that are remembered. */
const maxEndedNames = 4096;

/**
 * Tracks which engines exist, from a series of responses of the list service. Responses may lag by different amounts, so
 * one may show an earlier state than the one before it. A name is used by one engine only, so an engine that has ended
 * does not come back.
 */
export class EngineLifetimes {
  private readonly tracked = new Map<string, TrackedEngine>();
  private readonly ended = new Set<string>();
  private reads = 0;

  public constructor(private readonly lagMicroseconds: () => number) {}

  /**
   * Returns the existing engines after one more response; `known` are those that the fleet knew before the first response.
   * Both the time of the request and that of the response are given because the pages of a long list are fetched one after
   * another, and the entries of the last page are seen only at the end.
   */
  public applyResponse(
    listed: readonly ListedEngine[],
    known: readonly ListedEngine[],
    requestedMicroseconds: number,
    receivedMicroseconds = requestedMicroseconds,
  ): readonly ListedEngine[] {
    if (this.reads === 0)
      for (const engine of known)
        this.tracked.set(engine.name, { engine, firstRead: 0, seenMicroseconds: requestedMicroseconds });
    this.reads += 1;
    for (const engine of listed) this.recordListed(engine, receivedMicroseconds);
    const names = new Set(listed.map(({ name }) => name));
    for (const [name, { seenMicroseconds }] of [...this.tracked])
      // An engine is not removed at once: the response may predate its start, or the entry may have moved between pages
      // during the read.
      if (!names.has(name) && requestedMicroseconds - seenMicroseconds >= this.lagMicroseconds()) this.end(name);
    return this.onePerAddress();
  }

  private recordListed(engine: ListedEngine, receivedMicroseconds: number): void {
    if (this.ended.has(engine.name)) return;
    const tracked = this.tracked.get(engine.name);
    // Draining is final, and an outdated response must not make the engine look ready again.
    const state = tracked?.engine.state === 'draining' ? 'draining' : engine.state;
    this.tracked.set(engine.name, {
      engine: { ...engine, state },
      firstRead: tracked?.firstRead ?? this.reads,
      seenMicroseconds: receivedMicroseconds,
    });
  }

  /** Keeps the later engine of each address, because an ended engine stays listed for a while and its address is reused. */
  private onePerAddress(): readonly ListedEngine[] {
    const byAddress = new Map<string, TrackedEngine>();
    for (const tracked of this.tracked.values()) {
      const other = byAddress.get(tracked.engine.address);
      if (other === undefined) {
        byAddress.set(tracked.engine.address, tracked);
        continue;
      }
      const [later, earlier] = isLaterEngine(tracked, other) ? [tracked, other] : [other, tracked];
      byAddress.set(tracked.engine.address, later);
      // Of two engines that first appeared in the same response, it is uncertain which one has ended, so none is ended.
      if (later.firstRead > earlier.firstRead) this.end(earlier.engine.name);
    }
    return [...byAddress.values()].map(({ engine }) => engine);
  }

  private end(name: string): void {
    this.tracked.delete(name);
    this.ended.add(name);
    for (const oldest of this.ended) {
      if (this.ended.size <= maxEndedNames) break;
      this.ended.delete(oldest);
    }
  }
}

const isLaterEngine = (left: TrackedEngine, right: TrackedEngine): boolean =>
  left.firstRead !== right.firstRead
    ? left.firstRead > right.firstRead
    : left.engine.state !== right.engine.state
      ? left.engine.state === 'ready'
      : (left.engine.coldMicroseconds ?? 0) > (right.engine.coldMicroseconds ?? 0);
