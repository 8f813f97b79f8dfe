import { ConnShares } from '../shared/back-end/keptConns/connShares';
import { KeptConnSender, type ConnBound } from '../shared/back-end/keptConns/keptConnSender';
import type { BackEndSender } from '../shared/back-end/protocol';
import type { Clock } from '../shared/effects/clock/clock';
import { realClock } from '../shared/effects/clock/realClock';
import { realRandom } from '../shared/effects/random/random';
import { TcpTransport } from '../shared/effects/transport/tcpTransport';
import type { HttpLimits } from '../shared/http/httpLimits';
import { DrainPlans, type DrainPlan } from '../shared/http/httpServer';
import { Logs } from '../shared/log/log';
import { Programs } from '../shared/settings/program';
import { CallersDoor } from './door/callersDoor';
import { ChatCallerWords, type CallerWords } from './door/callerWords';
import { ReadinessDoor } from './door/readinessDoor';
import { EdgeProxy, type ProxySettings, type ProxyWords } from './edgeProxy';

export type ProxyParts = Readonly<{
  /** Missing: one that counts suspension. */
  clock?: Clock;
  settings: ProxySettings;
  address: string;
  limits: HttpLimits;
  bodyBytes: number;
  makeSender: (boundOf: (address: string) => ConnBound) => BackEndSender;
  words?: ProxyWords;
  callers?: CallerWords;
  /** Where somebody asks whether callers may be sent here. */
  readiness?: Readonly<{ address: string; path: string }>;
  drain?: DrainPlan;
  stopLimitMicroseconds: number;
}>;

/** Starting values, ours. */
const noticeMicroseconds = 2_300_000;
const quietMicroseconds = 1_200_000;
const finishMicroseconds = 3_000_000;
const lastMicroseconds = 300_000;
/** By then whoever sends callers here has noticed, and an order taken later has no claim on the rest of the time. */
const lastOrdersMicroseconds = 2_500_000;
const otherFiles = 600;

export const ProxyStops = {
  /**
   * How a proxy stops where callers are sent to it by somebody who notices late, and where it is killed after a time.
   * It listens until that one has noticed, and keeps enough of the time for finishing what was read.
   */
  within: (graceMicroseconds: number): Readonly<{ drain: DrainPlan; stopLimitMicroseconds: number }> => {
    const stopLimitMicroseconds = Math.max(graceMicroseconds - lastMicroseconds, graceMicroseconds / 2);
    return {
      drain: {
        leastMicroseconds: noticeMicroseconds,
        quietMicroseconds,
        mostMicroseconds: Math.max(graceMicroseconds - finishMicroseconds, graceMicroseconds / 2),
        lateMicroseconds: 1_000_000,
        lastOrders: { afterMicroseconds: lastOrdersMicroseconds, endMicroseconds: stopLimitMicroseconds },
      },
      stopLimitMicroseconds,
    };
  },
} as const;

export const ProxyConns = {
  /** Callers' conns that fit beside the conns to back ends and the files a process needs. */
  ofCallers: (files: number): number => Math.max(64, files - otherFiles),
} as const;

export const ProxyProgram = {
  /** One proxy on a real machine, from its start to its planned stop; the protocols it speaks are given to it. */
  start: async (parts: ProxyParts): Promise<EdgeProxy> => {
    const { settings, words } = parts;
    const { clock = realClock } = parts;
    const transport = new TcpTransport(clock);
    const shares = new ConnShares(
      () => proxy.freshness.engines,
      () => proxy.freshness.blueprint,
      () => proxy.daemons(),
    );
    const sender = parts.makeSender(shares.of);
    const proxy: EdgeProxy = new EdgeProxy(
      { clock, random: realRandom, transport },
      sender,
      settings,
      ...(words === undefined ? [] : [words]),
    );
    let stopping = false;
    const door = await CallersDoor.open(proxy, parts.address, parts.limits, parts.bodyBytes, clock, realRandom, {
      words: parts.callers ?? ChatCallerWords,
      limits: () => proxy.freshness.blueprint?.limits,
    });
    const readiness =
      parts.readiness === undefined
        ? undefined
        : await ReadinessDoor.open(parts.readiness.address, parts.readiness.path, () => !stopping && proxy.ready());
    proxy.start();
    Logs.part('proxy:notice')(`Proxy ${settings.name} listens on ${door.address}.`);
    Programs.onTerm(parts.stopLimitMicroseconds, async () => {
      stopping = true;
      // Why the door first: what was read is finished with news still coming in.
      await door.drain(parts.drain ?? DrainPlans.atOnce);
      proxy.stop();
      if (sender instanceof KeptConnSender) sender.close();
      await readiness?.close();
      await transport.close();
    });
    return proxy;
  },
} as const;
