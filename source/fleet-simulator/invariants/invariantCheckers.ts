import type { Configuration, EngineList } from '../../shared/configuration/types';
import type { SimRequest } from '../machines/simClients';
import type { SimFleet } from '../machines/simFleet';
import { ValuesInEffect } from './valuesInEffect';
import { ConfigurationLookup } from './blueprintLookup';
import { CheckTally } from './checkTally';

/** One violation of an invariant: the invariant's name, and what was observed. */
export type Violation = Readonly<{ invariant: string; text: string }>;

const violation = (invariant: string, text: string): Violation => ({ invariant, text });
const seconds = (microseconds: number): string => `${(microseconds / 1_000_000).toFixed(3)} s`;

/** Time limits and retry allowances that the invariant checkers grant. */
export const InvariantLimits = {
  /** The time within which the fleet must have detected whether an engine fails. */
  outlierDetectionMicroseconds: 3_000_000,
  removalMicroseconds: 2_000_000,
  staleRevisionMicroseconds: 250_000,
  drainMicroseconds: 3_000_000,
  weightsMicroseconds: 12_000_000,
  retryPerMille: 200,
  /** The documented retry allowance of the whole fleet (docs/notes/classes.md): 18 retries at once, and 18 more per 10 s. */
  retryAllowance: 18,
  retryAllowancePerSecond: 1.8,
} as const;

/** The input of all invariant checkers: the records of the run, and the values in effect as operators know them. */
export type CheckInput = Readonly<{
  fleet: SimFleet;
  blueprints: ValuesInEffect<Configuration>;
  engines: ValuesInEffect<EngineList>;
  tally: CheckTally;
  /**
   * Set if only planned events happened; then no request that was read may be refused or cut off. Requests sent after this
   * time are not checked: the traffic is stopping, and the budget that they wait for is earned by traffic
   * that no longer arrives.
   */
  plannedUntilMicroseconds: number | undefined;
}>;

/** Checks one invariant and returns its violations. */
type InvariantChecker = (evidence: CheckInput) => readonly Violation[];

type ObservedAction = Readonly<{
  nonce: string;
  proxy: string;
  atMicroseconds: number;
  fits: (configuration: Configuration) => boolean;
  what: string;
}>;

/** Actions of the daemons, by time, each with a test for the blueprints that allow it. */
const observedActions = ({ fleet }: CheckInput, calls: ReadonlyMap<string, SimRequest>): readonly ObservedAction[] => {
  const ran = fleet.backEnds.arrivals.flatMap(
    ({ nonce, engine, leftMicroseconds, ran: hasRun }): readonly ObservedAction[] => {
      const call = calls.get(nonce);
      if (!hasRun || call === undefined) return [];
      const service = fleet.serviceOf(engine);
      // Uses the time at which the request left the daemon, because a delay on a slow link is not the daemon's behaviour.
      return [
        {
          nonce,
          proxy: call.proxy,
          atMicroseconds: leftMicroseconds,
          fits: (blueprint) => ConfigurationLookup.mayRunAt(blueprint, call, service),
          what: `ran at ${service}`,
        },
      ];
    },
  );
  const refused = fleet.clients.requests.flatMap((call): readonly ObservedAction[] => {
    const base = { nonce: call.nonce, proxy: call.proxy, atMicroseconds: call.endedMicroseconds, what: call.code };
    if (call.code === 'unknownKey' || call.code === 'keyRemoved')
      return [{ ...base, fits: (blueprint) => ConfigurationLookup.tenantOf(blueprint, call.key) === undefined }];
    if (call.code === 'noMapping')
      return [{ ...base, fits: (blueprint) => ConfigurationLookup.mappingOf(blueprint, call) === undefined }];
    return [];
  });
  return [...ran, ...refused].sort((left, right) => left.atMicroseconds - right.atMicroseconds);
};

