import { mkdtempSync, rmSync } from 'node:fs';
import http from 'node:http';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { platformConfigurationFormat } from '../../platform/operators/configurationFormat';
import { platformOperatorApiFormat } from '../../platform/operators/words';
import { Ports } from '../../source/fleet-runner/machines/child';
import { ControlNodeDefaults } from '../../source/core-keeper/controlNodeSettings';
import { startControlNode, type RunningControlNode } from '../../source/core-keeper/program/controlNodeProgram';
import { realClock } from '../../source/shared/effects/clock/realClock';
import { nodeDisk } from '../../source/shared/effects/disk/nodeDisk';
import { realRandom } from '../../source/shared/effects/random/random';
import { TcpTransport } from '../../source/shared/effects/transport/tcpTransport';
import type { Transport } from '../../source/shared/effects/transport/transport';

const names = ['node-1', 'node-2', 'node-3'] as const;
const callLimitMilliseconds = 1_000;
const answerMicroseconds = 850_000;

/** Status 0: no response within the limit. */
export type HttpResponse = Readonly<{ status: number; body: string }>;

/** Three control nodes in this process, on real sockets and disks. A test can isolate one of them from the others. */
export class HttpControlNodes {
  private readonly folder = mkdtempSync(path.join(tmpdir(), 'postdrum-http-nodes-'));
  private readonly runningNodes = new Map<string, RunningControlNode>();
  private readonly isolatedNodes = new Set<string>();
  private members: readonly Readonly<{ name: string; address: string; operatorsAddress: string }>[] = [];

  public get names(): readonly string[] {
    return names;
  }

  public async startAll(): Promise<void> {
    const ports = [...(await Ports.free('127.0.0.1', names.length * 2))];
    const address = (): string => `127.0.0.1:${ports.pop() ?? 0}`;
    this.members = names.map((name) => ({ name, address: address(), operatorsAddress: address() }));
    await Promise.all(names.map((name) => this.start(name, true)));
  }

  public async start(name: string, isFirstStart = false): Promise<void> {
    const member = this.member(name);
    const program = await startControlNode({
      effects: { clock: realClock, random: realRandom, transport: this.transportOf(name) },
      disk: await nodeDisk(path.join(this.folder, name)),
      settings: {
        ...ControlNodeDefaults,
        name,
        member: { address: member.address, operatorsAddress: member.operatorsAddress, zone: '' },
        seeds: this.members.map((other) => other.address),
        replaces: '',
        isFirstStart,
        joins: 'asks',
        isOnlyFleet: true,
        askMicroseconds: 600_000,
        heartbeatMicroseconds: 150_000,
        ownerSilentMicroseconds: 700_000,
        passMicroseconds: 1_200_000,
      },
      dialect: platformConfigurationFormat,
      operatorApiFormat: platformOperatorApiFormat,
      operatorApi: { address: member.operatorsAddress, answerMicroseconds, answerMicrosecondsPerByte: 1 },
      onDiskFailure: (sentence) => {
        throw new Error(sentence);
      },
    });
    this.runningNodes.set(name, program);
  }

  public async stop(name: string): Promise<void> {
    const program = this.runningNodes.get(name);
    this.runningNodes.delete(name);
    await program?.stop();
  }

  /** Isolates a node from the others; the returned function reconnects it. */
  public isolate(name: string): () => void {
    this.isolatedNodes.add(name);
    return () => void this.isolatedNodes.delete(name);
  }

  public async stopAll(): Promise<void> {
    this.isolatedNodes.clear();
    await Promise.all([...this.runningNodes.keys()].map((name) => this.stop(name)));
    rmSync(this.folder, { recursive: true, force: true });
  }

  /** One HTTP call with a time limit of a second, after which operators count a call as failed. */
  public call(
    name: string,
    method: string,
    headers: Readonly<Record<string, string>>,
    body = '',
  ): Promise<HttpResponse> {
    const [host, port] = this.member(name).operatorsAddress.split(':');
    return new Promise((resolve) => {
      const none = (): void => resolve({ status: 0, body: '' });
      const options = { host, port: Number(port), method, path: '/-/config', headers, agent: false };
      const request = http.request({ ...options, timeout: callLimitMilliseconds }, (response) => {
        let text = '';
        response.on('data', (chunk: Buffer) => (text += chunk.toString()));
        response.on('end', () => resolve({ status: response.statusCode ?? 0, body: text }));
        response.on('error', none);
      });
      request.on('timeout', () => request.destroy());
      request.on('error', none);
      request.end(body);
    });
  }

  private member(name: string): Readonly<{ name: string; address: string; operatorsAddress: string }> {
    const found = this.members.find((member) => member.name === name);
    if (found === undefined) throw new Error(`no node ${name}`);
    return found;
  }

  private transportOf(name: string): Transport {
    const inner = new TcpTransport(realClock);
    const isCut = (address: string): boolean =>
      this.isolatedNodes.has(name) ||
      this.members.some((other) => other.address === address && this.isolatedNodes.has(other.name));
    return {
      ask: async (address, message, limit) => {
        if (isCut(address)) return { kind: 'silent', reason: 'cut' };
        const answer = await inner.ask(address, message, limit);
        return isCut(address) ? { kind: 'silent', reason: 'cut' } : answer;
      },
      listen: inner.listen,
      close: inner.close,
    };
  }
}
