import type { Clock } from '../../shared/effects/clock/clock';
import type { ReplicaCore } from '../register/replicaCore';

/** Detects members that are silent, by the time of the last message from each. */
export class MemberFailureDetector {
  private readonly lastContact = new Map<string, number>();

  public constructor(
    private readonly core: ReplicaCore,
    private readonly clock: Clock,
    private readonly silentMicroseconds: number,
  ) {}

  /** Records a message from a member. */
  public recordContact(name: string): void {
    if (this.core.members().members[name] !== undefined) this.lastContact.set(name, this.clock.nowMicroseconds());
  }

  /** Members without a message for the whole timeout. For a member that never sent one, it starts with the first call of this method. */
  public silentMembers(): readonly string[] {
    const now = this.clock.nowMicroseconds();
    return this.core.others().flatMap(([name]) => {
      const at = this.lastContact.get(name);
      if (at === undefined) this.lastContact.set(name, now);
      return at !== undefined && now - at > this.silentMicroseconds ? [name] : [];
    });
  }
}
