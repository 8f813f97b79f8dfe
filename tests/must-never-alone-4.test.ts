import { eachFaultAlone } from './support/mustNever';

eachFaultAlone(3, 4);
