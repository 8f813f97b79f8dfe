import { ConnectionShares } from '../shared/back-end/connection-pool/connectionShares';
import { PooledSender, type ConnectionBounds } from '../shared/back-end/connection-pool/pooledSender';
import type { BackEndSender } from '../shared/back-end/protocol';
import type { Clock } from '../shared/effects/clock/clock';
import { realClock } from '../shared/effects/clock/realClock';
import { realRandom } from '../shared/effects/random/random';
import { TcpTransport } from '../shared/effects/transport/tcpTransport';
import type { HttpLimits } from '../shared/http/httpLimits';
import { DrainPlans, type DrainPlan } from '../shared/http/httpServer';
import { Logs } from '../shared/log/log';
import { Programs } from '../shared/settings/program';
import { ClientServer } from './client-api/clientServer';
import { ChatClientApiFormat, type ClientApiFormat } from './client-api/clientApiFormat';
import { ReadinessServer } from './client-api/readinessServer';
import { EdgeProxy, type ProxySettings, type ProxyProtocols, type UnfinishedRequests } from './edgeProxy';
import { RequestCutoffs } from './shutdown/gracefulStops';

export type ProxyOptions = Readonly<{
  /** Default: a clock that includes the time the machine is suspended. */
  clock?: Clock;
  settings: ProxySettings;
  address: string;
  limits: HttpLimits;
  bodyBytes: number;
  makeSender: (boundOf: (address: string) => ConnectionBounds) => BackEndSender;
  protocols?: ProxyProtocols;
  clientProtocol?: ClientApiFormat;
  /** Endpoint at which a load balancer asks whether it may send clients here. */
  readiness?: Readonly<{ address: string; path: string }>;
  drain?: DrainPlan;
  stopLimitMicroseconds: number;
}>;

/** File descriptors that are needed for connections to back ends and for files. */
const otherFileDescriptors = 600;

export const ConnectionLimits = {
  /** Maximum number of client connections, given the limit of file descriptors and what else the process needs. */
  forClients: (files: number): number => Math.max(64, files - otherFileDescriptors),
} as const;

const describeWork = ({ queued, atEngines }: UnfinishedRequests): string =>
  `${queued} requests queued, ${atEngines} at engines`;

export const ProxyProgram = {
  /** Runs one proxy on a real machine, from its start to its graceful stop, with the given protocols. */
  start: async (parts: ProxyOptions): Promise<EdgeProxy> => {
    const { settings, protocols: words } = parts;
    const { clock = realClock } = parts;
    const transport = new TcpTransport(clock);
    const connectionShares = new ConnectionShares(
      () => proxy.freshness.engines,
      () => proxy.freshness.blueprint,
      () => proxy.knownDaemons(),
    );
    const sender = parts.makeSender(connectionShares.of);
    const proxy: EdgeProxy = new EdgeProxy(
      { clock, random: realRandom, transport },
      sender,
      settings,
      ...(words === undefined ? [] : [words]),
    );
    let isStopping = false;
    const server = await ClientServer.open(proxy, parts.address, parts.limits, parts.bodyBytes, clock, realRandom, {
      apiFormat: parts.clientProtocol ?? ChatClientApiFormat,
      limits: () => proxy.freshness.blueprint?.limits,
    });
    const readiness =
      parts.readiness === undefined
        ? undefined
        : await ReadinessServer.open(
            parts.readiness.address,
            parts.readiness.path,
            () => !isStopping && proxy.isReady(),
          );
    proxy.start();
    const notice = Logs.channel('proxy:notice');
    notice(`Proxy ${settings.name} listens on ${server.address}.`);
    const remaining = (): string => describeWork(proxy.unfinishedRequests());
    const shutDown = async (): Promise<void> => {
      isStopping = true;
      notice(`Shutting down: ${remaining()}.`);
      proxy.endRequestsWithin(RequestCutoffs.within(parts.stopLimitMicroseconds));
      // The listener drains first, so that accepted requests finish while gossip still arrives.
      await server.drain(parts.drain ?? DrainPlans.atOnce);
      proxy.stop();
      if (sender instanceof PooledSender) sender.close();
      await readiness?.close();
      await transport.close();
    };
    Programs.onShutdown(parts.stopLimitMicroseconds, shutDown, remaining);
    return proxy;
  },
} as const;
