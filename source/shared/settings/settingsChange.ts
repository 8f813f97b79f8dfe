import { isDeepStrictEqual } from 'node:util';

type Fields = Readonly<Record<string, unknown>>;

/** What a running program makes of changed settings. */
export type SettingsChange<Settings> = Readonly<{
  /** In force from now on. */
  settings: Settings;
  /** What changed, parted by whether it may change while a program runs. */
  taken: readonly string[];
  waiting: readonly string[];
}>;

export const SettingsChanges = {
  /** Takes over the fields that may change while a program runs, and leaves the rest as they were. */
  of: <Settings extends Fields>(
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

  /** Undefined: nothing changed that this program looks at. */
  sentence: ({ taken, waiting }: Omit<SettingsChange<Fields>, 'settings'>): string | undefined => {
    const said = [
      ...(taken.length > 0 ? [`in force now: ${taken.join(', ')}`] : []),
      ...(waiting.length > 0 ? [`only after a restart: ${waiting.join(', ')}`] : []),
    ];
    return said.length > 0 ? `The settings have changed; ${said.join('; ')}.` : undefined;
  },
} as const;
