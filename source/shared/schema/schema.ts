/** Schemas of messages and stored data. Their types derive from the schemas, and each value is checked where it enters. */
import type { Static, TSchema } from '@sinclair/typebox';
import { TypeCompiler, type TypeCheck } from '@sinclair/typebox/compiler';

/** The deeply read-only type of a received value. */
export type Received<Value> = Value extends Uint8Array
  ? Value
  : Value extends readonly (infer Item)[]
    ? readonly Received<Item>[]
    : Value extends object
      ? { readonly [Field in keyof Value]: Received<Value[Field]> }
      : Value;

/** The type of the values of a schema. */
export type ValueOf<Type extends TSchema> = Received<Static<Type>>;

/** A schema that is compiled on first use because a process receives only a few of the messages that it knows. */
export class Schema<Type extends TSchema> {
  private compiled: TypeCheck<Type> | undefined;

  public constructor(public readonly type: Type) {}

  public is(value: unknown): value is ValueOf<Type> {
    return this.check().Check(value);
  }

  /** Describes where and how a value first differs from the schema, without the value itself. */
  public fault(value: unknown): string {
    const first = this.check().Errors(value).First();
    return first === undefined ? '' : `${first.path === '' ? 'the whole' : first.path}: ${first.message}`;
  }

  private check(): TypeCheck<Type> {
    this.compiled ??= TypeCompiler.Compile(this.type);
    return this.compiled;
  }
}
