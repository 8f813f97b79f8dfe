/** The smallest document that has versions: its text is the version, which must build on the present revision. */
import {
  ConfigurationFormats,
  type ConfigurationFormat,
} from '../../../source/shared/configuration/configurationFormat';
import type { Configuration } from '../../../source/shared/configuration/types';
import type { ValidationResult } from '../../../source/shared/configuration/validation';

const anything = (): ValidationResult<Configuration> => ({ kind: 'good', value: {} as Configuration });

export const registerDialect: ConfigurationFormat = {
  name: 'register',
  read: anything,
  readTrusted: anything,
  apply: (present, order) => ConfigurationFormats.applyNative(present, order, anything),
};
