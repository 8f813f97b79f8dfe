import assert from 'node:assert/strict';
import { mkdtempSync, rmSync } from 'node:fs';
import { readFile } from 'node:fs/promises';
import { createRequire } from 'node:module';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { build } from 'esbuild';
import { describe, test } from 'node:test';
import type { FaultName } from '../../source/fleet-simulator/faults/faults';
import type { FleetShape } from '../../source/fleet-simulator/machines/simFleet';
import type { Ending, ScenarioOrder, ScenarioOutcome } from '../../source/fleet-simulator/faults/scenario';

/** A mechanism broken on purpose, and the judge that must see it. */
type Sabotage = Readonly<{
  point: string;
  what: string;
  cuts: Cuts;
  faults: readonly FaultName[];
  /** The first seed tried; 1 where it is left out. A mechanism that few days need is met sooner from a later one on. */
  firstSeed?: number;
  /** Days that are known to show it, tried before the others; as the simulator's command line counts them. */
  knownDays?: readonly number[];
  seeds: number;
  ending?: Ending;
  shape?: FleetShape;
}>;

const sabotages: readonly Sabotage[] = [
  {
    point: 'doubled',
    what: 'non-resumable orders are sent again after mayHaveRun',
    // Why two: one engine killed meets such an order in the midst of its answer on one day of five only.
    faults: ['engineKilled', 'engineKilled'],
    seeds: 10,
    cuts: [
      [
        'edge-proxy/attempts/attempt.ts',
        'else if (this.resolved.mapping.resumable) this.retry(refusal);',
        'else if (refusal.status > 0) this.retry(refusal);',
      ],
    ],
  },
  {
    point: 'saidNotRun',
    what: 'a later notRun hides that an earlier send may have run',
    faults: ['enginesReplaced', 'engineKilled', 'brownOut', 'edgeHalfFrozen'],
    // About one such day in 18 shows it; of the first 72 it is days 34, 37, 59 and 68.
    firstSeed: 31,
    seeds: 30,
    cuts: [
      [
        'edge-proxy/pipeline/pipeline.ts',
        "context.mayHaveRun && given.verdict === 'notRun'",
        "context.sends < 0 && given.verdict === 'notRun'",
      ],
    ],
  },
  {
    point: 'wrongAnswer',
    what: 'a cut answer ends like a whole one',
    faults: ['engineKilled'],
    seeds: 10,
    cuts: [
      [
        'edge-proxy/pipeline/pipeline.ts',
        'if (context.answer.begun()) context.answer.cut();',
        'if (context.answer.begun()) context.answer.end();',
      ],
    ],
  },
  {
    point: 'oldWeightsBlock',
    what: 'identity leaves out the weights, and shards do not see them change',
    faults: ['newWeights'],
    seeds: 6,
    cuts: [
      [
        'shared/directory/identity.ts',
        'model: pool.model, weights, tokenizer',
        "model: pool.model, weights: '', tokenizer",
      ],
      [
        'shared/directory/shardDirectory.ts',
        'if (head.bootEpoch === bootEpoch && head.weights === weights) return false;',
        "if (head.bootEpoch === bootEpoch && head.weights !== '') { this.index.relabel(weights); return false; }",
      ],
      [
        'shared/directory/shardIndex.ts',
        'public get size(): number {',
        'public relabel(weights: string): void { this.head = { ...this.head, weights }; }\n\n  public get size(): number {',
      ],
      [
        'edge-agent/engine-control/pollingEngineController.ts',
        'this.shard.fence(); this.fencedMicroseconds',
        'this.fencedMicroseconds',
      ],
    ],
  },
  {
    point: 'otherTenantBlock',
    what: 'walled tenants share the common trust domain',
    faults: ['storeEmptied'],
    seeds: 6,
    cuts: [
      [
        'shared/directory/identity.ts',
        'walledDomain: (tenant: string): string => `walled/${tenant}`',
        'walledDomain: (tenant: string): string => `shared${tenant.slice(0, 0)}`',
      ],
      [
        'shared/directory/identity.ts',
        "return walled.length === 0 ? 'shared' :",
        "return walled.length >= 0 ? 'shared' :",
      ],
    ],
  },
  {
    point: 'removed',
    what: 'the fence never closes',
    faults: ['edgeCutOff', 'keyRevoked', 'mappingRemoved'],
    seeds: 12,
    cuts: [['edge-proxy/edgeProxy.ts', 'freshMicroseconds: 1_500_000', 'freshMicroseconds: 900_000_000']],
  },
  {
    point: 'removed',
    what: 'time stands still while a machine is suspended',
    faults: ['edgeSuspended', 'keyRevoked', 'edgeSuspended'],
    seeds: 30,
    cuts: [
      [
        'shared/effects/clock/elapsedTime.ts',
        'if (gained > this.ahead + bootStepMicroseconds)',
        'if (gained < this.ahead - 900_000_000)',
      ],
    ],
  },
  {
    point: 'slippedBack',
    what: 'daemons believe the keeper that is furthest behind, and go back with it',
    faults: ['keyRevoked', 'keeperKilled', 'keeperPowerLost'],
    seeds: 40,
    cuts: [
      ['core-keeper/register/heartbeats.ts', 'void this.catchUp(statement, leader);', ''],
      [
        'shared/gossip/gossipExchange.ts',
        'body.revision <= (theirs[key] ?? 0)',
        'body.revision === (theirs[key] ?? 0)',
      ],
      ['shared/freshness/freshness.ts', 'if (revision <= (this.applied?.revision ?? -1)) return undefined;', ''],
      [
        'shared/freshness/freshness.ts',
        'if (applied !== undefined && confirmed.revision < applied.revision) return;',
        '',
      ],
      [
        'shared/freshness/freshness.ts',
        'confirmed.revision > wanted.revision ||',
        'confirmed.revision !== wanted.revision ||',
      ],
      ['shared/freshness/freshness.ts', 'statement.revision < this.sinceRevision', 'statement.revision < 0'],
      [
        'shared/register/majorityRead.ts',
        'best === undefined || compareValues(word, best) > 0',
        'best === undefined || compareValues(word, best) < 0',
      ],
      [
        'shared/register/majorityRead.ts',
        'Stamps.hasMajority(sets, holders) || isDecided(newest)',
        'holders.length > 0 || isDecided(newest)',
      ],
    ],
  },
  {
    point: 'drained',
    what: 'draining engines are still chosen and not told',
    faults: ['engineDrained'],
    seeds: 6,
    cuts: [
      [
        'edge-proxy/placement/engineView.ts',
        "if (kind !== 'store' && state === 'ready')",
        "if (kind !== 'store' && state !== '')",
      ],
      [
        'edge-agent/engine-control/pollingEngineController.ts',
        "if (engine.state === 'draining' && status.accepting && proxiesKnow)",
        "if (engine.state === 'draining' && !status.accepting && proxiesKnow)",
      ],
    ],
  },
  {
    point: 'oldWeights',
    what: 'old weights stay allowed and engines are not told',
    faults: ['newWeights'],
    seeds: 4,
    cuts: [
      [
        'edge-proxy/identification/stalenessGuard.ts',
        "if (pool.weights === weights) return 'intended';",
        "if (weights !== '') return 'intended';",
      ],
      [
        'edge-agent/engine-control/pollingEngineController.ts',
        "if (step.kind === 'load')",
        "if (step.kind === 'load' && step.drainMicroseconds < 0)",
      ],
    ],
  },
  {
    point: 'lost',
    what: 'taken is said before the disks have synced',
    faults: ['corePowerLostAfterTaking'],
    seeds: 12,
    cuts: [
      [
        'core-keeper/write-ahead-log/writeAheadLog.ts',
        '      await file.sync();\n    } catch (error) {\n      // The log stops',
        '      await Promise.resolve();\n    } catch (error) {\n      // The log stops',
      ],
    ],
  },
  {
    point: 'lost',
    what: 'one keeper alone is a majority',
    faults: ['coreSplit', 'operatorsRace'],
    seeds: 12,
    cuts: [['shared/register/types.ts', 'Math.floor(count / 2) + 1', 'Math.min(1, count)']],
  },
  {
    point: 'lost',
    what: 'a wiped keeper votes without catching up',
    faults: ['keeperWiped', 'keeperCutOff', 'operatorsRace', 'keeperKilled', 'changeRepeated'],
    seeds: 120,
    cuts: [
      [
        'core-keeper/membership/fleetMembership.ts',
        'if (!this.isMajority(view, sound)) return;',
        'if (sound.length < 1) return;',
      ],
      [
        'core-keeper/membership/fleetMembership.ts',
        'if (!this.isMajority(view, frames)) return;',
        'frames.length = 0;',
      ],
    ],
  },
  {
    point: 'refusedButTaken',
    what: 'an outcome that is not known is called a refusal',
    // Why so many: with one of each about one day in 80 shows it (of 230 others none did), with these about one in 100.
    knownDays: [7],
    faults: [
      'coreSplit',
      'operatorsRace',
      'diskStalled',
      'coreSplit',
      'operatorsRace',
      'diskStalled',
      'keeperCutOff',
      'operatorsRace',
    ],
    seeds: 80,
    cuts: [
      [
        'core-keeper/register/leadership.ts',
        "return mayBeAccepted ? { kind: 'unknown' } : undefined;",
        'return undefined;',
      ],
      ['core-keeper/register/changeRouter.ts', "mayBeAccepted ||= outcome?.kind === 'unknown';", ''],
    ],
  },
  {
    point: 'retries',
    what: 'sends again know no budget',
    faults: ['brownOut'],
    seeds: 6,
    cuts: [
      ['edge-proxy/attempts/retryBudget.ts', 'if (this.balance < retryCost) return false;', ''],
      [
        'edge-proxy/attempts/retryBudget.ts',
        'return this.expectedBalance(withinMicroseconds) >= (this.waitingRetries + 1) * retryCost;',
        'return this.expectedBalance(withinMicroseconds) >= 0;',
      ],
    ],
  },
  {
    point: 'stewards',
    what: 'voters forget leases and terms',
    faults: ['newWeights', 'edgeHalfFrozen', 'edgeCutOff'],
    seeds: 30,
    cuts: [
      [
        'core-keeper/leases/leaseVoter.ts',
        'if (lease !== undefined && lease.holder !== request.candidate && lease.untilMicroseconds > now) return',
        'if (lease !== undefined && lease.untilMicroseconds < 0) return',
      ],
      ['core-keeper/leases/leaseVoter.ts', 'if (request.term <= stored.term) return refuse(0);', ''],
      [
        'core-keeper/leases/leaseVoter.ts',
        'if (after?.term !== request.term) return refuse(0);',
        'if (after === undefined) return refuse(0);',
      ],
    ],
  },
  {
    point: 'serviceBack',
    what: 'a daemon that was stale for long never believes itself fresh again',
    faults: ['coreCutFromEdges'],
    seeds: 8,
    cuts: [
      [
        'shared/freshness/freshness.ts',
        'if (confirmed.asOfMicroseconds > applied.asOfMicroseconds) this.applied',
        'if (confirmed.asOfMicroseconds > applied.asOfMicroseconds && confirmed.asOfMicroseconds < applied.asOfMicroseconds + 2_000_000) this.applied',
      ],
    ],
  },
  {
    point: 'otherTenantBlock',
    what: 'the shared domain stays the same when a tenant becomes walled',
    faults: ['tenantWalled'],
    seeds: 8,
    cuts: [
      [
        'shared/directory/identity.ts',
        "return walled.length === 0 ? 'shared' :",
        "return walled.length >= 0 ? 'shared' :",
      ],
    ],
  },
  {
    point: 'dropped',
    what: 'a proxy is fed by the agent beside it and by no other',
    faults: ['agentsStopped'],
    seeds: 4,
    cuts: [
      // Why both: the one that answered last would be asked besides.
      [
        'edge-proxy/agent-subscription/agentSelector.ts',
        'const further = isStale ? available[1] : undefined;',
        'const further = undefined;',
      ],
      [
        'edge-proxy/agent-subscription/agentSelector.ts',
        'const first = available[0] ?? this.earliestRetry(order);',
        'const first = order[0];',
      ],
    ],
  },
  {
    point: 'dropped',
    what: 'what moved while it was held is refused instead of resolved anew',
    // Why three: one move meets a held order on one day of twelve only.
    faults: ['mappingMoved', 'mappingMoved', 'mappingMoved'],
    seeds: 24,
    cuts: [
      [
        'edge-proxy/admission/admissionPolicies.ts',
        "if (result.kind === 'moved') return { kind: 'anew', context, refusal: result.refusal };",
        "if (result.kind === 'moved') return { kind: 'refuse', refusal: result.refusal };",
      ],
      [
        'edge-proxy/attempts/sendPolicy.ts',
        "return { kind: 'anew', context, refusal };",
        "return { kind: 'refuse', refusal };",
      ],
    ],
  },
  {
    point: 'dropped',
    what: 'engines are told to drain before the proxies know, and what they refuse is given up',
    faults: ['enginesReleased'],
    seeds: 8,
    cuts: [
      ['edge-agent/engine-control/pollingEngineController.ts', '>= drainAfterMicroseconds', '>= 0'],
      [
        'edge-agent/engine-control/pollingEngineController.ts',
        "this.publishStatus(engine, wanted.kind === 'drain' ? { ...status, accepting: false } : status);",
        '',
      ],
      [
        'edge-proxy/attempts/attempt.ts',
        "(kind === 'hold' ? budget.canExpectAnotherRetry(this.dependencies.remainingQueueMicroseconds(context)) : budget.trySpend())",
        "kind === 'again' && budget.trySpend()",
      ],
    ],
  },
  {
    point: 'removed',
    what: 'a held order goes where its mapping led when it came, and the fence is wide open',
    faults: ['mappingMoved', 'edgeCutOff', 'edgeFrozen'],
    seeds: 20,
    cuts: [
      ['edge-proxy/edgeProxy.ts', 'freshMicroseconds: 1_500_000', 'freshMicroseconds: 900_000_000'],
      [
        'edge-proxy/identification/requestIdentifier.ts',
        "return { kind: same ? 'stands' : 'moved' };",
        "return { kind: same || !same ? 'stands' : 'moved' };",
      ],
    ],
  },
  {
    point: 'leftBehind',
    what: 'places in a class are not given back',
    faults: ['storeEmptied'],
    seeds: 2,
    cuts: [['edge-proxy/admission/admissionQueue.ts', 'queue.running -= 1;', '']],
  },
  {
    point: 'neverAnswered',
    what: 'who waits too long is forgotten',
    faults: ['brownOut', 'coreCutFromEdges'],
    seeds: 6,
    cuts: [['edge-proxy/admission/admissionQueue.ts', 'entry.settle(result);', '']],
  },
  {
    point: 'noRetryAfter',
    what: 'what is given up does not say when to come back',
    faults: ['coreCutFromEdges'],
    seeds: 4,
    cuts: [
      [
        'edge-proxy/identification/requestIdentifier.ts',
        "'This proxy cannot confirm that its setup is current.', this.retryAfterSeconds",
        "'This proxy cannot confirm that its setup is current.'",
      ],
    ],
  },
  {
    point: 'lost',
    what: 'what was taken stands on no disk when the power goes',
    faults: ['keyRevoked', 'operatorsRace', 'setupRetaken'],
    seeds: 12,
    ending: 'nextDay',
    cuts: [
      [
        'core-keeper/write-ahead-log/writeAheadLog.ts',
        '      await file.sync();\n    } catch (error) {\n      // The log stops',
        '      await Promise.resolve();\n    } catch (error) {\n      // The log stops',
      ],
    ],
  },
  {
    point: 'failingServed',
    what: 'engines whose answers fail stay as they are for placement',
    faults: ['engineGrey'],
    seeds: 4,
    cuts: [
      [
        'edge-proxy/outliers/outlierDetector.ts',
        'if (this.settings.ejectPerMille === 0) return;',
        'if (this.settings.ejectPerMille >= 0) return;',
      ],
    ],
  },
  {
    point: 'failingServed',
    what: 'an engine whose control side says it is well stays, whatever its answers are',
    faults: ['engineHealthLies'],
    seeds: 8,
    cuts: [
      [
        'edge-proxy/outliers/outlierDetector.ts',
        'if (this.settings.ejectPerMille === 0) return;',
        'if (this.settings.ejectPerMille >= 0) return;',
      ],
    ],
  },
  {
    point: 'answeringLeftOut',
    what: 'an engine its steward does not hear is lost, whatever it answers',
    faults: ['engineHealthLies'],
    seeds: 8,
    cuts: [
      [
        'edge-proxy/outliers/outlierDetector.ts',
        'return good > missed && good > silentAt - wordMicroseconds && now - good < speaksMicroseconds;',
        'return good > missed && good > silentAt - wordMicroseconds && now - good < 0;',
      ],
    ],
  },
  {
    point: 'answeringLeftOut',
    what: 'conns that were forgotten while idle count as failures of their engine',
    faults: ['connsForgotten'],
    seeds: 6,
    cuts: [['edge-proxy/attempts/attempt.ts', 'forgotten !== true);', "forgotten !== true || kind === 'mayHaveRun');"]],
  },
];

