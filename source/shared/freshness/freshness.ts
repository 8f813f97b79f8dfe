import { createHash } from 'node:crypto';
import { DocumentValidation, type ValidationResult } from '../configuration/validation';
import { nativeConfigurationFormat, type ConfigurationFormat } from '../configuration/configurationFormat';
import type { Configuration, ControlNodeMembers, DocumentKey, EngineList } from '../configuration/types';
import { isDocumentKey } from '../configuration/types';
import type { Clock } from '../effects/clock/clock';
import {
  DocumentBodies,
  BodyEncoder,
  type DocumentBody,
  type EncodedBody,
  type DocumentPayload,
} from './documentBodies';

export type { DocumentBody as Body, EncodedBody as SentBody } from './documentBodies';

/** Which weights a service runs, which ones it ran before, and since when by this daemon's clock; null: unknown. */
export type WeightsSince = Readonly<{ weights: string; previous: string | null; sinceMicroseconds: number | null }>;

/** States that a revision was current at a moment in the past, which is given as an age instead of a time. */
export type Statement = Readonly<{
  key: DocumentKey;
  revision: number;
  digest: string;
  ageMicroseconds: number;
  weights: Readonly<
    Record<string, Readonly<{ weights: string; previous: string | null; ageMicroseconds: number | null }>>
  >;
}>;

type Confirmed = Readonly<{ revision: number; digest: string; asOfMicroseconds: number }>;
type Applied<Value> = Readonly<{
  revision: number;
  digest: string;
  text: string;
  value: Value;
  asOfMicroseconds: number;
}>;

export type DocumentValue = Configuration | EngineList | ControlNodeMembers;

export const Statements = {
  isList: (value: unknown): value is readonly Statement[] =>
    Array.isArray(value) &&
    value.length <= 8 &&
    value.every((item: unknown) => {
      const statement = item as Partial<Statement> | null;
      return (
        typeof statement === 'object' &&
        statement !== null &&
        isDocumentKey(statement.key) &&
        Number.isSafeInteger(statement.revision) &&
        typeof statement.digest === 'string' &&
        typeof statement.ageMicroseconds === 'number' &&
        statement.ageMicroseconds >= 0 &&
        typeof statement.weights === 'object'
      );
    }),
  isBody: DocumentBodies.is,
} as const;

/** Superseded revisions whose text is still accepted. */
const maxSupersededRevisions = 6;

/** The applied revision of one document, and how long ago it was known to be current. The revision never decreases. */
class DocumentFreshness {
  public applied: Applied<DocumentValue> | undefined;
  public wanted: Confirmed | undefined;
  /** Revisions that were wanted until a newer one became known; the newest last. */
  private superseded: readonly Confirmed[] = [];

  public constructor(
    private readonly key: DocumentKey,
    private readonly clock: Clock,
    private readonly dialect: ConfigurationFormat,
  ) {}

  public confirm(confirmed: Confirmed): void {
    const applied = this.applied;
    if (applied !== undefined && confirmed.revision < applied.revision) return;
    if (applied !== undefined && confirmed.revision === applied.revision && confirmed.digest === applied.digest) {
      if (confirmed.asOfMicroseconds > applied.asOfMicroseconds)
        this.applied = { ...applied, asOfMicroseconds: confirmed.asOfMicroseconds };
      return;
    }
    const wanted = this.wanted;
    if (
      wanted === undefined ||
      confirmed.revision > wanted.revision ||
      (confirmed.revision === wanted.revision && confirmed.asOfMicroseconds > wanted.asOfMicroseconds)
    ) {
      if (wanted !== undefined && wanted.revision < confirmed.revision)
        this.superseded = [...this.superseded, wanted].slice(-maxSupersededRevisions);
      this.wanted = confirmed;
    }
  }

  /** The confirmation of a decided revision that is newer than the applied one; undefined: none is known. */
  public confirmed(revision: number, digest: string): Confirmed | undefined {
    if (revision <= (this.applied?.revision ?? -1)) return undefined;
    const known = this.wanted === undefined ? this.superseded : [...this.superseded, this.wanted];
    return known.find((item) => item.revision === revision && item.digest === digest);
  }

