import type { EdgeProxy } from '../../edge-proxy/edgeProxy';
import type { AnswerSink } from '../../edge-proxy/path/order';
import { HashChains } from '../../shared/directory/hashChain';
import type { Refusal } from '../../shared/verdict/verdict';
import { Answers } from '../../stand-in-engine/standInEngine';
import type { SimProcess } from '../world/simProcess';
import type { World } from '../world/world';

export type SimKind = Readonly<{
  name: string;
  path: string;
  model: string;
  prefix: string;
  parts: number;
  resumable: boolean;
}>;

export type SimCall = {
  readonly nonce: string;
  readonly proxy: string;
  readonly kind: string;
  readonly tenant: string;
  readonly key: string;
  readonly model: string;
  readonly sentMicroseconds: number;
  status: number;
  verdict: string;
  code: string;
  retryAfterSeconds: number | undefined;
  text: string;
  whole: boolean;
  right: boolean;
  over: boolean;
  lastPartMicroseconds: number;
  endedMicroseconds: number;
};

export type ProxyHandle = Readonly<{ name: string; process: SimProcess; proxy: EdgeProxy }>;

const wordsIn = (text: string): string =>
  text
    .split('\n\n')
    .flatMap((event) =>
      event.startsWith('data: {')
        ? [
            (JSON.parse(event.slice(6)) as { choices: { delta: { content: string } }[] }).choices[0]?.delta.content ??
              '',
          ]
        : [],
    )
    .join('');

/** Callers of a simulated fleet. What they saw is theirs alone. */
export class SimCallers {
  public readonly calls: SimCall[] = [];
  private made = 0;

  public constructor(private readonly world: World) {}

  public call(handle: ProxyHandle, kind: SimKind, tenant: string, key: string): SimCall {
    this.made += 1;
    const nonce = `n${this.world.seed}-${this.made}`;
    const messages = [
      ...(kind.prefix === '' ? [] : [{ role: 'system', content: kind.prefix }]),
      { role: 'user', content: `nonce:${nonce} please` },
    ];
    const call: SimCall = {
      nonce,
      proxy: handle.name,
      kind: kind.name,
      tenant,
      key,
      model: kind.model,
      sentMicroseconds: this.world.nowMicroseconds,
      status: 0,
      verdict: '',
      code: '',
      retryAfterSeconds: undefined,
      text: '',
      whole: false,
      right: false,
      over: false,
      lastPartMicroseconds: 0,
      endedMicroseconds: 0,
    };
    this.calls.push(call);
    const gone: (() => void)[] = [];
    const finish = (whole: boolean): void => {
      if (call.over) return;
      call.over = true;
      call.whole = whole;
      call.right = wordsIn(call.text) === Answers.text(HashChains.canonicalPrompt(messages), kind.parts).join('');
      call.endedMicroseconds = this.world.nowMicroseconds;
    };
    handle.process.whenDead(() => finish(false));
    const refuse = (refusal: Refusal): void => {
      if (call.over) return;
      call.status = refusal.status;
      call.verdict = refusal.verdict;
      call.code = refusal.code;
      call.retryAfterSeconds = refusal.retryAfterSeconds;
      finish(true);
    };
    const answer: AnswerSink = {
      begun: () => call.status !== 0,
      gone: () => false,
      whenGone: (act) => void gone.push(act),
      head: ({ status, headers }) => {
        call.status = status;
        call.verdict = headers['postdrum-verdict'] ?? '';
      },
      part: (bytes) => {
        if (!call.over) {
          call.text += Buffer.from(bytes).toString('utf8');
          call.lastPartMicroseconds = this.world.nowMicroseconds;
        }
        return undefined;
      },
      end: () => finish(true),
      cut: () => finish(false),
      refuse,
    };
    const body = JSON.stringify({ model: kind.model, messages, stream: true, max_tokens: kind.parts });
    this.world.plan(100, () =>
      handle.process.enter(() => {
        const { proxy } = handle;
        const found = proxy.identifier.tenantOf(key);
        if (found.kind === 'refuse') return refuse(found.refusal);
        void proxy.handle(
          {
            id: `${nonce}-${this.world.random.name().slice(0, 8)}`,
            method: 'POST',
            path: kind.path,
            key,
            contentType: 'application/json',
            body,
            arrivedMicroseconds: 0,
          },
          answer,
        );
      }),
    );
    return call;
  }
}
