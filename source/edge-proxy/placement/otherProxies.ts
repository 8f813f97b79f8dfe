import type { GossipStore } from '../../shared/gossip/gossipStore';
import type { OtherProxiesSum } from '../agent-subscription/receivedLoads';
import {
  GossipKeys,
  MemberStates,
  type LoadEntry,
  type MemberEntry,
  type ControllerEntry,
  type WorkMix,
} from '../../shared/gossip/entryTypes';
import type { WorkSum } from './engineWork';

/** The load of all other proxies on one engine. */
export type OtherProxiesLoad = Readonly<{ sends: number; work: WorkSum }>;

/** Sums of the loads of all other proxies, cached until an update of one arrives. */
export type OtherLoads = Readonly<{
  /** Version of the inputs; it changes with every update. */
  mark: string;
  /** Names of the other proxies that seem to be running, in the order of `loads`. */
  names: readonly string[];
  loads: readonly LoadEntry[];
  engines: ReadonlyMap<string, OtherProxiesLoad>;
  mixes: ReadonlyMap<string, WorkMix>;
}>;

/** The present agents, cached by the count of changes to members. */
type CachedAgents = Readonly<{ changes: number; present: readonly MemberEntry[] }>;

const noMix: WorkMix = [0, 0];
const noLoad: OtherProxiesLoad = { sends: 0, work: { pendingPrefillTokens: 0, tokens: 0 } };

/** Sums of the loads by engine. */
const engineSums = (loads: readonly LoadEntry[]): ReadonlyMap<string, OtherProxiesLoad> => {
  const engines = new Map<string, OtherProxiesLoad>();
  for (const load of loads)
    for (const [name, sends] of Object.entries(load.engines)) {
      const known = engines.get(name) ?? noLoad;
      const [reading, tokens] =
        load.work !== undefined && Object.hasOwn(load.work, name) ? (load.work[name] ?? [0, 0]) : [0, 0];
      engines.set(name, {
        sends: known.sends + sends,
        work: { pendingPrefillTokens: known.work.pendingPrefillTokens + reading, tokens: known.work.tokens + tokens },
      });
    }
  return engines;
};

/** Sums of the mixes by pool. */
const mixSums = (loads: readonly LoadEntry[]): ReadonlyMap<string, WorkMix> => {
  const mixes = new Map<string, WorkMix>();
  for (const { mix } of loads)
    for (const [service, [short, long]] of Object.entries(mix ?? {})) {
      const [knownShort, knownLong] = mixes.get(service) ?? noMix;
      mixes.set(service, [knownShort + short, knownLong + long]);
    }
  return mixes;
};

const otherLoadsOf = (mark: string, names: readonly string[], loads: readonly LoadEntry[]): OtherLoads => ({
  mark,
  names,
  loads,
  engines: engineSums(loads),
  mixes: mixSums(loads),
});

/** The other members of the fleet and the loads that the other proxies report. All of it is some hundred ms old and approximate. */
export class OtherProxies {
  private members: CachedAgents | undefined;
  private cachedLoads: OtherLoads | undefined;

  public constructor(
    private readonly self: string,
    private readonly facts: GossipStore,
    /** Sums over all other proxies as received from agents; undefined: none, and the load of each proxy is added up here. */
    private readonly received: () => OtherProxiesSum | undefined = () => undefined,
  ) {}

  /** Number of proxies that seem to be running, including this one. */
  public count(): number {
    return this.current().names.length + 1;
  }

  /** Number of proxies known to have been in the fleet recently; a proxy whose state is in doubt still counts. */
  public everSeen(): number {
    return Math.max(1, this.received()?.everSeen ?? 0, this.facts.countOf('load'));
  }

  /** The load of all other proxies on an engine. */
  public at(engine: string): OtherProxiesLoad {
    return this.current().engines.get(engine) ?? noLoad;
  }

  /** Recent work that all other proxies placed in a pool, by short and long requests. */
  public mix(service: string): WorkMix {
    return this.current().mixes.get(service) ?? noMix;
  }

  /** Agents that seem to be running; the same array until one joins or leaves. */
  public agents(): readonly MemberEntry[] {
    const changes = this.facts.changesOf('member');
    // Cached because it is read with each feed and each request but changes seldom.
    if (this.members?.changes !== changes) {
      const all = this.facts.withPrefix('member/').map(({ value }) => value as MemberEntry);
      this.members = { changes, present: all.filter(MemberStates.isPresent) };
    }
    return this.members.present;
  }

  /** The agent that reads the list of engines from the platform; undefined: not known. */
  public listHolder(): MemberEntry | undefined {
    const holder = this.facts.value<ControllerEntry>(GossipKeys.listLease)?.holder;
    return holder === undefined || holder === '' ? undefined : this.facts.value<MemberEntry>(GossipKeys.member(holder));
  }

  /** The current sums; the same object until an update of a load or an agent arrives. */
  public current(): OtherLoads {
    const received = this.received();
    return received === undefined ? this.summedHere() : this.together(received);
  }

  private together({ changes, names, sum }: OtherProxiesSum): OtherLoads {
    const mark = `together/${changes}`;
    if (this.cachedLoads?.mark !== mark) this.cachedLoads = otherLoadsOf(mark, names, [sum]);
    return this.cachedLoads;
  }

  private summedHere(): OtherLoads {
    const mark = `${this.facts.changesOf('load')}/${this.facts.changesOf('member')}`;
    // Cached by version and not for a period: sums older than the last update sent a request to an engine known to be full.
    if (this.cachedLoads?.mark === mark) return this.cachedLoads;
    const agents = new Set(this.agents().map(({ name }) => name));
    const own = GossipKeys.load(this.self);
    const present = this.facts.withPrefix('load/').filter(({ key, value }) => {
      const { agent, isSilent } = value as LoadEntry;
      return key !== own && isSilent !== true && agents.has(agent);
    });
    const loads = present.map(({ value }) => value as LoadEntry);
    const names = present.map(({ key }) => key.slice(GossipKeys.load('').length));
    this.cachedLoads = otherLoadsOf(mark, names, loads);
    return this.cachedLoads;
  }
}
