import assert from 'node:assert/strict';
import { existsSync, readFileSync } from 'node:fs';
import { request } from 'undici';
import path from 'node:path';
import type { EdgeMachine, FleetShape, LocalFleet } from '../../source/fleet-runner/machines/fleet';

export const key = 'koro-wharf-north-key-1';
export const chat = '/v1/chat/completions';

/** A small fleet of real processes for the first of the example blueprints. */
export const smallShape: FleetShape = {
  engines: 3,
  pool: 'rulebook',
  app: 'slips',
  weights: '2026-11',
  capacity: 8,
  mostBlocks: 100,
  blockCharacters: 1024,
  edges: 3,
  proxyWords: [],
  distFolder: path.resolve('dist'),
};

/** Waits, bounded, for something that a process does; every look is an answer of a process. */
export const until = async (what: string, look: () => Promise<boolean>, limitMilliseconds = 15_000): Promise<void> => {
  const end = performance.now() + limitMilliseconds;
  while (!(await look())) {
    if (performance.now() > end) assert.fail(`not in time: ${what}`);
    // Why: a look that asks nobody must still let the relays of this process go on.
    await new Promise((resolve) => setImmediate(resolve));
  }
};

export type Reply = Readonly<{
  status: number;
  headers: Readonly<Record<string, unknown>>;
  text: string;
  whole: boolean;
}>;

export const call = async (
  edge: EdgeMachine,
  body: unknown,
  headers: Readonly<Record<string, string>> = { authorization: `Bearer ${key}` },
  at = chat,
): Promise<Reply> => {
  try {
    const answer = await request(`http://${edge.proxyAddress}${at}`, {
      method: 'POST',
      body: typeof body === 'string' ? body : JSON.stringify(body),
      headers: { 'content-type': 'application/json', ...headers },
    });
    let text = '';
    try {
      for await (const chunk of answer.body as AsyncIterable<Buffer>) text += chunk.toString();
      return { status: answer.statusCode, headers: answer.headers, text, whole: true };
    } catch {
      return { status: answer.statusCode, headers: answer.headers, text, whole: false };
    }
  } catch {
    return { status: 0, headers: {}, text: '', whole: false };
  }
};

export const order = (nonce: string, model = 'slip-tag', parts = 3): unknown => ({
  model,
  stream: true,
  max_tokens: parts,
  messages: [{ role: 'user', content: `nonce:${nonce} please` }],
});

/** How often an order ran, by the engines' own records. */
export const ranTimes = (fleet: LocalFleet, nonce: string): number =>
  fleet.backEnds.reduce((sum, { record }) => {
    const lines = existsSync(record) ? readFileSync(record, 'utf8').split('\n') : [];
    return sum + lines.filter((line) => line.includes(`"nonce":"${nonce}"`)).length;
  }, 0);
