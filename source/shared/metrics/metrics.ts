type Labels = Readonly<Record<string, string>>;

const escapeLabel = (value: string): string =>
  value.replaceAll('\\', '\\\\').replaceAll('"', '\\"').replaceAll('\n', '\\n');
const seriesName = (name: string, labels: Labels): string => {
  const parts = Object.entries(labels).map(([label, value]) => `${label}="${escapeLabel(value)}"`);
  return parts.length === 0 ? name : `${name}{${parts.join(',')}}`;
};

/** Counters since start and current gauges, rendered in the Prometheus text format. */
export class Metrics {
  private readonly counts = new Map<string, number>();
  private readonly gauges: (() => readonly (readonly [string, Labels, number])[])[] = [];

  public count(name: string, labels: Labels = {}, by = 1): void {
    const series = seriesName(name, labels);
    this.counts.set(series, (this.counts.get(series) ?? 0) + by);
  }

  public value(name: string, labels: Labels = {}): number {
    return this.counts.get(seriesName(name, labels)) ?? 0;
  }

  public addGauges(read: () => readonly (readonly [string, Labels, number])[]): void {
    this.gauges.push(read);
  }

  public counters(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.counts);
  }

  public render(): string {
    const now = this.gauges.flatMap((read) =>
      read().map(([name, labels, value]) => `${seriesName(name, labels)} ${value}`),
    );
    return [...[...this.counts].map(([series, value]) => `${series} ${value}`), ...now].sort().join('\n') + '\n';
  }
}
