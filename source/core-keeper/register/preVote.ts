/**
 * The pre-vote, before any promise is asked for, whatever the campaign is for: a majority must answer, and none of it may hear a leader
 * or have promised to another candidate a moment ago. Else each call that fails at one member would depose a leader that serves the others.
 */
import type { DocumentKey } from '../../shared/blueprint/types';
import type { Transport } from '../../shared/effects/transport/transport';
import { Stamps } from '../../shared/register/types';
import { Answers } from '../messages/answers';
import { collectUntil } from './collect';
import type { KeeperCore } from './keeperCore';
import type { CampaignReason } from './registerMetrics';

export type PreVoteSettings = Readonly<{
  askMicroseconds: number;
  /** The member at this address knows a newer list of members than this replica, which takes it from there. */
  learnMembers: (address: string) => Promise<void>;
}>;

export class PreVote {
  private hearers: readonly string[] = [];

  public constructor(
    private readonly key: DocumentKey,
    private readonly core: KeeperCore,
    private readonly transport: Transport,
    private readonly settings: PreVoteSettings,
  ) {}

  /** Members that heard a leader when this replica last asked; addresses. */
  public get leaderHearers(): readonly string[] {
    return this.hearers;
  }

  /** Whether this replica may campaign now. */
  public async isGranted(reason: CampaignReason): Promise<boolean> {
    const view = this.core.members();
    const message = { kind: 'mayLead', key: this.key, fleet: this.core.state.fleet, candidate: this.core.name, reason };
    const newer: string[] = [];
    const hearers: string[] = [];
    const isReached = (answers: readonly (string | undefined)[]): boolean =>
      Stamps.reached(
        view.sets,
        answers.filter((name) => name !== undefined),
      );
    const answers = await collectUntil(
      Object.entries(view.members).map(async ([name, member]) => {
        if (name === this.core.name) return name;
        const asked = await this.transport.ask(member.address, message, this.settings.askMicroseconds);
        const answer = Answers.read(asked, 'mayLead');
        if (answer === undefined) return undefined;
        if (answer.membersRevision > view.revision) newer.push(member.address);
        if (!answer.hearsLeader) return name;
        hearers.push(member.address);
        return undefined;
      }),
      isReached,
    );
    this.hearers = hearers;
    const [address] = newer;
    // Members refuse whoever goes by an older list, and the leader that would repair this replica may be out of its reach.
    if (address !== undefined) await this.settings.learnMembers(address);
    return isReached(answers);
  }
}
