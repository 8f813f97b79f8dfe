import { realClock } from '../shared/effects/clock/realClock';
import { nodeDisk } from '../shared/effects/disk/nodeDisk';
import { realRandom } from '../shared/effects/random/random';
import { TcpTransport } from '../shared/effects/transport/tcpTransport';
import { Logs } from '../shared/log/log';
import { Metrics } from '../shared/metrics/metrics';
import { Programs } from '../shared/settings/program';
import { SettingFormats, Settings, SharedSettings, type SettingSchema } from '../shared/settings/settings';
import { CoreKeeper, KeeperDefaults } from './coreKeeper';
import { OperatorsDoor } from './operators/operatorsDoor';

const schema: SettingSchema = {
  name: { doc: 'name of this keeper', format: SettingFormats.name, default: null, kind: 'text' },
  zone: { doc: 'zone of this machine', format: SettingFormats.text, default: '', kind: 'text' },
  address: {
    doc: 'where other processes of the fleet reach it',
    format: SettingFormats.address,
    default: null,
    kind: 'text',
  },
  listen: SharedSettings.listen,
  operators: { doc: 'where operators reach it over HTTP', format: SettingFormats.address, default: null, kind: 'text' },
  seeds: {
    doc: 'addresses of the three keepers, its own included',
    format: SettingFormats.seeds,
    default: null,
    kind: 'list',
  },
  folder: { doc: 'data folder', format: SettingFormats.text, default: null, kind: 'text' },
  replaces: { doc: 'name of the keeper it takes the place of', format: SettingFormats.text, default: '', kind: 'text' },
  stopLimitMicroseconds: {
    doc: 'how long a stop may take',
    format: SettingFormats.whole,
    default: 10_000_000,
    kind: 'whole',
  },
};

Programs.run('core-keeper', async () => {
  const settings = Settings.read(
    'core-keeper',
    'keeps the control state on its disk and answers operators',
    schema,
    process.argv.slice(2),
  );
  const text = (name: string): string => String(settings[name]);
  const notice = Logs.part('keeper:notice');
  const transport = new TcpTransport(realClock);
  const disk = await nodeDisk(text('folder'));
  const member = { address: text('address'), operatorsAddress: text('operators'), zone: text('zone') };
  const keeper = new CoreKeeper({ clock: realClock, random: realRandom, transport }, disk, {
    ...KeeperDefaults,
    name: text('name'),
    member,
    listenAddress: text('listen'),
    seeds: settings['seeds'] as readonly string[],
    replaces: text('replaces'),
  });
  const metrics = new Metrics();
  metrics.watch(() => [
    ['postdrum_keeper_votes', {}, keeper.core.votes() ? 1 : 0],
    ...Object.entries(keeper.owners()).map(
      ([key, { revision, owner }]) => ['postdrum_key_revision', { key, owner }, revision] as const,
    ),
  ]);
  const started = await keeper.start();
  if (started.kind === 'corrupt')
    throw new Error(
      `the file in the data folder is damaged at byte ${started.at}; this keeper must not vote. Empty the folder, and it catches up from the others.`,
    );
  keeper.news.on('broken', (sentence) => {
    process.stderr.write(`core-keeper: ${sentence}\n`);
    process.exit(4);
  });
  const door = await OperatorsDoor.open(keeper, member.operatorsAddress, metrics);
  notice(`Keeper ${text('name')} listens on ${started.address}, for operators on ${door.address}.`);
  Programs.onTerm(Number(settings['stopLimitMicroseconds']), async () => {
    await door.drain();
    await keeper.stop();
    await transport.close();
  });
});
