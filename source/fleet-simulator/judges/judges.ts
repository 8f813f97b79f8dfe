import type { Blueprint, EngineList } from '../../shared/blueprint/types';
import type { SimFleet } from '../machines/simFleet';

export type Broken = Readonly<{ point: string; text: string }>;

const broken = (point: string, text: string): Broken => ({ point, text });
const seconds = (microseconds: number): string => `${(microseconds / 1_000_000).toFixed(3)} s`;

type TakenAt<Value> = Readonly<{
  revision: number;
  atMicroseconds: number;
  askedMicroseconds: number;
  value: Value;
  text: string;
}>;

/** The row of values that were answered taken, in their order, with when the operator knew. */
const takenRow = <Value>(fleet: SimFleet, key: string): readonly TakenAt<Value>[] =>
  fleet.changes
    .flatMap((change) =>
      change.key === key && change.outcome?.kind === 'taken'
        ? [
            {
              revision: change.outcome.revision,
              atMicroseconds: change.answeredMicroseconds,
              askedMicroseconds: change.askedMicroseconds,
              value: JSON.parse(change.text) as Value,
              text: change.text,
            },
          ]
        : [],
    )
    .sort((left, right) => left.revision - right.revision);

/** Values that may have been taken though nobody was told so. */
const maybes = <Value>(fleet: SimFleet, key: string): readonly Value[] => {
  const certain = new Set(fleet.changes.flatMap(({ id, outcome }) => (outcome?.kind === 'taken' ? [id] : [])));
  return fleet.changes
    .filter(
      (change) =>
        change.key === key &&
        change.outcome?.kind !== 'taken' &&
        change.outcome?.kind !== 'refused' &&
        !certain.has(change.id),
    )
    .map(({ text }) => JSON.parse(text) as Value);
};

/** Since when, at the latest, a condition has held without a break up to the end of the row. */
const goneSince = <Value>(
  row: readonly TakenAt<Value>[],
  gone: (value: Value) => boolean,
  open: readonly Value[],
): number | undefined => {
  // Why no judgement: a change whose fate is unknown may have brought it back.
  if (open.some((value) => !gone(value))) return undefined;
  let since: number | undefined;
  for (const item of row) {
    if (!gone(item.value)) since = undefined;
    else since ??= item.atMicroseconds;
  }
  return since;
};

export const JudgeLimits = {
  removedMicroseconds: 2_000_000,
  slipMicroseconds: 250_000,
  drainMicroseconds: 3_000_000,
  weightsMicroseconds: 12_000_000,
  retryPerMille: 200,
  retryAllowance: 25,
} as const;

