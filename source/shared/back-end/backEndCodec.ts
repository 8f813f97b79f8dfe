import type { CacheSource, CacheTarget, BackEndResponseHead } from './protocol';

/** Header names in lower case, with their values as received. */
export type Headers = Readonly<Record<string, string>>;

/** A request to a back end, independent of the protocol. A `BackEndCodec` maps it to the headers of one protocol. */
export type RequestFields = Readonly<{
  orderId: string;
  contentType: string;
  /** The client's headers that are forwarded to the back end. */
  passed: Headers;
  /** The tenant's name; undefined if the request needs no API key. */
  tenant: string | undefined;
  trustDomain: string;
  /** The back end that the request is for; another one at the same address must not run it. */
  engine: string;
  model: string;
  /** The weights that the request must run on; empty if there are none. */
  weights: string;
  /** 0 is the most urgent; undefined: the back end's default. */
  urgency: number | undefined;
  /** Time until the client's deadline, in microseconds; undefined: the client named none. */
  leftMicroseconds: number | undefined;
  /** Namespace under which prompt parts are stored; parts under another salt are never found. Empty: none. */
  salt: string;
  target: CacheTarget | undefined;
  source: CacheSource | undefined;
  /** Id of the last event that the client has received in full; the response resumes after it. */
  after: string | undefined;
}>;

/** Reason that a back end states for not running a request. */
export type NotRunReason = 'busy' | 'otherInstance' | 'otherWeights';

/** Content of a response head, independent of the protocol. */
export type ResponseFields = Readonly<{
  /** Id of the request that the response belongs to; undefined if the protocol does not carry it. */
  orderId: string | undefined;
  /** A successful response without the seal that every back end adds: its origin is unknown. */
  lacksSeal: boolean;
  /** Undefined: the request ran, or may have run. */
  notRun: NotRunReason | undefined;
  bootEpoch: string | undefined;
  weights: string | undefined;
  importMicroseconds: number | undefined;
  /** The headers that are forwarded to the client. */
  passed: Headers;
  /** The body is a stream of events with ascending ids. */
  events: boolean;
}>;

/** Maps requests and response heads to the headers of one protocol and back. It is pure: names and formats, no decisions. */
export interface BackEndCodec {
  readonly write: (meaning: RequestFields) => Headers;
  /** `engine`: the intended one, to tell a response of another instance from one on other weights. */
  readonly read: (head: BackEndResponseHead, model: string, engine?: string) => ResponseFields;
  /** Whether every response carries the id of its request; one without an id belongs to no request then. */
  readonly responsesCarryId: boolean;
  /** Whether every response names the instance and the weights that produced it. */
  readonly namesInstance: boolean;
  /** Whether a response without a length is complete when its connection is closed without a reset. */
  readonly closeEndsAnswer: boolean;
}
