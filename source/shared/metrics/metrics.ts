type Labels = Readonly<Record<string, string>>;

const escapeLabel = (value: string): string =>
  value.replaceAll('\\', '\\\\').replaceAll('"', '\\"').replaceAll('\n', '\\n');
const lineName = (name: string, labels: Labels): string => {
  const parts = Object.entries(labels).map(([label, value]) => `${label}="${escapeLabel(value)}"`);
  return parts.length === 0 ? name : `${name}{${parts.join(',')}}`;
};

/** Counts since start and values as of now, in the text format that the field's collectors read. */
export class Metrics {
  private readonly counts = new Map<string, number>();
  private readonly gauges: (() => readonly (readonly [string, Labels, number])[])[] = [];

  public count(name: string, labels: Labels = {}, by = 1): void {
    const line = lineName(name, labels);
    this.counts.set(line, (this.counts.get(line) ?? 0) + by);
  }

  public value(name: string, labels: Labels = {}): number {
    return this.counts.get(lineName(name, labels)) ?? 0;
  }

  public watch(read: () => readonly (readonly [string, Labels, number])[]): void {
    this.gauges.push(read);
  }

  public all(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.counts);
  }

  public page(): string {
    const now = this.gauges.flatMap((read) =>
      read().map(([name, labels, value]) => `${lineName(name, labels)} ${value}`),
    );
    return [...[...this.counts].map(([line, value]) => `${line} ${value}`), ...now].sort().join('\n') + '\n';
  }
}
