import { createHash } from 'node:crypto';
import { Blueprints, type Checked } from '../blueprint/check';
import { ownDialect, type Dialect } from '../blueprint/dialect';
import type { Blueprint, CoreMembers, DocumentKey, EngineList } from '../blueprint/types';
import { isDocumentKey } from '../blueprint/types';
import type { Clock } from '../effects/clock/clock';
import { Bodies, BodyPacker, type Body, type SentBody, type Shipment } from './bodies';

export type { Body, SentBody } from './bodies';

export type WeightsSince = Readonly<{ weights: string; previous: string | null; sinceMicroseconds: number | null }>;

/** "Revision R was current when I asked", with the age of that moment instead of a time. */
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

export type DocumentValue = Blueprint | EngineList | CoreMembers;

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
  isBody: Bodies.is,
} as const;

/** Starting value, ours: so many revisions that newer ones have overtaken may still arrive. */
const mostPassedOver = 6;

/** What one daemon applies of one key, and how long ago that was known to be current. Never goes back. */
class KeyFreshness {
  public applied: Applied<DocumentValue> | undefined;
  public wanted: Confirmed | undefined;
  /** Revisions that were wanted until a newer one was known; the newest last. */
  private passedOver: readonly Confirmed[] = [];

  public constructor(
    private readonly key: DocumentKey,
    private readonly clock: Clock,
    private readonly dialect: Dialect,
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
        this.passedOver = [...this.passedOver, wanted].slice(-mostPassedOver);
      this.wanted = confirmed;
    }
  }

  /** What is known of a revision that is decided and newer than what is applied; undefined: nothing. */
  public confirmed(revision: number, digest: string): Confirmed | undefined {
    if (revision <= (this.applied?.revision ?? -1)) return undefined;
    const known = this.wanted === undefined ? this.passedOver : [...this.passedOver, this.wanted];
    return known.find((item) => item.revision === revision && item.digest === digest);
  }

  /** A body counts only when its revision is known to be decided, by whatever time a newer one is known too. */
  public give(body: SentBody): boolean {
    const confirmed = this.confirmed(body.revision, body.digest);
    if (confirmed === undefined) return false;
    const text = Bodies.text(body);
    if (text === undefined) return false;
    if (createHash('sha256').update(text).digest('hex').slice(0, 32) !== confirmed.digest) return false;
    // Why trusted: the digest is that of a text which keepers have checked and taken.
    const checked: Checked<DocumentValue> =
      this.key === 'blueprint' ? this.dialect.trusted(text) : Blueprints.checkText(this.key, text);
    if (checked.kind === 'faulty') return false;
    this.applied = { ...confirmed, text, value: checked.value };
    this.passedOver = this.passedOver.filter(({ revision }) => revision > confirmed.revision);
    if (this.wanted !== undefined && this.wanted.revision <= confirmed.revision) this.wanted = undefined;
    return true;
  }

  public ageMicroseconds(): number {
    return this.applied === undefined ? Infinity : this.clock.nowMicroseconds() - this.applied.asOfMicroseconds;
  }
}

export class Freshness {
  private readonly keys: Readonly<Record<DocumentKey, KeyFreshness>>;
  private since: Readonly<Record<string, WeightsSince>> = {};
  private sinceRevision = -1;
  private readonly packer = new BodyPacker();

  public constructor(
    private readonly clock: Clock,
    dialect: Dialect = ownDialect,
    private readonly engineList: 'kept' | 'listed' = 'kept',
  ) {
    this.keys = {
      blueprint: new KeyFreshness('blueprint', clock, dialect),
      engines: new KeyFreshness('engines', clock, dialect),
      'core-members': new KeyFreshness('core-members', clock, dialect),
    };
  }

  public get blueprint(): Blueprint | undefined {
    return this.keys.blueprint.applied?.value as Blueprint | undefined;
  }

  public get engines(): EngineList | undefined {
    return this.keys.engines.applied?.value as EngineList | undefined;
  }

  public get coreMembers(): CoreMembers | undefined {
    return this.keys['core-members'].applied?.value as CoreMembers | undefined;
  }

  public revision(key: DocumentKey): number {
    return this.keys[key].applied?.revision ?? 0;
  }

  public applied(key: DocumentKey): Body | undefined {
    const applied = this.keys[key].applied;
    return applied === undefined
      ? undefined
      : { key, revision: applied.revision, digest: applied.digest, text: applied.text };
  }

  /** What is applied, as it travels to others. */
  public sent(key: DocumentKey): SentBody | undefined {
    const body = this.applied(key);
    return body === undefined ? undefined : this.packer.sent(body);
  }

