import type { ControlNodeMember, DocumentKey } from '../../shared/configuration/types';
import { Clocks, type Clock } from '../../shared/effects/clock/clock';
import type { Random } from '../../shared/effects/random/random';
import type { RequestOutcome, Transport } from '../../shared/effects/transport/transport';
import { ControlResponses } from '../messages/controlResponses';
import type { ChangeRequest, ChangeOutcome } from './messages';
import type { Leadership } from './leadership';
import type { WaitingChanges } from './waitingChanges';

/** How often a replica that waits for the leader's answer checks whether heartbeats of that leader still arrive. */
const leaderCheckIntervalMicroseconds = 50_000;

/** Delay, with random jitter, before a change that no leader handled is tried again. */
const minRetryDelayMicroseconds = 30_000;
const retryJitterMicroseconds = 120_000;

const noMajorityOutcome: ChangeOutcome = {
  kind: 'refused',
  reason: 'noMajority',
  faults: [{ path: '', fault: 'no majority of control nodes answers' }],
  revision: 0,
};

/** What the router needs from its control node. */
export type ChangeNode = Readonly<{
  leadership: (key: DocumentKey) => Leadership;
  /** Address of the key's leader, by its heartbeats; undefined if there are none or if this node leads. */
  leaderAddress: (key: DocumentKey) => string | undefined;
  /** The members that a standby forwards requests to; empty if this node votes itself. */
  votingMembers: () => readonly ControlNodeMember[];
}>;

export type ChangeLimits = Readonly<{
  /** Time limit for the outcome of a change. */
  changeMicroseconds: number;
  /** Time limit for a leader that still sends heartbeats to answer a forwarded change. */
  passMicroseconds: number;
  /** After this time without an answer the leader may be unreachable from here, so the change is offered for the leader to fetch. */
  askMicroseconds: number;
}>;

/** Routes an operator's change to the leader of its key; a repeated request joins the attempt in progress. */
export class ChangeRouter {
  /** Changes requested at this node that have no outcome yet, by all fields that identify a change except its text. */
  private readonly changesInProgress = new Map<
    string,
    Readonly<{ order: ChangeRequest; outcome: Promise<ChangeOutcome> }>
  >();

  public constructor(
    private readonly node: ChangeNode,
    private readonly transport: Transport,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly limits: ChangeLimits,
    private readonly waiting: WaitingChanges,
  ) {}

  /**
   * Makes a change through the leader of the key: this replica, the leader whose heartbeats it receives, or the one that other
   * members know. This replica campaigns only if a majority receives no heartbeats of a leader. A change id has one outcome,
   * however often the change is forwarded.
   */
  public change(request: ChangeRequest): Promise<ChangeOutcome> {
    const identity = JSON.stringify([request.key, request.id, request.form, request.ifMatch, request.learner]);
    const inProgress = this.changesInProgress.get(identity);
    // A repeated request waits for the attempt in progress instead of starting another one.
    if (inProgress !== undefined && inProgress.order.text === request.text) return inProgress.outcome;
    const outcome = this.changeNow(request).finally(() => this.changesInProgress.delete(identity));
    this.changesInProgress.set(identity, { order: request, outcome });
    return outcome;
  }

  private async changeNow(request: ChangeRequest): Promise<ChangeOutcome> {
    if (this.node.votingMembers().length > 0) return this.forwardToMembers(request);
    const { clock, random } = this;
    const deadlineMicroseconds = clock.nowMicroseconds() + this.limits.changeMicroseconds;
    let mayBeAccepted = false;
    for (;;) {
      const outcome = await this.changeOnce(request);
      if (outcome !== undefined && outcome.kind !== 'unknown') return outcome;
      mayBeAccepted ||= outcome?.kind === 'unknown';
      if (clock.nowMicroseconds() >= deadlineMicroseconds)
        return mayBeAccepted ? { kind: 'unknown' } : noMajorityOutcome;
      await Clocks.wait(clock, minRetryDelayMicroseconds + Math.floor(random.fraction() * retryJitterMicroseconds));
    }
  }

