import { Agent, request } from 'undici';
import { HashChains } from '../shared/directory/hashChain';
import type { Clock } from '../shared/effects/clock/clock';
import { Randoms, type Random } from '../shared/effects/random/random';
import { Answers } from '../stand-in-engine/standInEngine';
import type { CallRecord, LoadKind, LoadPlan, LoadTenant } from './loadPlan';

const pickByShare = <Item extends Readonly<{ share: number }>>(
  items: readonly Item[],
  random: Random,
): Item | undefined => {
  let left = random.fraction() * items.reduce((sum, { share }) => sum + share, 0);
  return items.find(({ share }) => (left -= share) < 0) ?? items.at(-1);
};

export const Prompts = {
  /** The same words for the same kind and number, so that many callers share the prefix. */
  prefix: (kind: LoadKind, number: number): string => {
    const sentence = `Rule ${kind.name} ${number}: goods of this class are listed, weighed and declared before loading. `;
    return sentence.repeat(Math.ceil(kind.prefixCharacters / sentence.length)).slice(0, kind.prefixCharacters);
  },
  messages: (kind: LoadKind, number: number, nonce: string): readonly unknown[] => [
    ...(kind.prefixCharacters > 0 ? [{ role: 'system', content: Prompts.prefix(kind, number) }] : []),
    { role: 'user', content: `nonce:${nonce} please answer` },
  ],
  wordsIn: (text: string, stream: boolean): string => {
    if (!stream) {
      try {
        return (JSON.parse(text) as { choices: { message: { content: string } }[] }).choices[0]?.message.content ?? '';
      } catch {
        return '';
      }
    }
    return text
      .split('\n\n')
      .flatMap((event) => {
        if (!event.startsWith('data: {')) return [];
        try {
          return [
            (JSON.parse(event.slice(6)) as { choices: { delta: { content: string } }[] }).choices[0]?.delta.content ??
              '',
          ];
        } catch {
          return [];
        }
      })
      .join('');
  },
} as const;

/** Callers that keep a record of their own and believe nobody. */
export class StandInUserAgents {
  private readonly agent = new Agent({ connections: 256, pipelining: 1, headersTimeout: 60_000, bodyTimeout: 60_000 });
  private made = 0;

  public constructor(
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  public async run(plan: LoadPlan, record: (line: CallRecord) => void): Promise<void> {
    const one = async (): Promise<void> => {
      while (this.made < plan.orders) {
        this.made += 1;
        const kind = pickByShare(plan.kinds, this.random);
        const tenant = pickByShare(plan.tenants, this.random);
        const proxy = Randoms.pickOne(this.random, plan.proxies);
        if (kind === undefined || tenant === undefined || proxy === undefined) return;
        record(await this.call(proxy, kind, tenant, `${plan.seed}-${this.made}-${this.random.name().slice(0, 6)}`));
      }
    };
    await Promise.all(Array.from({ length: plan.atOnce }, one));
    await this.agent.close();
  }

  public async call(proxy: string, kind: LoadKind, tenant: LoadTenant, nonce: string): Promise<CallRecord> {
    const started = this.clock.nowMicroseconds();
    const messages = Prompts.messages(kind, Randoms.below(this.random, Math.max(1, kind.prefixes)), nonce);
    const body = JSON.stringify({ model: kind.model, messages, stream: kind.stream, max_tokens: kind.parts });
    let status = 0;
    let text = '';
    let verdict = '';
    let code = '';
    let retryAfter = '';
    let first = 0;
    let whole = false;
    try {
      const answer = await request(`http://${proxy}${kind.path}`, {
        method: 'POST',
        dispatcher: this.agent,
        body,
        headers: { 'content-type': 'application/json', authorization: `Bearer ${tenant.key}` },
      });
      status = answer.statusCode;
      verdict = String(answer.headers['postdrum-verdict'] ?? '');
      retryAfter = String(answer.headers['retry-after'] ?? '');
      for await (const chunk of answer.body as AsyncIterable<Buffer>) {
        if (first === 0) first = this.clock.nowMicroseconds() - started;
        text += chunk.toString('utf8');
      }
      whole = true;
      if (status >= 400) code = (JSON.parse(text) as { error?: { code?: string } }).error?.code ?? '';
    } catch {
      whole = false;
    }
    const expected = Answers.text(HashChains.canonicalPrompt(messages), kind.parts).join('');
    const right = kind.app ? text.includes(nonce) : Prompts.wordsIn(text, kind.stream) === expected;
    return {
      nonce,
      kind: kind.name,
      tenant: tenant.name,
      status,
      verdict,
      code,
      whole,
      right,
      firstPartMicroseconds: first,
      microseconds: this.clock.nowMicroseconds() - started,
      retryAfter,
    };
  }
}
