/** Message types of the register, derived from the schemas in `../messages`. */
import type { ControlResponse } from '../messages/controlResponses';
import type { ControlRequest } from '../messages/controlRequests';
import type {
  ChangeRequest as ChangeOrderSchema,
  ChangeOutcome as ChangeOutcomeSchema,
  LeaderStatement as LeaderStatementSchema,
} from '../messages/sharedSchemas';
import type { ValueOf } from '../../shared/schema/schema';

export type Prepare = ControlRequest<'prepare'>;
export type PrepareAnswer = ControlResponse<'promised' | 'outranked' | 'noVote'>;

export type Accept = ControlRequest<'accept'>;
export type AcceptAnswer = ControlResponse<'accepted' | 'outranked' | 'noVote' | 'full'>;

/** Asks whether a replica still holds an accepted entry under the leader's epoch, without sending the entry. */
export type Confirm = ControlRequest<'confirm'>;
/** `behind`: the replica would accept the entry but does not hold it. */
export type ConfirmAnswer = AcceptAnswer | ControlResponse<'behind'>;

/** `learner`, only for `core-members`: the joining member that must catch up before the previous list stops counting. */
export type ChangeRequest = ValueOf<typeof ChangeOrderSchema>;
export type ChangeOutcome = ValueOf<typeof ChangeOutcomeSchema>;

/** What a leader announces about a key in its heartbeats. */
export type LeaderStatement = ValueOf<typeof LeaderStatementSchema>;

/** A leader's request for the next change that a member could not deliver to it, with the outcome of the previous one (`after`). */
export type FetchChange = ControlRequest<'fetchChange'>;
export type FetchedChange = ControlResponse<'fetchedChange'>;
