import type { Clock } from '../effects/clock/clock';

/** "The steward saw this holder under (term, epoch)", with the age of that look. Like statements, it must be asked for. */
export type Pulse = Readonly<{ holder: string; term: number; epoch: number; ageMicroseconds: number }>;

type Heard = Readonly<{ term: number; epoch: number; asOfMicroseconds: number }>;

export const PulseLimits = {
  /** Kept blocks are named, or imported, only under a look no older than this. */
  freshMicroseconds: 1_000_000,
  /** So long after fencing an engine its steward lets it change weights: by then nobody names its old blocks. */
  quietMicroseconds: 1_300_000,
  holders: 4096,
} as const;

const later = (left: Heard, right: Heard): boolean =>
  left.term - right.term > 0 ||
  (left.term === right.term &&
    (left.epoch > right.epoch || (left.epoch === right.epoch && left.asOfMicroseconds > right.asOfMicroseconds)));

/** How recently each holder was seen by its steward, as far as this daemon can prove. */
export class Pulses {
  private readonly heard = new Map<string, Heard>();

  public constructor(private readonly clock: Clock) {}

  public saw(holder: string, term: number, epoch: number, asOfMicroseconds: number): void {
    const next: Heard = { term, epoch, asOfMicroseconds };
    const known = this.heard.get(holder);
    if (known === undefined ? this.heard.size < PulseLimits.holders : later(next, known)) this.heard.set(holder, next);
  }

  public hear(pulses: unknown, askedMicroseconds: number): void {
    if (!Array.isArray(pulses)) return;
    for (const pulse of pulses as readonly Partial<Pulse>[]) {
      const { holder, term, epoch, ageMicroseconds } = pulse;
      if (
        typeof holder === 'string' &&
        typeof term === 'number' &&
        typeof epoch === 'number' &&
        typeof ageMicroseconds === 'number' &&
        ageMicroseconds >= 0
      )
        this.saw(holder, term, epoch, askedMicroseconds - ageMicroseconds);
    }
  }

  public say(): readonly Pulse[] {
    const now = this.clock.nowMicroseconds();
    return [...this.heard].map(([holder, { term, epoch, asOfMicroseconds }]) => ({
      holder,
      term,
      epoch,
      ageMicroseconds: now - asOfMicroseconds,
    }));
  }

  /** How long ago the holder was last seen to answer, under whatever epoch. */
  public ageMicroseconds(holder: string): number {
    const known = this.heard.get(holder);
    return known === undefined ? Infinity : this.clock.nowMicroseconds() - known.asOfMicroseconds;
  }

  public fresh(holder: string, term: number, epoch: number): boolean {
    const known = this.heard.get(holder);
    return (
      known !== undefined &&
      known.term === term &&
      known.epoch === epoch &&
      this.clock.nowMicroseconds() - known.asOfMicroseconds < PulseLimits.freshMicroseconds
    );
  }
}
