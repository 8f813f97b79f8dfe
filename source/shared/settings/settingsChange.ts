import { isDeepStrictEqual } from 'node:util';

type Fields = Readonly<Record<string, unknown>>;

/** The effect of changed settings on a running program. */
export type SettingsChange<Settings> = Readonly<{
  /** The settings that are now in effect. */
  settings: Settings;
  /** Names of the changed settings that are now in effect, and of those that need a restart. */
  taken: readonly string[];
  waiting: readonly string[];
}>;

/** Compares changed settings with those in effect. */
export const SettingsChanges = {
  /** Applies the fields that may change while a program runs, and leaves the rest unchanged. */
  apply: <Settings extends Fields>(
    before: Settings,
    after: Settings,
    changeable: readonly (keyof Settings & string)[],
  ): SettingsChange<Settings> => {
    const changed = [...new Set([...Object.keys(before), ...Object.keys(after)])].filter(
      (name) => !isDeepStrictEqual(before[name], after[name]),
    );
    const taken = changed.filter((name) => changeable.includes(name));
    return {
      settings: { ...before, ...Object.fromEntries(taken.map((name) => [name, after[name]])) },
      taken,
      waiting: changed.filter((name) => !taken.includes(name)),
    };
  },

  /** Describes the change for the log; undefined if no setting of this program changed. */
  describe: ({ taken, waiting }: Omit<SettingsChange<Fields>, 'settings'>): string | undefined => {
    const parts = [
      ...(taken.length > 0 ? [`in force now: ${taken.join(', ')}`] : []),
      ...(waiting.length > 0 ? [`only after a restart: ${waiting.join(', ')}`] : []),
    ];
    return parts.length > 0 ? `The settings have changed; ${parts.join('; ')}.` : undefined;
  },
} as const;
