import { Logs } from '../log/log';

/** Start, signals and flags that all programs share. */
export const Programs = {
  /** The value of `--NAME=VALUE` on the command line; empty if it is missing. */
  flag: (name: string, words: readonly string[] = process.argv): string => {
    const prefix = `--${name}=`;
    return words.find((word) => word.startsWith(prefix))?.slice(prefix.length) ?? '';
  },

  /** Runs a program; if it fails to start, it prints one line to stderr and exits with code 1. */
  run: (program: string, start: () => Promise<void>, notices = true): void => {
    if (notices) Logs.enableDefault();
    // Every program handles SIGHUP because it terminates a process without a handler, and here it only requests a reload of the settings.
    process.on('SIGHUP', () => undefined);
    start().catch((error: unknown) => {
      const code = (error as { code?: string }).code;
      const message =
        code === 'EADDRINUSE' ? `the address is in use (${Logs.errorMessage(error)})` : Logs.errorMessage(error);
      process.stderr.write(`${program}: ${message}\n`);
      process.exit(1);
    });
  },

  /** Calls `look` on SIGHUP, which signals that the settings may have changed. */
  onReload: (reload: () => Promise<void>): void => {
    process.on('SIGHUP', () => void reload());
  },

  /**
   * On SIGTERM and SIGINT, finishes accepted work and exits; exits with code 3 when the limit has passed, and logs then
   * what `remaining` says is unfinished.
   */
  onShutdown: (limitMicroseconds: number, finish: () => Promise<void>, remaining?: () => string): void => {
    let stopping = false;
    const term = (): void => {
      if (stopping) return;
      stopping = true;
      setTimeout(() => {
        Logs.channel('stop:notice')(
          `The shutdown reached its limit${remaining === undefined ? '' : `: ${remaining()}`}.`,
        );
        process.exit(3);
      }, limitMicroseconds / 1000).unref();
      finish().then(
        () => process.exit(0),
        () => process.exit(1),
      );
    };
    process.on('SIGTERM', term);
    process.on('SIGINT', term);
  },
} as const;