/** Pieces of what keeps wanted prefixes warm, cut out; the simulated rush must show it. */
export const demandSabotages: readonly Readonly<{ what: string; cuts: Cuts }>[] = [
  {
    what: 'no proxy tells the fleet what it is asked for',
    cuts: [['edge-proxy/demand/demandPublisher.ts', 'if (!PrefixDemand.isEntry(fact)) return;', 'return;']],
  },
  {
    what: 'a store is sent every prefix that is read',
    cuts: [
      [
        'edge-proxy/cache-imports/partsPlanner.ts',
        'const fills = isAskedAgain || this.demand.isWanted(keys.prefix());',
        'const fills = true;',
      ],
    ],
  },
];

/** Finds the text whatever the line breaks of the formatter are; it must stand there exactly once. */
const cutOut = (name: string, contents: string, from: string, to: string): string => {
  const letters = [...from.replace(/\s+/g, '')].map((letter) => letter.replace(/[.*+?^${}()|[\]\\/]/g, '\\$&'));
  const pattern = new RegExp(letters.join('\\s*'), 'g');
  const found = contents.match(pattern)?.length ?? 0;
  if (found !== 1) throw new Error(`${name} has this ${found} times: ${from}`);
  return contents.replace(pattern, () => to);
};

export type Cuts = readonly (readonly [file: string, from: string, to: string])[];

