import { request } from 'undici';
import type { ControlNodeMember, DocumentKey, EngineList } from '../../shared/configuration/types';
import type { CommandLineFormat } from './commandLineFormat';
import type { EngineEntry, LoadEntry, MemberEntry, ControllerEntry } from '../../shared/gossip/entryTypes';

/** The status page of a control node. */
export type ControlNodeStatus = Readonly<{
  keeper: string;
  standing: string;
  fleet: string;
  incarnation: number;
  membersRevision: number;
  members: Readonly<Record<string, ControlNodeMember>>;
  owners: Readonly<Record<string, Readonly<{ owner: string; epoch: string; revision: number }>>>;
  duties: Readonly<Record<string, Readonly<{ holder: string; term: number; leftMicroseconds: number }>>>;
  agents: readonly MemberEntry[];
  /** Its own replica of each key; missing if the control node runs an earlier build. */
  replica?: Readonly<{
    keys: Readonly<Record<string, Readonly<{ epoch: string; revision: number; leadsForMicroseconds: number | null }>>>;
    silentMicroseconds: Readonly<Record<string, number | null>>;
  }>;
}>;

/** The status page of an agent. */
export type AgentStatus = Readonly<{
  agent: string;
  fleet: string;
  ageMicroseconds: number | null;
  revisions: Readonly<Record<string, number>>;
  members: readonly MemberEntry[];
  /** The engine list in effect there; missing if the agent runs an earlier build. */
  listed?: EngineList['engines'];
  engines: readonly EngineEntry[];
  stewards: readonly ControllerEntry[];
  loads: readonly LoadEntry[];
  shards: readonly Readonly<{ holder: string; term: number; epoch: number; bootEpoch: string; committed: number }>[];
}>;

/** A stored document; nothing if none has been committed yet. */
export type StoredDocument = Readonly<{ kind: 'read'; revision: number; text: string }> | Readonly<{ kind: 'nothing' }>;

/** The statuses of the processes that answered, and the names of those that did not. */
export type FleetView = Readonly<{
  keepers: readonly ControlNodeStatus[];
  agents: readonly AgentStatus[];
  silent: readonly string[];
}>;

/** No process answered a request. */
export class Unreachable extends Error {}
/** A response, a document or a file that can't be used. */
export class UnusableInput extends Error {}

const isObject = (value: unknown): value is Readonly<Record<string, unknown>> =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

const isControlNodeStatus = (value: unknown): value is ControlNodeStatus =>
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

/** An HTTP response with its whole body. */
export type HttpAnswer = Readonly<{ status: number; text: string; headers: Readonly<Record<string, string>> }>;