  /**
   * What to send of a document that is applied, or was lately, to one that has the texts of these digests; undefined: it is not
   * here, or too short to be packed.
   */
  public shipment(digest: string, bases: readonly string[]): Shipment | undefined {
    return this.packer.shipment(digest, bases);
  }

  /** Long texts of a key that are or were applied here recently, the latest first. */
  public lateTexts(key: DocumentKey): readonly Readonly<{ digest: string; text: string }>[] {
    return this.packer.texts(key);
  }

  /** Whether a body of this revision would be applied. */
  public wouldTake({
    key,
    revision,
    digest,
  }: Readonly<{ key: DocumentKey; revision: number; digest: string }>): boolean {
    return this.keys[key].confirmed(revision, digest) !== undefined;
  }

  /** How long ago what is applied of one key was known to be current. */
  public ageOf(key: DocumentKey): number {
    return this.keys[key].ageMicroseconds();
  }

  /** How long ago the applied blueprint and engine list were both known to be current. */
  public ageMicroseconds(): number {
    // Why the blueprint alone: a list that something outside keeps may be away, and engines go on being used.
    if (this.engineList === 'listed') return this.keys.blueprint.ageMicroseconds();
    return Math.max(this.keys.blueprint.ageMicroseconds(), this.keys.engines.ageMicroseconds());
  }

  public wanted(): readonly Readonly<{ key: DocumentKey; revision: number; digest: string }>[] {
    return (Object.entries(this.keys) as readonly (readonly [DocumentKey, KeyFreshness])[]).flatMap(
      ([key, { wanted }]) => (wanted === undefined ? [] : [{ key, revision: wanted.revision, digest: wanted.digest }]),
    );
  }

  public weightsSince(service: string): WeightsSince | undefined {
    return this.since[service];
  }

  /** `askedMicroseconds` is when this daemon asked; whatever came later on the way only adds to the age. */
  public hear(statement: Statement, askedMicroseconds: number): void {
    const onTheWay = this.clock.nowMicroseconds() - askedMicroseconds;
    this.keys[statement.key].confirm({
      revision: statement.revision,
      digest: statement.digest,
      asOfMicroseconds: askedMicroseconds - statement.ageMicroseconds,
    });
    if (statement.key !== 'blueprint' || statement.revision < this.sinceRevision) return;
    // Why kept: a daemon that has heard of a later revision names no weights for the one it applies, and that says nothing of them.
    if (Object.keys(statement.weights).length === 0) return;
    const same = statement.revision === this.sinceRevision;
    this.sinceRevision = statement.revision;
    const next: Record<string, WeightsSince> = {};
    for (const [service, word] of Object.entries(statement.weights)) {
      const heard: WeightsSince = {
        weights: word.weights,
        previous: word.previous,
        sinceMicroseconds: word.ageMicroseconds === null ? null : askedMicroseconds - word.ageMicroseconds,
      };
      const before = this.since[service];
      next[service] =
        before !== undefined && before.weights === heard.weights ? earlier(before, heard, onTheWay) : heard;
    }
    this.since = same ? { ...this.since, ...next } : next;
  }

  public give(body: SentBody): boolean {
    const isGiven = this.keys[body.key].give(body);
    const applied = isGiven ? this.applied(body.key) : undefined;
    if (applied !== undefined) this.packer.keep(applied);
    return isGiven;
  }

  public statements(): readonly Statement[] {
    const now = this.clock.nowMicroseconds();
    const weights = Object.fromEntries(
      Object.entries(this.since).map(([service, { weights: name, previous, sinceMicroseconds }]) => [
        service,
        { weights: name, previous, ageMicroseconds: sinceMicroseconds === null ? null : now - sinceMicroseconds },
      ]),
    );
    return (Object.entries(this.keys) as readonly (readonly [DocumentKey, KeyFreshness])[]).flatMap(
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
 * Of two words on the same weights: a known time before an unknown one, the earlier of two known ones. Why only one that is earlier
 * by more than the word was on its way: daemons tell each other what they were told, and each time it would get older by that. Which
 * weights were before is taken from either: a control node that joined lately does not know it.
 */
const earlier = (known: WeightsSince, heard: WeightsSince, onTheWayMicroseconds: number): WeightsSince => {
  const isKnown =
    heard.sinceMicroseconds === null ||
    (known.sinceMicroseconds !== null && known.sinceMicroseconds <= heard.sinceMicroseconds + onTheWayMicroseconds);
  const [first, second] = isKnown ? [known, heard] : [heard, known];
  return { ...first, previous: first.previous ?? second.previous };
};
