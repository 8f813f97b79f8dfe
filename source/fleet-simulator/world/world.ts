import type { Cancel, Clock } from '../../shared/effects/clock/clock';
import { seededRandom, type Random } from '../../shared/effects/random/random';

type Planned = { readonly atMicroseconds: number; readonly order: number; act: (() => void) | undefined };

/** A heap by time, then by the order of planning, so that the same seed gives the same history. */
class Agenda {
  private readonly heap: Planned[] = [];

  public push(item: Planned): void {
    this.heap.push(item);
    let index = this.heap.length - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.before(index, parent)) break;
      this.swap(index, parent);
      index = parent;
    }
  }

  public peek(): Planned | undefined {
    return this.heap[0];
  }

  public pop(): Planned | undefined {
    const top = this.heap[0];
    const last = this.heap.pop();
    if (top === undefined || last === undefined || this.heap.length === 0) return top;
    this.heap[0] = last;
    let index = 0;
    for (;;) {
      const left = index * 2 + 1;
      const right = left + 1;
      let least = index;
      if (left < this.heap.length && this.before(left, least)) least = left;
      if (right < this.heap.length && this.before(right, least)) least = right;
      if (least === index) return top;
      this.swap(index, least);
      index = least;
    }
  }

  private before(left: number, right: number): boolean {
    const one = this.heap[left] as Planned;
    const two = this.heap[right] as Planned;
    return (
      one.atMicroseconds < two.atMicroseconds || (one.atMicroseconds === two.atMicroseconds && one.order < two.order)
    );
  }

  private swap(left: number, right: number): void {
    const one = this.heap[left] as Planned;
    this.heap[left] = this.heap[right] as Planned;
    this.heap[right] = one;
  }
}

/** Virtual time for a whole fleet in one process. Nothing here waits for a real clock. */
export class World {
  public readonly random: Random;
  public readonly history: string[] = [];
  private readonly agenda = new Agenda();
  private now = 0;
  private planned = 0;

  public constructor(public readonly seed: number) {
    this.random = seededRandom(seed);
  }

  public get nowMicroseconds(): number {
    return this.now;
  }

  public plan(delayMicroseconds: number, act: () => void): Cancel {
    this.planned += 1;
    const item: Planned = {
      atMicroseconds: this.now + Math.max(0, Math.round(delayMicroseconds)),
      order: this.planned,
      act,
    };
    this.agenda.push(item);
    return () => {
      item.act = undefined;
    };
  }

  public note(sentence: string): void {
    this.history.push(`${(this.now / 1_000_000).toFixed(3)} s: ${sentence}`);
  }

  public readonly clock: Clock = {
    nowMicroseconds: () => this.now,
    steadyMicroseconds: () => this.now,
    after: (delay, act) => this.plan(delay, act),
  };

  /** Runs everything planned up to then; promises are let settle between two acts. */
  public async runFor(microseconds: number): Promise<void> {
    const until = this.now + microseconds;
    // Why first: what the caller began may need no act at all, only that promises settle.
    await new Promise<void>((resolve) => setImmediate(resolve));
    for (;;) {
      const next = this.agenda.peek();
      if (next === undefined || next.atMicroseconds > until) break;
      this.agenda.pop();
      if (next.act === undefined) continue;
      this.now = next.atMicroseconds;
      next.act();
      await new Promise<void>((resolve) => setImmediate(resolve));
    }
    this.now = until;
  }

  public async runUntil(met: () => boolean, limitMicroseconds: number, stepMicroseconds = 20_000): Promise<boolean> {
    const until = this.now + limitMicroseconds;
    while (!met()) {
      if (this.now >= until) return false;
      await this.runFor(stepMicroseconds);
    }
    return true;
  }
}
