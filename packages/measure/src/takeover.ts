/**
 * The part "takeover": what a successor reads and folds before it owns the cell, by the number of jobs in the store.
 */
import { encodeJob, encodeRecord, Stage, Subject, type TaskProgress } from '@fireflymount/control/journal/record'
import { JournalState } from '@fireflymount/control/journal/journal-state'
import { Phase, type Job, type Step } from '@fireflymount/control/model/job'
import { Demands } from '@fireflymount/control/owner/demand'
import { Ledger } from '@fireflymount/control/owner/ledger'
import type { StoredRecord } from '@fireflymount/control/ports/store'
import { Part, type Report } from './report.js'

/** Jobs in the store, up to those of six hours at 170,000 jobs a day. */
const SIZES: readonly number[] = [500, 5000, 50_000]
/** Every tenth job is open: the store keeps ended ones for their callers. */
const OPEN_EACH = 10
const STEPS = 2
const TASKS = 6
const PAYLOAD = 'x'.repeat(150)
const STARTED_MS = 1_700_000_000_000
const MEGABYTE = 1_000_000

interface Takeover {
  readonly jobs: number
  readonly records: number
  readonly megabytes: number
  readonly foldMs: number
  readonly demandsMs: number
}

/** Takeovers of an owner. */
export class Takeovers extends Part {
  readonly name = 'takeover'
  readonly title = 'Takeover of the cell from the store'

  async measure (): Promise<Report> {
    const results = SIZES.map(measureTakeover)
    return {
      results,
      tables: [{
        title: `From the newest records to all demands, with ${STEPS * TASKS} tasks a job and one job in ${OPEN_EACH} open`,
        columns: ['jobs', 'records', 'MB', 'fold ms', 'demands ms'],
        rows: results.map(({ jobs, records, megabytes, foldMs, demandsMs }) => [jobs, records, megabytes, foldMs, demandsMs])
      }],
      charts: []
    }
  }
}

function measureTakeover (jobs: number): Takeover {
  const records = createRecords(jobs)
  const bytes = records.reduce((total, { key, value }) => total + key.length + value!.length, 0)
  const startedMs = performance.now()
  const table = new JournalState()
  for (const record of records) table.apply(record)
  const foldedMs = performance.now()
  const demands = new Demands(new Ledger())
  for (const entry of table.jobs.values()) demands.refresh(entry)
  const endedMs = performance.now()
  return {
    jobs, records: records.length, megabytes: bytes / MEGABYTE, foldMs: foldedMs - startedMs, demandsMs: endedMs - foldedMs
  }
}

function createRecords (jobs: number): StoredRecord[] {
  const records: StoredRecord[] = []
  for (let index = 0; index < jobs; index++) {
    const id = index.toString(16).padStart(16, '0')
    const open = index % OPEN_EACH === 0
    records.push({ ...encodeJob(createJob(id, index)), offset: records.length })
    const tasks: TaskProgress[] = []
    for (let step = 0; step < (open ? 1 : STEPS); step++) {
      for (let task = 0; task < TASKS; task++) tasks.push([`0.${step}.${task}`, Stage.Done, 1, 'i-0123456789', STARTED_MS, 0, ''])
    }
    const progress = { phase: open ? Phase.Active : Phase.Completed, endedMs: open ? 0 : STARTED_MS + index, tasks }
    records.push({ ...encodeRecord(Subject.Progress, id, progress), offset: records.length })
  }
  return records
}

function createJob (id: string, index: number): Job {
  const steps: Step[] = []
  for (let step = 0; step < STEPS; step++) {
    steps.push({
      count: TASKS,
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
    payload: PAYLOAD,
    steps,
    occurrences: 0,
    firstDueMs: 0,
    intervalMs: 0,
    acceptedMs: STARTED_MS + index
  }
}
