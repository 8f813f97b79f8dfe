import { HttpBackEndSender } from '../shared/back-end/httpBackEnds';
import { HttpLimits } from '../shared/http/httpLimits';
import { Programs } from '../shared/settings/program';
import { SettingFormats, Settings, type SettingSchema } from '../shared/settings/settings';
import { DemandSettings } from './demand/demandView';
import { ProxyDefaults } from './edgeProxy';
import { OutlierSettings } from './outliers/outlierSettings';
import { ProxyProgram } from './proxyProgram';

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
  demand: {
    doc: 'yes or no: whether the fleet agrees which shared prefixes are most in demand, and keeps those warm',
    format: SettingFormats.oneOf(['yes', 'no']),
    default: 'yes',
    kind: 'text',
  },
  bodyBytes: {
    doc: 'most bytes of a body',
    format: SettingFormats.whole,
    default: HttpLimits.defaultBodyBytes,
    kind: 'whole',
  },
  conns: { doc: 'most conns of callers', format: SettingFormats.whole, default: 2048, kind: 'whole' },
  connectMicroseconds: {
    doc: 'how long a conn to a back end may take',
    format: SettingFormats.whole,
    default: 1_000_000,
    kind: 'whole',
  },
  ejectPerMille: {
    doc: `most engines of a pool left out because their answers fail, in per mille, at most ${OutlierSettings.mostEjectPerMille}; 0: none ever`,
    format: (value) => {
      SettingFormats.whole(value);
      const fault = OutlierSettings.fault({ ...OutlierSettings.usual, ejectPerMille: Number(value) });
      if (fault !== undefined) throw new Error(fault);
    },
    default: OutlierSettings.usual.ejectPerMille,
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
  await ProxyProgram.start({
    settings: {
      ...ProxyDefaults,
      placement: text('placement') === 'load' ? 'load' : 'prefix',
      imports: text('imports') !== 'no',
      name: text('name'),
      agentAddress: text('agent'),
      demand: { ...DemandSettings.usual, isOn: text('demand') === 'yes' },
      outliers: { ...OutlierSettings.usual, ejectPerMille: Number(settings['ejectPerMille']) },
    },
    address: text('address'),
    limits: { ...HttpLimits.usual, conns: Number(settings['conns']) },
    bodyBytes: Number(settings['bodyBytes']),
    makeSender: () => new HttpBackEndSender(Number(settings['connectMicroseconds'])),
    stopLimitMicroseconds: Number(settings['stopLimitMicroseconds']),
  });
});
