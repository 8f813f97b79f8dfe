import { eachFaultAlone } from './support/mustNever';

eachFaultAlone(1, 4);
