import type { Cancel, Clock } from '../../shared/effects/clock/clock';
import { seededRandom, type Random } from '../../shared/effects/random/random';

type ScheduledEvent = { readonly atMicroseconds: number; readonly order: number; callback: (() => void) | undefined };

/** A binary heap of events by time, then by the order of scheduling, so that the same seed gives the same history. */
class EventQueue {
  private readonly heap: ScheduledEvent[] = [];

  public push(item: ScheduledEvent): void {
    this.heap.push(item);
    let index = this.heap.length - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.before(index, parent)) break;
      this.swap(index, parent);
      index = parent;
    }
  }

  public peek(): ScheduledEvent | undefined {
    return this.heap[0];
  }

  public pop(): ScheduledEvent | undefined {
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
    const leftEvent = this.heap[left] as ScheduledEvent;
    const rightEvent = this.heap[right] as ScheduledEvent;
    return (
      leftEvent.atMicroseconds < rightEvent.atMicroseconds ||
      (leftEvent.atMicroseconds === rightEvent.atMicroseconds && leftEvent.order < rightEvent.order)
    );
  }

  private swap(left: number, right: number): void {
    const leftEvent = this.heap[left] as ScheduledEvent;
    this.heap[left] = this.heap[right] as ScheduledEvent;
    this.heap[right] = leftEvent;
  }
}

/** The event loop of the simulator: virtual time for a whole fleet in one process. Nothing waits for a real clock. */
export class World {
  public readonly random: Random;
  public readonly history: string[] = [];
  private readonly eventQueue = new EventQueue();
  private now = 0;
  private scheduledCount = 0;

  public constructor(public readonly seed: number) {
    this.random = seededRandom(seed);
  }

  public get nowMicroseconds(): number {
    return this.now;
  }

  /** Schedules a callback after a virtual delay. The returned function cancels it. */
  public schedule(delayMicroseconds: number, callback: () => void): Cancel {
    this.scheduledCount += 1;
    const item: ScheduledEvent = {
      atMicroseconds: this.now + Math.max(0, Math.round(delayMicroseconds)),
      order: this.scheduledCount,
      callback,
    };
    this.eventQueue.push(item);
    return () => {
      item.callback = undefined;
    };
  }

  /** Adds a line with the virtual time to the history of the run. */
  public record(sentence: string): void {
    this.history.push(`${(this.now / 1_000_000).toFixed(3)} s: ${sentence}`);
  }

  public readonly clock: Clock = {
    nowMicroseconds: () => this.now,
    steadyMicroseconds: () => this.now,
    after: (delay, callback) => this.schedule(delay, callback),
  };

  /** Runs all events that are due within this time. Promises settle between two events. */
  public async runFor(microseconds: number): Promise<void> {
    const until = this.now + microseconds;
    // Promises settle before the first event because what the caller started may need no event at all.
    await new Promise<void>((resolve) => setImmediate(resolve));
    for (;;) {
      const next = this.eventQueue.peek();
      if (next === undefined || next.atMicroseconds > until) break;
      this.eventQueue.pop();
      if (next.callback === undefined) continue;
      this.now = next.atMicroseconds;
      next.callback();
      await new Promise<void>((resolve) => setImmediate(resolve));
    }
    this.now = until;
  }

  public async runUntil(
    condition: () => boolean,
    limitMicroseconds: number,
    stepMicroseconds = 20_000,
  ): Promise<boolean> {
    const until = this.now + limitMicroseconds;
    while (!condition()) {
      if (this.now >= until) return false;
      await this.runFor(stepMicroseconds);
    }
    return true;
  }
}
