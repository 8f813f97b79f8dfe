import { createWriteStream, readFileSync } from 'node:fs';
import { realClock } from '../shared/effects/clock/realClock';
import { seededRandom } from '../shared/effects/random/random';
import { Programs } from '../shared/settings/program';
import { SettingFormats, Settings, type SettingSchema } from '../shared/settings/settings';
import type { LoadPlan } from './loadPlan';
import { StandInUserAgents } from './standInUserAgents';

const schema: SettingSchema = {
  plan: { doc: 'file with the load plan', format: SettingFormats.text, default: null, kind: 'text' },
  record: { doc: "file the callers' record is written to", format: SettingFormats.text, default: null, kind: 'text' },
};

Programs.run('stand-in-user-agents', async () => {
  const settings = Settings.read('stand-in-user-agents', 'callers for tests and demos', schema, process.argv.slice(2));
  const plan = JSON.parse(readFileSync(String(settings['plan']), 'utf8')) as LoadPlan;
  const file = createWriteStream(String(settings['record']), { flags: 'a' });
  await new StandInUserAgents(realClock, seededRandom(plan.seed)).run(
    plan,
    (line) => void file.write(`${JSON.stringify(line)}\n`),
  );
  await new Promise<void>((resolve) => file.end(resolve));
});
