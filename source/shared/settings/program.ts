import { Logs } from '../log/log';

export const Programs = {
  /** The value of `--NAME=VALUE` on the command line; empty: it is not there. */
  flag: (name: string, words: readonly string[] = process.argv): string => {
    const prefix = `--${name}=`;
    return words.find((word) => word.startsWith(prefix))?.slice(prefix.length) ?? '';
  },

  /** Runs a program; what stops it at the start is one sentence on stderr and a code that is not 0. */
  run: (program: string, start: () => Promise<void>, notices = true): void => {
    if (notices) Logs.enableDefault();
    // Why for all: where nobody listens this signal ends a program, and it only says that settings may have changed.
    process.on('SIGHUP', () => undefined);
    start().catch((error: unknown) => {
      const code = (error as { code?: string }).code;
      const sentence = code === 'EADDRINUSE' ? `the address is in use (${Logs.text(error)})` : Logs.text(error);
      process.stderr.write(`${program}: ${sentence}\n`);
      process.exit(1);
    });
  },

  /** SIGHUP: the settings may have changed. */
  onHup: (look: () => Promise<void>): void => {
    process.on('SIGHUP', () => void look());
  },

  /** SIGTERM and SIGINT: finish what was read, then leave; at the second limit, leave all the same. */
  onTerm: (limitMicroseconds: number, finish: () => Promise<void>): void => {
    let begun = false;
    const term = (): void => {
      if (begun) return;
      begun = true;
      setTimeout(() => process.exit(3), limitMicroseconds / 1000).unref();
      finish().then(
        () => process.exit(0),
        () => process.exit(1),
      );
    };
    process.on('SIGTERM', term);
    process.on('SIGINT', term);
  },
} as const;
