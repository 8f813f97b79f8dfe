import { request } from 'undici';
import type { CoreMember, DocumentKey, EngineList } from '../../shared/blueprint/types';
import type { Manner } from './manner';
import type { EngineFact, LoadFact, MemberFact, StewardFact } from '../../shared/news/factTypes';

export type KeeperStatus = Readonly<{
  keeper: string;
  standing: string;
  fleet: string;
  incarnation: number;
  membersRevision: number;
  members: Readonly<Record<string, CoreMember>>;
  owners: Readonly<Record<string, Readonly<{ owner: string; epoch: string; revision: number }>>>;
  duties: Readonly<Record<string, Readonly<{ holder: string; term: number; leftMicroseconds: number }>>>;
  agents: readonly MemberFact[];
  /** What it holds of each key itself; missing: the keeper is of an earlier build. */
  replica?: Readonly<{
    keys: Readonly<Record<string, Readonly<{ epoch: string; revision: number; leadsForMicroseconds: number | null }>>>;
    silentMicroseconds: Readonly<Record<string, number | null>>;
  }>;
}>;

export type AgentStatus = Readonly<{
  agent: string;
  fleet: string;
  ageMicroseconds: number | null;
  revisions: Readonly<Record<string, number>>;
  members: readonly MemberFact[];
  /** The list of engines in force there; missing: the agent is of an earlier build. */
  listed?: EngineList['engines'];
  engines: readonly EngineFact[];
  stewards: readonly StewardFact[];
  loads: readonly LoadFact[];
  shards: readonly Readonly<{ holder: string; term: number; epoch: number; bootEpoch: string; committed: number }>[];
}>;

export type Document = Readonly<{ kind: 'read'; revision: number; text: string }> | Readonly<{ kind: 'nothing' }>;

/** What could be reached of the fleet, and what could not. */
export type FleetView = Readonly<{
  keepers: readonly KeeperStatus[];
  agents: readonly AgentStatus[];
  silent: readonly string[];
}>;

export class Unreachable extends Error {}
export class OddAnswer extends Error {}

const isObject = (value: unknown): value is Readonly<Record<string, unknown>> =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

const isKeeperStatus = (value: unknown): value is KeeperStatus =>
  isObject(value) &&
  typeof value['keeper'] === 'string' &&
  isObject(value['members']) &&
  isObject(value['owners']) &&
  isObject(value['duties']) &&
  Array.isArray(value['agents']);
const isAgentStatus = (value: unknown): value is AgentStatus =>
  isObject(value) &&
  typeof value['agent'] === 'string' &&
  isObject(value['revisions']) &&
  ['members', 'engines', 'stewards', 'loads', 'shards'].every((field) => Array.isArray(value[field]));

export type HttpAnswer = Readonly<{ status: number; text: string; headers: Readonly<Record<string, string>> }>;

/** The way of the command line to the fleet: HTTP only, each ask under a limit. */
export class FleetReach {
  public constructor(
    private readonly core: readonly string[],
    private readonly manner: Manner,
    private readonly limitMilliseconds = 6000,
  ) {}

  public async http(
    address: string,
    path: string,
    method: 'GET' | 'PUT' | 'PATCH' = 'GET',
    body?: string,
    headers: Readonly<Record<string, string>> = {},
    limitMilliseconds = this.limitMilliseconds,
  ): Promise<HttpAnswer> {
    try {
      const answer = await request(`http://${address}${path}`, {
        method,
        body: body ?? null,
        headers: { ...headers },
        signal: AbortSignal.timeout(limitMilliseconds),
      });
      const text = await answer.body.text();
      return {
        status: answer.statusCode,
        text,
        headers: Object.fromEntries(Object.entries(answer.headers).map(([name, value]) => [name, String(value)])),
      };
    } catch {
      throw new Unreachable(`${address} does not answer`);
    }
  }

  /** The first keeper that gives a plain answer. */
  public async core1(
    path: string,
    method: 'GET' | 'PUT' | 'PATCH' = 'GET',
    body?: string,
    headers: Readonly<Record<string, string>> = {},
  ): Promise<HttpAnswer> {
    let last = '';
    for (const address of this.core) {
      try {
        const answer = await this.http(address, path, method, body, headers);
        if (answer.status !== 503) return answer;
        last = `${address} says: ${answer.text.trim()}`;
      } catch (error) {
        last = (error as Error).message;
      }
    }
    throw new Unreachable(`the core cannot be reached (${last})`);
  }

