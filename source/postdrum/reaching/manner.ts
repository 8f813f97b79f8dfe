import { Blueprints, type Checked } from '../../shared/blueprint/check';
import type { Fault } from '../../shared/blueprint/document';
import type { Blueprint, DocumentKey } from '../../shared/blueprint/types';

/** The operators' API and configuration format of a fleet, as far as the command line needs them. */
export type Manner = Readonly<{
  /** The path of each document; missing if the control nodes of such a fleet don't store it. */
  paths: Readonly<Partial<Record<DocumentKey, string>>>;
  /** The revision in the headers of a response; undefined if it is missing or invalid. */
  revisionIn: (headers: Readonly<Record<string, string>>) => number | undefined;
  /** Parses and checks an operators' document. */
  read: (text: string) => Checked<Blueprint>;
  /** The reasons why this document can't replace the current one; `present` is undefined if there is none yet. */
  follows: (present: string | undefined, next: string) => readonly Fault[];
}>;

/** The native API and format. */
export const ownManner: Manner = {
  paths: { blueprint: '/blueprint', engines: '/engines', 'core-members': '/core-members' },
  revisionIn: (headers) => {
    const revision = Number(/^"(\d+)"$/.exec(headers['etag'] ?? '')?.[1] ?? Number.NaN);
    return Number.isSafeInteger(revision) ? revision : undefined;
  },
  read: (text) => Blueprints.checkText('blueprint', text) as Checked<Blueprint>,
  follows: () => [],
};
