import { eachFaultAlone } from './support/mustNever';

eachFaultAlone(2, 4);