  /** Undefined: no replica accepted the change. `unknown`: one may have accepted it. */
  private async changeOnce(request: ChangeRequest): Promise<ChangeOutcome | undefined> {
    const leadership = this.node.leadership(request.key);
    const forwarded = leadership.state.kind === 'owning' ? undefined : await this.changeAtLeader(request);
    if (forwarded !== undefined && forwarded.kind !== 'unknown') return forwarded;
    const ownOutcome = await leadership.change(request);
    if (ownOutcome !== undefined) return ownOutcome;
    return (await this.relayChange(request, leadership.leaderHearerAddresses)) ?? forwarded;
  }

  /** Undefined: no leader is known, or it no longer leads. `unknown`: the leader stopped answering. */
  private async changeAtLeader(request: ChangeRequest): Promise<ChangeOutcome | undefined> {
    const address = this.node.leaderAddress(request.key);
    if (address === undefined) return undefined;
    const changed = ControlResponses.read(await this.askLeader(request, address), 'changed');
    return changed === undefined ? { kind: 'unknown' } : (changed.outcome ?? undefined);
  }

  /** If only other members can reach the leader, one of them forwards the change. */
  private async relayChange(request: ChangeRequest, addresses: readonly string[]): Promise<ChangeOutcome | undefined> {
    const address = addresses[Math.floor(this.random.fraction() * addresses.length)];
    if (address === undefined) return undefined;
    const message = { kind: 'relayChange', order: request };
    const changed = ControlResponses.read(
      await this.transport.ask(address, message, this.limits.passMicroseconds),
      'changed',
    );
    return changed === undefined ? { kind: 'unknown' } : (changed.outcome ?? undefined);
  }

  /**
   * Sends a change to the leader and stops waiting as soon as its heartbeats stop: it will not answer, and another replica can take
   * over. If its heartbeats arrive but no answer does, connections from this node may fail in one direction only, so the change is
   * offered for the leader to fetch. The offer outlasts a failed connection, long enough for a heartbeat to tell the leader of it.
   */
  private askLeader(request: ChangeRequest, leader: string): Promise<RequestOutcome> {
    return new Promise((resolve) => {
      let isOpen = true;
      let isOffered = false;
      let withdrawOffer = (): void => undefined;
      const finish = (answer: RequestOutcome): void => {
        if (!isOpen) return;
        isOpen = false;
        withdrawOffer();
        resolve(answer);
      };
      const checkLeader = (): void => {
        if (!isOpen) return;
        if (this.node.leaderAddress(request.key) !== leader)
          finish({ kind: 'silent', reason: 'the leader fell silent' });
        else this.clock.after(leaderCheckIntervalMicroseconds, checkLeader);
      };
      const offer = (): void => {
        if (!isOpen || isOffered) return;
        isOffered = true;
        withdrawOffer = this.waiting.offer(request, (outcome) =>
          finish({ kind: 'answered', message: { kind: 'changed', outcome: outcome ?? null } }),
        );
      };
      this.clock.after(leaderCheckIntervalMicroseconds, checkLeader);
      this.clock.after(this.limits.askMicroseconds, offer);
      void this.transport
        .ask(leader, { kind: 'change', order: request }, this.limits.passMicroseconds)
        .then((answer) => {
          if (answer.kind === 'answered') return finish(answer);
          offer();
          this.clock.after(this.limits.askMicroseconds, () => finish(answer));
        });
    });
  }

  /** On a standby: forwards an operator's change to the voting members. */
  private async forwardToMembers(request: ChangeRequest): Promise<ChangeOutcome> {
    let mayBeAccepted = false;
    for (const { address } of this.node.votingMembers()) {
      const answer = await this.transport.ask(
        address,
        { kind: 'passChange', order: request },
        this.limits.passMicroseconds,
      );
      const outcome = ControlResponses.read(answer, 'changed')?.outcome ?? undefined;
      if (outcome !== undefined) return outcome;
      mayBeAccepted ||= answer.kind === 'silent';
    }
    return mayBeAccepted ? { kind: 'unknown' } : noMajorityOutcome;
  }

  /** Makes the change on this replica only; undefined if it does not lead the key. */
  public async changeAsLeader(request: ChangeRequest): Promise<ChangeOutcome | undefined> {
    const leadership = this.node.leadership(request.key);
    return leadership.state.kind === 'owning' ? leadership.change(request) : undefined;
  }

  /** Makes a change for a member that cannot reach the leader; it is forwarded at most once. */
  public async changeFromMember(request: ChangeRequest): Promise<ChangeOutcome | undefined> {
    return (await this.changeAsLeader(request)) ?? this.changeAtLeader(request);
  }
}
