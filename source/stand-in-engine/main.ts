import { createWriteStream } from 'node:fs';
import { realClock } from '../shared/effects/clock/realClock';
import { realRandom } from '../shared/effects/random/random';
import { Programs } from '../shared/settings/program';
import { SettingFormats, Settings, type SettingSchema } from '../shared/settings/settings';
import { EngineHttp, httpNeighbours } from './engineHttp';
import { StandInEngine } from './standInEngine';

const whole = (doc: string, fallback: number): SettingSchema[string] => ({
  doc,
  format: SettingFormats.whole,
  default: fallback,
  kind: 'whole',
});
const schema: SettingSchema = {
  name: { doc: 'name of this engine', format: SettingFormats.name, default: null, kind: 'text' },
  address: { doc: 'where it listens', format: SettingFormats.address, default: null, kind: 'text' },
  weights: { doc: 'weights it starts with', format: SettingFormats.name, default: null, kind: 'text' },
  record: { doc: 'file its record is appended to', format: SettingFormats.text, default: '', kind: 'text' },
  capacity: whole('orders at once', 8),
  mostBlocks: whole('blocks it keeps', 400),
  blockCharacters: whole('characters of a block', 1024),
  prefillMicrosecondsPerBlock: whole('time to read one block', 10_000),
  importMicrosecondsPerBlock: whole('time to import one block', 1000),
  partMicroseconds: whole('time of one part of an answer', 8000),
  loadMicroseconds: whole('time to load weights', 500_000),
  checksTerms: {
    doc: 'yes or no: whether it refuses directives of a lower term',
    format: SettingFormats.text,
    default: 'yes',
    kind: 'text',
  },
};

Programs.run('stand-in-engine', async () => {
  const settings = Settings.read(
    'stand-in-engine',
    'a model engine for tests and demos',
    schema,
    process.argv.slice(2),
  );
  const count = (name: string): number => Number(settings[name]);
  const file =
    String(settings['record']) === '' ? undefined : createWriteStream(String(settings['record']), { flags: 'a' });
  const engine = new StandInEngine(
    {
      name: String(settings['name']),
      weights: String(settings['weights']),
      capacity: count('capacity'),
      mostBlocks: count('mostBlocks'),
      blockCharacters: count('blockCharacters'),
      prefillMicrosecondsPerBlock: count('prefillMicrosecondsPerBlock'),
      importMicrosecondsPerBlock: count('importMicrosecondsPerBlock'),
      partMicroseconds: count('partMicroseconds'),
      loadMicroseconds: count('loadMicroseconds'),
      checksTerms: String(settings['checksTerms']) !== 'no',
    },
    realClock,
    realRandom,
    httpNeighbours,
    (line) => void file?.write(`${JSON.stringify(line)}\n`),
  );
  const door = await EngineHttp.open(engine, String(settings['address']));
  Programs.onShutdown(5_000_000, () => door.drain());
});
