/**
 * What sessions with workers need of their owner.
 */
import type { Clock } from '../clock.js'
import type { EndedRun } from '../model/worker.js'
import type { Fleet, WorkerFailure } from '../ports/fleet.js'
import type { ZoneStatus } from '../zones/evacuations.js'
import type { Fences } from './fence.js'
import type { Run } from './run.js'
import type { Session } from './session.js'

/** What the owner provides to its sessions: settings, ports and callbacks. */
export interface SessionHost {
  /** Fencing tokens of the owner. */
  readonly fences: Fences
  /** Maximum duration of a lease on a worker. */
  readonly leaseMs: number
  readonly fleet: Fleet
  readonly clock: Clock
  /** Returns false if the store has not confirmed the ownership recently enough, or the owner is closed. */
  readonly mayAct: () => boolean
  /** Returns false if the store has not confirmed the ownership within `MAX_UNCONFIRMED_START_MS`, or the owner is closed. */
  readonly mayStart: () => boolean
  /** Availability zones to which nothing may be sent. */
  readonly zones: ZoneStatus
  /** Applies ended runs. Resolves to those that were applied, once the changes are in the journal. */
  readonly onRunsEnded: (session: Session, ended: readonly EndedRun[]) => Promise<readonly EndedRun[]>
  /** Called for a reported run that the session does not know. */
  readonly onUnknownRun: (session: Session, task: string, run: number) => void
  /** Called after the first report of an incarnation under this owner's fence. */
  readonly onAdopted: (session: Session) => void
  /** Called when runs are lost: their incarnation of the worker has ended, or the lease of the worker has expired. */
  readonly onRunsLost: (session: Session, runs: readonly Run[], reason: string) => void
  /** Called when a run is released for another reason: it has provably not started, or has ended without being reported. */
  readonly onRunReleased: (run: Run, reason: string) => void
  /**
   * Called once for a run that is kept although it is not running, because a start of it may still be carried out.
   *
   * @param reason how it is known that the run is not running
   * @param delayMs longest time for which the run is kept
   */
  readonly onReleaseDelayed: (run: Run, reason: string, delayMs: number) => void
  /** Called when a run is not started because of an evacuation; the run is to be released. */
  readonly onStartHeld: (run: Run, reason: string) => void
  /** Called when it is first confirmed to this owner that a run has started, also for a run of an earlier owner. */
  readonly onStarted: (run: Run) => void
  /** Called when the worker has seen a higher fencing token, so that another node owns the cell. */
  readonly onFenced: (session: Session) => void
  /** Called when the owner has no higher fencing token left for the worker. */
  readonly onFencesUsedUp: (session: Session) => void
  readonly onReachabilityChange: (session: Session, reachable: boolean, failure: WorkerFailure | undefined) => void
  /** Called before each report request, whether or not it renews the lease. */
  readonly onReportRequest: () => void
  /** Called when a newer incarnation of the worker is seen. Runs that are lost by that are reported before. */
  readonly onRestart: (session: Session, bornBefore: number) => void
  /** Called for positions of ended runs that the worker has not listed, although it lists a later one. */
  readonly onEndsSkipped: (session: Session, from: number, through: number) => void
  /** Called once for a confirmed run that nobody stops, and that a later complete report lists neither as running nor as ended. */
  readonly onRunMissing: (run: Run, sinceMs: number) => void
  /** Called when a missing run has provably ended. Something has acknowledged its end, which this owner has not read. */
  readonly onEndLost: (run: Run) => void
  /** Returns true if a later run of a run's task has started. */
  readonly hasLaterStarted: (run: Run) => boolean
  /** Called with an unexpected error in the handling of a report. Unless it is due to ended runs, the report counts as not answered. */
  readonly onReportFailed: (session: Session, error: unknown) => void
  /** Called when the worker has confirmed the stop of a run. */
  readonly onStopConfirmed: (run: Run, tookMs: number) => void
}
