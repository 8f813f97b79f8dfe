/** The control node's program, for fleets that use the native document format and operator API. */
import { nativeConfigurationFormat } from '../shared/configuration/configurationFormat';
import { realClock } from '../shared/effects/clock/realClock';
import { nodeDisk } from '../shared/effects/disk/nodeDisk';
import { realRandom } from '../shared/effects/random/random';
import { TcpTransport } from '../shared/effects/transport/tcpTransport';
import { Logs } from '../shared/log/log';
import { Programs } from '../shared/settings/program';
import { SettingFormats, Settings, SharedSettings, type SettingSchema } from '../shared/settings/settings';
import { ControlNodeDefaults } from './controlNodeSettings';
import { OperatorApiDefaults } from './operators/operatorApi';
import { nativeOperatorApiFormat } from './operators/nativeOperatorApiFormat';
import { startControlNode } from './program/controlNodeProgram';

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
  const noticeLog = Logs.channel('keeper:notice');
  const member = { address: text('address'), operatorsAddress: text('operators'), zone: text('zone') };
  const program = await startControlNode({
    effects: { clock: realClock, random: realRandom, transport: new TcpTransport(realClock) },
    disk: await nodeDisk(text('folder')),
    settings: {
      ...ControlNodeDefaults,
      name: text('name'),
      member,
      listenAddress: text('listen'),
      seeds: settings['seeds'] as readonly string[],
      replaces: text('replaces'),
    },
    dialect: nativeConfigurationFormat,
    operatorApiFormat: nativeOperatorApiFormat,
    operatorApi: { ...OperatorApiDefaults, address: member.operatorsAddress },
    onDiskFailure: (sentence) => {
      process.stderr.write(`core-keeper: ${sentence}\n`);
      process.exit(4);
    },
  });
  noticeLog(
    `Control node ${text('name')} listens on ${program.address}; operator API on ${program.operatorApi.address}.`,
  );
  Programs.onShutdown(Number(settings['stopLimitMicroseconds']), program.stop);
});