  /** Applies a body whose revision is known to be decided, even if a newer revision is known by now. */
  public apply(body: EncodedBody): boolean {
    const confirmed = this.confirmed(body.revision, body.digest);
    if (confirmed === undefined) return false;
    const text = DocumentBodies.text(body);
    if (text === undefined) return false;
    if (createHash('sha256').update(text).digest('hex').slice(0, 32) !== confirmed.digest) return false;
    // The text is not checked again: the digest belongs to a text that the control nodes have checked and accepted.
    const checked: ValidationResult<DocumentValue> =
      this.key === 'blueprint' ? this.dialect.readTrusted(text) : DocumentValidation.checkText(this.key, text);
    if (checked.kind === 'faulty') return false;
    this.applied = { ...confirmed, text, value: checked.value };
    this.superseded = this.superseded.filter(({ revision }) => revision > confirmed.revision);
    if (this.wanted !== undefined && this.wanted.revision <= confirmed.revision) this.wanted = undefined;
    return true;
  }

  public ageMicroseconds(): number {
    return this.applied === undefined ? Infinity : this.clock.nowMicroseconds() - this.applied.asOfMicroseconds;
  }
}

/** One daemon's applied documents, and how long ago each was known to be current. */
export class Freshness {
  private readonly keys: Readonly<Record<DocumentKey, DocumentFreshness>>;
  private weightsByService: Readonly<Record<string, WeightsSince>> = {};
  private sinceRevision = -1;
  private readonly packer = new BodyEncoder();

  public constructor(
    private readonly clock: Clock,
    dialect: ConfigurationFormat = nativeConfigurationFormat,
    private readonly engineList: 'kept' | 'listed' = 'kept',
  ) {
    this.keys = {
      blueprint: new DocumentFreshness('blueprint', clock, dialect),
      engines: new DocumentFreshness('engines', clock, dialect),
      'core-members': new DocumentFreshness('core-members', clock, dialect),
    };
  }

  public get blueprint(): Configuration | undefined {
    return this.keys.blueprint.applied?.value as Configuration | undefined;
  }

  public get engines(): EngineList | undefined {
    return this.keys.engines.applied?.value as EngineList | undefined;
  }

  public get coreMembers(): ControlNodeMembers | undefined {
    return this.keys['core-members'].applied?.value as ControlNodeMembers | undefined;
  }

  public revision(key: DocumentKey): number {
    return this.keys[key].applied?.revision ?? 0;
  }

  public applied(key: DocumentKey): DocumentBody | undefined {
    const applied = this.keys[key].applied;
    return applied === undefined
      ? undefined
      : { key, revision: applied.revision, digest: applied.digest, text: applied.text };
  }

  /** The applied body as it is sent to peers. */
  public encodedBody(key: DocumentKey): EncodedBody | undefined {
    const body = this.applied(key);
    return body === undefined ? undefined : this.packer.encode(body);
  }

  /**
   * Payload of a document that is or was recently applied, for a receiver that has the texts with these digests. Undefined when it is
   * not kept here or is too short to be compressed.
   */
  public payload(digest: string, bases: readonly string[]): DocumentPayload | undefined {
    return this.packer.payload(digest, bases);
  }

  /** Long texts of a document that are or were recently applied here, the latest first. */
  public recentTexts(key: DocumentKey): readonly Readonly<{ digest: string; text: string }>[] {
    return this.packer.recentTexts(key);
  }

  /** Whether a body of this revision would be applied. */
  public wouldApply({
    key,
    revision,
    digest,
  }: Readonly<{ key: DocumentKey; revision: number; digest: string }>): boolean {
    return this.keys[key].confirmed(revision, digest) !== undefined;
  }

  /** How long ago the applied revision of one document was known to be current. */
  public ageOf(key: DocumentKey): number {
    return this.keys[key].ageMicroseconds();
  }

