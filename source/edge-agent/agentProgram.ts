import type { BackEndControl } from '../shared/back-end/protocol';
import type { ConfigurationFormat } from '../shared/configuration/configurationFormat';
import type { Clock } from '../shared/effects/clock/clock';
import { realClock } from '../shared/effects/clock/realClock';
import { realRandom } from '../shared/effects/random/random';
import { TcpTransport } from '../shared/effects/transport/tcpTransport';
import { Logs } from '../shared/log/log';
import { Programs } from '../shared/settings/program';
import { EdgeAgent, type AgentSettings } from './edgeAgent';
import type { EngineLister } from './engine-list/engineLister';

type Closable = Readonly<{ close: () => Promise<void> | void }>;

export type AgentOptions = Readonly<{
  /** Default: the system clock that also advances while the machine is suspended. */
  clock?: Clock;
  settings: AgentSettings;
  door: BackEndControl & Closable;
  lister?: EngineLister & Closable;
  /** The format of the operators' configuration document; default: the fleet's native format. */
  dialect?: ConfigurationFormat;
  /** Opens the status pages for operators; missing: the agent has none. */
  openPages?: (agent: EdgeAgent) => Promise<Closable>;
  /** The longest time that a planned stop may take. */
  stopLimitMicroseconds: number;
  /** How long a stopping agent keeps serving a proxy that still requests updates. */
  lingerMicroseconds: number;
}>;

export const AgentProgram = {
  /** Runs one agent on a real machine until its planned stop; the caller supplies the protocols it speaks. */
  start: async (parts: AgentOptions): Promise<EdgeAgent> => {
    const { settings, door, lister } = parts;
    const { clock = realClock } = parts;
    const transport = new TcpTransport(clock);
    const agent = new EdgeAgent({ clock, random: realRandom, transport }, door, settings, lister, parts.dialect);
    const address = await agent.start();
    const pages = await parts.openPages?.(agent);
    Logs.channel('agent:notice')(`Agent ${settings.name} listens on ${address}.`);
    Programs.onShutdown(parts.stopLimitMicroseconds, async () => {
      await agent.handOverLeases();
      // The agent stays for a while because its proxy still answers accepted requests and needs a fresh configuration for
      // that.
      await agent.waitForProxy(parts.lingerMicroseconds);
      await agent.leave();
      await pages?.close();
      await door.close();
      await lister?.close();
      await transport.close();
    });
    return agent;
  },
} as const;
