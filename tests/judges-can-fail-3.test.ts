import { judgesSeeTheirPart } from './support/sabotages';

judgesSeeTheirPart(2, 4);
