import { HttpBackEndControl } from '../shared/back-end/httpBackEnds';
import { HttpApiServers, HttpLimits, Replies, type HttpApiServer } from '../shared/http/httpApiServer';
import { Metrics } from '../shared/metrics/metrics';
import { Programs } from '../shared/settings/program';
import { SettingFormats, Settings, SharedSettings, type SettingSchema } from '../shared/settings/settings';
import type { ServerResponse } from 'node:http';
import { AgentProgram } from './agentProgram';
import { AgentDefaults, type EdgeAgent } from './edgeAgent';
import { AgentStatusPages } from './pages/agentStatusPages';

const schema: SettingSchema = {
  name: { doc: 'name of this machine', format: SettingFormats.name, default: null, kind: 'text' },
  zone: { doc: 'zone of this machine', format: SettingFormats.text, default: '', kind: 'text' },
  address: {
    doc: 'where other agents and its proxy reach it',
    format: SettingFormats.address,
    default: null,
    kind: 'text',
  },
  listen: SharedSettings.listen,
  proxy: {
    doc: 'where callers reach the proxy beside it',
    format: SettingFormats.address,
    default: null,
    kind: 'text',
  },
  pages: { doc: 'where its health and metrics pages are', format: SettingFormats.address, default: null, kind: 'text' },
  seeds: {
    doc: 'addresses of three other processes of the fleet',
    format: SettingFormats.seeds,
    default: null,
    kind: 'list',
  },
  fleet: {
    doc: 'name of the fleet it must belong to; without it, the one that its seeds agree on',
    format: SettingFormats.text,
    default: '',
    kind: 'text',
  },
  stopLimitMicroseconds: {
    doc: 'how long a stop may take',
    format: SettingFormats.whole,
    default: 5_000_000,
    kind: 'whole',
  },
};

Programs.run('edge-agent', async () => {
  const settings = Settings.read(
    'edge-agent',
    'links one edge machine to the fleet and feeds its proxy',
    schema,
    process.argv.slice(2),
  );
  const text = (name: string): string => String(settings[name]);
  const openPages = async (agent: EdgeAgent): Promise<HttpApiServer> => {
    const metrics = new Metrics();
    metrics.addGauges(() => AgentStatusPages.gauges(agent));
    return HttpApiServers.open(text('pages'), HttpLimits.usual, (service) => {
      service.get('/status', (_request, response) =>
        Replies.json(response as unknown as ServerResponse, 200, AgentStatusPages.status(text('name'), agent)),
      );
      service.get('/health', (_request, response) =>
        Replies.json(response as unknown as ServerResponse, AgentStatusPages.isFresh(agent) ? 200 : 503, {
          fresh: AgentStatusPages.isFresh(agent),
        }),
      );
      service.get('/metrics', (_request, response) =>
        Replies.text(response as unknown as ServerResponse, 200, metrics.render()),
      );
    });
  };
  await AgentProgram.start({
    settings: {
      ...AgentDefaults,
      name: text('name'),
      zone: text('zone'),
      address: text('address'),
      proxyAddress: text('proxy'),
      pagesAddress: text('pages'),
      seeds: settings['seeds'] as readonly string[],
      fleet: text('fleet'),
      listenAddress: text('listen'),
    },
    door: new HttpBackEndControl(),
    openPages,
    stopLimitMicroseconds: Number(settings['stopLimitMicroseconds']),
    // No delay is needed: a proxy that outlives its agent gets its updates from another one.
    lingerMicroseconds: 0,
  });
});
