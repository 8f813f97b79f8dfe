import type { CacheSource, CacheTarget, SendHead } from './protocol';

/** Header names in lower case and their values, as they came. */
export type Headers = Readonly<Record<string, string>>;

/** What one send means, in the product's words. A protocol's names for it stand in its `BackEndWords`. */
export type SendMeaning = Readonly<{
  orderId: string;
  contentType: string;
  /** The caller's own headers that a back end may see. */
  passed: Headers;
  /** The tenant's name; undefined where the order needs no key. */
  tenant: string | undefined;
  trustDomain: string;
  /** The back end it is meant for, and no other at that address. */
  engine: string;
  model: string;
  /** The weights it must run on; empty where there are none. */
  weights: string;
  /** 0 first; undefined: the back end's own. */
  urgency: number | undefined;
  /** How long an answer is still of use to the caller, in microseconds; undefined: not said. */
  leftMicroseconds: number | undefined;
  /** What parts are kept under; parts under another text are never found. Empty: none. */
  salt: string;
  target: CacheTarget | undefined;
  source: CacheSource | undefined;
  /** The last whole event that the caller has; the answer goes on after it. */
  after: string | undefined;
}>;

/** Why a back end did not run an order, where it says so. */
export type NotRunReason = 'busy' | 'otherInstance' | 'otherWeights';

export type HeadMeaning = Readonly<{
  /** The order that the answer says it belongs to; undefined where the protocol does not say. */
  orderId: string | undefined;
  /** A success without the marks that every success of a back end bears: nobody can tell whose bytes these are. */
  lacksSeal: boolean;
  /** Undefined: it ran, or may have. */
  notRun: NotRunReason | undefined;
  bootEpoch: string | undefined;
  weights: string | undefined;
  importMicroseconds: number | undefined;
  /** What the caller is shown of the head. */
  passed: Headers;
  /** A series of events whose ids rise. */
  events: boolean;
}>;

/** How one protocol says a send, and what its answers' heads mean. Pure: names and formats, no decisions. */
export interface BackEndWords {
  readonly write: (meaning: SendMeaning) => Headers;
  /** `engine`: the one that was meant, so that another instance and other weights can be told apart. */
  readonly read: (head: SendHead, model: string, engine?: string) => HeadMeaning;
  /** Whether every answer names the instance and weights that gave it. */
  readonly namesInstance: boolean;
  /** Whether a conn that closes, and is not reset, ends an answer without a length well. */
  readonly closeEndsAnswer: boolean;
}
