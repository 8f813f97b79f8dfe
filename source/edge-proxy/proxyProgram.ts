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
import {
  EdgeProxy,
  type ProxySettings,
  type ProxyProtocols,
  type RequestCutoffs,
  type UnfinishedRequests,
} from './edgeProxy';

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

/**
 * After a stop begins, the proxy listens at least so long, so that the load balancer notices the stop, and until no new connection
 * has arrived for `weightsChangeDelayMicroseconds`.
 */
const minDrainMicroseconds = 2_300_000;
const quietMicroseconds = 1_200_000;
/** Time kept for finishing accepted requests, and for the end of the process, before it is killed. */
const finishMicroseconds = 3_000_000;
const exitMarginMicroseconds = 300_000;
/** Time kept for writing the last responses to their clients. */
const flushMicroseconds = 200_000;
/** By then the load balancer has noticed the stop, and a request accepted later is not entitled to the remaining time. */
const lastRequestsMicroseconds = 2_500_000;
/** File descriptors that are needed for connections to back ends and for files. */
const otherFileDescriptors = 600;

/**
 * When the requests of a process that ends after the given limit are ended. At least half of the time is left for starting them,
 * and half of the rest for their responses.
 */
const requestCutoffs = (stopLimitMicroseconds: number): RequestCutoffs => {
  const startMicroseconds = Math.max(
    stopLimitMicroseconds - finishMicroseconds + exitMarginMicroseconds,
    stopLimitMicroseconds / 2,
  );
  const flush = Math.min(flushMicroseconds, (stopLimitMicroseconds - startMicroseconds) / 2);
  return { startMicroseconds, finishMicroseconds: stopLimitMicroseconds - flush };
};

export const GracefulStops = {
  /**
   * Plan for a graceful stop behind a load balancer that notices the stop late, in a process that is killed after the grace period.
   * The proxy accepts requests until the load balancer has noticed, and keeps enough time for finishing them.
   */
  within: (graceMicroseconds: number): Readonly<{ drain: DrainPlan; stopLimitMicroseconds: number }> => {
    const stopLimitMicroseconds = Math.max(graceMicroseconds - exitMarginMicroseconds, graceMicroseconds / 2);
    return {
      drain: {
        minListenMicroseconds: minDrainMicroseconds,
        quietMicroseconds,
        maxListenMicroseconds: Math.max(graceMicroseconds - finishMicroseconds, graceMicroseconds / 2),
        incompleteRequestMicroseconds: 1_000_000,
        lateRequests: {
          afterMicroseconds: lastRequestsMicroseconds,
          endMicroseconds: requestCutoffs(stopLimitMicroseconds).finishMicroseconds,
        },
      },
      stopLimitMicroseconds,
    };
  },
} as const;

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
      proxy.endRequestsWithin(requestCutoffs(parts.stopLimitMicroseconds));
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
