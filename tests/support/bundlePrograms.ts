import { build } from 'esbuild';
import path from 'node:path';

/** Bundles programs as the build does, so that a test runs the current sources; `sources` maps program names to files. */
export const bundlePrograms = async (sources: Readonly<Record<string, string>>, folder: string): Promise<void> => {
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

/** Returns the source files of platform programs, by program name. */
export const platformProgramSources = (names: readonly string[]): Readonly<Record<string, string>> =>
  Object.fromEntries(names.map((name) => [name, path.join('platform', name, 'main.ts')]));
