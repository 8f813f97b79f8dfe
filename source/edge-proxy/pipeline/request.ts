import type { AppService, Configuration, Route, Pool } from '../../shared/configuration/types';
import type { PromptPart } from '../../shared/directory/promptParts';

import type { LookupResult } from '../../shared/directory/lookup';
import type { Refusal } from '../../shared/verdict/verdict';
import type { FetchPlan } from '../cache-imports/fetchPlanner';
import type { PromptKeys } from '../placement/placementPolicies';

export type { PromptPart };

/** One request as it was read from a client. */
export type ProxyRequest = Readonly<{
  id: string;
  method: string;
  /** URL path without the query. */
  path: string;
  key: string;
  contentType: string;
  body: string | Uint8Array;
  arrivedMicroseconds: number;
  /** Request target as the client sent it, with the query; missing: `path`. */
  target?: string;
  host?: string;
  /** Headers that are forwarded to the back end unchanged. */
  passed?: Readonly<Record<string, string>>;
  /** Model named in the headers; missing: it is in the body. */
  model?: string;
  /** The prompt's parts, where the client names them; missing: the prompt is in the body, or its parts can't be read. */
  parts?: readonly PromptPart[];
  /** The client names the prompt's parts, whether they can be read or not. */
  namesParts?: boolean;
  /** Length of the prompt. */
  promptTokens?: number;
  /** Maximum length of the output. */
  maxOutputTokens?: number;
  /** How long the client waits, counted from `arrivedMicroseconds`. */
  limitMicroseconds?: number;
  /** Id of the last event that the client has received; the response resumes after it. */
  after?: string;
}>;

/** Status and headers of a response. */
export type ResponseHead = Readonly<{ status: number; headers: Readonly<Record<string, string>> }>;

/** Writes the response to the client. */
export interface ResponseSink {
  /** Whether the response head has been written. */
  readonly begun: () => boolean;
  /** Whether the client has disconnected. */
  readonly gone: () => boolean;
  /** Calls `act` when the client disconnects. */
  readonly onClientGone: (act: () => void) => void;
  readonly head: (head: ResponseHead) => void;
  /** Writes a part of the body. Undefined: accepted. A promise: the client reads too slowly; resolves when it has caught up. */
  readonly part: (bytes: Uint8Array) => Promise<void> | undefined;
  readonly end: () => void;
  /** Ends the response visibly incomplete: the connection is destroyed without the last chunk. */
  readonly cut: () => void;
  readonly refuse: (refusal: Refusal) => void;
}

/** The mapping, tenant and service that a request was resolved to. */
export type ResolvedRequest = Readonly<{
  mappingName: string;
  mapping: Route;
  tenant: string;
  trustDomain: string;
  /** Name of the pool among the services that serves the request's model: the service of the mapping, or one on its engines. */
  pool: string;
  service: Pool | AppService;
  /** The configuration that it was resolved with. */
  resolvedWith: Configuration;
}>;

/** The engine chosen for a request. */
export type PlacedRequest = Readonly<{
  engine: string;
  address: string;
  bootEpoch: string;
  weights: string;
  /** Number of leading prompt blocks or parts that the engine has cached or is computing. */
  cachedParts: number;
  /** Tokens that the engine must prefill for this request, as far as known. */
  tokensToPrefill?: number;
  /** Another engine that prefills these parts by default, and may have them cached although this proxy has not heard of it. */
  defaultEngine?: string;
  /** The scheduler has reserved engine time for it, and must be notified when the prompt has been prefilled. */
  reserved?: boolean;
}>;

/** State of one request on its way through the pipeline. */
export type RequestContext = Readonly<{
  request: ProxyRequest;
  answer: ResponseSink;
  resolved?: ResolvedRequest;
  /** Releases the slot held in the class and the pool; called exactly once, whatever the outcome. */
  release?: () => void;
  /** Cache keys of the prompt. */
  keys?: PromptKeys;
  lookUp?: LookupResult;
  placed?: PlacedRequest;
  fetch?: FetchPlan;
  /** Number of sends to back ends so far. */
  sends: number;
  /** How often it was resolved again or queued again; bounded, so that no request circulates forever. */
  rounds: number;
  /** It was queued before and keeps its position in the queue. */
  keepsQueuePosition: boolean;
  /** Its next send is a retry that has not been charged to the retry budget yet. */
  owesRetryBudget: boolean;
  /** An earlier send of a resumable request may have run; no later refusal may state that it did not. */
  mayHaveRun: boolean;
  /** Engines that must not be chosen for the next send. */
  avoidedEngines: readonly string[];
  /** Id of the last event that an earlier send delivered to the client; the next send resumes after it. */
  after?: string;
}>;

/** What a policy decided. */
export type PolicyResult =
  /** Continue with the next policy. */
  | Readonly<{ kind: 'onward'; context: RequestContext }>
  | Readonly<{ kind: 'refuse'; refusal: Refusal }>
  /** Nothing has run, or the request may safely be repeated: choose another back end. */
  | Readonly<{ kind: 'again'; context: RequestContext; refusal: Refusal }>
  /** The back end had no capacity and ran nothing: return to the queue, ahead of requests that arrived later. */
  | Readonly<{ kind: 'hold'; context: RequestContext; refusal: Refusal }>
  /** The configuration has changed and nothing has run: resolve the request again. */
  | Readonly<{ kind: 'anew'; context: RequestContext; refusal: Refusal }>
  | Readonly<{ kind: 'done' }>;

/** One stage of the request pipeline. Policies run in sequence, and each can be replaced. */
export interface Policy {
  readonly name: string;
  readonly apply: (context: RequestContext) => Promise<PolicyResult>;
}
