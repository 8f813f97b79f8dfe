import { judgesSeeTheirPart } from './support/sabotages';

judgesSeeTheirPart(0, 4);
