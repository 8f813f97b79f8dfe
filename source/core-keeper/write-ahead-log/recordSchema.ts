/** Schemas of the events in the write-ahead log, including the forms that earlier versions wrote. Records of later versions do not match. */
import { Type, type TProperties, type TSchema } from '@sinclair/typebox';
import { Schema } from '../../shared/schema/schema';
import { Count, Entry, Epoch, Incarnations, Key, Members, Name, Names, StoredEntry } from '../messages/sharedSchemas';
import type { ReplicaEvent } from './replicaState';

const eventSchema = (kind: ReplicaEvent['kind'], fields: TProperties): TSchema =>
  Type.Object({ kind: Type.Literal(kind), ...fields });

const StoredAccepted = Type.Union([Type.Object({ epoch: Epoch, entry: StoredEntry }), Type.Null()]);
const StoredCell = Type.Object({ promised: Epoch, accepted: StoredAccepted });
const StoredCells = Type.Object({
  blueprint: Type.Optional(StoredCell),
  engines: Type.Optional(StoredCell),
  'core-members': Type.Optional(StoredCell),
});
const DutyTerms = Type.Record(Type.String(), Type.Object({ term: Count, holder: Name }));
const snapshot = {
  firstMembers: Members,
  cells: StoredCells,
  duties: DutyTerms,
  known: Incarnations,
  dutyFloor: Type.Optional(Count),
  learnedMembers: Type.Optional(StoredAccepted),
};
const statusLiterals = (['empty', 'forming', 'joining', 'voting', 'replaced'] as const).map((status) =>
  Type.Literal(status),
);
const State = Type.Object({
  ...snapshot,
  standing: Type.Union(statusLiterals),
  fleet: Name,
  incarnation: Count,
  firstSeeds: Type.Optional(Names),
});

const eventSchemas: Readonly<Record<ReplicaEvent['kind'], TSchema>> = {
  firstStarted: eventSchema('firstStarted', { seeds: Names }),
  forming: eventSchema('forming', { fleet: Name, members: Members }),
  formed: eventSchema('formed', {}),
  joining: eventSchema('joining', { fleet: Name, incarnation: Count }),
  joined: eventSchema('joined', { frames: Type.Array(Type.Object(snapshot)) }),
  replaced: eventSchema('replaced', {}),
  knew: eventSchema('knew', { keeper: Name, incarnation: Count }),
  promised: eventSchema('promised', { key: Key, epoch: Epoch }),
  accepted: eventSchema('accepted', { key: Key, epoch: Epoch, entry: StoredEntry }),
  membersLearned: eventSchema('membersLearned', { epoch: Epoch, entry: Entry }),
  dutyGranted: eventSchema('dutyGranted', { duty: Name, term: Count, holder: Name }),
  dutiesForgotten: eventSchema('dutiesForgotten', { duties: Type.Array(Name) }),
  whole: eventSchema('whole', { state: State }),
};

const batch = new Schema(Type.Array(Type.Union(Object.values(eventSchemas))));

export const RecordSchema = {
  /** Whether a decoded record is a batch of known events, which were synced together. */
  isBatch: (body: unknown): body is readonly ReplicaEvent[] => batch.is(body),
} as const;
