import { ControlResponses } from '../messages/controlResponses';
import type { ControlNodeMember, DocumentKey } from '../../shared/configuration/types';
import { Clocks, type Clock } from '../../shared/effects/clock/clock';
import type { Transport } from '../../shared/effects/transport/transport';
import { DocumentBodies } from '../../shared/freshness/documentBodies';
import { MajorityReads, type MembersView, type StatementsAnswer } from '../../shared/register/majorityRead';
import { Digests } from './changes';

/** The current value of a key, or that no majority answered in time. */
export type ReadOutcome = Readonly<{ kind: 'read'; revision: number; text: string }> | Readonly<{ kind: 'noMajority' }>;

/** What the reader needs from its own control node. */
export type QuorumReaderNode = Readonly<{
  fleet: () => string;
  /** All other members that this node knows. */
  members: () => readonly ControlNodeMember[];
  /** This node's own answer; undefined if it does not vote. */
  ownAnswer: () => StatementsAnswer | undefined;
  /** The text with this digest; undefined if this node does not hold it. */
  heldText: (key: DocumentKey, digest: string) => string | undefined;
}>;

/** Settings of the reader. */
export type QuorumReaderSettings = Readonly<{ askMicroseconds: number }>;

type FoundValue = Readonly<{ revision: number; digest: string }>;
type RoundResult = Readonly<{ found: FoundValue | undefined; view: MembersView | undefined }>;

/** Delay before a majority is asked again, while a change is being accepted or no member answers. */
const retryDelayMicroseconds = 40_000;

/** How long one member may take to send a value before the next member is asked as well. */
const valueRequestStaggerMicroseconds = 120_000;

/** Whether no replica has accepted a value yet; the empty value has no digest. */
const isUnwritten = (key: DocumentKey, answers: readonly StatementsAnswer[]): boolean =>
  answers.every(({ words }) => words.every((word) => word.key !== key || word.digest === ''));

/**
 * Linearizable reads of a register at any control node, without its leader. A majority is asked what it has accepted. A value that is
 * known to be decided, with nothing newer on any of these members, is at least as new as every change confirmed before the read
 * began, since such a change is held by a majority too and any two majorities share a replica. A read never campaigns, because a
 * campaign could depose a leader that others still need.
 */
export class QuorumReader {
  public constructor(
    private readonly node: QuorumReaderNode,
    private readonly transport: Transport,
    private readonly clock: Clock,
    private readonly settings: QuorumReaderSettings,
  ) {}

  /** Repeats the requests until a majority proves a value or the time limit is reached. */
  public async read(key: DocumentKey, limitMicroseconds: number): Promise<ReadOutcome> {
    const deadlineMicroseconds = this.clock.nowMicroseconds() + limitMicroseconds;
    let newerView: MembersView | undefined;
    for (;;) {
      const { found, view } = await this.requestAll(key, newerView, deadlineMicroseconds);
      newerView = view ?? newerView;
      const text = found === undefined ? undefined : await this.fetchText(key, found, newerView, deadlineMicroseconds);
      if (found !== undefined && text !== undefined) return { kind: 'read', revision: found.revision, text };
      if (this.clock.nowMicroseconds() + retryDelayMicroseconds >= deadlineMicroseconds) return { kind: 'noMajority' };
      await Clocks.wait(this.clock, retryDelayMicroseconds);
    }
  }

  private addresses(view: MembersView | undefined): readonly string[] {
    const known = [...this.node.members(), ...Object.values(view?.members ?? {})];
    return [...new Set(known.map(({ address }) => address))];
  }

  private requestTimeoutMicroseconds(deadlineMicroseconds: number): number {
    return Math.max(1, Math.min(this.settings.askMicroseconds, deadlineMicroseconds - this.clock.nowMicroseconds()));
  }

  /** Sends one request to every member; ends as soon as the answers prove a value or all have arrived. */
  private requestAll(
    key: DocumentKey,
    newerView: MembersView | undefined,
    deadlineMicroseconds: number,
  ): Promise<RoundResult> {
    const ownAnswer = this.node.ownAnswer();
    const answers = new Map<string, StatementsAnswer>(
      ownAnswer === undefined ? [] : [[ownAnswer.stamp.keeper, ownAnswer]],
    );
    const addresses = this.addresses(newerView);
    return new Promise((resolve) => {
      let pendingCount = addresses.length;
      const check = (): void => {
        const round = this.evaluate(key, [...answers.values()]);
        if (round.found !== undefined || pendingCount === 0) resolve(round);
      };
      check();
      for (const address of addresses)
        void this.transport
          .ask(
            address,
            { kind: 'words', fleet: this.node.fleet() },
            this.requestTimeoutMicroseconds(deadlineMicroseconds),
          )
          .then((answer) => {
            pendingCount -= 1;
            const parsed = ControlResponses.read(answer, 'words');
            if (parsed !== undefined && parsed.stamp.keeper !== ownAnswer?.stamp.keeper)
              answers.set(parsed.stamp.keeper, parsed);
            check();
          });
    });
  }

  private evaluate(key: DocumentKey, answers: readonly StatementsAnswer[]): RoundResult {
    const { statements, view, isMajority } = MajorityReads.evaluate(answers, this.node.fleet(), () => undefined);
    const statement = statements.find((item) => item.key === key);
    if (statement !== undefined) return { found: statement, view };
    const isEmpty = isMajority && isUnwritten(key, answers);
    return { found: isEmpty ? { revision: 0, digest: '' } : undefined, view };
  }

  /** The text of a value, from this node or a member that holds it; undefined if no reachable member does. */
  private async fetchText(
    key: DocumentKey,
    { digest }: FoundValue,
    view: MembersView | undefined,
    deadlineMicroseconds: number,
  ): Promise<string | undefined> {
    if (digest === '') return '';
    const held = this.node.heldText(key, digest);
    if (held !== undefined) return held;
    return this.firstTextFrom(this.addresses(view), (address) =>
      this.requestText(key, digest, address, deadlineMicroseconds),
    );
  }

  /**
   * Asks the members at staggered times. Parallel transfers of the value would slow each other down, and a member that does not answer
   * delays the read by one stagger only.
   */
  private firstTextFrom(
    addresses: readonly string[],
    request: (address: string) => Promise<string | undefined>,
  ): Promise<string | undefined> {
    return new Promise((resolve) => {
      let pendingCount = addresses.length;
      let isDone = pendingCount === 0;
      if (isDone) resolve(undefined);
      const requestNext = async (address: string): Promise<void> => {
        if (isDone) return;
        const text = await request(address);
        pendingCount -= 1;
        if (text === undefined && pendingCount > 0) return;
        isDone = true;
        resolve(text);
      };
      addresses.forEach((address, index) => {
        this.clock.after(index * valueRequestStaggerMicroseconds, () => void requestNext(address));
      });
    });
  }

  private async requestText(
    key: DocumentKey,
    digest: string,
    address: string,
    deadlineMicroseconds: number,
  ): Promise<string | undefined> {
    const limit = Math.max(1, deadlineMicroseconds - this.clock.nowMicroseconds());
    const answer = await this.transport.ask(address, { kind: 'body', key, digest }, limit);
    if (answer.kind !== 'answered' || !DocumentBodies.is(answer.message)) return undefined;
    const text = DocumentBodies.text(answer.message);
    return text !== undefined && Digests.of(text) === digest ? text : undefined;
  }
}
