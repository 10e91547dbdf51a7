/**
 * The syntax tree of a scenario: its header and its steps as plain objects.
 */

/** How a target names the processes that a step acts on. */
export enum TargetKind {
  /** One process by its name; the stand-in for the platform is `platform`. */
  Named = 'named',
  /** The node under whose epoch the workers of an upstream were adopted. */
  Owner = 'owner',
  /** The running nodes in the upstream's zones that are not the owner. */
  Standby = 'standby',
  /** The workers that run a task of a job, a request, or a replica of a service. */
  Host = 'host',
  /** All workers of an upstream. */
  Workers = 'workers',
  /** All running nodes. */
  Nodes = 'nodes'
}

/**
 * One or more processes. `name` is that of a process, upstream, job, request or service, depending on `kind`; it is empty for all
 * running nodes.
 */
export interface Target {
  readonly kind: TargetKind
  readonly name: string
}

/** The kinds of steps. */
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

/** Signals to processes. */
export enum Signal {
  Stop = 'stop',
  Kill = 'kill',
  Freeze = 'freeze',
  Thaw = 'thaw'
}

/** State of a link between two processes. */
export enum LinkState {
  /** Connections are closed and new ones refused. */
  Cut = 'cut',
  /** Connections stay open and new ones are accepted, but none carries data. */
  Silent = 'silence',
  /** Connections that are open now never carry data again; new ones work. */
  Stalled = 'stall',
  /** Connections are accepted and carry data. Stalled connections stay stalled. */
  Healthy = 'heal'
}

/** Roles of processes. */
export enum Role {
  Platform = 'platform',
  Worker = 'worker',
  Node = 'node'
}

/** Starts `count` processes of one role. */
export interface StartStep {
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

/** Changes one timing setting of the daemons that are started later. */
export interface TimingStep {
  readonly verb: Verb.Timing
  readonly name: string
  readonly ms: number
}

/**
 * Sends a signal to the processes of a target. With `alias`, only the first one gets it, and later steps may use the alias as
 * its name.
 */
export interface SignalStep {
  readonly verb: Verb.Signal
  readonly signal: Signal
  readonly target: Target
  readonly alias?: string
}

/** Changes the links between the processes of two targets, in both directions. */
export interface LinkStep {
  readonly verb: Verb.Link
  readonly link: LinkState
  readonly left: Target
  readonly right: Target
}

/** Injects a fault into the log service for all nodes or one node, removes all its faults, or sets one of its limits. */
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

/** How a VM becomes unavailable or is taken off the list. */
export enum VmDeparture {
  /** The platform's list reports that the VM will be terminated. */
  Leaving = 'leaving',
  /** The VM is terminated: a worker gets the fault `dead`, and the platform's list reports it. */
  Gone = 'gone',
  /** An operator drains the worker. */
  Drained = 'drained',
  /** The platform's list no longer contains the VM, although it still runs. */
  Forgotten = 'forgotten'
}

/** Makes VMs unavailable or takes them off the list. */
export interface LeaveStep {
  readonly verb: Verb.Leave
  readonly state: VmDeparture
  readonly target: Target
}

/** Injects a fault into workers, or removes their faults. */
export interface FaultStep {
  readonly verb: Verb.Fault
  readonly fault: string
  readonly amount: number
  readonly target: Target
}

/** Publishes a manifest from a file next to the scenario. Sections that the file does not contain stay as they are. */
export interface ApplyStep {
  readonly verb: Verb.Apply
  readonly file: string
  /** Name under which later conditions find the outcome. */
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

/** Fields that the steps Submit and Request share. */
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
export interface SubmitStep extends Work { readonly verb: Verb.Submit }

/** Sends synchronous requests concurrently; the step waits for the answers unless `background` is set. */
export interface RequestStep extends Work {
  readonly verb: Verb.Request
  readonly background: boolean
}

/** Cancels a job or a group of jobs. */
export interface CancelStep {
  readonly verb: Verb.Cancel
  readonly name: string
}

/** Runs steps concurrently. */
export interface RaceStep {
  readonly verb: Verb.Race
  readonly steps: readonly Step[]
}

/**
 * Starts a load of requests, or of jobs if the queue takes jobs, in the background. The rate is constant as long as fewer than
 * 500 of them are in flight.
 */
export interface LoadStep {
  readonly verb: Verb.Load
  readonly name: string
  readonly perSecond: number
  readonly queue: string
  readonly team: string
  readonly runMs: number
}

/** Expects a condition: now, within a time (`withinMs`) or throughout a time (`forMs`). */
export interface ExpectStep {
  readonly verb: Verb.Expect
  readonly condition: Condition
  readonly withinMs?: number
  readonly forMs?: number
}

/** Subjects of conditions. */
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

/** One condition. Its subject determines which optional fields are present. */
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

/** A step without its line number. */
export type Action =
  | StartStep | TimingStep | SignalStep | LinkStep | LogStep | ListStep | LeaveStep | FaultStep | ApplyStep | KeyStep
  | SubmitStep | RequestStep | CancelStep | RaceStep | LoadStep | ExpectStep

/** One step and its line number in the file. */
export interface Step {
  readonly line: number
  readonly action: Action
}

/** One scenario. */
export interface Scenario {
  readonly title: string
  readonly seed: number
  /** The scenario fails if it takes longer than this. The language calls it the limit. */
  readonly timeoutMs: number
  /** True if the tests skip the scenario. `npm run scenarios` runs it; with `-- --slow` it runs only such scenarios. */
  readonly slow: boolean
  /** Names of the invariants that the scenario proves. */
  readonly proves: readonly string[]
  readonly steps: readonly Step[]
}

/** A lexical or syntax error in the text of a scenario. */
export interface ParseError {
  readonly line: number
  readonly column: number
  readonly detail: string
}
