import { DemandSettings } from './demand/demandView';
import type { ProxySettings } from './edgeProxy';

/** What switching one mechanism off changes in the settings; everything else stays as it is. */
const switches = {
  /** Engines kept for short requests. */
  lanes: (settings) => ({ ...settings, lanes: { ...settings.lanes, headroomPerMille: 0 } }),
  /** Long requests placed one after the other by one agent for all. */
  desk: (settings) => ({ ...settings, deskMicroseconds: 0 }),
  /** One engine for all proxies that reads a part nobody keeps. */
  homes: (settings) => ({ ...settings, workPlacement: { ...settings.workPlacement, homeMicroseconds: 0 } }),
  /** Parts moved from an engine or a store that is known to keep them. */
  imports: (settings) => ({ ...settings, moves: { ...settings.moves, imports: false } }),
  /** Parts asked for where they may be, though nobody is known to keep them. */
  guesses: (settings) => ({ ...settings, moves: { ...settings.moves, guesses: false } }),
  /** A source named besides, in case the engine has dropped what it is known to keep. */
  spares: (settings) => ({ ...settings, moves: { ...settings.moves, spares: false } }),
  /** Engines left out because their answers fail. */
  ejection: (settings) => ({ ...settings, outliers: { ...settings.outliers, ejectPerMille: 0 } }),
  /** Prefixes counted, agreed on, and copied by demand. */
  demand: (settings) => ({ ...settings, demand: DemandSettings.off(settings.demand) }),
  /** Chance among engines that look alike, more of it among many proxies. */
  chance: (settings) => ({ ...settings, workPlacement: { ...settings.workPlacement, jitterMicroseconds: 0 } }),
  /** Engines preferred that a kept connection waits for. */
  connections: (settings) => ({ ...settings, workPlacement: { ...settings.workPlacement, connectionMicroseconds: 0 } }),
  /** Other engines preferred to those that are about to change their weights. */
  changesSoon: (settings) => ({
    ...settings,
    workPlacement: { ...settings.workPlacement, longChangesSoonMicroseconds: 0, shortChangesSoonMicroseconds: 0 },
  }),
} as const satisfies Readonly<Record<string, (settings: ProxySettings) => ProxySettings>>;

export type MechanismName = keyof typeof switches;

const names = Object.keys(switches) as readonly MechanismName[];

/** Mechanisms of a proxy that can be switched off one by one, to measure what each is worth. */
export const Mechanisms = {
  names,

  /** The names in a list with commas between them. Throws a sentence where one is no mechanism. */
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
    off.reduce<ProxySettings>((changed, name) => switches[name](changed), settings),
} as const;
