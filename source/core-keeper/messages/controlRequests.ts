/** Schemas of the requests that a control node accepts. */
import { Type, type TObject, type TProperties, type TSchema } from '@sinclair/typebox';
import type { Message } from '../../shared/effects/transport/transport';
import { Schema, type ValueOf } from '../../shared/schema/schema';
import {
  Ballot,
  ChangeRequest,
  ChangeOutcome,
  Count,
  Entry,
  Epoch,
  Key,
  Keys,
  LeaderStatement,
  Member,
  Members,
  Name,
  Withdrawal,
} from './sharedSchemas';

/** One agent requests leases for many engines at once. */
const maxBallots = 65_536;
const maxKnownDigestCharacters = 4_096;

/** The fleet that the sender belongs to; left out while the sender does not know it. */
const OptionalFleet = Type.Optional(Name);

const requestSchema = <Kind extends string, Fields extends TProperties>(
  kind: Kind,
  fields: Fields,
): Schema<TObject<Fields & { kind: ReturnType<typeof Type.Literal<Kind>>; fleet: typeof OptionalFleet }>> =>
  new Schema(Type.Object({ fleet: OptionalFleet, ...fields, kind: Type.Literal(kind) })) as never;

/** A request that only members of the same fleet send. */
const fleetRequestSchema = <Kind extends string, Fields extends TProperties>(
  kind: Kind,
  fields: Fields,
): Schema<TObject<Fields & { kind: ReturnType<typeof Type.Literal<Kind>>; fleet: typeof Name }>> =>
  new Schema(Type.Object({ ...fields, fleet: Name, kind: Type.Literal(kind) })) as never;

const roundFields = { membersRevision: Count, key: Key, epoch: Epoch };
const newMemberFields = { name: Name, member: Member };
const changeFields = { order: ChangeRequest };

const schemas = {
  hello: requestSchema('hello', { asker: Name }),
  form: fleetRequestSchema('form', { members: Members }),
  frame: fleetRequestSchema('frame', { keeper: Name, incarnation: Count, membersRevision: Count }),
  prepare: fleetRequestSchema('prepare', roundFields),
  accept: fleetRequestSchema('accept', { ...roundFields, entry: Entry }),
  confirm: fleetRequestSchema('confirm', { ...roundFields, revision: Count }),
  owners: fleetRequestSchema('owners', { owner: Name, words: Type.Array(LeaderStatement, { maxItems: 3 }) }),
  ownerLeaves: requestSchema('ownerLeaves', { owner: Name }),
  words: requestSchema('words', {
    own: Type.Optional(Type.Unknown()),
    known: Type.Optional(Type.String({ maxLength: maxKnownDigestCharacters })),
  }),
  body: requestSchema('body', { key: Key, digest: Name }),
  ballots: requestSchema('ballots', {
    ballots: Type.Array(Ballot, { maxItems: maxBallots }),
    membersRevision: Type.Optional(Count),
  }),
  withdraw: requestSchema('withdraw', { ballots: Type.Array(Withdrawal, { maxItems: maxBallots }) }),
  change: requestSchema('change', changeFields),
  relayChange: requestSchema('relayChange', changeFields),
  passChange: requestSchema('passChange', changeFields),
  fetchChange: fleetRequestSchema('fetchChange', {
    keys: Keys,
    after: Count,
    done: Type.Optional(Type.Object({ outcome: Type.Union([ChangeOutcome, Type.Null()]) })),
  }),
  entry: requestSchema('entry', { key: Key }),
  replace: requestSchema('replace', { ...newMemberFields, gone: Name }),
  takeIn: requestSchema('takeIn', newMemberFields),
  memberLeaves: fleetRequestSchema('memberLeaves', { keeper: Name }),
  mayLead: fleetRequestSchema('mayLead', { key: Key, candidate: Name, reason: Type.Optional(Name) }),
  silentMembers: requestSchema('silentMembers', {}),
  news: requestSchema('news', { own: Type.Optional(Type.Unknown()) }),
  newsMore: requestSchema('newsMore', {}),
  ping: requestSchema('ping', {}),
} as const;

type RequestKind = keyof typeof schemas;
/** A request of one of the given kinds. */
export type ControlRequest<Kind extends RequestKind = RequestKind> = {
  [Each in Kind]: ValueOf<(typeof schemas)[Each]['type']>;
}[Kind];

/** A request that has passed its schema, or the reason why it was refused. */
export type ParsedRequest =
  | Readonly<{ kind: 'good'; request: ControlRequest }>
  | Readonly<{ kind: 'refused'; requestKind: RequestKind | 'unknown'; fault: string }>;

const isRequestKind = (kind: string): kind is RequestKind => Object.hasOwn(schemas, kind);

/** Checks incoming requests against their schemas. */
export const ControlRequests = {
  kinds: Object.keys(schemas) as readonly RequestKind[],

  schemaOf: (kind: RequestKind): TSchema => schemas[kind].type,

  /** Checks a message from another process. */
  read: (message: Message): ParsedRequest => {
    if (!isRequestKind(message.kind)) return { kind: 'refused', requestKind: 'unknown', fault: 'no such message' };
    const schema: Schema<(typeof schemas)[RequestKind]['type']> = schemas[message.kind] as never;
    return schema.is(message)
      ? { kind: 'good', request: message }
      : { kind: 'refused', requestKind: message.kind, fault: schema.fault(message) };
  },
} as const;