/** HTTP client of the command line; each request has a time limit. */
export class FleetClient {
  public constructor(
    private readonly core: readonly string[],
    private readonly commandLineFormat: CommandLineFormat,
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

  /** Sends a request to each control node in turn and returns the first response other than 503. */
  public async requestControlNode(
    path: string,
    method: 'GET' | 'PUT' | 'PATCH' = 'GET',
    body?: string,
    headers: Readonly<Record<string, string>> = {},
  ): Promise<HttpAnswer> {
    let lastFailure = '';
    for (const address of this.core) {
      try {
        const answer = await this.http(address, path, method, body, headers);
        if (answer.status !== 503) return answer;
        lastFailure = `${address} says: ${answer.text.trim()}`;
      } catch (error) {
        lastFailure = (error as Error).message;
      }
    }
    throw new Unreachable(`the core cannot be reached (${lastFailure})`);
  }

  public async document(key: DocumentKey): Promise<StoredDocument> {
    const path = this.commandLineFormat.paths[key];
    if (path === undefined) throw new UnusableInput(`this fleet's core keeps no document ${key}`);
    const answer = await this.requestControlNode(path);
    // The content type is checked because a server without this page also answers 404, which says nothing about the document.
    if (answer.status === 404 && (answer.headers['content-type'] ?? '').startsWith('application/json'))
      return { kind: 'nothing' };
    const revision = answer.status === 200 ? this.commandLineFormat.revisionIn(answer.headers) : undefined;
    if (revision === undefined)
      throw new UnusableInput(`the core answers in a way this version does not know (status ${answer.status})`);
    return { kind: 'read', revision, text: answer.text };
  }

  /** Collects the status of all control nodes and agents that can be reached. */
  public async view(): Promise<FleetView> {
    const silent: string[] = [];
    const controlNodes = new Map<string, ControlNodeStatus>();
    const nodeAddresses = new Map<string, string>();
    const fetchStatus = async <Status>(
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
    const queryControlNodes = async (addresses: readonly string[]): Promise<void> => {
      const answers = await Promise.all(addresses.map((address) => fetchStatus(address, isControlNodeStatus, 2000)));
      for (const [index, status] of answers.entries()) {
        if (status === undefined) continue;
        controlNodes.set(status.keeper, status);
        nodeAddresses.set(status.keeper, addresses[index] ?? '');
      }
    };
    await queryControlNodes(this.core);
    const known = new Set(this.core);
    await queryControlNodes(
      [
        ...new Set(
          [...controlNodes.values()].flatMap(({ members }) =>
            Object.values(members).map(({ operatorsAddress }) => operatorsAddress),
          ),
        ),
      ].filter((address) => !known.has(address)),
    );
    const agentAddresses = new Set(
      [...controlNodes.values()].flatMap(({ agents }) =>
        agents.flatMap(({ pagesAddress }) => (pagesAddress === '' ? [] : [pagesAddress])),
      ),
    );
    const agents = new Map<string, AgentStatus>();
    /** Statuses of agents without an HTTP address come from the control nodes that they contacted recently. */
    const queryThroughControlNodes = async (names: readonly string[]): Promise<void> => {
      await Promise.all(
        names.map(async (name) => {
          for (const controlNode of controlNodes.values()) {
            if (!controlNode.agents.some((agent) => agent.name === name)) continue;
            const status = await this.fetchAgentThrough(nodeAddresses.get(controlNode.keeper) ?? '', name);
            if (status === undefined) continue;
            agents.set(name, status);
            return;
          }
          silent.push(`agent ${name}`);
        }),
      );
    };
    const queryAgents = async (addresses: readonly string[]): Promise<void> => {
      const answers = await Promise.all(addresses.map((address) => fetchStatus(address, isAgentStatus, 2000)));
      for (const status of answers) if (status !== undefined) agents.set(status.agent, status);
    };
    const agentsWithoutAddress = new Set(
      [...controlNodes.values()].flatMap(({ agents: known }) =>
        known.flatMap(({ name, pagesAddress }) => (pagesAddress === '' ? [name] : [])),
      ),
    );
    await queryAgents([...agentAddresses]);
    await queryThroughControlNodes([...agentsWithoutAddress]);
    // A second round is needed because agents know each other, but control nodes only the agents that contacted them recently.
    await queryAgents(
      [
        ...new Set(
          [...agents.values()].flatMap(({ members }) =>
            members
              .filter(({ state }) => state === 'alive' || state === 'suspect')
              .map(({ pagesAddress }) => pagesAddress),
          ),
        ),
      ].filter((address) => address !== '' && !agentAddresses.has(address)),
    );
    await queryThroughControlNodes(
      [
        ...new Set(
          [...agents.values()].flatMap(({ members }) =>
            members
              .filter(({ state, pagesAddress }) => pagesAddress === '' && (state === 'alive' || state === 'suspect'))
              .map(({ name }) => name),
          ),
        ),
      ].filter((name) => !agentsWithoutAddress.has(name)),
    );
    return { keepers: [...controlNodes.values()], agents: [...agents.values()], silent: [...new Set(silent)].sort() };
  }

  private async fetchAgentThrough(nodeAddress: string, name: string): Promise<AgentStatus | undefined> {
    try {
      const answer = await this.http(nodeAddress, `/agents/${encodeURIComponent(name)}`, 'GET', undefined, {}, 2000);
      const value: unknown = JSON.parse(answer.text);
      return answer.status === 200 && isAgentStatus(value) ? value : undefined;
    } catch {
      return undefined;
    }
  }
}
