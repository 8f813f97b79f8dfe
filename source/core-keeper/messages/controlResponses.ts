/** Schemas of the responses between control nodes. A response that does not match its schema counts as missing. */
import { Type, type TObject, type TProperties, type TSchema } from '@sinclair/typebox';
import type { RequestOutcome } from '../../shared/effects/transport/transport';
import { Schema, type ValueOf } from '../../shared/schema/schema';
import {
  ChangeRequest,
  ChangeOutcome,
  Count,
  Entry,
  Epoch,
  Key,
  Keys,
  KeyStatement,
  MaybeAccepted,
  Member,
  Members,
  Name,
  Names,
  Snapshot,
  Stamp,
  View,
} from './sharedSchemas';

const responseSchema = <Kind extends string, Fields extends TProperties>(
  kind: Kind,
  fields: Fields,
): Schema<TObject<Fields & { kind: ReturnType<typeof Type.Literal<Kind>> }>> =>
  new Schema(Type.Object({ ...fields, kind: Type.Literal(kind) })) as never;

const voteFields = { stamp: Stamp, membersRevision: Count };

const schemas = {
  noVote: responseSchema('noVote', {}),
  promised: responseSchema('promised', { ...voteFields, accepted: MaybeAccepted }),
  outranked: responseSchema('outranked', { epoch: Epoch, membersRevision: Count }),
  accepted: responseSchema('accepted', voteFields),
  full: responseSchema('full', {}),
  behind: responseSchema('behind', {}),
  accept: responseSchema('accept', { fleet: Name, membersRevision: Count, key: Key, epoch: Epoch, entry: Entry }),
  mayLead: responseSchema('mayLead', { hearsLeader: Type.Boolean(), membersRevision: Count }),
  words: responseSchema('words', { ...voteFields, view: View, words: Type.Array(KeyStatement, { maxItems: 3 }) }),
  hello: responseSchema('hello', {
    keeper: Name,
    member: Member,
    standing: Type.Union(
      (['empty', 'forming', 'joining', 'voting', 'replaced'] as const).map((each) => Type.Literal(each)),
    ),
    fleet: Name,
    firstMembers: Members,
    view: Type.Union([View, Type.Null()]),
    knownIncarnation: Count,
    isFirstStart: Type.Boolean(),
    led: Names,
  }),
  frame: responseSchema('frame', { frame: Snapshot }),
  changed: responseSchema('changed', { outcome: Type.Union([ChangeOutcome, Type.Null()]) }),
  fetchedChange: responseSchema('fetchedChange', { number: Count, order: ChangeRequest }),
  heard: responseSchema('heard', {
    promised: Type.Optional(Type.Array(Type.Object({ key: Key, epoch: Epoch }), { maxItems: 3 })),
    waiting: Type.Optional(Count),
    lacking: Type.Optional(Keys),
    hasStandby: Type.Optional(Type.Boolean()),
  }),
  silentMembers: responseSchema('silentMembers', { silent: Names }),
} as const;

type ResponseKind = keyof typeof schemas;
/** A response of one of the given kinds. */
export type ControlResponse<Kind extends ResponseKind> = {
  [Each in Kind]: ValueOf<(typeof schemas)[Each]['type']>;
}[Kind];

/** Checks the responses of control nodes against their schemas. */
export const ControlResponses = {
  kinds: Object.keys(schemas) as readonly ResponseKind[],

  schemaOf: (kind: ResponseKind): TSchema => schemas[kind].type,

  /** The response, if it is of one of these kinds and matches its schema. */
  read: <Kind extends ResponseKind>(
    response: RequestOutcome,
    ...kinds: readonly Kind[]
  ): ControlResponse<Kind> | undefined => {
    if (response.kind !== 'answered') return undefined;
    const { message } = response;
    const kind = kinds.find((each) => each === message.kind);
    if (kind === undefined) return undefined;
    const schema: Schema<(typeof schemas)[Kind]['type']> = schemas[kind] as never;
    return schema.is(message) ? (message as ControlResponse<Kind>) : undefined;
  },
} as const;
