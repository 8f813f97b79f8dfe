import assert from 'node:assert/strict';
import type net from 'node:net';
import { test, type TestContext } from 'node:test';
import {
  ConnectionPoolDefaults,
  PooledSender,
  type ConnectionBounds,
} from '../source/shared/back-end/connection-pool/pooledSender';
import { ManualClock, RawEngine, sendRaw, type RawRequest } from './support/rawEngine';

const idOf = ({ text }: RawRequest): string => /\r\npostdrum-request-id: (\S+)/i.exec(text)?.[1] ?? '';
const refusalOf = (id: string): string =>
  `HTTP/1.1 503 Full\r\npostdrum-request-id: ${id}\r\npostdrum-not-run: 1\r\ncontent-length: 0\r\n\r\n`;
const successOf = (id: string): string =>
  `HTTP/1.1 200 OK\r\npostdrum-request-id: ${id}\r\ncontent-length: ${id.length}\r\n\r\n${id}`;

/** An engine that refuses the first attempt of each request, and repeats each refusal before its next response on that connection. */
class RepeatingEngine {
  public readonly ran: string[] = [];
  public readonly sender: PooledSender;
  private readonly attempted = new Set<string>();
  private readonly repeated = new Map<net.Socket, string>();

  private constructor(
    public readonly engine: RawEngine,
    bound: ConnectionBounds,
  ) {
    this.sender = new PooledSender(new ManualClock(), ConnectionPoolDefaults, () => bound);
  }

  public static async open(
    context: TestContext,
    bound: ConnectionBounds = { maxIdle: 16, maxOpen: 64 },
  ): Promise<RepeatingEngine> {
    const opened: RepeatingEngine = new RepeatingEngine(
      await RawEngine.open((socket, request) => opened.respond(socket, idOf(request))),
      bound,
    );
    context.after(() => opened.engine.close());
    return opened;
  }

  /** Sends one attempt of the request; returns the status and body of the response that the sender took for its own. */
  public async attempt(id: string): Promise<readonly [number | undefined, string]> {
    const { head, text } = await sendRaw(this.sender, this.engine.address, {
      id,
      headers: { 'postdrum-request-id': id },
      runsOnce: true,
    });
    return [head?.status, text];
  }

  private respond(socket: net.Socket, id: string): void {
    const repeated = this.repeated.get(socket) ?? '';
    this.repeated.delete(socket);
    const isFirst = !this.attempted.has(id);
    this.attempted.add(id);
    if (isFirst) this.repeated.set(socket, refusalOf(id));
    else this.ran.push(id);
    socket.write(repeated + (isFirst ? refusalOf(id) : successOf(id)));
  }
}

// TWICE: guards against a repeated refusal being taken for the response to the second attempt of the same request, which runs.
test('a refusal that comes once more, late, is not the response to the next attempt of the request', async (context) => {
  const engine = await RepeatingEngine.open(context);
  assert.deepEqual(await engine.attempt('q1'), [503, '']);
  assert.deepEqual(await engine.attempt('q1'), [200, 'q1']);
  assert.deepEqual(engine.ran, ['q1']);
});

// TWICE: the same where a third request has used the connection in between.
test('no later attempt of a request goes out on a connection that has carried it', async (context) => {
  const engine = await RepeatingEngine.open(context);
  for (let round = 0; round < 4; round += 1) for (const id of ['q1', 'q2', 'q3']) await engine.attempt(id);
  const uses = engine.engine.requests.map((request) => `${idOf(request)} on ${request.connection}`);
  assert.equal(new Set(uses).size, uses.length, uses.join(', '));
});

// TWICE: the same at the limit of connections, where the only idle one has carried the request.
test('at the limit of connections a fresh one replaces the one that has carried the request', async (context) => {
  const engine = await RepeatingEngine.open(context, { maxIdle: 1, maxOpen: 1 });
  assert.deepEqual(await engine.attempt('q1'), [503, '']);
  assert.deepEqual(await engine.attempt('q1'), [200, 'q1']);
  assert.equal(engine.sender.counts(engine.engine.address).conns, 1);
});

// TWICE: guards the memory of a connection, which must not forget a request that may still be tried again.
test('a connection that has carried as many requests as it remembers is closed', async (context) => {
  const engine = await RawEngine.open((socket, request) => socket.write(successOf(idOf(request))));
  context.after(() => engine.close());
  const sender = new PooledSender(new ManualClock());
  for (let number = 0; number < 2001; number += 1) {
    const id = `q${number}`;
    const { text } = await sendRaw(sender, engine.address, { id, headers: { 'postdrum-request-id': id } });
    assert.equal(text, id);
  }
  assert.deepEqual(
    [1, 2].map((number) => engine.requests.filter(({ connection }) => connection === number).length),
    [2000, 1],
  );
});
