import { SimBlueprints } from '../machines/simFleet';
import { BackEndFaults } from './backEndFaults';
import { CallerFaults } from './callerFaults';
import { ChangeFaults } from './changeFaults';
import { CoreFaults } from './coreFaults';
import { EdgeFaults } from './edgeFaults';
import { PlannedFaults } from './plannedFaults';
import type { Fault } from './trouble';
import { WorstCoreFaults } from './worstCoreFaults';

/** Those that days are drawn from at random, as they have been: more of them would change every day that was ever named by its seed. */
const drawnFaults = {
  ...CoreFaults,
  ...EdgeFaults,
  ...BackEndFaults,
  ...CallerFaults,
  ...ChangeFaults,
  ...PlannedFaults,
} as const;

export const Faults = { ...drawnFaults, ...WorstCoreFaults } as const;

export type FaultName = keyof typeof Faults;
export const faultNames = Object.keys(drawnFaults) as readonly FaultName[];
export const worstCoreFaultNames = Object.keys(WorstCoreFaults) as readonly FaultName[];
export const isFaultName = (name: string): name is FaultName => Object.hasOwn(Faults, name);
export const faultNamed = (name: FaultName): Fault => Faults[name];
export const plannedFaultNames = Object.keys(PlannedFaults) as readonly FaultName[];
export const isPlanned = (name: FaultName): boolean => Object.hasOwn(PlannedFaults, name);

export const firstBlueprint = SimBlueprints.initial;
