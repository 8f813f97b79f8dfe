import type { Clock } from '../../shared/effects/clock/clock';
import type { KeeperCore } from '../register/keeperCore';

/** When each other member was last heard by this keeper. */
export class MemberWatch {
  private readonly heard = new Map<string, number>();

  public constructor(
    private readonly core: KeeperCore,
    private readonly clock: Clock,
    private readonly silentMicroseconds: number,
  ) {}

  public hear(name: string): void {
    if (this.core.members().members[name] !== undefined) this.heard.set(name, this.clock.nowMicroseconds());
  }

  /** Members of whom nothing was heard for the whole span, which begins at the earliest when this keeper first looked. */
  public silent(): readonly string[] {
    const now = this.clock.nowMicroseconds();
    return this.core.others().flatMap(([name]) => {
      const at = this.heard.get(name);
      if (at === undefined) this.heard.set(name, now);
      return at !== undefined && now - at > this.silentMicroseconds ? [name] : [];
    });
  }
}
