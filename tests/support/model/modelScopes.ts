/** Small systems that the explorer goes through, each with the trouble that one guarantee is for. */
import { Explorer, type Bounds, type Explored } from './explorer';
import { RegisterModel, type Call, type Scope } from './registerModel';

const change = (at: string, text: string, ifMatch: number): Call => ({ kind: 'change', at, text, ifMatch });
const read = (at: string): Call => ({ kind: 'read', at });
const split = (...sides: readonly string[]): Call => ({ kind: 'split', sides: sides.map((side) => [...side]) });
const heal: Call = { kind: 'heal' };
const rest: Call = { kind: 'rest' };
const replace = (at: string, gone: string, newcomer: string): Call => ({ kind: 'replace', at, gone, newcomer });

const three = ['a', 'b', 'c'];

export const modelScopes = {
  'two changes on one base, messages and power lost': {
    founders: three,
    newcomers: [],
    script: [change('a', 'one', 0), change('b', 'two', 0), read('c'), read('a')],
    powerLosses: 1,
    diskLosses: 0,
    messageLosses: 2,
  },
  'a disk lost': {
    founders: three,
    newcomers: [],
    script: [change('a', 'one', 0), read('b'), change('b', 'two', 1), read('c')],
    powerLosses: 1,
    diskLosses: 1,
    messageLosses: 1,
  },
  'one member replaced by a learner while changes go on': {
    founders: three,
    newcomers: ['d'],
    script: [change('a', 'one', 0), replace('b', 'c', 'd'), change('a', 'two', 1), read('b'), read('a')],
    powerLosses: 1,
    diskLosses: 0,
    messageLosses: 1,
  },
  'five members, two without power at once': {
    founders: ['a', 'b', 'c', 'd', 'e'],
    newcomers: [],
    script: [change('a', 'one', 0), change('b', 'two', 0), read('e')],
    powerLosses: 2,
    diskLosses: 0,
    messageLosses: 1,
  },
  'power lost on two of three right after a change': {
    founders: three,
    newcomers: [],
    script: [change('a', 'one', 0), { kind: 'power', at: 'a' }, { kind: 'power', at: 'b' }, rest, read('c')],
    powerLosses: 0,
    diskLosses: 0,
    messageLosses: 1,
  },
  'the disk of one of two copies lost, and the other copy out of reach': {
    founders: three,
    newcomers: [],
    script: [
      split('ab', 'c'),
      change('a', 'one', 0),
      heal,
      { kind: 'wipe', at: 'b' },
      rest,
      split('bc', 'a'),
      read('c'),
    ],
    powerLosses: 0,
    diskLosses: 0,
    messageLosses: 1,
  },
  'a wiped member and the one that lacks the change, apart from the last copy': {
    founders: three,
    newcomers: [],
    script: [
      split('ab', 'c'),
      change('a', 'one', 0),
      split('bc', 'a'),
      { kind: 'wipe', at: 'b' },
      rest,
      read('c'),
      heal,
      rest,
      read('c'),
    ],
    powerLosses: 0,
    diskLosses: 0,
    messageLosses: 1,
  },
  'a member out of reach right after a replacement began': {
    founders: three,
    newcomers: ['d'],
    script: [
      split('bc', 'a', 'd'),
      change('b', 'one', 0),
      heal,
      replace('b', 'c', 'd'),
      split('acd', 'b'),
      rest,
      read('a'),
    ],
    powerLosses: 0,
    diskLosses: 0,
    messageLosses: 0,
  },
  'a replaced member that does not know it, cut apart with half of the rest': {
    founders: three,
    newcomers: ['d'],
    script: [
      split('abd', 'c'),
      replace('a', 'c', 'd'),
      rest,
      split('bc', 'ad'),
      change('c', 'old', 0),
      change('a', 'new', 0),
      heal,
      rest,
      read('a'),
    ],
    powerLosses: 0,
    diskLosses: 0,
    messageLosses: 1,
  },
  'three seeds found a fleet': {
    founders: three,
    newcomers: [],
    script: [change('a', 'one', 0), rest, change('b', 'two', 0), rest, read('c')],
    powerLosses: 1,
    diskLosses: 0,
    messageLosses: 1,
    isFirstStart: true,
    stepsBeforeTimers: true,
  },
  'two seeds found a fleet without the third; one of them loses its disk and meets the third alone': {
    founders: three,
    newcomers: [],
    script: [
      split('ab', 'c'),
      rest,
      split('bc', 'a'),
      { kind: 'wipe', at: 'b' },
      rest,
      heal,
      rest,
      change('c', 'one', 0),
      rest,
      read('a'),
    ],
    powerLosses: 0,
    diskLosses: 0,
    messageLosses: 1,
    isFirstStart: true,
    stepsBeforeTimers: true,
  },
  'a member leaves that holds one of two copies, and the other copy is lost': {
    founders: three,
    newcomers: ['d'],
    script: [
      rest,
      split('acd', 'b'),
      change('a', 'one', 0),
      heal,
      { kind: 'leave', at: 'c' },
      { kind: 'wipe', at: 'a' },
      rest,
      read('b'),
    ],
    powerLosses: 0,
    diskLosses: 0,
    messageLosses: 0,
    stepsBeforeTimers: true,
  },
  'a member wiped while the list changes': {
    founders: three,
    newcomers: ['d'],
    script: [change('a', 'one', 0), replace('b', 'c', 'd'), read('a')],
    powerLosses: 1,
    diskLosses: 1,
    messageLosses: 0,
  },
  'power lost at any step while the log is rewritten as a snapshot': {
    founders: three,
    newcomers: [],
    script: [
      change('a', 'one', 0),
      change('a', 'two', 1),
      { kind: 'power', at: 'b' },
      { kind: 'power', at: 'c' },
      rest,
      read('c'),
    ],
    powerLosses: 1,
    diskLosses: 0,
    messageLosses: 0,
    rewriteBytes: 1,
    keepsUnsynced: true,
  },
} as const satisfies Readonly<Record<string, Scope>>;

export type ScopeName = keyof typeof modelScopes;

export const scopeNames = Object.keys(modelScopes) as readonly ScopeName[];

export const exploreScope = (name: ScopeName, bounds: Bounds): Promise<Explored> =>
  new Explorer(() => RegisterModel.begin(modelScopes[name]), bounds).explore();
