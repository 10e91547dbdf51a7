/**
 * Carries out the assignments of a scheduling round: writes them to the journal, then starts the runs.
 */
import type { Clock } from '../clock.js'
import { detach } from '../detach.js'
import { Stage } from '../journal/record.js'
import type { JobEntry, TaskEntry } from '../journal/journal-state.js'
import { Phase } from '../model/job.js'
import type { JobStatistics } from '../report/job-statistics.js'
import type { StartLog } from '../report/start-log.js'
import { WorkerFailure } from '../ports/fleet.js'
import { TicketStatus, type AdvisorClient } from './advisor-client.js'
import type { Assignment } from './dispatcher.js'
import type { JournalCommitter } from './journal-committer.js'
import type { Ledger } from './ledger.js'
import type { ReadySteps } from './ready-step.js'
import { Run } from './run.js'
import { membersOf } from './run-end.js'

/** Dependencies of the assigner. */
export interface AssignerOptions {
  readonly ledger: Ledger
  readonly readySteps: ReadySteps
  readonly advisorClient: AdvisorClient
  readonly committer: JournalCommitter
  readonly statistics: JobStatistics
  readonly clock: Clock
  readonly startLog: StartLog
  /** Called when a run is not started. */
  readonly onRunReleased: (run: Run, reason: string) => void
}

/** Assigns tasks to workers. */
export class Assigner {
  constructor (private readonly options: AssignerOptions) {}

  /** Writes assignments to the journal, then starts the runs. */
  async assign (assignments: readonly Assignment[]): Promise<void> {
    const { ledger, readySteps, committer, statistics } = this.options
    const decidedMs = this.options.clock.now()
    const runs: Run[] = []
    const changed = new Set<JobEntry>()
    const runNumbers = chooseRunNumbers(assignments)
    for (const { readyStep, task, session, charge, ticket } of assignments) {
      const { entry } = readyStep
      task.run = runNumbers.get(task)!
      task.stage = Stage.Assigned
      task.worker = session.id
      task.born = session.born
      entry.markChanged(task)
      if (entry.phase === Phase.Pending) entry.phase = Phase.Active
      const run = new Run(entry, task, task.run, session, charge, ticket, decidedMs)
      ledger.add(run)
      statistics.recordStart(run.stepName)
      runs.push(run)
      changed.add(entry)
    }
    for (const entry of changed) readySteps.refresh(entry)
    if (!await committer.commitJobs([...changed])) return
    this.start(runs, decidedMs)
  }

  private start (runs: readonly Run[], decidedMs: number): void {
    for (const run of runs) {
      // The ticket may have expired while the assignment was written to the journal.
      if (run.stopping === undefined && !this.hasValidTicket(run)) {
        this.options.onRunReleased(run, WorkerFailure.NoTicket)
        continue
      }
      this.recordStart(run, decidedMs)
      detach(run.session.start(run))
    }
  }

  private recordStart (run: Run, decidedMs: number): void {
    const { startLog, clock } = this.options
    startLog.record({
      step: run.stepName,
      task: Number(run.name.slice(run.stepName.length + 1)),
      run: run.number,
      worker: run.session.id,
      // For a job with a schedule, this is also counted from the acceptance, not from the due time.
      waitedMs: clock.wall() - run.entry.job.acceptedMs,
      journalMs: clock.now() - decidedMs,
      reportAgeMs: decidedMs - run.session.lastAnswerMs
    })
  }

  private hasValidTicket (run: Run): boolean {
    return run.ticket === '' || this.options.advisorClient.ticketStatus(run.stepName, run.session) === TicketStatus.Valid
  }
}

/** Returns the run number of each task. All members of a gang have the same run number. */
function chooseRunNumbers (assignments: readonly Assignment[]): Map<TaskEntry, number> {
  const runNumbers = new Map<TaskEntry, number>()
  for (const { readyStep, task } of assignments) {
    if (runNumbers.has(task)) continue
    const members = membersOf(readyStep.entry, task)
    const number = Math.max(...members.map((member) => member.run)) + 1
    for (const member of members) runNumbers.set(member, number)
  }
  return runNumbers
}
