import type { AppService, Blueprint, Mapping, Pool } from '../../shared/blueprint/types';
import type { PromptPart } from '../../shared/directory/promptParts';

import type { LookUp } from '../../shared/directory/lookup';
import type { Refusal } from '../../shared/verdict/verdict';
import type { FetchPlan } from '../fetch/fetchPlanner';
import type { PromptKeys } from '../placement/placePolicies';

export type { PromptPart };

/** One order as it was read from a caller. */
export type Order = Readonly<{
  id: string;
  method: string;
  /** Without the query. */
  path: string;
  key: string;
  contentType: string;
  body: string | Uint8Array;
  arrivedMicroseconds: number;
  /** As the caller sent it, with the query; missing: `path`. */
  target?: string;
  host?: string;
  /** Headers that go on to the back end as they came. */
  passed?: Readonly<Record<string, string>>;
  /** Said in the head; missing: it stands in the body. */
  model?: string;
  /** The prompt's parts, where the caller names them; missing: the prompt stands in the body. */
  parts?: readonly PromptPart[];
  /** Tokens of the prompt, and the most that may be put out. */
  promptTokens?: number;
  mostTokens?: number;
  /** How long the caller waits, from `arrivedMicroseconds` on. */
  limitMicroseconds?: number;
  /** The caller has all events up to this one. */
  after?: string;
}>;

export type AnswerHead = Readonly<{ status: number; headers: Readonly<Record<string, string>> }>;

/** The way back to the caller. */
export interface AnswerSink {
  readonly begun: () => boolean;
  readonly gone: () => boolean;
  readonly whenGone: (act: () => void) => void;
  readonly head: (head: AnswerHead) => void;
  /** Undefined: taken. A promise: the caller reads slower than the answer comes. */
  readonly part: (bytes: Uint8Array) => Promise<void> | undefined;
  readonly end: () => void;
  /** Ends it so that it looks cut: the conn is destroyed without the last chunk. */
  readonly cut: () => void;
  readonly refuse: (refusal: Refusal) => void;
}

export type Resolved = Readonly<{
  mappingName: string;
  mapping: Mapping;
  tenant: string;
  trustDomain: string;
  service: Pool | AppService;
  /** The blueprint it was resolved under. */
  under: Blueprint;
}>;

export type Placed = Readonly<{
  engine: string;
  address: string;
  bootEpoch: string;
  weights: string;
  /** Blocks or parts, from the first on, that the engine keeps or is about to. */
  matched: number;
  /** Tokens it must read for this order, as far as known. */
  toRead?: number;
  /** Another engine that would be the first to read its parts, and may have done so unseen. */
  home?: string;
  /** The desk keeps the engine's time for it, and waits to hear when it was read. */
  reserved?: boolean;
}>;

export type Context = Readonly<{
  order: Order;
  answer: AnswerSink;
  resolved?: Resolved;
  /** Ends the place taken in the class and the pool; called once, whatever happens. */
  release?: () => void;
  keys?: PromptKeys;
  lookUp?: LookUp;
  placed?: Placed;
  fetch?: FetchPlan;
  sends: number;
  /** How often it was resolved anew or held again; bounded, so that nothing goes round for ever. */
  rounds: number;
  /** Held before: it keeps its turn. */
  turnKept: boolean;
  /** Its next send is a second one that is not paid for yet. */
  owesSend: boolean;
  /** An earlier send of a resumable order may have run; no later refusal may say it did not. */
  mayHaveRun: boolean;
  avoided: readonly string[];
  /** The caller has events of an earlier send up to this one; the next send goes on after it. */
  after?: string;
}>;

export type Step =
  | Readonly<{ kind: 'onward'; context: Context }>
  | Readonly<{ kind: 'refuse'; refusal: Refusal }>
  /** Nothing has run, or repeating does no harm: choose another back end. */
  | Readonly<{ kind: 'again'; context: Context; refusal: Refusal }>
  /** The back end had no room and ran nothing: back to holding, in front of those who came later. */
  | Readonly<{ kind: 'hold'; context: Context; refusal: Refusal }>
  /** What it was taken under has changed and nothing has run: resolve it anew. */
  | Readonly<{ kind: 'anew'; context: Context; refusal: Refusal }>
  | Readonly<{ kind: 'done' }>;

/** One part of the way of an order. Policies stand in a row, and any of them may be exchanged. */
export interface Policy {
  readonly name: string;
  readonly apply: (context: Context) => Promise<Step>;
}
