/**
 * The part "takeover": measures @fireflymount/control, the scheduler in which one owner serves the whole cell and the records are
 * kept in a store. It measures, for several numbers of jobs, how long the next owner takes to rebuild its state from the store
 * before it can own the cell. (The other parts measure the daemons and their scheduling policy, where each shard has an owner
 * and a stream in the log.)
 */
import { encodeJob, encodeJobEnd, Stage, type JobEnd } from '@fireflymount/control/journal/record'
import { JobEntry, JournalState } from '@fireflymount/control/journal/journal-state'
import { Phase, type Job, type Step } from '@fireflymount/control/model/job'
import { ReadySteps } from '@fireflymount/control/owner/ready-step'
import { Ledger } from '@fireflymount/control/owner/ledger'
import type { KeyedRecord, StoredRecord } from '@fireflymount/control/ports/store'
import { Part, type Report } from './report.js'

/** Numbers of jobs in the store. The largest exceeds the 42,500 jobs that arrive in six hours at 170,000 jobs a day. */
const JOB_COUNTS: readonly number[] = [500, 5000, 50_000]
/** One job in this many is open; the store keeps the ends of completed jobs for callers. */
const JOBS_PER_OPEN_JOB = 10
const STEPS_PER_JOB = 2
const TASKS_PER_STEP = 6
const JOB_PAYLOAD = 'x'.repeat(150)
const WORKER_ID = 'i-0123456789'
/** Wall-clock time of the tasks' starts in the records. */
const TASK_STARTED_MS = 1_700_000_000_000
const BYTES_PER_MB = 1_000_000

interface TakeoverResult {
  readonly jobs: number
  readonly records: number
  readonly megabytes: number
  /** Time to apply the records to an empty state. */
  readonly foldMs: number
  /** Time to compute the ready steps of all jobs, with their waiting tasks. */
  readonly demandsMs: number
}

/** Measures how long the next owner needs to rebuild its state. */
export class TakeoverPart extends Part {
  readonly name = 'takeover'
  readonly title = 'Takeover of the cell from the store'

  async measure (): Promise<Report> {
    const results = JOB_COUNTS.map(measureTakeover)
    return {
      results,
      tables: [{
        title: `Applying the records and computing all ready steps, with ${STEPS_PER_JOB * TASKS_PER_STEP} tasks a job and one job in ${JOBS_PER_OPEN_JOB} open`,
        columns: ['jobs', 'records', 'MB', 'apply ms', 'ready steps ms'],
        rows: results.map(({ jobs, records, megabytes, foldMs, demandsMs }) => [jobs, records, megabytes, foldMs, demandsMs])
      }],
      charts: []
    }
  }
}

function measureTakeover (jobs: number): TakeoverResult {
  const records = createRecords(jobs)
  const bytes = records.reduce((total, { key, value }) => total + key.length + value!.length, 0)
  const startMs = performance.now()
  const state = new JournalState()
  for (const record of records) state.apply(record)
  const appliedMs = performance.now()
  const readySteps = new ReadySteps(new Ledger())
  for (const entry of state.jobs.values()) readySteps.refresh(entry)
  const finishedMs = performance.now()
  return {
    jobs,
    records: records.length,
    megabytes: bytes / BYTES_PER_MB,
    foldMs: appliedMs - startMs,
    demandsMs: finishedMs - appliedMs
  }
}

function createRecords (jobs: number): StoredRecord[] {
  const records: StoredRecord[] = []
  for (let index = 0; index < jobs; index++) {
    const job = createJob(index.toString(16).padStart(16, '0'), index)
    const recordsOfJob = index % JOBS_PER_OPEN_JOB === 0 ? openJobOf(job) : [encodeJobEnd(job.id, endOf(job, index))]
    for (const record of recordsOfJob) records.push({ ...record, offset: records.length })
  }
  return records
}

/** Returns the records of a job whose first step is done. */
function openJobOf (job: Job): KeyedRecord[] {
  const entry = new JobEntry(job)
  for (let task = 0; task < TASKS_PER_STEP; task++) {
    const done = { stage: Stage.Done, run: 1, worker: WORKER_ID, born: TASK_STARTED_MS }
    entry.markChanged(Object.assign(entry.task(0, 0, task), done))
  }
  return [encodeJob(job), ...[...entry.takeChanges().values()].map((encode) => encode())]
}

function endOf (job: Job, index: number): JobEnd {
  return { ...job, phase: Phase.Completed, endedMs: TASK_STARTED_MS + index }
}

function createJob (id: string, index: number): Job {
  const steps: Step[] = []
  for (let step = 0; step < STEPS_PER_JOB; step++) {
    steps.push({
      count: TASKS_PER_STEP,
      size: { cpuMilli: 1500, memoryMb: 5000, accelerators: 0 },
      estimateMs: 700,
      after: step === 0 ? [] : [step - 1],
      checkpoints: false,
      gang: false,
      sameRack: false,
      label: '',
      rack: '',
      perWorker: 0,
      speculative: false,
      lasting: false,
      image: '',
      latencyTargetMs: 0,
      bestEffort: false,
      disruptionBudget: 0
    })
  }
  return {
    id,
    queue: 'preview',
    upstream: 'planner',
    workspace: 'guild',
    payload: JOB_PAYLOAD,
    steps,
    occurrences: 0,
    firstDueMs: 0,
    intervalMs: 0,
    acceptedMs: TASK_STARTED_MS + index
  }
}
