import { Randoms, seededRandom } from '../shared/effects/random/random';
import { Programs } from '../shared/settings/program';
import { SettingFormats, Settings, type SettingSchema } from '../shared/settings/settings';
import { faultNames, isFaultName, plannedFaultNames, worstCoreFaultNames, type FaultName } from './faults/faults';
import { endings, runScenario, type Ending } from './faults/scenario';
import { congestedShape, defaultShape } from './machines/simFleet';

const schema: SettingSchema = {
  seed: { doc: 'first seed', format: SettingFormats.whole, default: 1, kind: 'whole' },
  seeds: { doc: 'how many seeds, one after the other', format: SettingFormats.whole, default: 20, kind: 'whole' },
  faults: {
    doc: 'names of faults, or none, or random, planned: random ones of those that nobody may notice, worst: of the worst of the core, any: of all',
    format: SettingFormats.text,
    default: 'random',
    kind: 'text',
  },
  together: { doc: 'how many random faults come together', format: SettingFormats.whole, default: 2, kind: 'whole' },
  ending: {
    doc: `how the day ends: ${endings.join(', ')}`,
    format: SettingFormats.oneOf(endings),
    default: 'healed',
    kind: 'text',
  },
  shape: {
    doc: 'usual, or crowded: so little room that orders wait',
    format: SettingFormats.oneOf(['usual', 'crowded']),
    default: 'usual',
    kind: 'text',
  },
};

type Counts = Map<string, number>;

const addCounts = (totals: Counts, counts: Readonly<Record<string, number>>): void => {
  for (const [name, count] of Object.entries(counts)) totals.set(name, (totals.get(name) ?? 0) + count);
};

const formatCounts = (counts: ReadonlyMap<string, number>): string =>
  [...counts].map(([name, count]) => `${name} ${count}`).join('; ') || 'nothing';

Programs.run(
  'fleet-simulator',
  async () => {
    const settings = Settings.read(
      'fleet-simulator',
      'runs a whole fleet on virtual time and causes faults',
      schema,
      process.argv.slice(2),
    );
    const faultSetting = String(settings['faults']);
    const faultSets: Readonly<Record<string, readonly FaultName[]>> = {
      random: faultNames,
      planned: plannedFaultNames,
      worst: worstCoreFaultNames,
      any: [...faultNames, ...worstCoreFaultNames],
    };
    const candidates = faultSets[faultSetting];
    const named = candidates === undefined && faultSetting !== 'none' ? faultSetting.split(',') : [];
    const unknown = named.filter((name) => !isFaultName(name));
    if (unknown.length > 0) throw new Error(`no such fault: ${unknown.join(', ')}; known are ${faultNames.join(', ')}`);
    const first = Number(settings['seed']);
    const shape = settings['shape'] === 'crowded' ? congestedShape : defaultShape;
    const [judged, skipped, refusals] = [1, 2, 3].map(() => new Map<string, number>()) as [Counts, Counts, Counts];
    let failed = 0;
    let calls = 0;
    let answered = 0;
    let slowestMicroseconds = 0;
    for (let seed = first; seed < first + Number(settings['seeds']); seed += 1) {
      const faults =
        candidates === undefined
          ? (named as readonly FaultName[])
          : Randoms.shuffled(seededRandom(seed), candidates).slice(0, Number(settings['together']));
      const outcome = await runScenario({ seed, faults, ending: settings['ending'] as Ending, shape });
      calls += outcome.calls;
      answered += outcome.answered;
      slowestMicroseconds = Math.max(slowestMicroseconds, outcome.backAfterMicroseconds);
      addCounts(judged, outcome.judged);
      addCounts(skipped, outcome.skipped);
      addCounts(refusals, outcome.refusals);
      if (outcome.broken.length === 0) continue;
      failed += 1;
      process.stdout.write(`seed ${seed}, faults ${faults.join(',')}: ${outcome.broken.length} broken\n`);
      for (const { invariant, text: sentence } of outcome.broken.slice(0, 5))
        process.stdout.write(`  ${invariant}: ${sentence}\n`);
      for (const line of outcome.history) process.stdout.write(`    ${line}\n`);
    }
    process.stdout.write(
      `judged: ${formatCounts(judged)}\nnot judged: ${formatCounts(skipped)}\nrefused: ${formatCounts(refusals)}\n`,
    );
    process.stdout.write(
      `${Number(settings['seeds'])} seeds, ${failed} failed; ${calls} orders, ${answered} answered; slowest return ${(slowestMicroseconds / 1_000_000).toFixed(2)} s\n`,
    );
    process.exit(failed === 0 ? 0 : 1);
  },
  false,
);
