import type { DocumentKey } from '../../shared/configuration/types';
import type { Transport } from '../../shared/effects/transport/transport';
import { Stamps } from '../../shared/register/types';
import { ControlResponses } from '../messages/controlResponses';
import { collectUntil } from './collectUntil';
import type { ReplicaCore } from './replicaCore';
import type { CampaignReason } from './registerMetrics';

/** Settings of the pre-vote. */
export type PreVoteSettings = Readonly<{
  askMicroseconds: number;
  /** Fetches the member list from the member at this address, which knows a newer one. */
  learnMembers: (address: string) => Promise<void>;
}>;

/**
 * The pre-vote that precedes every campaign, before any promise is requested. A majority must answer, and none of its members may
 * receive heartbeats of a leader or have promised to another candidate a moment ago. Without it, each request that fails at one
 * member would depose a leader that serves the others.
 */
export class PreVote {
  private addressesHearingLeader: readonly string[] = [];

  public constructor(
    private readonly key: DocumentKey,
    private readonly core: ReplicaCore,
    private readonly transport: Transport,
    private readonly settings: PreVoteSettings,
  ) {}

  /** Addresses of the members that received a leader's heartbeats at the time of the last pre-vote. */
  public get leaderHearerAddresses(): readonly string[] {
    return this.addressesHearingLeader;
  }

  /** Whether this replica may campaign now. */
  public async isGranted(reason: CampaignReason): Promise<boolean> {
    const view = this.core.members();
    const message = { kind: 'mayLead', key: this.key, fleet: this.core.state.fleet, candidate: this.core.name, reason };
    const newerListAddresses: string[] = [];
    const hearers: string[] = [];
    const hasMajority = (answers: readonly (string | undefined)[]): boolean =>
      Stamps.hasMajority(
        view.sets,
        answers.filter((name) => name !== undefined),
      );
    const answers = await collectUntil(
      Object.entries(view.members).map(async ([name, member]) => {
        if (name === this.core.name) return name;
        const reply = await this.transport.ask(member.address, message, this.settings.askMicroseconds);
        const answer = ControlResponses.read(reply, 'mayLead');
        if (answer === undefined) return undefined;
        if (answer.membersRevision > view.revision) newerListAddresses.push(member.address);
        if (!answer.hearsLeader) return name;
        hearers.push(member.address);
        return undefined;
      }),
      hasMajority,
    );
    this.addressesHearingLeader = hearers;
    const [address] = newerListAddresses;
    // Members refuse candidates with an older member list, and the leader that would update this replica may be unreachable.
    if (address !== undefined) await this.settings.learnMembers(address);
    return hasMajority(answers);
  }
}
