import debug from 'debug';

const logFlag = '--log=';

export type Log = (sentence: string) => void;

export const Logs = {
  /** A fixed prefix for each part: postdrum:<part>. Short sentences, never a secret. */
  part: (part: string): Log => {
    const write = debug(`postdrum:${part}`);
    return (sentence) => write('%s', sentence);
  },
  /** Whether anybody reads a part's sentences. For those that cost something to make. */
  isOn: (part: string): boolean => debug.enabled(`postdrum:${part}`),
  /** What a person must see even where DEBUG is unset. Where no environment can be set, the flag `--log` says more. */
  enableDefault: (words: readonly string[] = process.argv): void => {
    const asked = words.find((word) => word.startsWith(logFlag))?.slice(logFlag.length);
    if (asked !== undefined) debug.enable(asked);
    else if (process.env['DEBUG'] === undefined) debug.enable('postdrum:*:notice');
  },
  text: (error: unknown): string => (error instanceof Error ? error.message : String(error)),
} as const;
