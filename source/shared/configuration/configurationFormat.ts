import { DocumentValidation, ConfigurationLimits, type ValidationResult } from './validation';
import { JsonEdits, type Fault } from './jsonDocument';
import type { Configuration } from './types';

/** whole: replaces the document. pieces: changes named values of it. weights: sets the intended weights of one model. */
export type ChangeForm = 'whole' | 'pieces' | 'weights';

/** The current text of the document; revision 0 and an empty text if no change has been committed yet. */
export type CurrentDocument = Readonly<{ revision: number; text: string }>;
/** A change that an operator requests on a given base revision. */
export type ConfigurationChange = Readonly<{ form: ChangeForm; text: string; ifMatch: number }>;

/** The result of applying a change: the text to write, no difference, or a refusal. */
export type ConfigurationChangeResult =
  | Readonly<{ kind: 'write'; text: string }>
  /** The document already has the requested content. */
  | Readonly<{ kind: 'same' }>
  | Readonly<{ kind: 'refused'; reason: 'faults' | 'revision'; faults: readonly Fault[] }>;

/**
 * The format of the operators' configuration document. Its functions are pure: control nodes apply changes with them,
 * and every process reads committed documents with them. The text that `apply` returns is stored in the register, and
 * all processes compare it by its digest.
 */
export interface ConfigurationFormat {
  readonly name: string;
  /** Parses and checks an unchecked text. */
  readonly read: (text: string) => ValidationResult<Configuration>;
  /** Parses a text that the control nodes have committed, identified by its digest, without checking it again. */
  readonly readTrusted: (text: string) => ValidationResult<Configuration>;
  readonly apply: (present: CurrentDocument, change: ConfigurationChange) => ConfigurationChangeResult;
}

const refusal = (reason: 'faults' | 'revision', faults: readonly Fault[]): ConfigurationChangeResult => ({
  kind: 'refused',
  reason,
  faults,
});

/** Applies edits of single values to a text and leaves its other bytes unchanged. */
const applyEdits = (present: string, change: string): ConfigurationChangeResult => {
  if (Buffer.byteLength(change) > ConfigurationLimits.maxTextBytes)
    return refusal('faults', [{ path: '', fault: 'too long' }]);
  const edits = JsonEdits.read(change);
  if (edits.kind === 'faulty') return refusal('faults', edits.faults);
  let text = present;
  for (const edit of edits.changes) {
    const changed = JsonEdits.apply(text, edit);
    if (changed.kind === 'faulty') return refusal('faults', changed.faults);
    text = changed.text;
  }
  return { kind: 'write', text };
};

/** Steps that several configuration formats share. */
export const ConfigurationFormats = {
  /** Applies a change to a document in the native JSON format; `check` reports the faults of the resulting text. */
  applyNative: (
    present: CurrentDocument,
    change: ConfigurationChange,
    check: (text: string) => ValidationResult<unknown>,
    links: (text: string) => readonly Fault[] = () => [],
  ): ConfigurationChangeResult => {
    if (change.ifMatch !== present.revision)
      return refusal('revision', [{ path: '', fault: `the present revision is ${present.revision}` }]);
    if (change.form === 'weights')
      return refusal('faults', [{ path: '', fault: 'weights stand in the document; change them there' }]);
    const next: ConfigurationChangeResult =
      change.form === 'pieces' ? applyEdits(present.text, change.text) : { kind: 'write', text: change.text };
    if (next.kind !== 'write') return next;
    const checked = check(next.text);
    if (checked.kind === 'faulty') return refusal('faults', checked.faults);
    const faults = links(next.text);
    return faults.length > 0 ? refusal('faults', faults) : next;
  },
} as const;

const readNative = (text: string): ValidationResult<Configuration> =>
  DocumentValidation.checkText('blueprint', text) as unknown as ValidationResult<Configuration>;

/** The native format: strict JSON with every field checked, stored byte for byte as it was sent. */
export const nativeConfigurationFormat: ConfigurationFormat = {
  name: 'own',
  read: readNative,
  readTrusted: readNative,
  apply: (present, change) => ConfigurationFormats.applyNative(present, change, readNative),
};

const cached = (
  read: (text: string) => ValidationResult<Configuration>,
  maxTexts: number,
): ((text: string) => ValidationResult<Configuration>) => {
  let cache: readonly Readonly<{ text: string; checked: ValidationResult<Configuration> }>[] = [];
  return (text) => {
    const found = cache.find((item) => item.text === text);
    if (found !== undefined) return found.checked;
    const checked = read(text);
    cache = [{ text, checked }, ...cache].slice(0, maxTexts);
    return checked;
  };
};

/**
 * Caches the results for the last few texts because one process receives the same text as a change, as a log entry and
 * as a document body. There are two caches, so that a text that was only trusted is never taken for a checked one.
 */
export const cachingConfigurationFormat = (format: ConfigurationFormat, maxTexts = 3): ConfigurationFormat => ({
  name: format.name,
  read: cached(format.read, maxTexts),
  readTrusted: cached(format.readTrusted, maxTexts),
  apply: format.apply,
});