/** The invariant checkers. Each reads only what engines, clients and operators recorded, never what a daemon reports. */
export const InvariantCheckers: Readonly<Record<string, InvariantChecker>> = {
  doubled: ({ fleet, tally }) => {
    const runs = new Map<string, number>();
    for (const { nonce } of fleet.backEnds.runs) runs.set(nonce, (runs.get(nonce) ?? 0) + 1);
    tally.countChecked('doubled', runs.size);
    return fleet.clients.requests.flatMap(({ nonce, resumable }) =>
      !resumable && (runs.get(nonce) ?? 0) > 1 ? [violation('doubled', `${nonce} ran ${runs.get(nonce)} times`)] : [],
    );
  },

  saidNotRun: ({ fleet, tally }) => {
    const ran = new Set(fleet.backEnds.arrivals.filter(({ ran: hasRun }) => hasRun).map(({ nonce }) => nonce));
    for (const { nonce } of fleet.backEnds.runs) ran.add(nonce);
    return fleet.clients.requests.flatMap(({ nonce, verdict, code }) => {
      if (verdict !== 'notRun') return [];
      tally.countChecked('saidNotRun');
      return ran.has(nonce) ? [violation('saidNotRun', `${nonce} was refused as notRun (${code}) and ran`)] : [];
    });
  },

  wrongAnswer: ({ fleet, tally }) =>
    fleet.clients.requests.flatMap((call) => {
      if (call.clientGone || call.proxyDied) tally.countSkipped('wrongAnswer', 'the caller or its daemon was gone');
      else tally.countChecked('wrongAnswer');
      if (call.status === 200 && call.isComplete && !call.isCorrect)
        return [violation('wrongAnswer', `${call.nonce} looks whole and is not right`)];
      if (call.isFinished && call.isComplete && call.status >= 400 && call.verdict === '')
        return [violation('noVerdict', `${call.nonce} was refused with ${call.status} and no verdict`)];
      return call.isFinished && call.status === 503 && call.retryAfterSeconds === undefined
        ? [violation('noRetryAfter', `${call.nonce} was given up without Retry-After (${call.code})`)]
        : [];
    }),

  /**
   * A failing engine must soon receive fewer requests than the others; an engine with another fault that still answers its
   * requests must keep receiving them.
   */
  outliers: ({ fleet, tally }) =>
    fleet.backEnds.engineFaults.flatMap(({ engine, kind, fromMicroseconds, untilMicroseconds }) => {
      const from = fromMicroseconds + InvariantLimits.outlierDetectionMicroseconds;
      const until = Math.min(untilMicroseconds, fleet.world.nowMicroseconds);
      const hasOtherFault = fleet.backEnds.engineFaults.some(
        (other) =>
          other.engine === engine &&
          other.fromMicroseconds !== fromMicroseconds &&
          other.fromMicroseconds < until &&
          other.untilMicroseconds > fromMicroseconds,
      );
      if (
        fleet.backEnds.hasOtherFaults ||
        hasOtherFault ||
        until - from < InvariantLimits.outlierDetectionMicroseconds
      ) {
        tally.countSkipped('outliers', 'other trouble, or too short');
        return [];
      }
      tally.countChecked('outliers');
      const count = (name: string): number =>
        fleet.backEnds.arrivals.filter(
          (arrival) => arrival.engine === name && arrival.atMicroseconds >= from && arrival.atMicroseconds < until,
        ).length;
      const faultyEngines = new Set(fleet.backEnds.engineFaults.map((other) => other.engine));
      const others = fleet.engineNames.filter((name) => !faultyEngines.has(name));
      const average = others.reduce((sum, name) => sum + count(name), 0) / Math.max(1, others.length);
      const received = count(engine);
      const text = `${engine} (${kind}) was sent ${received} orders in ${seconds(until - from)}, the others ${Math.round(average)} each`;
      if (kind === 'fails' && received * 4 > average) return [violation('failingServed', text)];
      return kind !== 'fails' && received * 4 < average ? [violation('answeringLeftOut', text)] : [];
    }),

  blocks: ({ fleet, blueprints, tally }) => {
    const callOf = new Map(fleet.clients.requests.map((call) => [call.nonce, call]));
    /** The tenants that may have owned the key while the request was accepted. */
    const possibleOwners = (call: SimRequest, untilMicroseconds: number): readonly string[] => {
      const inEffect = blueprints.inEffectBetween(
        call.sentMicroseconds - InvariantLimits.removalMicroseconds,
        untilMicroseconds,
      );
      return [...new Set(inEffect.flatMap((blueprint) => ConfigurationLookup.tenantOf(blueprint, call.key) ?? []))];
    };
    return fleet.backEnds.runs.flatMap(({ nonce, weightsAtStart, blocks, engine, startedMicroseconds }) =>
      blocks.flatMap((block) => {
        tally.countChecked('blocks');
        if (block.weights !== weightsAtStart)
          return [
            violation(
              'oldWeightsBlock',
              `${nonce} ran on ${weightsAtStart} at ${engine} with a ${block.from} block of ${block.weights}`,
            ),
          ];
        if (!block.right) return [violation('wrongBlock', `${nonce} used a ${block.from} block of another prompt`)];
        const [maker, user] = [callOf.get(block.makerNonce), callOf.get(nonce)];
        if (maker === undefined || user === undefined || maker === user) return [];
        const inEffect = blueprints.inEffectBetween(
          startedMicroseconds - InvariantLimits.removalMicroseconds,
          startedMicroseconds,
        );
        // A tenant counts as walled only if every blueprint that may be in effect says so.
        const walled = (tenant: string): boolean => inEffect.every(({ tenants }) => tenants[tenant]?.walled === true);
        const [makers, users] = [possibleOwners(maker, Infinity), possibleOwners(user, startedMicroseconds)];
        if (makers.length === 0 || users.length === 0) {
          tally.countSkipped('blocks', 'whose the key was is not known');
          return [];
        }
        const isAllowed = users.some((one) => makers.some((other) => one === other || !(walled(one) || walled(other))));
        return isAllowed
          ? []
          : [
              violation(
                'otherTenantBlock',
                `${nonce} of ${users.join(' or ')} used a ${block.from} block of ${makers.join(' or ')}`,
              ),
            ];
      }),
    );
  },

  removed: ({ fleet, blueprints, tally }) => {
    const calls = new Map(fleet.clients.requests.map((call) => [call.nonce, call]));
    return fleet.backEnds.arrivals.flatMap(({ nonce, engine, ran, atMicroseconds }) => {
      const call = calls.get(nonce);
      if (!ran || call === undefined) return [];
      tally.countChecked('removed');
      const service = fleet.serviceOf(engine);
      const allowed = (configuration: Configuration): boolean =>
        ConfigurationLookup.mayRunAt(configuration, call, service);
      if (
        blueprints.inEffectBetween(atMicroseconds - InvariantLimits.removalMicroseconds, atMicroseconds).some(allowed)
      )
        return [];
      const since = blueprints.lastAllowedMicroseconds(atMicroseconds, allowed);
      return [
        violation('removed', `${nonce} ran at ${service} ${seconds(atMicroseconds - since)} after that was removed`),
      ];
    });
  },

  slippedBack: (evidence) => {
    const { fleet, blueprints, tally } = evidence;
    const calls = new Map(fleet.clients.requests.map((call) => [call.nonce, call]));
    const found: Violation[] = [];
    // The revisions that each machine provably knew at least, and when its actions proved it.
    const provenRevisions = new Map<string, readonly Readonly<{ revision: number; atMicroseconds: number }>[]>();
    for (const event of observedActions(evidence, calls)) {
      if (blueprints.unresolvedUntil(event.atMicroseconds).some(event.fits)) {
        tally.countSkipped('slippedBack', 'a change of unknown fate may allow it');
        continue;
      }
      const fittingRevisions = blueprints.accepted
        .filter(({ value }) => event.fits(value))
        .map(({ revision }) => revision);
      const [lowest, highest] = [fittingRevisions[0], fittingRevisions.at(-1)];
      if (lowest === undefined || highest === undefined) continue;
      tally.countChecked('slippedBack');
      const before = provenRevisions.get(event.proxy) ?? [];
      const newerProof = before.find(
        ({ revision, atMicroseconds }) =>
          revision > highest && atMicroseconds < event.atMicroseconds - InvariantLimits.staleRevisionMicroseconds,
      );
      if (newerProof !== undefined)
        found.push(
          violation(
            'slippedBack',
            `${event.nonce} ${event.what} through ${event.proxy} ${seconds(event.atMicroseconds - newerProof.atMicroseconds)} after that daemon had shown revision ${newerProof.revision}; it fits ${highest} at most`,
          ),
        );
      if (lowest > (before.at(-1)?.revision ?? 0))
        provenRevisions.set(event.proxy, [...before, { revision: lowest, atMicroseconds: event.atMicroseconds }]);
    }
    return found;
  },

  drained: ({ fleet, engines, tally }) =>
    fleet.backEnds.arrivals.flatMap(({ nonce, engine, ran, atMicroseconds }) => {
      if (!ran) return [];
      tally.countChecked('drained');
      const listed = (list: EngineList): boolean =>
        Object.values(list.engines).some(({ address, state }) => address === `${engine}:1` && state === 'ready');
      if (engines.inEffectBetween(atMicroseconds - InvariantLimits.drainMicroseconds, atMicroseconds).some(listed))
        return [];
      const since = engines.lastAllowedMicroseconds(atMicroseconds, listed);
      return [
        violation('drained', `${nonce} went to ${engine} ${seconds(atMicroseconds - since)} after it was drained`),
      ];
    }),

  oldWeights: ({ fleet, blueprints, tally }) => {
    const calls = new Map(fleet.clients.requests.map((call) => [call.nonce, call]));
    return fleet.backEnds.runs.flatMap(({ nonce, weightsAtStart, engine }) => {
      const until = calls.get(nonce)?.lastPartMicroseconds ?? 0;
      const service = fleet.serviceOf(engine);
      // App engines are skipped because no blueprint names weights for them.
      if (until === 0 || engine === fleet.appName) return [];
      tally.countChecked('oldWeights');
      const intended = (configuration: Configuration): boolean => {
        const pool = configuration.services[service];
        return pool?.kind === 'pool' && pool.weights === weightsAtStart;
      };
      if (blueprints.inEffectBetween(until - InvariantLimits.weightsMicroseconds, until).some(intended)) return [];
      const since = blueprints.lastAllowedMicroseconds(until, intended);
      return [
        violation(
          'oldWeights',
          `${nonce} was still answered by ${engine} on ${weightsAtStart} ${seconds(until - since)} after others were taken`,
        ),
      ];
    });
  },

  lost: ({ fleet, tally }) => {
    const found: Violation[] = [];
    for (const key of ['blueprint', 'engines'] as const) {
      const byRevision = new Map<number, string>();
      const taken = fleet.changes.flatMap((change) =>
        change.key === key && change.outcome?.kind === 'taken'
          ? [{ revision: change.outcome.revision, text: change.text, atMicroseconds: change.answeredMicroseconds }]
          : [],
      );
      for (const { revision, text } of taken) {
        const other = byRevision.get(revision);
        if (other !== undefined && other !== text)
          found.push(violation('lost', `two changes of ${key} were both taken as revision ${revision}`));
        byRevision.set(revision, text);
      }
      const sent = new Set(fleet.changes.filter((change) => change.key === key).map(({ text }) => text));
      for (const read of fleet.reads.filter((item) => item.key === key)) {
        tally.countChecked('lost');
        const known = byRevision.get(read.revision);
        if (!sent.has(read.text) || (known !== undefined && known !== read.text))
          found.push(violation('lost', `${key} read back as revision ${read.revision} differs from what was sent`));
        const newest = Math.max(
          0,
          ...taken
            .filter(({ atMicroseconds }) => atMicroseconds < read.askedMicroseconds)
            .map(({ revision }) => revision),
        );
        if (read.revision < newest)
          found.push(
            violation('lost', `${key} read back as revision ${read.revision} after revision ${newest} was taken`),
          );
      }
    }
    return found;
  },

  refusedButTaken: ({ fleet, tally }) =>
    // A change that was definitely refused must never be read back.
    fleet.changes.flatMap((change) => {
      if (change.outcome?.kind !== 'refused') return [];
      if (fleet.changes.some((other) => other.text === change.text && other.outcome?.kind !== 'refused')) {
        tally.countSkipped('refusedButTaken', 'the same text was sent by another change too');
        return [];
      }
      tally.countChecked('refusedButTaken');
      return fleet.reads.some(({ key, text }) => key === change.key && text === change.text)
        ? [violation('refusedButTaken', `${change.id} was refused and read back later`)]
        : [];
    }),

  retries: ({ fleet, tally }) => {
    // Covers all time windows in one pass by the maximum running sum: each first send earns a fifth of a retry.
    const found: Violation[] = [];
    const runningSums = new Map<string, Readonly<{ sum: number; atMicroseconds: number }>>();
    const maximumSums = new Map<string, Readonly<{ sum: number; atMicroseconds: number }>>();
    const sentNonces = new Set<string>();
    for (const { nonce, engine, atMicroseconds } of fleet.backEnds.sends) {
      const pool = fleet.serviceOf(engine);
      const isRetry = sentNonces.has(nonce);
      sentNonces.add(nonce);
      tally.countChecked('retries');
      const weight = isRetry ? 1 : -InvariantLimits.retryPerMille / 1000;
      const before = runningSums.get(pool) ?? { sum: 0, atMicroseconds };
      const replenished =
        (InvariantLimits.retryAllowancePerSecond * (atMicroseconds - before.atMicroseconds)) / 1_000_000;
      const sum = Math.max(0, Math.max(0, before.sum - replenished) + weight);
      runningSums.set(pool, { sum, atMicroseconds });
      if (sum > (maximumSums.get(pool)?.sum ?? 0)) maximumSums.set(pool, { sum, atMicroseconds });
    }
    for (const [pool, { sum, atMicroseconds }] of maximumSums)
      if (sum > InvariantLimits.retryAllowance)
        found.push(
          violation(
            'retries',
            `in a window ending at ${seconds(atMicroseconds)} sends again to ${pool} were ${sum.toFixed(1)} above a fifth of its first sends`,
          ),
        );
    return found;
  },

  stewards: ({ fleet, tally }) => {
    const found: Violation[] = [];
    const engines = new Set(fleet.backEnds.directives.map(({ engine }) => engine));
    for (const name of engines) {
      const holders = new Map<number, string>();
      let highest: Readonly<{ term: number; sentMicroseconds: number; steward: string }> | undefined;
      for (const { engine, directive, outcome, sentMicroseconds, atMicroseconds } of fleet.backEnds.directives) {
        if (engine !== name || outcome !== 'done') continue;
        tally.countChecked('stewards');
        const { term, steward } = directive;
        const holder = holders.get(term);
        if (holder !== undefined && holder !== steward)
          found.push(violation('stewards', `${name} took directives of ${holder} and ${steward} under term ${term}`));
        holders.set(term, steward);
        if (highest !== undefined && term < highest.term) {
          // Compares the times of sending: a directive delayed in transit to an engine that does not check terms is not a fault
          // of the daemon that sent it.
          if (sentMicroseconds <= highest.sentMicroseconds)
            tally.countSkipped('stewards', 'a directive was late on its way');
          else
            found.push(
              violation(
                'stewards',
                `${name} took ${directive.kind} of ${steward} under term ${term} at ${seconds(atMicroseconds)}, after term ${highest.term} of ${highest.steward}`,
              ),
            );
        }
        if (highest === undefined || term > highest.term) highest = { term, sentMicroseconds, steward };
      }
    }
    return found;
  },

  dropped: ({ fleet, plannedUntilMicroseconds, tally }) => {
    if (plannedUntilMicroseconds === undefined) return [];
    return fleet.clients.requests.flatMap((call) => {
      if (call.clientGone) {
        tally.countSkipped('dropped', 'the caller left');
        return [];
      }
      if (call.sentMicroseconds > plannedUntilMicroseconds) {
        tally.countSkipped('dropped', 'the traffic was ebbing');
        return [];
      }
      tally.countChecked('dropped');
      if (call.status === 200 && call.isComplete && call.isCorrect) return [];
      return [
        violation(
          'dropped',
          `${call.nonce} (${call.kind}) through ${call.proxy}, sent at ${seconds(call.sentMicroseconds)}: status ${call.status}, ${call.code || (call.isFinished ? 'cut' : 'never answered')} at ${seconds(call.endedMicroseconds)}`,
        ),
      ];
    });
  },
};

/** The violations found in one run, and how much was checked or skipped. */
export type CheckResult = Readonly<{ violations: readonly Violation[]; tally: CheckTally }>;

/** Runs all invariant checkers over the records of a fleet. */
export const checkInvariants = (fleet: SimFleet, plannedUntilMicroseconds?: number): CheckResult => {
  const input: CheckInput = {
    fleet,
    blueprints: new ValuesInEffect<Configuration>(fleet, 'blueprint'),
    engines: new ValuesInEffect<EngineList>(fleet, 'engines'),
    tally: new CheckTally(),
    plannedUntilMicroseconds,
  };
  return { violations: Object.values(InvariantCheckers).flatMap((check) => check(input)), tally: input.tally };
};
