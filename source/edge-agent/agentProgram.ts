import type { BackEndDoor } from '../shared/back-end/protocol';
import type { Dialect } from '../shared/blueprint/dialect';
import type { Clock } from '../shared/effects/clock/clock';
import { realClock } from '../shared/effects/clock/realClock';
import { realRandom } from '../shared/effects/random/random';
import { TcpTransport } from '../shared/effects/transport/tcpTransport';
import { Logs } from '../shared/log/log';
import { Programs } from '../shared/settings/program';
import { EdgeAgent, type AgentSettings } from './edgeAgent';
import type { EngineLister } from './engine-list/engineLister';

type Closable = Readonly<{ close: () => Promise<void> | void }>;

export type AgentParts = Readonly<{
  /** Missing: one that counts suspension. */
  clock?: Clock;
  settings: AgentSettings;
  door: BackEndDoor & Closable;
  lister?: EngineLister & Closable;
  /** How the operators' document is read; missing: the fleet's own way. */
  dialect?: Dialect;
  /** Pages for operators, where there are any. */
  openPages?: (agent: EdgeAgent) => Promise<Closable>;
  stopLimitMicroseconds: number;
  /** How long a stopping agent goes on feeding a proxy that still asks. */
  lingerMicroseconds: number;
}>;

export const AgentProgram = {
  /** One agent on a real machine, from its start to its planned stop; the protocols it speaks are given to it. */
  start: async (parts: AgentParts): Promise<EdgeAgent> => {
    const { settings, door, lister } = parts;
    const { clock = realClock } = parts;
    const transport = new TcpTransport(clock);
    const agent = new EdgeAgent({ clock, random: realRandom, transport }, door, settings, lister, parts.dialect);
    const address = await agent.start();
    const pages = await parts.openPages?.(agent);
    Logs.part('agent:notice')(`Agent ${settings.name} listens on ${address}.`);
    Programs.onTerm(parts.stopLimitMicroseconds, async () => {
      await agent.resign();
      // Why not at once: orders that were read are still answered, and their proxy needs a fresh setup for that.
      await agent.linger(parts.lingerMicroseconds);
      await agent.leave();
      await pages?.close();
      await door.close();
      await lister?.close();
      await transport.close();
    });
    return agent;
  },
} as const;
