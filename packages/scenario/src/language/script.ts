/**
 * A parsed scenario: its header and its steps, as plain values.
 */

/** Whom a step is about. */
export enum TargetKind {
  /** One process by its name; the platform's stand-in is `platform`. */
  Named = 'named',
  /** The node whose epoch the workers of an upstream hold. */
  Owner = 'owner',
  /** A running node in the zones of an upstream that does not own it. */
  Standby = 'standby',
  /** The worker that runs a job's task, or a service's first replica. */
  Host = 'host',
  /** All workers of an upstream. */
  Workers = 'workers',
  /** All nodes. */
  Nodes = 'nodes'
}

/** A process, or several. `name` is the process, upstream or job, by kind. */
export interface Target {
  readonly kind: TargetKind
  readonly name: string
}

/** What a step does. */
export enum Verb {
  Start = 'start',
  Timing = 'timing',
  Signal = 'signal',
  Link = 'link',
  Log = 'log',
  List = 'list',
  Leave = 'leave',
  Fault = 'fault',
  Apply = 'apply',
  Key = 'key',
  Submit = 'submit',
  Request = 'request',
  Cancel = 'cancel',
  Race = 'race',
  Load = 'load',
  Expect = 'expect'
}

/** What is sent to a process. */
export enum Signal {
  Stop = 'stop',
  Kill = 'kill',
  Freeze = 'freeze',
  Thaw = 'thaw'
}

/** State of a link between two processes. */
export enum Link {
  /** Connections are closed and new ones refused. */
  Cut = 'cut',
  /** Connections stay open and carry nothing; new ones open and carry nothing. */
  Silence = 'silence',
  /** Connections that are open carry nothing for good; new ones work. */
  Stall = 'stall',
  Heal = 'heal'
}

/** What a process is. */
export enum Role {
  Platform = 'platform',
  Worker = 'worker',
  Node = 'node'
}

/** Starts `count` processes of one kind. */
export interface Start {
  readonly verb: Verb.Start
  readonly role: Role
  readonly count: number
  /** Name of the node, or upstream of the workers. */
  readonly name: string
  readonly zone: string
  readonly rack: string
  readonly options: readonly Option[]
}

/** A named amount, e.g. `with slots 2`. */
export interface Option {
  readonly name: string
  readonly value: number
}

/** Sets one of the daemons' times for nodes started later. */
export interface Timing {
  readonly verb: Verb.Timing
  readonly name: string
  readonly ms: number
}

/** Sends a signal to a process; `alias` names it for later steps. */
export interface SignalStep {
  readonly verb: Verb.Signal
  readonly signal: Signal
  readonly target: Target
  readonly alias?: string
}

/** Changes the links between two processes, in both directions. */
export interface LinkStep {
  readonly verb: Verb.Link
  readonly link: Link
  readonly left: Target
  readonly right: Target
}

/** Switches a fault of the log service, for all nodes or for one. */
export interface LogStep {
  readonly verb: Verb.Log
  readonly fault: string
  readonly amount: number
  readonly target?: Target
}

/** Sets the lag of the list of VMs. */
export interface ListStep {
  readonly verb: Verb.List
  readonly lagMs: number
}

/** How a VM goes. */
export enum Departing {
  /** The platform's list says that it will be stopped. */
  Leaving = 'leaving',
  /** The platform's list says that it was terminated. */
  Gone = 'gone',
  /** An operator drains the worker. */
  Drained = 'drained',
  /** The platform's list no longer has it, though it goes on. */
  Forgotten = 'forgotten'
}

/** Makes a VM go. */
export interface Leave {
  readonly verb: Verb.Leave
  readonly state: Departing
  readonly target: Target
}

/** Switches a fault of workers. */
export interface Fault {
  readonly verb: Verb.Fault
  readonly fault: string
  readonly amount: number
  readonly target: Target
}

/** Publishes a manifest, or a set of changes, from a file next to the scenario. */
export interface Apply {
  readonly verb: Verb.Apply
  readonly file: string
  /** Name under which the outcome is counted. */
  readonly name?: string
  readonly at?: Target
  readonly expected: readonly string[]
}

/** Grants or withdraws a key. */
export interface KeyStep {
  readonly verb: Verb.Key
  readonly granted: boolean
  readonly key: string
  readonly team: string
  readonly at?: Target
}

/** What is common to jobs and requests. */
export interface Work {
  readonly count: number
  readonly name: string
  readonly queue: string
  readonly team?: string
  readonly key?: string
  readonly idempotencyKey?: string
  readonly tasks?: number
  readonly runMs?: number
  readonly cpuMilli?: number
  readonly fails: boolean
  readonly at?: Target
  readonly expected: readonly string[]
}

/** Submits durable jobs. */
export interface Submit extends Work { readonly verb: Verb.Submit }

/** Sends synchronous requests, all at once; answers are awaited unless `background`. */
export interface RequestStep extends Work {
  readonly verb: Verb.Request
  readonly background: boolean
}

/** Cancels a job or a group of jobs. */
export interface Cancel {
  readonly verb: Verb.Cancel
  readonly name: string
}

/** Runs steps at the same time. */
export interface Race {
  readonly verb: Verb.Race
  readonly steps: readonly Step[]
}

/** Starts a bounded background load of requests. */
export interface Load {
  readonly verb: Verb.Load
  readonly name: string
  readonly perSecond: number
  readonly queue: string
  readonly team: string
  readonly runMs: number
}

/** What is expected, and until or for how long. */
export interface Expect {
  readonly verb: Verb.Expect
  readonly condition: Condition
  readonly withinMs?: number
  readonly forMs?: number
}

/** What an expectation is about. */
export enum Subject {
  Job = 'job',
  Starts = 'starts',
  Request = 'request',
  Service = 'service',
  Gap = 'gap',
  Owner = 'owner',
  Ready = 'ready',
  Exited = 'exited',
  Revision = 'revision',
  Key = 'key',
  Load = 'load',
  Quiet = 'quiet',
  Adopted = 'adopted',
  Clean = 'clean',
  Stream = 'stream',
  Invariants = 'invariants'
}

/** One condition. The fields that are present depend on the subject. */
export interface Condition {
  readonly subject: Subject
  readonly name: string
  readonly states: readonly string[]
  readonly count?: number
  readonly comparison?: Comparison
  readonly ms?: number
  readonly target?: Target
  readonly negated?: boolean
}

/** How a count is compared. */
export enum Comparison {
  Exactly = 'exactly',
  AtMost = 'at-most',
  AtLeast = 'at-least'
}

/** What a step does, without its place. */
export type Action =
  | Start | Timing | SignalStep | LinkStep | LogStep | ListStep | Leave | Fault | Apply | KeyStep | Submit | RequestStep
  | Cancel | Race | Load | Expect

/** One step and the line it stands on. */
export interface Step {
  readonly line: number
  readonly action: Action
}

/** One scenario. */
export interface Scenario {
  readonly title: string
  readonly seed: number
  /** The scenario fails if it takes longer than this. */
  readonly limitMs: number
  /** Tells whether it runs with the tests, or only with all scenarios. */
  readonly slow: boolean
  /** The points of the invariants that it proves. */
  readonly proves: readonly string[]
  readonly steps: readonly Step[]
}

/** A mistake in a scenario's text. */
export interface Mistake {
  readonly line: number
  readonly column: number
  readonly detail: string
}
