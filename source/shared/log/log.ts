import debug from 'debug';

const logFlag = '--log=';

/** Writes one line to a log channel. */
export type Log = (line: string) => void;

/** Log channels, based on the debug package. */
export const Logs = {
  /** A log with the channel name postdrum:<part>. Lines are short and never contain secrets. */
  channel: (part: string): Log => {
    const write = debug(`postdrum:${part}`);
    return (line) => write('%s', line);
  },
  /** Whether the channel of a part is enabled, for lines that are expensive to build. */
  isOn: (part: string): boolean => debug.enabled(`postdrum:${part}`),
  /** Enables the notice channels if DEBUG is unset. The flag `--log` selects channels where no environment can be set. */
  enableDefault: (words: readonly string[] = process.argv): void => {
    const pattern = words.find((word) => word.startsWith(logFlag))?.slice(logFlag.length);
    if (pattern !== undefined) debug.enable(pattern);
    else if (process.env['DEBUG'] === undefined) debug.enable('postdrum:*:notice');
  },
  /** The message of an error of any type. */
  errorMessage: (error: unknown): string => (error instanceof Error ? error.message : String(error)),
} as const;
