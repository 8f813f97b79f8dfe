import { DemandSettings } from './demand/demandView';
import type { ProxySettings } from './edgeProxy';

/** For each mechanism, the settings with it switched off; all other settings are unchanged. */
const disable = {
  /** Engines reserved for short requests. */
  lanes: (settings) => ({ ...settings, lanes: { ...settings.lanes, headroomPerMille: 0 } }),
  /** Long requests placed one after the other by a single scheduler for all proxies. */
  desk: (settings) => ({ ...settings, schedulerMicroseconds: 0 }),
  /** A default engine, the same for all proxies, that prefills a part no holder caches. */
  homes: (settings) => ({ ...settings, workPlacement: { ...settings.workPlacement, homeMicroseconds: 0 } }),
  /** Imports of parts from an engine or a store that is known to cache them. */
  imports: (settings) => ({ ...settings, partImports: { ...settings.partImports, imports: false } }),
  /** Imports from a holder that may cache the parts although none is known to. */
  guesses: (settings) => ({ ...settings, partImports: { ...settings.partImports, guessesSources: false } }),
  /** A fallback source in case the engine has evicted the parts that it is known to cache. */
  spares: (settings) => ({ ...settings, partImports: { ...settings.partImports, namesFallbacks: false } }),
  /** Ejection of engines whose responses fail. */
  ejection: (settings) => ({ ...settings, outliers: { ...settings.outliers, ejectPerMille: 0 } }),
  /** Counting of requested prefixes, and copies of them by demand. */
  demand: (settings) => ({ ...settings, demand: DemandSettings.off(settings.demand) }),
  /** Random choice among engines of similar cost, with a wider range among many proxies. */
  chance: (settings) => ({ ...settings, workPlacement: { ...settings.workPlacement, jitterMicroseconds: 0 } }),
  /** Preference for engines with an idle kept-alive connection. */
  connections: (settings) => ({ ...settings, workPlacement: { ...settings.workPlacement, connectionMicroseconds: 0 } }),
  /** Preference against engines that are about to change their weights. */
  changesSoon: (settings) => ({
    ...settings,
    workPlacement: { ...settings.workPlacement, longChangesSoonMicroseconds: 0, shortChangesSoonMicroseconds: 0 },
  }),
} as const satisfies Readonly<Record<string, (settings: ProxySettings) => ProxySettings>>;

export type MechanismName = keyof typeof disable;

const names = Object.keys(disable) as readonly MechanismName[];

/** Mechanisms of a proxy that can be switched off one by one, to measure what each is worth. */
export const Mechanisms = {
  names,

  /** Parses a comma-separated list of names. Throws an error for an unknown name. */
  parse: (text: string): readonly MechanismName[] =>
    text
      .split(',')
      .filter((word) => word !== '')
      .map((word) => {
        const found = names.find((name) => name === word);
        if (found === undefined) throw new Error(`there is no mechanism "${word}"; there are ${names.join(', ')}`);
        return found;
      }),

  /** The same settings with these mechanisms switched off. */
  without: (settings: ProxySettings, off: readonly MechanismName[]): ProxySettings =>
    off.reduce<ProxySettings>((changed, name) => disable[name](changed), settings),
} as const;
