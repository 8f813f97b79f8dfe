import type { RunRecord } from '../../stand-in-engine/standInEngine';
import type { CallRecord } from '../../stand-in-user-agents/loadPlan';

export type Broken = Readonly<{ point: string; nonce: string; text: string }>;

export type CheckInput = Readonly<{
  calls: readonly CallRecord[];
  runs: readonly RunRecord[];
  /** Kinds that may run twice. */
  resumableKinds: readonly string[];
  walledTenants: readonly string[];
}>;

/** Judges from the callers' and the engines' own records; no daemon is asked. */
export const Checks = {
  all: (input: CheckInput): readonly Broken[] => [
    ...Checks.doubled(input),
    ...Checks.saidNotRun(input),
    ...Checks.answers(input),
    ...Checks.blocks(input),
  ],

  doubled: ({ calls, runs, resumableKinds }: CheckInput): readonly Broken[] => {
    const counts = new Map<string, number>();
    for (const { nonce } of runs) counts.set(nonce, (counts.get(nonce) ?? 0) + 1);
    return calls.flatMap(({ nonce, kind }) =>
      (counts.get(nonce) ?? 0) > 1 && !resumableKinds.includes(kind)
        ? [{ point: 'doubled', nonce, text: `ran ${counts.get(nonce)} times` }]
        : [],
    );
  },

  saidNotRun: ({ calls, runs }: CheckInput): readonly Broken[] => {
    const ran = new Set(runs.map(({ nonce }) => nonce));
    return calls.flatMap(({ nonce, verdict }) =>
      verdict === 'notRun' && ran.has(nonce)
        ? [{ point: 'saidNotRun', nonce, text: 'a refusal said notRun, and an engine ran it' }]
        : [],
    );
  },

  answers: ({ calls }: CheckInput): readonly Broken[] =>
    calls.flatMap(({ nonce, status, whole, right, verdict }) => {
      if (status === 200 && whole && !right)
        return [{ point: 'wrongAnswer', nonce, text: "an answer that looks whole is wrong, cut or someone else's" }];
      if (status >= 400 && whole && verdict === '')
        return [{ point: 'noVerdict', nonce, text: `status ${status} without a verdict` }];
      return [];
    }),

  blocks: ({ calls, runs, walledTenants }: CheckInput): readonly Broken[] => {
    const tenantOf = new Map(calls.map(({ nonce, tenant }) => [nonce, tenant]));
    return runs.flatMap(({ nonce, weightsAtStart, blocks }) =>
      blocks.flatMap((block) => {
        if (block.weights !== weightsAtStart)
          return [
            { point: 'oldWeightsBlock', nonce, text: `ran on ${weightsAtStart} with a block of ${block.weights}` },
          ];
        const [maker, user] = [tenantOf.get(block.makerNonce) ?? '', tenantOf.get(nonce) ?? ''];
        if (maker !== user && [maker, user].some((name) => walledTenants.includes(name)))
          return [{ point: 'walledBlock', nonce, text: `a block of ${maker} was used for ${user}` }];
        if (!block.right) return [{ point: 'wrongBlock', nonce, text: 'a block does not hold this prompt' }];
        return [];
      }),
    );
  },
} as const;
