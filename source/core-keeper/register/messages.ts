/** Message types of the register, derived from the schemas in `../messages`. */
import type { AnswerOf } from '../messages/answers';
import type { Ask } from '../messages/asks';
import type {
  ChangeOrder as ChangeOrderSchema,
  ChangeOutcome as ChangeOutcomeSchema,
  LeaderStatement as LeaderStatementSchema,
} from '../messages/parts';
import type { Of } from '../../shared/schema/schema';

export type Prepare = Ask<'prepare'>;
export type PrepareAnswer = AnswerOf<'promised' | 'outranked' | 'noVote'>;

export type Accept = Ask<'accept'>;
export type AcceptAnswer = AnswerOf<'accepted' | 'outranked' | 'noVote' | 'full'>;

/** Asks whether a replica still holds an accepted entry under the leader's epoch, without sending the entry. */
export type Confirm = Ask<'confirm'>;
/** `behind`: the replica would accept the entry but does not hold it. */
export type ConfirmAnswer = AcceptAnswer | AnswerOf<'behind'>;

/** `learner`, only for `core-members`: the joining member that must catch up before the previous list stops counting. */
export type ChangeOrder = Of<typeof ChangeOrderSchema>;
export type ChangeOutcome = Of<typeof ChangeOutcomeSchema>;

/** What a leader announces about a key in its heartbeats. */
export type OwnerWord = Of<typeof LeaderStatementSchema>;

/** A leader's request for the next change that a member could not deliver to it, with the outcome of the previous one (`after`). */
export type FetchChange = Ask<'fetchChange'>;
export type FetchedChange = AnswerOf<'fetchedChange'>;
