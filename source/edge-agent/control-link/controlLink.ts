import type { ControlNodeMember, DocumentKey } from '../../shared/configuration/types';
import type { Effects } from '../../shared/effects/effects';
import type { Message } from '../../shared/effects/transport/transport';
import type { Freshness } from '../../shared/freshness/freshness';
import { Statements } from '../../shared/freshness/freshness';
import { FleetVotes, type FleetName } from '../../shared/fleet/fleetName';
import { Logs } from '../../shared/log/log';
import { DocumentFetch } from './documentFetch';
import { StateReportCache } from './stateReportCache';
import {
  MajorityReads,
  type MajorityRead,
  type MembersView,
  type StatementsAnswer,
} from '../../shared/register/majorityRead';

type MissingDocument = ReturnType<Freshness['wanted']>[number];

/** The answer of one address: its fleet, the control node's state report, and the addresses of members that it names. */
type NodeAnswer = Readonly<{ fleet: string; report: StatementsAnswer | undefined; memberAddresses: readonly string[] }>;

/** `words`: a full state report, which a control node sends after a change or a restart. `other`: an unchanged report, or none. */
type LastAnswer = 'silent' | 'words' | 'other';

/** Every so many reads the request also carries this agent's own member entry. */
const ownEntryEveryReads = 10;

/** The timeout for a whole document, as a multiple of the timeout for a state report. */
const documentTimeoutFactor = 5;

/** The most member addresses that are taken from one non-voting control node. */
const maxNamedAddresses = 16;

const addressesIn = (value: unknown): readonly string[] =>
  Array.isArray(value) ? value.filter((item) => typeof item === 'string').slice(0, maxNamedAddresses) : [];

export type ControlLinkSettings = Readonly<{
  seeds: readonly string[];
  askMicroseconds: number;
  /** A configuration age below this, learned by gossip from other agents' reads, makes an own read unnecessary; 0: always read. */
  sharedReadMicroseconds: () => number;
  /** The longest time between two own reads, whatever gossip brings. */
  ownReadMicroseconds: () => number;
  /** Whether the list of engines comes from the control nodes. */
  readsEngines: boolean;
  /** Whether none of the addresses can belong to another fleet. */
  isOnlyFleet: boolean;
}>;

/** The agent's link to the control nodes: does a majority read several times a second and fetches the documents that it lacks. */
export class ControlLink {
  private hasReportedMixedFleets = false;
  private lastReadMicroseconds = -Infinity;
  private readonly notice = Logs.channel('agent:notice');
  private membersView: MembersView | undefined;
  private namedAddresses: readonly string[] = [];
  private readonly stateReports = new StateReportCache();
  /** The kind of the last answer of each address. */
  private readonly lastAnswers = new Map<string, LastAnswer>();
  private readCount = 0;
  private isFetching = false;
  private seeds: readonly string[];

  public constructor(
    private readonly effects: Effects,
    private readonly fleetName: FleetName,
    private readonly freshness: Freshness,
    private readonly settings: ControlLinkSettings,
    private readonly ownEntry: () => unknown,
  ) {
    this.seeds = settings.seeds;
  }

  /** Replaces the seed addresses after a change of the settings. */
  public setSeeds(seeds: readonly string[]): void {
    this.seeds = seeds;
  }

  public get fleet(): string {
    return this.fleetName.name;
  }

  public controlNodes(): Readonly<Record<string, ControlNodeMember>> {
    return this.membersView?.members ?? {};
  }

  public memberSets(): readonly (readonly string[])[] {
    return this.membersView?.sets ?? [];
  }

  /** The revision of the list of control nodes that this agent uses. */
  public membersRevision(): number {
    return this.membersView?.revision ?? 0;
  }

  /** Takes a list of control nodes from one of them if it is newer than the present one. */
  public updateMembersView(view: MembersView): void {
    if (this.membersView === undefined || view.revision > this.membersView.revision) this.membersView = view;
  }

  public async read(): Promise<void> {
    const startMicroseconds = this.effects.clock.nowMicroseconds();
    // A few agents' reads serve all agents: each confirmed revision carries its age, and gossip spreads the most recent one.
    if (
      this.freshness.ageOf('blueprint') < this.settings.sharedReadMicroseconds() &&
      startMicroseconds - this.lastReadMicroseconds < this.settings.ownReadMicroseconds()
    )
      return;
    const addresses = this.addresses();
    this.stateReports.retainOnly(addresses);
    for (const address of this.lastAnswers.keys()) if (!addresses.includes(address)) this.lastAnswers.delete(address);
    const answers = new Map<string, NodeAnswer>();
    const requests = addresses.map(async (address) => void answers.set(address, await this.requestReport(address)));
    // Addresses that did not answer last time are not awaited, because they would delay each read, and the next one, by the whole timeout.
    await Promise.all(requests.filter((_, index) => this.lastAnswers.get(addresses[index] ?? '') !== 'silent'));
    this.readCount += 1;
    let result = this.evaluate(answers);
    if (result.statements.length === 0) {
      // Those are awaited only if the others are no majority or the fleet name is not known yet.
      await Promise.all(requests);
      // Standby control nodes name the members; these addresses are only needed until a list of members is known.
      if (this.membersView === undefined)
        this.namedAddresses = [...answers.values()].flatMap(({ memberAddresses }) => memberAddresses);
      const bySeeds = addresses.filter((address) => this.seeds.includes(address));
      if (this.fleetName.name === '') this.chooseFleet(bySeeds.flatMap((address) => answers.get(address) ?? []));
      result = this.evaluate(answers);
    }
    if (
      result.view !== undefined &&
      (this.membersView === undefined || result.view.revision >= this.membersView.revision)
    )
      this.membersView = result.view;
    if (result.statements.length > 0) this.lastReadMicroseconds = startMicroseconds;
    const now = this.effects.clock.nowMicroseconds();
    for (const statement of result.statements.filter(({ key }) => this.readsDocument(key)))
      this.freshness.applyStatement({ ...statement, ageMicroseconds: now - startMicroseconds }, now);
    // Only nodes that just answered are asked, because one that is down would cost the whole timeout. The fetch is not awaited, because
    // reads must go on confirming the applied configuration while its age grows.
    void this.fetchMissingDocuments(addresses.filter((address) => answers.get(address)?.report !== undefined));
  }

