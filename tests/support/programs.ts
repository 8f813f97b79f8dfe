import { spawn, spawnSync } from 'node:child_process';

export type Ran = Readonly<{ code: number | null; out: string; error: string }>;

const environment = { ...process.env, DEBUG: '', DEBUG_COLORS: 'no' };

export const Programs = {
  run: (program: string, words: readonly string[]): Ran => {
    const done = spawnSync(process.execPath, [`dist/${program}.cjs`, ...words], {
      encoding: 'utf8',
      env: environment,
      timeout: 20_000,
    });
    return { code: done.status, out: done.stdout, error: done.stderr };
  },

  /** For programs that meet a listener of the test itself. */
  start: (program: string, words: readonly string[]): Promise<Ran> =>
    new Promise((resolve) => {
      const child = spawn(process.execPath, [`dist/${program}.cjs`, ...words], {
        stdio: ['ignore', 'pipe', 'pipe'],
        env: environment,
      });
      let out = '';
      let error = '';
      child.stdout.on('data', (chunk: Buffer) => (out += chunk.toString()));
      child.stderr.on('data', (chunk: Buffer) => (error += chunk.toString()));
      child.on('close', (code) => resolve({ code, out, error }));
    }),
} as const;
