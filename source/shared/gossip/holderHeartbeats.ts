import type { Clock } from '../effects/clock/clock';

/**
 * States that the engine controller reached this holder under (term, epoch), with the age of that contact. Like statements, it is only
 * accepted in answers to requests, which bound its age.
 */
export type HolderHeartbeat = Readonly<{ holder: string; term: number; epoch: number; ageMicroseconds: number }>;

type Contact = Readonly<{ term: number; epoch: number; asOfMicroseconds: number }>;

export const HolderHeartbeatLimits = {
  /** Cached blocks are referenced or imported only if the last contact is not older than this. */
  maxAgeMicroseconds: 1_000_000,
  /** Time between fencing an engine and letting it change weights; after it nobody references the old blocks any more. */
  weightsChangeDelayMicroseconds: 1_300_000,
  maxHolders: 4096,
} as const;

const isLater = (left: Contact, right: Contact): boolean =>
  left.term - right.term > 0 ||
  (left.term === right.term &&
    (left.epoch > right.epoch || (left.epoch === right.epoch && left.asOfMicroseconds > right.asOfMicroseconds)));

/** When each holder was last reached by its engine controller, as far as this daemon can prove. */
export class HolderHeartbeats {
  private readonly heard = new Map<string, Contact>();

  public constructor(private readonly clock: Clock) {}

  public recordContact(holder: string, term: number, epoch: number, asOfMicroseconds: number): void {
    const next: Contact = { term, epoch, asOfMicroseconds };
    const known = this.heard.get(holder);
    if (known === undefined ? this.heard.size < HolderHeartbeatLimits.maxHolders : isLater(next, known))
      this.heard.set(holder, next);
  }

  public receive(pulses: unknown, askedMicroseconds: number): void {
    if (!Array.isArray(pulses)) return;
    for (const pulse of pulses as readonly Partial<HolderHeartbeat>[]) {
      const { holder, term, epoch, ageMicroseconds } = pulse;
      if (
        typeof holder === 'string' &&
        typeof term === 'number' &&
        typeof epoch === 'number' &&
        typeof ageMicroseconds === 'number' &&
        ageMicroseconds >= 0
      )
        this.recordContact(holder, term, epoch, askedMicroseconds - ageMicroseconds);
    }
  }

  public report(): readonly HolderHeartbeat[] {
    const now = this.clock.nowMicroseconds();
    return [...this.heard].map(([holder, { term, epoch, asOfMicroseconds }]) => ({
      holder,
      term,
      epoch,
      ageMicroseconds: now - asOfMicroseconds,
    }));
  }

  /** How long ago the holder last answered its controller, under any epoch. */
  public ageMicroseconds(holder: string): number {
    const known = this.heard.get(holder);
    return known === undefined ? Infinity : this.clock.nowMicroseconds() - known.asOfMicroseconds;
  }

  public isFresh(holder: string, term: number, epoch: number): boolean {
    const known = this.heard.get(holder);
    return (
      known !== undefined &&
      known.term === term &&
      known.epoch === epoch &&
      this.clock.nowMicroseconds() - known.asOfMicroseconds < HolderHeartbeatLimits.maxAgeMicroseconds
    );
  }
}