  public async document(key: DocumentKey): Promise<Document> {
    const path = this.manner.paths[key];
    if (path === undefined) throw new OddAnswer(`this fleet's core keeps no document ${key}`);
    const answer = await this.core1(path);
    // Why look at the kind: a door that has no such page answers 404 too, and says nothing about the document.
    if (answer.status === 404 && (answer.headers['content-type'] ?? '').startsWith('application/json'))
      return { kind: 'nothing' };
    const revision = answer.status === 200 ? this.manner.revisionIn(answer.headers) : undefined;
    if (revision === undefined)
      throw new OddAnswer(`the core answers in a way this version does not know (status ${answer.status})`);
    return { kind: 'read', revision, text: answer.text };
  }

  public async view(): Promise<FleetView> {
    const silent: string[] = [];
    const keepers = new Map<string, KeeperStatus>();
    const keeperAddresses = new Map<string, string>();
    const ask = async <Status>(
      address: string,
      is: (value: unknown) => value is Status,
      limitMilliseconds: number,
    ): Promise<Status | undefined> => {
      try {
        const answer = await this.http(address, '/status', 'GET', undefined, {}, limitMilliseconds);
        const value: unknown = JSON.parse(answer.text);
        if (is(value)) return value;
        silent.push(`${address} (answers in a way this version does not know)`);
      } catch {
        silent.push(address);
      }
      return undefined;
    };
    const askKeepers = async (addresses: readonly string[]): Promise<void> => {
      const answers = await Promise.all(addresses.map((address) => ask(address, isKeeperStatus, 2000)));
      for (const [index, status] of answers.entries()) {
        if (status === undefined) continue;
        keepers.set(status.keeper, status);
        keeperAddresses.set(status.keeper, addresses[index] ?? '');
      }
    };
    await askKeepers(this.core);
    const known = new Set(this.core);
    await askKeepers(
      [
        ...new Set(
          [...keepers.values()].flatMap(({ members }) =>
            Object.values(members).map(({ operatorsAddress }) => operatorsAddress),
          ),
        ),
      ].filter((address) => !known.has(address)),
    );
    const pages = new Set(
      [...keepers.values()].flatMap(({ agents }) =>
        agents.flatMap(({ pagesAddress }) => (pagesAddress === '' ? [] : [pagesAddress])),
      ),
    );
    const agents = new Map<string, AgentStatus>();
    /** Agents without pages are shown by the keepers that they asked of late. */
    const askThroughKeepers = async (names: readonly string[]): Promise<void> => {
      await Promise.all(
        names.map(async (name) => {
          for (const keeper of keepers.values()) {
            if (!keeper.agents.some((agent) => agent.name === name)) continue;
            const status = await this.agentThrough(keeperAddresses.get(keeper.keeper) ?? '', name);
            if (status === undefined) continue;
            agents.set(name, status);
            return;
          }
          silent.push(`agent ${name}`);
        }),
      );
    };
    const askAgents = async (addresses: readonly string[]): Promise<void> => {
      const answers = await Promise.all(addresses.map((address) => ask(address, isAgentStatus, 2000)));
      for (const status of answers) if (status !== undefined) agents.set(status.agent, status);
    };
    const withoutPages = new Set(
      [...keepers.values()].flatMap(({ agents: known }) =>
        known.flatMap(({ name, pagesAddress }) => (pagesAddress === '' ? [name] : [])),
      ),
    );
    await askAgents([...pages]);
    await askThroughKeepers([...withoutPages]);
    // Why a second round: agents know each other, keepers only those that asked them of late.
    await askAgents(
      [
        ...new Set(
          [...agents.values()].flatMap(({ members }) =>
            members
              .filter(({ state }) => state === 'alive' || state === 'suspect')
              .map(({ pagesAddress }) => pagesAddress),
          ),
        ),
      ].filter((address) => address !== '' && !pages.has(address)),
    );
    await askThroughKeepers(
      [
        ...new Set(
          [...agents.values()].flatMap(({ members }) =>
            members
              .filter(({ state, pagesAddress }) => pagesAddress === '' && (state === 'alive' || state === 'suspect'))
              .map(({ name }) => name),
          ),
        ),
      ].filter((name) => !withoutPages.has(name)),
    );
    return { keepers: [...keepers.values()], agents: [...agents.values()], silent: [...new Set(silent)].sort() };
  }

  private async agentThrough(keeperAddress: string, name: string): Promise<AgentStatus | undefined> {
    try {
      const answer = await this.http(keeperAddress, `/agents/${encodeURIComponent(name)}`, 'GET', undefined, {}, 2000);
      const value: unknown = JSON.parse(answer.text);
      return answer.status === 200 && isAgentStatus(value) ? value : undefined;
    } catch {
      return undefined;
    }
  }
}
