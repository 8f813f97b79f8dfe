import Emittery from 'emittery';
import { once } from 'remeda';
import type { Clock } from '../../shared/effects/clock/clock';
import type { Log } from '../../shared/log/log';
import type { FactBook } from '../../shared/news/facts';
import { FactKeys, MemberStates, MemberVersions, type MemberFact, type MemberState } from '../../shared/news/factTypes';
import { Rendezvous } from '../../shared/rendezvous/rendezvous';

export type MembershipSettings = Readonly<{
  colleagues: number;
  watchers: number;
  goneMicroseconds: number;
  forgetMicroseconds: number;
}>;

export type Self = Readonly<{
  name: string;
  zone: string;
  address: string;
  proxyAddress: string;
  pagesAddress: string;
  boot: string;
}>;

/** What follows from who belongs to the fleet, as long as no news of a member comes in. */
type Drawn = Readonly<{
  changes: number;
  all: readonly MemberFact[];
  present: readonly MemberFact[];
  names: readonly string[];
  colleagues: () => readonly string[];
  neighbours: () => readonly string[];
  watched: () => readonly string[];
  zoneSize: number;
}>;

/** Who belongs to the fleet, as news says. It steers placement and duties, never what is right. */
export class Membership {
  public readonly news = new Emittery<{ changed: MemberFact }>();
  private incarnation = 1;
  private readonly suspectSince = new Map<string, number>();
  private readonly missed = new Map<string, number>();
  private drawn: Drawn | undefined;

  public constructor(
    private readonly self: Self,
    private readonly book: FactBook,
    private readonly clock: Clock,
    private readonly settings: MembershipSettings,
    private readonly log: Log,
  ) {
    this.say(self.name, 'alive', this.incarnation);
  }

  public get selfIncarnation(): number {
    return this.incarnation;
  }

  public all(): readonly MemberFact[] {
    return this.drawnNow().all;
  }

  public present(): readonly MemberFact[] {
    return this.drawnNow().present;
  }

  /** The names of those; the same list as long as no news of a member comes in. */
  public presentNames(): readonly string[] {
    return this.drawnNow().names;
  }

  public alive(name: string): boolean {
    const member = this.member(name);
    return member !== undefined && MemberStates.isPresent(member);
  }

  public member(name: string): MemberFact | undefined {
    return this.book.value<MemberFact>(FactKeys.member(name));
  }

  /** The few this daemon exchanges news with. */
  public colleagues(): readonly MemberFact[] {
    return this.named(this.drawnNow().colleagues());
  }

  /** As many again within its own zone: what is said there crosses no link between zones. */
  public neighbours(): readonly MemberFact[] {
    return this.named(this.drawnNow().neighbours());
  }

  /** Daemons in the own zone, this one included. */
  public zoneSize(): number {
    return this.drawnNow().zoneSize;
  }

  /** Those for whom this daemon is one of the watchers; each daemon is watched by the same number of others. */
  public watched(): readonly MemberFact[] {
    return this.named(this.drawnNow().watched());
  }

  /** After news came in: a worse word about oneself, or about an earlier life, is refuted with a higher incarnation. */
  public defend(): void {
    const fact = this.book.get(FactKeys.member(this.self.name));
    const value = fact?.value as MemberFact | undefined;
    if (fact === undefined || (value?.state === 'alive' && value.boot === this.self.boot)) return;
    this.incarnation = Math.max(this.incarnation, fact.version[0]) + 1;
    this.say(this.self.name, 'alive', this.incarnation);
  }

  public heard(name: string): void {
    this.missed.delete(name);
  }

  /** One more ask without an answer; true when others should be asked before anything is said. */
  public unheard(name: string): boolean {
    const count = (this.missed.get(name) ?? 0) + 1;
    this.missed.set(name, count);
    return count >= 2;
  }

  public suspect(name: string): void {
    const fact = this.book.get(FactKeys.member(name));
    const member = fact?.value as MemberFact | undefined;
    if (fact === undefined || member?.state !== 'alive') return;
    this.say(name, 'suspect', fact.version[0]);
    this.log(`Daemon ${name} is suspected.`);
  }

  public leave(): void {
    this.say(this.self.name, 'left', this.incarnation);
  }

  public tick(): void {
    const now = this.clock.nowMicroseconds();
    for (const member of this.all()) {
      if (member.state === 'alive') {
        this.suspectSince.delete(member.name);
        continue;
      }
      const since = this.suspectSince.get(member.name) ?? now;
      this.suspectSince.set(member.name, since);
      const fact = this.book.get(FactKeys.member(member.name));
      if (member.state === 'suspect' && now - since >= this.settings.goneMicroseconds) {
        this.say(member.name, 'gone', fact?.version[0] ?? 0);
        this.suspectSince.set(member.name, now);
        this.log(`Daemon ${member.name} is gone.`);
      } else if (member.state !== 'suspect' && now - since >= this.settings.forgetMicroseconds) {
        this.book.forget(FactKeys.member(member.name));
        this.suspectSince.delete(member.name);
      }
    }
  }

  /**
   * Why kept: whom all the others watch takes the square of the fleet to work out, and members change seldom. Why each only
   * when it is asked for: while a whole fleet starts, members change far more often than anybody looks after others.
   */
  private drawnNow(): Drawn {
    const changes = this.book.changesOf('member');
    if (this.drawn?.changes === changes) return this.drawn;
    const { self, settings } = this;
    const all = this.book.withPrefix('member/').map(({ value }) => value as MemberFact);
    const present = all.filter(MemberStates.isPresent);
    const names = present.map(({ name }) => name);
    const near = present.filter(({ zone }) => zone === self.zone).map(({ name }) => name);
    const watches = (name: string): boolean => {
      const others = names.filter((other) => other !== name);
      const rank = Rendezvous.rank(name, self.name, others);
      return rank >= 0 && rank < settings.watchers;
    };
    this.drawn = {
      changes,
      all,
      present,
      names,
      colleagues: once(() => Rendezvous.colleagues(self.name, names, settings.colleagues)),
      neighbours: once(() => Rendezvous.colleagues(self.name, near, settings.colleagues)),
      zoneSize: near.length,
      watched: once(() => names.filter((name) => name !== self.name && watches(name))),
    };
    return this.drawn;
  }

  private named(names: readonly string[]): readonly MemberFact[] {
    return names.flatMap((name) => this.member(name) ?? []);
  }

  private say(name: string, state: MemberState, incarnation: number): void {
    const value: MemberFact =
      name === this.self.name ? { ...this.self, state } : { ...(this.member(name) as MemberFact), state };
    this.book.put({ key: FactKeys.member(name), version: MemberVersions.of(incarnation, state), value });
    void this.news.emit('changed', value);
  }
}