  private evaluate(all: ReadonlyMap<string, NodeAnswer>): MajorityRead {
    // One answer per control node counts: a seed and a member entry may have different addresses of the same node.
    const byControlNode = new Map(
      [...all.values()].flatMap(({ report }) => (report === undefined ? [] : [[report.stamp.keeper, report] as const])),
    );
    return MajorityReads.evaluate([...byControlNode.values()], this.fleetName.name, (key) =>
      this.freshness.applied(key),
    );
  }

  private readsDocument(key: DocumentKey): boolean {
    return key !== 'engines' || this.settings.readsEngines;
  }

  private chooseFleet(answers: readonly NodeAnswer[]): void {
    const names = answers.map(({ fleet }) => fleet);
    const chosen = this.settings.isOnlyFleet
      ? FleetVotes.unanimous(names)
      : FleetVotes.majority(names, this.seeds.length);
    if (chosen !== '') {
      this.fleetName.learn(chosen);
      this.notice(`This agent belongs to the fleet ${chosen}.`);
    } else if (!this.hasReportedMixedFleets && new Set(names.filter((name) => name !== '')).size > 1) {
      this.hasReportedMixedFleets = true;
      this.notice('The seeds lead to different fleets. Set `fleet` to choose one.');
    }
  }

  private addresses(): readonly string[] {
    const members = [
      ...Object.values(this.membersView?.members ?? {}),
      ...Object.values(this.freshness.coreMembers?.members ?? {}),
    ].map(({ address }) => address);
    return [...new Set([...members, ...(this.membersView === undefined ? this.namedAddresses : []), ...this.seeds])];
  }

  private async requestReport(address: string): Promise<NodeAnswer> {
    // The own member entry is only sent on some reads, because it is for operators and for new agents and hardly ever changes. It is
    // also sent to a control node that may have restarted: such a node has forgotten the agents, and operators find them through it.
    const includesOwn = this.readCount % ownEntryEveryReads === 0 || this.lastAnswers.get(address) !== 'other';
    const own = includesOwn ? { own: this.ownEntry() } : {};
    const answer = await this.effects.transport.ask(
      address,
      { kind: 'words', ...own, known: this.stateReports.tag(address) },
      this.settings.askMicroseconds,
    );
    this.lastAnswers.set(
      address,
      answer.kind === 'silent' ? 'silent' : answer.message.kind === 'words' ? 'words' : 'other',
    );
    if (answer.kind !== 'answered') return { fleet: '', report: undefined, memberAddresses: [] };
    const { message } = answer;
    const report = this.reportFrom(address, message);
    return {
      fleet: report?.stamp.fleet ?? String(message['fleet'] ?? ''),
      report,
      memberAddresses: addressesIn(message['led']),
    };
  }

  private reportFrom(address: string, message: Message): StatementsAnswer | undefined {
    const now = this.effects.clock.nowMicroseconds();
    if (message.kind === 'wordsSame') return this.stateReports.confirmed(address, message['known'], now);
    if (message.kind !== 'words') return undefined;
    const report = message as unknown as StatementsAnswer;
    this.stateReports.store(address, report, message['known'], now);
    return report;
  }

  private async fetchMissingDocuments(addresses: readonly string[]): Promise<void> {
    if (this.isFetching) return;
    this.isFetching = true;
    try {
      await this.fetchAllFrom(addresses);
    } finally {
      this.isFetching = false;
    }
  }

  /** The list of missing documents is read again after each fetch, because a newer revision may have become known meanwhile. */
  private async fetchAllFrom(addresses: readonly string[]): Promise<void> {
    const tried = new Set<string>();
    for (let missing = this.nextMissing(tried); missing !== undefined; missing = this.nextMissing(tried)) {
      tried.add(missing.digest);
      if (await this.fetchDocument(missing, addresses))
        this.notice(`Applied ${missing.key} revision ${missing.revision}.`);
    }
  }

  private nextMissing(tried: ReadonlySet<string>): MissingDocument | undefined {
    return this.freshness.wanted().find(({ key, digest }) => this.readsDocument(key) && !tried.has(digest));
  }

  private fetchDocument({ key, revision, digest }: MissingDocument, addresses: readonly string[]): Promise<boolean> {
    const { transport, clock, random } = this.effects;
    const { askMicroseconds } = this.settings;
    // Agents start with a random node, so that a change does not put the transfers of all agents on the link of one node.
    const first = Math.floor(random.fraction() * addresses.length);
    const rotatedAddresses = [...addresses.slice(first), ...addresses.slice(0, first)];
    // The timeout is longer than for a read, because a long document takes time on a slow link and a retry only delays it more.
    const limits = { askMicroseconds: askMicroseconds * documentTimeoutFactor, staggerMicroseconds: askMicroseconds };
    // The digest alone identifies the document: a control node may know the same text under another revision.
    const accept = (answer: Message): boolean =>
      Statements.isBody(answer) && this.freshness.applyBody({ ...answer, key, revision });
    return new DocumentFetch(transport, clock, limits, { kind: 'body', key, digest }, rotatedAddresses, accept).run();
  }
}
