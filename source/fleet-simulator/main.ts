import { Randoms, seededRandom } from '../shared/effects/random/random';
import { Programs } from '../shared/settings/program';
import { SettingFormats, Settings, type SettingSchema } from '../shared/settings/settings';
import { faultNames, isFaultName, type FaultName } from './faults/faults';
import { runScenario } from './faults/scenario';

const schema: SettingSchema = {
  seed: { doc: 'first seed', format: SettingFormats.whole, default: 1, kind: 'whole' },
  seeds: { doc: 'how many seeds, one after the other', format: SettingFormats.whole, default: 20, kind: 'whole' },
  faults: { doc: 'names of faults, or random', format: SettingFormats.text, default: 'random', kind: 'text' },
  together: { doc: 'how many random faults come together', format: SettingFormats.whole, default: 2, kind: 'whole' },
  endOnFault: {
    doc: 'yes stops the run in the middle of a fault',
    format: SettingFormats.text,
    default: 'no',
    kind: 'text',
  },
};

Programs.run(
  'fleet-simulator',
  async () => {
    const settings = Settings.read(
      'fleet-simulator',
      'runs a whole fleet on virtual time and causes faults',
      schema,
      process.argv.slice(2),
    );
    const named = String(settings['faults']) === 'random' ? [] : String(settings['faults']).split(',');
    const unknown = named.filter((name) => !isFaultName(name));
    if (unknown.length > 0) throw new Error(`no such fault: ${unknown.join(', ')}; known are ${faultNames.join(', ')}`);
    const first = Number(settings['seed']);
    let failed = 0;
    let calls = 0;
    let answered = 0;
    let slowest = 0;
    for (let seed = first; seed < first + Number(settings['seeds']); seed += 1) {
      const faults =
        named.length > 0
          ? (named as readonly FaultName[])
          : Randoms.shuffled(seededRandom(seed), faultNames).slice(0, Number(settings['together']));
      const outcome = await runScenario({ seed, faults, endOnFault: String(settings['endOnFault']) === 'yes' });
      calls += outcome.calls;
      answered += outcome.answered;
      slowest = Math.max(slowest, outcome.backAfterMicroseconds);
      if (outcome.broken.length === 0) continue;
      failed += 1;
      process.stdout.write(`seed ${seed}, faults ${faults.join(',')}: ${outcome.broken.length} broken\n`);
      for (const { point, text } of outcome.broken.slice(0, 5)) process.stdout.write(`  ${point}: ${text}\n`);
      for (const line of outcome.history) process.stdout.write(`    ${line}\n`);
    }
    process.stdout.write(
      `${Number(settings['seeds'])} seeds, ${failed} failed; ${calls} orders, ${answered} answered; slowest return ${(slowest / 1_000_000).toFixed(2)} s\n`,
    );
    process.exit(failed === 0 ? 0 : 1);
  },
  false,
);
