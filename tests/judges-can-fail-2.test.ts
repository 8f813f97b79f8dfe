import { judgesSeeTheirPart } from './support/sabotages';

judgesSeeTheirPart(1, 4);
