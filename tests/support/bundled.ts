import { build } from 'esbuild';
import path from 'node:path';

/** Bundles programs into a folder as the build does, so that a test starts what is there now: by name, each one's source. */
export const bundled = async (sources: Readonly<Record<string, string>>, folder: string): Promise<void> => {
  await build({
    entryPoints: { ...sources },
    outdir: folder,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    outExtension: { '.js': '.cjs' },
    external: ['msgpackr-extract'],
    mainFields: ['module', 'main'],
    logLevel: 'warning',
  });
};

/** The platform's programs of these names. */
export const platformSources = (names: readonly string[]): Readonly<Record<string, string>> =>
  Object.fromEntries(names.map((name) => [name, path.join('platform', name, 'main.ts')]));
