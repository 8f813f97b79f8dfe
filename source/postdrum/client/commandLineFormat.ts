import { DocumentValidation, type ValidationResult } from '../../shared/configuration/validation';
import type { Fault } from '../../shared/configuration/jsonDocument';
import type { Configuration, DocumentKey } from '../../shared/configuration/types';

/** The operators' API and configuration format of a fleet, as far as the command line needs them. */
export type CommandLineFormat = Readonly<{
  /** The path of each document; missing if the control nodes of such a fleet don't store it. */
  paths: Readonly<Partial<Record<DocumentKey, string>>>;
  /** The revision in the headers of a response; undefined if it is missing or invalid. */
  revisionIn: (headers: Readonly<Record<string, string>>) => number | undefined;
  /** Parses and checks an operators' document. */
  read: (text: string) => ValidationResult<Configuration>;
  /** The reasons why this document can't replace the current one; `present` is undefined if there is none yet. */
  replacementFaults: (present: string | undefined, next: string) => readonly Fault[];
}>;

/** The native API and format. */
export const nativeCommandLineFormat: CommandLineFormat = {
  paths: { blueprint: '/blueprint', engines: '/engines', 'core-members': '/core-members' },
  revisionIn: (headers) => {
    const revision = Number(/^"(\d+)"$/.exec(headers['etag'] ?? '')?.[1] ?? Number.NaN);
    return Number.isSafeInteger(revision) ? revision : undefined;
  },
  read: (text) => DocumentValidation.checkText('blueprint', text) as ValidationResult<Configuration>,
  replacementFaults: () => [],
};
