import { HttpBackEndSender } from '../shared/back-end/httpBackEnds';
import { realClock } from '../shared/effects/clock/realClock';
import { realRandom } from '../shared/effects/random/random';
import { TcpTransport } from '../shared/effects/transport/tcpTransport';
import { HttpLimits } from '../shared/http/httpDoor';
import { Logs } from '../shared/log/log';
import { Programs } from '../shared/settings/program';
import { SettingFormats, Settings, type SettingSchema } from '../shared/settings/settings';
import { CallersDoor } from './door/callersDoor';
import { EdgeProxy, ProxyDefaults } from './edgeProxy';

const schema: SettingSchema = {
  name: {
    doc: 'name of this machine, the same as its agent has',
    format: SettingFormats.name,
    default: null,
    kind: 'text',
  },
  address: { doc: 'where callers reach it over HTTP', format: SettingFormats.address, default: null, kind: 'text' },
  agent: { doc: 'address of the agent beside it', format: SettingFormats.address, default: null, kind: 'text' },
  placement: { doc: 'prefix or load', format: SettingFormats.text, default: 'prefix', kind: 'text' },
  imports: {
    doc: 'yes or no: whether engines are told to import',
    format: SettingFormats.text,
    default: 'yes',
    kind: 'text',
  },
  bodyBytes: { doc: 'most bytes of a body', format: SettingFormats.whole, default: 4_194_304, kind: 'whole' },
  conns: { doc: 'most conns of callers', format: SettingFormats.whole, default: 2048, kind: 'whole' },
  connectMicroseconds: {
    doc: 'how long a conn to a back end may take',
    format: SettingFormats.whole,
    default: 1_000_000,
    kind: 'whole',
  },
  stopLimitMicroseconds: {
    doc: 'how long a stop may take',
    format: SettingFormats.whole,
    default: 120_000_000,
    kind: 'whole',
  },
};

Programs.run('edge-proxy', async () => {
  const settings = Settings.read(
    'edge-proxy',
    "takes callers' orders, places them, and sends each to an engine",
    schema,
    process.argv.slice(2),
  );
  const text = (name: string): string => String(settings[name]);
  const notice = Logs.part('proxy:notice');
  const transport = new TcpTransport(realClock);
  const sender = new HttpBackEndSender(Number(settings['connectMicroseconds']));
  const placement = text('placement') === 'load' ? 'load' : 'prefix';
  const proxy = new EdgeProxy({ clock: realClock, random: realRandom, transport }, sender, {
    ...ProxyDefaults,
    placement,
    imports: text('imports') !== 'no',
    name: text('name'),
    agentAddress: text('agent'),
  });
  const limits = { ...HttpLimits.usual, conns: Number(settings['conns']) };
  const door = await CallersDoor.open(
    proxy,
    text('address'),
    limits,
    Number(settings['bodyBytes']),
    realClock,
    realRandom,
  );
  proxy.start();
  notice(`Proxy ${text('name')} listens on ${door.address}.`);
  Programs.onTerm(Number(settings['stopLimitMicroseconds']), async () => {
    // Why the door first: what was read is finished with news still coming in.
    await door.drain();
    proxy.stop();
    await transport.close();
  });
});