/** A module of the simulator or of the tests, bundled with pieces of the sources cut out. */
export const loadWithout = async <Module>(
  entry: string,
  cuts: Cuts,
): Promise<Readonly<{ module: Module; cut: number; end: () => void }>> => {
  const folder = mkdtempSync(path.join(tmpdir(), 'postdrum-sabotage-'));
  let cut = 0;
  await build({
    entryPoints: [entry],
    outfile: path.join(folder, 'entry.cjs'),
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    external: ['msgpackr-extract'],
    mainFields: ['module', 'main'],
    logLevel: 'silent',
    plugins: [
      {
        name: 'sabotage',
        setup: (given) => {
          given.onLoad({ filter: /source[\\/].*\.ts$/ }, async ({ path: file }) => {
            let contents = await readFile(file, 'utf8');
            for (const [name, from, to] of cuts) {
              if (!file.endsWith(path.join('source', name))) continue;
              contents = cutOut(name, contents, from, to);
              cut += 1;
            }
            return { contents, loader: 'ts' };
          });
        },
      },
    ],
  });
  const module = createRequire(path.join(process.cwd(), 'package.json'))(path.join(folder, 'entry.cjs')) as Module;
  return { module, cut, end: () => rmSync(folder, { recursive: true }) };
};

type ScenarioModule = Readonly<{ runScenario: (order: ScenarioOrder) => Promise<ScenarioOutcome> }>;

