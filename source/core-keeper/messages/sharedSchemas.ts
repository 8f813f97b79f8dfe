/**
 * Schemas that several messages of control nodes share. The bounds on counts and lengths keep the cost of a message in
 * proportion to its size.
 */
import { Type, type TSchema } from '@sinclair/typebox';
import { TransportLimits } from '../../shared/effects/transport/transport';

const maxNameCharacters = 1_024;
const maxMembers = 256;
const maxDuties = 1 << 20;

export const Name = Type.String({ maxLength: maxNameCharacters });
export const Text = Type.String({ maxLength: TransportLimits.messageBytes });
export const Count = Type.Integer({ minimum: 0, maximum: Number.MAX_SAFE_INTEGER });
export const Key = Type.Union([Type.Literal('blueprint'), Type.Literal('engines'), Type.Literal('core-members')]);
export const Keys = Type.Array(Key, { maxItems: 3 });
export const Names = Type.Array(Name, { maxItems: maxMembers });

const mapSchema = <Value extends TSchema>(
  value: Value,
  maxEntries: number,
): ReturnType<typeof Type.Record<typeof Name, Value>> => Type.Record(Name, value, { maxProperties: maxEntries });

export const Member = Type.Object({ address: Name, operatorsAddress: Name, zone: Name });
export const Members = mapSchema(Member, maxMembers);
export const Epoch = Type.Object({ number: Count, keeper: Name });
export const Incarnations = mapSchema(Count, maxMembers);
export const Stamp = Type.Object({ fleet: Name, keeper: Name, incarnation: Count, known: Incarnations });
export const View = Type.Object({ revision: Count, sets: Type.Array(Names, { maxItems: 2 }), members: Members });

const Outcomes = Type.Object({
  records: Type.Uint8Array({ maxByteLength: TransportLimits.messageBytes }),
  forgottenBase: Type.Integer({ minimum: -1, maximum: Number.MAX_SAFE_INTEGER }),
});
const entryFields = {
  revision: Count,
  digest: Name,
  text: Text,
  base: Type.Optional(Text),
  learner: Type.Optional(Name),
};
export const Entry = Type.Object({ ...entryFields, outcomes: Outcomes });

/** Older builds, without the bounded history of outcomes, stored a full digest for each of the last changes. */
const LegacyChange = Type.Object({ id: Text, orderDigest: Name, revision: Count });
const LegacyEntry = Type.Object({ ...entryFields, changes: Type.Array(LegacyChange) });
export const StoredEntry = Type.Union([Entry, LegacyEntry]);

export const Accepted = Type.Object({ epoch: Epoch, entry: Entry });
export const MaybeAccepted = Type.Union([Accepted, Type.Null()]);

const Cell = Type.Object({ promised: Epoch, accepted: MaybeAccepted });
const Cells = Type.Object({
  blueprint: Type.Optional(Cell),
  engines: Type.Optional(Cell),
  'core-members': Type.Optional(Cell),
});
const DutyTerm = Type.Object({ term: Count, holder: Name });
const Duties = mapSchema(DutyTerm, maxDuties);

/** A snapshot as one replica sends it to another. Snapshots of older builds have no `dutyFloor` and no `learnedMembers`. */
export const Snapshot = Type.Object({
  firstMembers: Members,
  cells: Cells,
  duties: Duties,
  known: Incarnations,
  dutyFloor: Type.Optional(Count),
  learnedMembers: Type.Optional(MaybeAccepted),
});

const WeightsAge = Type.Object({
  weights: Name,
  previous: Type.Union([Name, Type.Null()]),
  ageMicroseconds: Type.Union([Type.Number(), Type.Null()]),
});
export const KeyStatement = Type.Object({
  key: Key,
  epoch: Epoch,
  revision: Count,
  digest: Name,
  decidedRevision: Count,
  decidedDigest: Name,
  owner: Name,
  weights: Type.Optional(mapSchema(WeightsAge, maxDuties)),
});
export const LeaderStatement = Type.Object({ key: Key, epoch: Epoch, revision: Count, digest: Name });

export const ChangeRequest = Type.Object({
  key: Key,
  form: Type.Union([Type.Literal('whole'), Type.Literal('pieces'), Type.Literal('weights')]),
  text: Text,
  ifMatch: Type.Integer(),
  id: Text,
  learner: Type.Optional(Name),
});
const Fault = Type.Object({ path: Text, fault: Text });
export const ChangeOutcome = Type.Union([
  Type.Object({ kind: Type.Literal('taken'), revision: Count }),
  Type.Object({
    kind: Type.Literal('refused'),
    reason: Type.Union(
      (['faults', 'revision', 'idUsed', 'noMajority', 'full'] as const).map((reason) => Type.Literal(reason)),
    ),
    faults: Type.Array(Fault),
    revision: Count,
  }),
  Type.Object({ kind: Type.Literal('unknown') }),
]);
export const Ballot = Type.Object({ duty: Name, candidate: Name, term: Count, leaseMicroseconds: Count });
export const Withdrawal = Type.Object({ duty: Name, candidate: Name, term: Count });
