import type { Configuration, Engine, EngineList } from '../configuration/types';

export const Holders = {
  /**
   * All holders of cached prompt parts: the listed engines and stores, and the stores in the configuration. Apps hold
   * none. A listed holder takes precedence over a configured store of the same name.
   */
  of: (
    engines: EngineList | undefined,
    configuration: Configuration | undefined,
  ): Readonly<Record<string, Engine>> => ({
    ...Object.fromEntries(
      Object.entries(configuration?.stores ?? {}).map(([name, { address, zone }]): [string, Engine] => [
        name,
        { kind: 'store', service: name, address, zone, state: 'ready' },
      ]),
    ),
    ...Object.fromEntries(Object.entries(engines?.engines ?? {}).filter(([, { kind }]) => kind !== 'app')),
  }),
} as const;
