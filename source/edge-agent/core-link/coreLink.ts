import type { CoreMember } from '../../shared/blueprint/types';
import type { Effects } from '../../shared/effects/effects';
import type { Freshness } from '../../shared/freshness/freshness';
import { Statements } from '../../shared/freshness/freshness';
import type { Log } from '../../shared/log/log';
import { MajorityReads, type WordsAnswer } from './majorityRead';

export type CoreLinkSettings = Readonly<{ seeds: readonly string[]; askMicroseconds: number }>;

/** The agent's link to the core: a majority read several times a second, and the bodies it finds to be missing. */
export class CoreLink {
  private fleetName = '';
  private view: WordsAnswer['view'] | undefined;

  public constructor(
    private readonly effects: Effects,
    private readonly freshness: Freshness,
    private readonly settings: CoreLinkSettings,
    private readonly own: () => unknown,
    private readonly log: Log,
  ) {}

  public get fleet(): string {
    return this.fleetName;
  }

  public keepers(): Readonly<Record<string, CoreMember>> {
    return this.view?.members ?? {};
  }

  public sets(): readonly (readonly string[])[] {
    return this.view?.sets ?? [];
  }

  public async read(): Promise<void> {
    const asked = this.effects.clock.nowMicroseconds();
    const answers = await Promise.all(this.addresses().map((address) => this.words(address)));
    // Why one answer a keeper: a seed and a member entry may name the same one.
    const byKeeper = new Map(
      answers.flatMap((answer) => (answer === undefined ? [] : [[answer.stamp.keeper, answer] as const])),
    );
    const read = MajorityReads.judge([...byKeeper.values()], this.fleetName, (key) => this.freshness.applied(key));
    if (
      read.view !== undefined &&
      read.fleet !== '' &&
      (this.view === undefined || read.view.revision >= this.view.revision)
    ) {
      if (this.fleetName === '' && read.statements.length > 0)
        this.log(`This agent belongs to the fleet ${read.fleet}.`);
      // Why only then: one stranger at a seed address must not choose the fleet.
      if (read.statements.length > 0) this.fleetName = read.fleet;
      this.view = read.view;
    }
    const now = this.effects.clock.nowMicroseconds();
    for (const statement of read.statements) this.freshness.hear({ ...statement, ageMicroseconds: now - asked }, now);
    await this.fetchBodies();
  }

  private addresses(): readonly string[] {
    const members = [
      ...Object.values(this.view?.members ?? {}),
      ...Object.values(this.freshness.coreMembers?.members ?? {}),
    ].map(({ address }) => address);
    return [...new Set([...members, ...this.settings.seeds])];
  }

  private async words(address: string): Promise<WordsAnswer | undefined> {
    const answer = await this.effects.transport.ask(
      address,
      { kind: 'words', fleet: this.fleetName, own: this.own() },
      this.settings.askMicroseconds,
    );
    return answer.kind === 'answered' && answer.message.kind === 'words'
      ? (answer.message as unknown as WordsAnswer)
      : undefined;
  }

  private async fetchBodies(): Promise<void> {
    for (const wanted of this.freshness.wanted()) {
      for (const address of this.addresses()) {
        const answer = await this.effects.transport.ask(
          address,
          { kind: 'body', key: wanted.key, digest: wanted.digest },
          this.settings.askMicroseconds,
        );
        // Why compare the digest only: a keeper may hold the same text under a revision of its own view.
        if (
          answer.kind === 'answered' &&
          Statements.isBody(answer.message) &&
          this.freshness.give({ ...answer.message, revision: wanted.revision })
        ) {
          this.log(`Applied ${wanted.key} revision ${wanted.revision}.`);
          break;
        }
      }
    }
  }
}
