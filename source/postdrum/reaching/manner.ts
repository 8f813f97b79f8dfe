import { Blueprints, type Checked } from '../../shared/blueprint/check';
import type { Fault } from '../../shared/blueprint/document';
import type { Blueprint, DocumentKey } from '../../shared/blueprint/types';

/** How the operators of a fleet speak, as far as the command line must know. It decides nothing. */
export type Manner = Readonly<{
  /** Where each document is read; missing: the core of such a fleet does not keep it. */
  paths: Readonly<Partial<Record<DocumentKey, string>>>;
  /** The revision that an answer names; undefined: it should and does not. */
  revisionIn: (headers: Readonly<Record<string, string>>) => number | undefined;
  /** An operators' document that nobody has checked yet. */
  read: (text: string) => Checked<Blueprint>;
  /** Why this document could not follow the present one, whatever it says; undefined: there is none yet. */
  follows: (present: string | undefined, next: string) => readonly Fault[];
}>;

/** The product's own. */
export const ownManner: Manner = {
  paths: { blueprint: '/blueprint', engines: '/engines', 'core-members': '/core-members' },
  revisionIn: (headers) => {
    const revision = Number(/^"(\d+)"$/.exec(headers['etag'] ?? '')?.[1] ?? Number.NaN);
    return Number.isSafeInteger(revision) ? revision : undefined;
  },
  read: (text) => Blueprints.checkText('blueprint', text) as Checked<Blueprint>,
  follows: () => [],
};
