import { judgesSeeTheirPart } from './support/sabotages';

judgesSeeTheirPart(3, 4);