/** Each judge reads what engines, callers and operators wrote down themselves, never a daemon's word. */
export const Judges: Readonly<Record<string, (fleet: SimFleet) => readonly Broken[]>> = {
  doubled: (fleet) => {
    const runs = new Map<string, number>();
    for (const { nonce } of fleet.backEnds.runs) runs.set(nonce, (runs.get(nonce) ?? 0) + 1);
    return fleet.callers.calls.flatMap(({ nonce, kind }) =>
      kind !== 'short' && (runs.get(nonce) ?? 0) > 1
        ? [broken('doubled', `${nonce} ran ${runs.get(nonce)} times`)]
        : [],
    );
  },

  saidNotRun: (fleet) => {
    const ran = new Set(fleet.backEnds.arrivals.filter(({ ran: did }) => did).map(({ nonce }) => nonce));
    for (const { nonce } of fleet.backEnds.runs) ran.add(nonce);
    return fleet.callers.calls.flatMap(({ nonce, verdict, code }) =>
      verdict === 'notRun' && ran.has(nonce)
        ? [broken('saidNotRun', `${nonce} was refused as notRun (${code}) and ran`)]
        : [],
    );
  },

  wrongAnswer: (fleet) =>
    fleet.callers.calls.flatMap((call) => {
      if (call.status === 200 && call.whole && !call.right)
        return [broken('wrongAnswer', `${call.nonce} looks whole and is not right`)];
      if (call.over && call.whole && call.status >= 400 && call.verdict === '')
        return [broken('noVerdict', `${call.nonce} was refused with ${call.status} and no verdict`)];
      return call.over && call.status === 503 && call.retryAfterSeconds === undefined
        ? [broken('noRetryAfter', `${call.nonce} was given up without Retry-After (${call.code})`)]
        : [];
    }),

  blocks: (fleet) => {
    // By what the callers know of themselves: which tenant's key made a block, and which one used it.
    const tenantOf = new Map(fleet.callers.calls.map(({ nonce, tenant }) => [nonce, tenant]));
    return fleet.backEnds.runs.flatMap(({ nonce, weightsAtStart, blocks, engine }) =>
      blocks.flatMap((block) => {
        if (block.weights !== weightsAtStart)
          return [
            broken(
              'oldWeightsBlock',
              `${nonce} ran on ${weightsAtStart} at ${engine} with a ${block.from} block of ${block.weights}`,
            ),
          ];
        const [maker, user] = [tenantOf.get(block.makerNonce) ?? '', tenantOf.get(nonce) ?? ''];
        if (maker !== user && [maker, user].some((name) => name.startsWith('wall')))
          return [broken('otherTenantBlock', `${nonce} of ${user} used a ${block.from} block of ${maker}`)];
        return block.right ? [] : [broken('wrongBlock', `${nonce} used a ${block.from} block of another prompt`)];
      }),
    );
  },

  removed: (fleet) => {
    const row = takenRow<Blueprint>(fleet, 'blueprint');
    const open = maybes<Blueprint>(fleet, 'blueprint');
    const started = new Map(
      fleet.backEnds.arrivals.filter(({ ran }) => ran).map(({ nonce, atMicroseconds }) => [nonce, atMicroseconds]),
    );
    return fleet.callers.calls.flatMap((call) => {
      const ranAt = started.get(call.nonce);
      if (ranAt === undefined) return [];
      const keyGone = goneSince(
        row,
        (blueprint) => !Object.values(blueprint.tenants).some(({ keys }) => keys.includes(call.key)),
        open,
      );
      const mappingGone = goneSince(
        row,
        (blueprint) => !Object.values(blueprint.mappings).some(({ model }) => model === call.model),
        open,
      );
      return [['key', keyGone] as const, ['mapping', mappingGone] as const].flatMap(([what, since]) =>
        since !== undefined && ranAt > since + JudgeLimits.removedMicroseconds
          ? [broken('removed', `${call.nonce} ran ${seconds(ranAt - since)} after its ${what} was removed`)]
          : [],
      );
    });
  },

  slippedBack: (fleet) => {
    // A daemon shows a removal by refusing the key or the mapping; after that it must not let it through again.
    const row = takenRow<Blueprint>(fleet, 'blueprint');
    const open = maybes<Blueprint>(fleet, 'blueprint');
    const shown = new Map<string, number>();
    // By when it left on the wire: what a slow link does to it later is not the daemon's behaviour.
    const started = new Map(
      fleet.backEnds.arrivals.filter(({ ran }) => ran).map(({ nonce, leftMicroseconds }) => [nonce, leftMicroseconds]),
    );
    const found: Broken[] = [];
    const readded = (key: string): boolean =>
      goneSince(row, (blueprint) => !Object.values(blueprint.tenants).some(({ keys }) => keys.includes(key)), open) ===
      undefined;
    for (const call of fleet.callers.calls) {
      if ((call.code === 'unknownKey' || call.code === 'keyRemoved') && call.over && !readded(call.key)) {
        const place = `${call.proxy} ${call.key}`;
        shown.set(place, Math.min(shown.get(place) ?? Infinity, call.endedMicroseconds));
      }
    }
    for (const call of fleet.callers.calls) {
      const since = shown.get(`${call.proxy} ${call.key}`);
      const ranAt = started.get(call.nonce);
      if (since !== undefined && ranAt !== undefined && ranAt > since + JudgeLimits.slipMicroseconds)
        found.push(
          broken(
            'slippedBack',
            `${call.nonce} ran through ${call.proxy} ${seconds(ranAt - since)} after that daemon had refused its key`,
          ),
        );
    }
    return found;
  },

  drained: (fleet) => {
    const row = takenRow<EngineList>(fleet, 'engines');
    const open = maybes<EngineList>(fleet, 'engines');
    return fleet.engineNames.flatMap((name) => {
      const since = goneSince(
        row,
        ({ engines }) =>
          !Object.values(engines).some(({ address, state }) => address === `${name}:1` && state === 'ready'),
        open,
      );
      if (since === undefined) return [];
      // Two seconds for the daemons to learn of it, as with any removal, and three from there.
      return fleet.backEnds.arrivals
        .filter(
          ({ engine, ran, atMicroseconds }) =>
            engine === name && ran && atMicroseconds > since + JudgeLimits.drainMicroseconds,
        )
        .map(({ nonce, atMicroseconds }) =>
          broken(
            'drained',
            `${nonce} went to ${name} ${seconds(atMicroseconds - since)} after it was listed as draining`,
          ),
        );
    });
  },

  oldWeights: (fleet) => {
    const row = takenRow<Blueprint>(fleet, 'blueprint');
    const open = maybes<Blueprint>(fleet, 'blueprint');
    const lastPart = new Map(
      fleet.callers.calls.map(({ nonce, lastPartMicroseconds }) => [nonce, lastPartMicroseconds]),
    );
    return fleet.backEnds.runs.flatMap(({ nonce, weightsAtStart, engine }) => {
      const since = goneSince(
        row,
        ({ services }) =>
          !Object.values(services).some((service) => service.kind === 'pool' && service.weights === weightsAtStart),
        open,
      );
      const until = lastPart.get(nonce) ?? 0;
      return since !== undefined && until > since + JudgeLimits.weightsMicroseconds
        ? [
            broken(
              'oldWeights',
              `${nonce} was still answered by ${engine} on ${weightsAtStart} ${seconds(until - since)} after new weights were taken`,
            ),
          ]
        : [];
    });
  },

  lost: (fleet) => {
    const found: Broken[] = [];
    for (const key of ['blueprint', 'engines'] as const) {
      const row = takenRow<unknown>(fleet, key);
      const byRevision = new Map<number, string>();
      for (const { revision, text } of row) {
        const other = byRevision.get(revision);
        if (other !== undefined && other !== text)
          found.push(broken('lost', `two changes of ${key} were both taken as revision ${revision}`));
        byRevision.set(revision, text);
      }
      const sent = new Set(fleet.changes.filter((change) => change.key === key).map(({ text }) => text));
      for (const read of fleet.reads.filter((item) => item.key === key)) {
        const known = byRevision.get(read.revision);
        if (!sent.has(read.text) || (known !== undefined && known !== read.text))
          found.push(broken('lost', `${key} read back as revision ${read.revision} differs from what was sent`));
        const newest =
          row.filter(({ atMicroseconds }) => atMicroseconds < read.askedMicroseconds).at(-1)?.revision ?? 0;
        if (read.revision < newest)
          found.push(
            broken('lost', `${key} read back as revision ${read.revision} after revision ${newest} was taken`),
          );
      }
    }
    return found;
  },

  refusedButTaken: (fleet) =>
    // A change that was plainly refused must never show up.
    fleet.changes.flatMap((change) => {
      if (change.outcome?.kind !== 'refused') return [];
      const sameText = fleet.changes.some(
        (other) => other !== change && other.text === change.text && other.outcome?.kind !== 'refused',
      );
      return !sameText && fleet.reads.some(({ key, text }) => key === change.key && text === change.text)
        ? [broken('refusedButTaken', `${change.id} was refused and read back later`)]
        : [];
    }),

  retries: (fleet) => {
    const firsts = new Set<string>();
    let agains = 0;
    for (const { nonce } of fleet.backEnds.arrivals) {
      if (firsts.has(nonce)) agains += 1;
      firsts.add(nonce);
    }
    const bound = (firsts.size * JudgeLimits.retryPerMille) / 1000 + JudgeLimits.retryAllowance;
    return agains > bound ? [broken('retries', `${agains} sends again for ${firsts.size} first sends`)] : [];
  },

  stewards: (fleet) => {
    const found: Broken[] = [];
    for (const name of fleet.engineNames) {
      const holders = new Map<number, string>();
      let highest = 0;
      for (const { engine, directive, outcome } of fleet.backEnds.directives) {
        if (engine !== name || outcome !== 'done') continue;
        const holder = holders.get(directive.term);
        if (holder !== undefined && holder !== directive.steward)
          found.push(
            broken(
              'stewards',
              `${name} took directives of ${holder} and ${directive.steward} under term ${directive.term}`,
            ),
          );
        holders.set(directive.term, directive.steward);
        if (directive.term < highest)
          found.push(broken('stewards', `${name} took term ${directive.term} after term ${highest}`));
        highest = Math.max(highest, directive.term);
      }
    }
    return found;
  },
};

export const judgeAll = (fleet: SimFleet): readonly Broken[] => Object.values(Judges).flatMap((judge) => judge(fleet));
