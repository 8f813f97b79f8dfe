/** One entry of a list of engines that something outside the fleet keeps. */
export type ListedEngine = Readonly<{
  /** A new life is a new name. */
  name: string;
  service: string;
  address: string;
  zone: string;
  state: 'ready' | 'draining';
  capacity: number;
  /** The weights of each model on it; none: no engine that has models. */
  weights: Readonly<Record<string, string>>;
  /** How much longer it is slow after its start; missing: not said. */
  coldMicroseconds?: number;
}>;

/** `next` names the page that follows; undefined: this is the last one. */
export type ListPage = Readonly<{ engines: readonly ListedEngine[]; next: string | undefined }>;

/**
 * Where the engines are listed by something outside the fleet. One call, one page. Undefined: no sound answer within the
 * limit, which says nothing about engines. `overRate`: more calls came to the list than it takes.
 */
export interface EngineLister {
  readonly page: (
    from: string | undefined,
    limitMicroseconds: number,
    /** Where the list is. */
    address: string,
  ) => Promise<ListPage | 'overRate' | undefined>;
}
