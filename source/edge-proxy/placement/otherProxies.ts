import type { FactBook } from '../../shared/news/facts';
import type { OthersTogether } from '../feeding/receivedLoads';
import {
  FactKeys,
  MemberStates,
  type LoadFact,
  type MemberFact,
  type StewardFact,
  type WorkMix,
} from '../../shared/news/factTypes';
import type { WorkSum } from './engineWork';

/** What all other proxies run at one engine. */
export type Elsewhere = Readonly<{ sends: number; work: WorkSum }>;

/** What follows from the loads of all other proxies, as long as no news of one comes in. */
export type OtherLoads = Readonly<{
  mark: string;
  /** Names of the other proxies that seem to be there, in the order of their loads. */
  names: readonly string[];
  loads: readonly LoadFact[];
  engines: ReadonlyMap<string, Elsewhere>;
  mixes: ReadonlyMap<string, WorkMix>;
}>;

type Agents = Readonly<{ changes: number; present: readonly MemberFact[] }>;

const noMix: WorkMix = [0, 0];
const noneElsewhere: Elsewhere = { sends: 0, work: { reading: 0, tokens: 0 } };

const engineSums = (loads: readonly LoadFact[]): ReadonlyMap<string, Elsewhere> => {
  const engines = new Map<string, Elsewhere>();
  for (const load of loads)
    for (const [name, sends] of Object.entries(load.engines)) {
      const known = engines.get(name) ?? noneElsewhere;
      const [reading, tokens] =
        load.work !== undefined && Object.hasOwn(load.work, name) ? (load.work[name] ?? [0, 0]) : [0, 0];
      engines.set(name, {
        sends: known.sends + sends,
        work: { reading: known.work.reading + reading, tokens: known.work.tokens + tokens },
      });
    }
  return engines;
};

const mixSums = (loads: readonly LoadFact[]): ReadonlyMap<string, WorkMix> => {
  const mixes = new Map<string, WorkMix>();
  for (const { mix } of loads)
    for (const [service, [short, long]] of Object.entries(mix ?? {})) {
      const [knownShort, knownLong] = mixes.get(service) ?? noMix;
      mixes.set(service, [knownShort + short, knownLong + long]);
    }
  return mixes;
};

const othersOf = (mark: string, names: readonly string[], loads: readonly LoadFact[]): OtherLoads => ({
  mark,
  names,
  loads,
  engines: engineSums(loads),
  mixes: mixSums(loads),
});

/** Who else belongs to the fleet, and what the other proxies say that they run. All of it is hints, some hundred ms old. */
export class OtherProxies {
  private members: Agents | undefined;
  private others: OtherLoads | undefined;

  public constructor(
    private readonly self: string,
    private readonly facts: FactBook,
    /** What agents have told of all other proxies together; undefined: nothing, and each one's own load counts. */
    private readonly received: () => OthersTogether | undefined = () => undefined,
  ) {}

  /** Proxies that seem to be there, this one included. */
  public count(): number {
    return this.now().names.length + 1;
  }

  /** All proxies that are known to have belonged to the fleet lately: doubt about one must not shrink it. */
  public everSeen(): number {
    return Math.max(1, this.received()?.everSeen ?? 0, this.facts.countOf('load'));
  }

  /** What all other proxies run at an engine. */
  public at(engine: string): Elsewhere {
    return this.now().engines.get(engine) ?? noneElsewhere;
  }

  /** What all other proxies placed in a pool lately, short and long orders. */
  public mix(service: string): WorkMix {
    return this.now().mixes.get(service) ?? noMix;
  }

  /** Agents that seem to be there; the same list while none came or went. */
  public agents(): readonly MemberFact[] {
    const changes = this.facts.changesOf('member');
    // Why kept: they are counted at each feed and each order, and change seldom.
    if (this.members?.changes !== changes) {
      const all = this.facts.withPrefix('member/').map(({ value }) => value as MemberFact);
      this.members = { changes, present: all.filter(MemberStates.isPresent) };
    }
    return this.members.present;
  }

  /** The agent that reads the list of engines, as far as known. */
  public listHolder(): MemberFact | undefined {
    const holder = this.facts.value<StewardFact>(FactKeys.listDuty)?.holder;
    return holder === undefined || holder === '' ? undefined : this.facts.value<MemberFact>(FactKeys.member(holder));
  }

  /** The same object as long as no news of a load or an agent came in. */
  public now(): OtherLoads {
    const received = this.received();
    return received === undefined ? this.eachAlone() : this.together(received);
  }

  private together({ changes, names, sum }: OthersTogether): OtherLoads {
    const mark = `together/${changes}`;
    if (this.others?.mark !== mark) this.others = othersOf(mark, names, [sum]);
    return this.others;
  }

  private eachAlone(): OtherLoads {
    const mark = `${this.facts.changesOf('load')}/${this.facts.changesOf('member')}`;
    // Why not for a time: sums that are older than the news sent an order to an engine known to be full.
    if (this.others?.mark === mark) return this.others;
    const agents = new Set(this.agents().map(({ name }) => name));
    const own = FactKeys.load(this.self);
    const present = this.facts.withPrefix('load/').filter(({ key, value }) => {
      const { agent, isSilent } = value as LoadFact;
      return key !== own && isSilent !== true && agents.has(agent);
    });
    const loads = present.map(({ value }) => value as LoadFact);
    const names = present.map(({ key }) => key.slice(FactKeys.load('').length));
    this.others = othersOf(mark, names, loads);
    return this.others;
  }
}
