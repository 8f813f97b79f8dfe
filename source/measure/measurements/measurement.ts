export type Figure = Readonly<{
  /** What is counted, with its unit. */
  unit: string;
  text: string;
}>;

export type Taken = Readonly<Record<string, number>>;

export type Measurement = Readonly<{
  name: string;
  text: string;
  /** What grows. */
  sizeUnit: string;
  sizes: readonly number[];
  leastSize: number;
  mostSize: number;
  /** The size of the letter. */
  target: number;
  /** What stands in for the real thing. */
  hollow: string;
  figures: Readonly<Record<string, Figure>>;
  take: (size: number, seed: number) => Promise<Taken>;
}>;
