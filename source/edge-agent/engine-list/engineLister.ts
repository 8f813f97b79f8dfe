/** One entry of the list of engines that a service outside the fleet maintains. */
export type ListedEngine = Readonly<{
  /** A restarted engine is listed under a new name. */
  name: string;
  service: string;
  address: string;
  zone: string;
  state: 'ready' | 'draining';
  capacity: number;
  /** The weights of each model on the engine; empty: it serves no models. */
  weights: Readonly<Record<string, string>>;
  /** How much longer the engine is slow after its start; missing: unknown. */
  coldMicroseconds?: number;
}>;

/** `next` names the following page; undefined: this is the last page. */
export type ListPage = Readonly<{ engines: readonly ListedEngine[]; next: string | undefined }>;

/**
 * Client of the external service that lists the engines. Each call fetches one page. Undefined: no valid response within
 * the limit, which says nothing about the engines. `overRate`: the service rejected the call because of its rate limit.
 */
export interface EngineLister {
  readonly page: (
    from: string | undefined,
    limitMicroseconds: number,
    /** Address of the list service. */
    address: string,
  ) => Promise<ListPage | 'overRate' | undefined>;
}
