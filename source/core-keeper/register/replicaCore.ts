import { DocumentValidation } from '../../shared/configuration/validation';
import type { ControlNodeMember, ControlNodeMembers } from '../../shared/configuration/types';
import type { Clock } from '../../shared/effects/clock/clock';
import type { Entry, Stamp } from '../../shared/register/types';
import { ReplicaStates, type ReplicaState } from '../write-ahead-log/replicaState';
import type { WriteAheadLog } from '../write-ahead-log/writeAheadLog';

/** A member list with the sets that each need a majority: one, or two while a member changes. */
export type MemberView = Readonly<{
  revision: number;
  sets: readonly (readonly string[])[];
  members: Readonly<Record<string, ControlNodeMember>>;
}>;

const membersIn = (text: string): ControlNodeMembers['members'] => {
  const checked = DocumentValidation.checkText('core-members', text);
  return checked.kind === 'good' ? (checked.value as ControlNodeMembers).members : {};
};

/** Derives a member view from an entry of `core-members`. */
export const MemberViews = {
  of: (entry: Entry): MemberView => {
    const present = membersIn(entry.text);
    const previous = entry.base === undefined ? undefined : membersIn(entry.base);
    return {
      revision: entry.revision,
      sets: previous === undefined ? [Object.keys(present)] : [Object.keys(present), Object.keys(previous)],
      members: { ...previous, ...present },
    };
  },
} as const;

/** The state shared by all parts of one replica: its name, its write-ahead log and its view of the members. */
export class ReplicaCore {
  private viewedEntry: Entry | undefined;
  private view: MemberView = { revision: 0, sets: [], members: {} };

  public constructor(
    public readonly name: string,
    public readonly ledger: WriteAheadLog,
    public readonly clock: Clock,
  ) {}

  public get state(): ReplicaState {
    return this.ledger.synced;
  }

  public stamp(): Stamp {
    const { fleet, incarnation, known } = this.state;
    return { fleet, keeper: this.name, incarnation, known };
  }

  public members(): MemberView {
    const newest = ReplicaStates.newestMembers(this.state);
    if (newest === null)
      return { revision: 0, sets: [Object.keys(this.state.firstMembers)], members: this.state.firstMembers };
    if (newest.entry !== this.viewedEntry) {
      this.view = MemberViews.of(newest.entry);
      this.viewedEntry = newest.entry;
    }
    return this.view;
  }

  public others(): readonly (readonly [string, ControlNodeMember])[] {
    return Object.entries(this.members().members).filter(([name]) => name !== this.name);
  }

  public votes(): boolean {
    return this.state.standing === 'voting';
  }
}
