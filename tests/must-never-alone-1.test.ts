import { eachFaultAlone } from './support/mustNever';

eachFaultAlone(0, 4);
