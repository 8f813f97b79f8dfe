/** Whether a request may have been executed by a back end. */
export type Verdict = 'notRun' | 'mayHaveRun' | 'ran';

/** An error response to a client. */
export type Refusal = Readonly<{
  status: number;
  verdict: Verdict;
  code: RefusalCode;
  text: string;
  retryAfterSeconds?: number;
}>;

export type RefusalCode =
  | 'noKey'
  | 'unknownKey'
  | 'keyRemoved'
  | 'noMapping'
  | 'mappingRemoved'
  | 'badBody'
  | 'tooLarge'
  | 'notFresh'
  | 'stopping'
  | 'holdingFull'
  | 'holdingLimit'
  | 'noEngine'
  | 'engineBusy'
  | 'engineFailed'
  | 'engineSilent'
  | 'oldWeights'
  | 'retriesSpent'
  | 'userAgentGone'
  | 'internal';

/** Builds error responses, their headers and their bodies. */
export const Refusals = {
  make: (status: number, verdict: Verdict, code: RefusalCode, text: string, retryAfterSeconds?: number): Refusal =>
    retryAfterSeconds === undefined
      ? { status, verdict, code, text }
      : { status, verdict, code, text, retryAfterSeconds },
  headers: (refusal: Refusal): Readonly<Record<string, string>> => ({
    'content-type': 'application/json',
    'postdrum-verdict': refusal.verdict,
    ...(refusal.retryAfterSeconds === undefined ? {} : { 'retry-after': String(refusal.retryAfterSeconds) }),
  }),
  body: (refusal: Refusal): string =>
    JSON.stringify({
      error: {
        code: refusal.code,
        verdict: refusal.verdict,
        message: refusal.text,
        ...(refusal.retryAfterSeconds === undefined ? {} : { retryAfterSeconds: refusal.retryAfterSeconds }),
      },
    }),
} as const;