/** Why in parts: node's test runner gives each file a process of its own, and these runs are long. */
export const judgesSeeTheirPart = (part: number, parts: number): void => {
  describe(`each judge sees its mechanism broken, part ${part + 1} of ${parts}`, () => {
    for (const sabotage of sabotages.filter((_, index) => index % parts === part)) {
      test(`${sabotage.point}: ${sabotage.what}`, async () => {
        const { module, cut, end } = await loadWithout<ScenarioModule>(
          'source/fleet-simulator/faults/scenario.ts',
          sabotage.cuts,
        );
        assert.equal(cut, sabotage.cuts.length);
        const seen: string[] = [];
        const first = sabotage.firstSeed ?? 1;
        const drawn = Array.from({ length: sabotage.seeds }, (_, index) => (first + index) * 6007);
        for (const seed of [...(sabotage.knownDays ?? []), ...drawn]) {
          if (seen.includes(sabotage.point)) break;
          const outcome = await module
            .runScenario({
              seed,
              faults: sabotage.faults,
              ending: sabotage.ending ?? 'healed',
              shape: sabotage.shape,
            })
            .catch((error: unknown) => ({ broken: [{ invariant: `threw ${String(error)}`, text: '' }] }));
          seen.push(...outcome.broken.map(({ invariant: point }) => point));
        }
        end();
        assert.ok(
          seen.includes(sabotage.point),
          `never red in ${sabotage.seeds} seeds; seen: ${[...new Set(seen)].join(', ')}`,
        );
      });
    }
  });
};