  /** How long ago the applied configuration and engine list were both known to be current. */
  public ageMicroseconds(): number {
    // Only the configuration counts: a list that an external service keeps may be unavailable while its engines stay in use.
    if (this.engineList === 'listed') return this.keys.blueprint.ageMicroseconds();
    return Math.max(this.keys.blueprint.ageMicroseconds(), this.keys.engines.ageMicroseconds());
  }

  public wanted(): readonly Readonly<{ key: DocumentKey; revision: number; digest: string }>[] {
    return (Object.entries(this.keys) as readonly (readonly [DocumentKey, DocumentFreshness])[]).flatMap(
      ([key, { wanted }]) => (wanted === undefined ? [] : [{ key, revision: wanted.revision, digest: wanted.digest }]),
    );
  }

  public weightsSince(service: string): WeightsSince | undefined {
    return this.weightsByService[service];
  }

  /**
   * Takes a statement of a peer. `askedMicroseconds` is when this daemon sent the request, so the time that the answer took only adds to
   * the age.
   */
  public applyStatement(statement: Statement, askedMicroseconds: number): void {
    const transitMicroseconds = this.clock.nowMicroseconds() - askedMicroseconds;
    this.keys[statement.key].confirm({
      revision: statement.revision,
      digest: statement.digest,
      asOfMicroseconds: askedMicroseconds - statement.ageMicroseconds,
    });
    if (statement.key !== 'blueprint' || statement.revision < this.sinceRevision) return;
    // What is known is kept: a daemon that knows of a later revision reports no weights for the one it applies, which does not mean that
    // there are none.
    if (Object.keys(statement.weights).length === 0) return;
    const same = statement.revision === this.sinceRevision;
    this.sinceRevision = statement.revision;
    const next: Record<string, WeightsSince> = {};
    for (const [service, reported] of Object.entries(statement.weights)) {
      const heard: WeightsSince = {
        weights: reported.weights,
        previous: reported.previous,
        sinceMicroseconds: reported.ageMicroseconds === null ? null : askedMicroseconds - reported.ageMicroseconds,
      };
      const before = this.weightsByService[service];
      next[service] =
        before !== undefined && before.weights === heard.weights
          ? mergeWeightsSince(before, heard, transitMicroseconds)
          : heard;
    }
    this.weightsByService = same ? { ...this.weightsByService, ...next } : next;
  }

  public applyBody(body: EncodedBody): boolean {
    const isApplied = this.keys[body.key].apply(body);
    const applied = isApplied ? this.applied(body.key) : undefined;
    if (applied !== undefined) this.packer.keep(applied);
    return isApplied;
  }

  public statements(): readonly Statement[] {
    const now = this.clock.nowMicroseconds();
    const weights = Object.fromEntries(
      Object.entries(this.weightsByService).map(([service, { weights: name, previous, sinceMicroseconds }]) => [
        service,
        { weights: name, previous, ageMicroseconds: sinceMicroseconds === null ? null : now - sinceMicroseconds },
      ]),
    );
    return (Object.entries(this.keys) as readonly (readonly [DocumentKey, DocumentFreshness])[]).flatMap(
      ([key, { applied }]) =>
        applied === undefined
          ? []
          : [
              {
                key,
                revision: applied.revision,
                digest: applied.digest,
                ageMicroseconds: now - applied.asOfMicroseconds,
                weights: key === 'blueprint' && applied.revision === this.sinceRevision ? weights : {},
              },
            ],
    );
  }
}

/**
 * Merges two reports on the same weights: a known time wins over an unknown one, and the earlier of two known times wins. A time is only
 * replaced by one that is earlier by more than the transit time of the report, because daemons pass reports on and each hop makes them
 * older by that time. The previous weights are taken from either report, because a control node that joined recently does not know them.
 */
const mergeWeightsSince = (known: WeightsSince, heard: WeightsSince, transitMicroseconds: number): WeightsSince => {
  const keepsKnown =
    heard.sinceMicroseconds === null ||
    (known.sinceMicroseconds !== null && known.sinceMicroseconds <= heard.sinceMicroseconds + transitMicroseconds);
  const [first, second] = keepsKnown ? [known, heard] : [heard, known];
  return { ...first, previous: first.previous ?? second.previous };
};
