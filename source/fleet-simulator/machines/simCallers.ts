import type { EdgeProxy } from '../../edge-proxy/edgeProxy';
import type { ResponseSink } from '../../edge-proxy/pipeline/request';
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

/** How a caller behaves. `leaves`: goes away at some moment. Slow ones take their time over the body or each part. */
export type SimHabit = Readonly<{ kind: 'plain' | 'leaves' | 'slowReader' | 'slowSender'; stream: boolean }>;

export const plainHabit: SimHabit = { kind: 'plain', stream: true };

export type SimCall = {
  readonly nonce: string;
  readonly proxy: string;
  readonly kind: string;
  readonly resumable: boolean;
  readonly tenant: string;
  readonly key: string;
  readonly path: string;
  readonly model: string;
  readonly sentMicroseconds: number;
  /** When the whole body had been read by the daemon. */
  readMicroseconds: number;
  status: number;
  verdict: string;
  code: string;
  retryAfterSeconds: number | undefined;
  text: string;
  whole: boolean;
  right: boolean;
  over: boolean;
  /** The caller went away, or its daemon died: nobody answers for the rest. */
  left: boolean;
  daemonDied: boolean;
  lastPartMicroseconds: number;
  endedMicroseconds: number;
};

export type ProxyHandle = Readonly<{ name: string; process: SimProcess; proxy: EdgeProxy }>;

type StreamedEvent = Readonly<{ choices: readonly Readonly<{ delta: Readonly<{ content: string }> }>[] }>;
type WholeAnswer = Readonly<{ choices: readonly Readonly<{ message: Readonly<{ content: string }> }>[] }>;

const streamedWords = (text: string): string =>
  text
    .split('\n\n')
    .flatMap((event) =>
      event.startsWith('data: {')
        ? [(JSON.parse(event.slice(6)) as StreamedEvent).choices[0]?.delta.content ?? '']
        : [],
    )
    .join('');

const wholeWords = (text: string): string => {
  try {
    return (JSON.parse(text) as WholeAnswer).choices[0]?.message.content ?? '';
  } catch {
    return '';
  }
};

/** Callers of a simulated fleet. What they saw is theirs alone. */
export class SimCallers {
  public readonly calls: SimCall[] = [];
  private made = 0;

  public constructor(private readonly world: World) {}

  public call(handle: ProxyHandle, kind: SimKind, tenant: string, key: string, habit: SimHabit = plainHabit): SimCall {
    this.made += 1;
    const { world } = this;
    const nonce = `n${world.seed}-${this.made}`;
    const messages = [
      ...(kind.prefix === '' ? [] : [{ role: 'system', content: kind.prefix }]),
      { role: 'user', content: `nonce:${nonce} please` },
    ];
    const call: SimCall = {
      nonce,
      proxy: handle.name,
      kind: kind.name,
      resumable: kind.resumable,
      tenant,
      key,
      path: kind.path,
      model: kind.model,
      sentMicroseconds: world.nowMicroseconds,
      readMicroseconds: Infinity,
      status: 0,
      verdict: '',
      code: '',
      retryAfterSeconds: undefined,
      text: '',
      whole: false,
      right: false,
      over: false,
      left: false,
      daemonDied: false,
      lastPartMicroseconds: 0,
      endedMicroseconds: 0,
    };
    this.calls.push(call);
    const gone: (() => void)[] = [];
    const words = habit.stream ? streamedWords : wholeWords;
    const finish = (whole: boolean): void => {
      if (call.over) return;
      call.over = true;
      call.whole = whole;
      call.right = words(call.text) === Answers.text(HashChains.canonicalPrompt(messages), kind.parts).join('');
      call.endedMicroseconds = world.nowMicroseconds;
    };
    handle.process.whenDead(() => {
      if (!call.over) call.daemonDied = true;
      finish(false);
    });
    const refuse = (refusal: Refusal): void => {
      if (call.over) return;
      call.status = refusal.status;
      call.verdict = refusal.verdict;
      call.code = refusal.code;
      call.retryAfterSeconds = refusal.retryAfterSeconds;
      finish(true);
    };
    const answer: ResponseSink = {
      begun: () => call.status !== 0,
      gone: () => call.left,
      onClientGone: (act) => void (call.left ? act() : gone.push(act)),
      head: ({ status, headers }) => {
        call.status = status;
        call.verdict = headers['postdrum-verdict'] ?? '';
      },
      part: (bytes) => {
        if (call.over) return undefined;
        call.text += Buffer.from(bytes).toString('utf8');
        call.lastPartMicroseconds = world.nowMicroseconds;
        if (habit.kind !== 'slowReader') return undefined;
        return new Promise((resolve) =>
          world.plan(Math.floor(world.random.fraction() * 150_000), () => handle.process.enter(resolve)),
        );
      },
      end: () => finish(true),
      cut: () => finish(false),
      refuse,
    };
    if (habit.kind === 'leaves')
      world.plan(Math.floor(world.random.fraction() * 400_000), () => {
        if (call.over) return;
        call.left = true;
        finish(false);
        handle.process.enter(() => gone.splice(0).forEach((act) => act()));
      });
    const body = JSON.stringify({ model: kind.model, messages, stream: habit.stream, max_tokens: kind.parts });
    const bodyTakes = habit.kind === 'slowSender' ? Math.floor(world.random.fraction() * 1_500_000) : 0;
    world.plan(100, () =>
      handle.process.enter(() => {
        if (call.left) return;
        const { proxy } = handle;
        const found = proxy.identifier.tenantOf(key);
        if (found.kind === 'refuse') return refuse(found.refusal);
        world.plan(bodyTakes, () =>
          handle.process.enter(() => {
            if (call.left) return;
            call.readMicroseconds = world.nowMicroseconds;
            void proxy.handle(
              {
                id: `${nonce}-${world.random.name().slice(0, 8)}`,
                method: 'POST',
                path: kind.path,
                key,
                contentType: 'application/json',
                body,
                arrivedMicroseconds: handle.process.clock.nowMicroseconds(),
              },
              answer,
            );
          }),
        );
      }),
    );
    return call;
  }
}
