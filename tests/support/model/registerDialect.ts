/** The smallest document that has versions: its text is the version, which must build on the present revision. */
import { Dialects, type Dialect } from '../../../source/shared/blueprint/dialect';
import type { Blueprint } from '../../../source/shared/blueprint/types';
import type { Checked } from '../../../source/shared/blueprint/check';

const anything = (): Checked<Blueprint> => ({ kind: 'good', value: {} as Blueprint });

export const registerDialect: Dialect = {
  name: 'register',
  read: anything,
  trusted: anything,
  apply: (present, order) => Dialects.applyOwn(present, order, anything),
};
