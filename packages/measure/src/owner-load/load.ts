/**
 * Measures the processor time of an owner under the load of a large cell, without a network.
 */
import { openSync } from 'node:fs'
import { SystemClock } from '@fireflymount/control/clock'
import { detach } from '@fireflymount/control/detach'
import { JournalState } from '@fireflymount/control/journal/journal-state'
import { encodeJob } from '@fireflymount/control/journal/record'
import { epochAfter } from '@fireflymount/control/owner/fence'
import { Owner } from '@fireflymount/control/owner/owner'
import { StandardLog } from '@fireflymount/control/report/log'
import { Metrics } from '@fireflymount/control/report/metrics'
import type { Job } from '@fireflymount/control/model/job'
import { Random } from '../random.js'
import { quantile } from '../task-statistics.js'
import { LoadAdvisor, LoadFleet, LoadFormats, LoadMachines, LoadStore, Wheel } from './platform.js'
import { CONFIGURATION, createArrivals, createWorkers, type Arrival } from './workload.js'

const WARM_UP_MS = 6000
const MEASURED_MS = 12_000
const COMMIT_TIMEOUT_MS = 900
const URGENT_QUEUE = 'preview'
const NODES = Array.from({ length: 31 }, (_, index) => `n${index}`)

/** A case of the load model. */
export interface LoadCase {
  readonly name: string
  /** Factor on the usual rates of jobs. */
  readonly factor: number
  /** Jobs are held back while more than this number of jobs wait; 0 lets the owner refuse them instead. */
  readonly maxWaitingJobs: number
}

/** What was measured in one case. */
export interface LoadResult {
  readonly name: string
  readonly startsPerS: number
  readonly runs: number
  /** Mean number of jobs with a step that waits. */
  readonly waitingJobs: number
  /** Time from the submission of an urgent job to the starts of the tasks of its first step. */
  readonly urgentStartP50Ms: number
  readonly urgentStartP95Ms: number
  /** Share of a processor that the process used. */
  readonly processorShare: number
  readonly usPerStart: number
  readonly roundsPerS: number
  readonly msPerRound: number
  /** Share of the measured time that was spent in rounds. */
  readonly roundShare: number
  readonly logLinesPerS: number
}

/** A log that counts its lines and writes to nowhere. */
class CountingLog extends StandardLog {
  lines = 0

  constructor () {
    super('n0', 'info', openSync('/dev/null', 'w'))
  }

  override decision (name: string, fields: Record<string, unknown>): void {
    this.lines++
    super.decision(name, fields)
  }
}

interface Snapshot {
  readonly atMs: number
  readonly processorMs: number
  readonly starts: number
  readonly rounds: number
  readonly roundsMs: number
  readonly lines: number
}

/** Runs one case. */
export async function measureLoad (loadCase: LoadCase, seed: number): Promise<LoadResult> {
  const arrivals = createArrivals(new Random(seed), WARM_UP_MS + MEASURED_MS, loadCase.factor, Date.now())
  const jobs = new Map(arrivals.map(({ job }) => [job.id, job]))
  const cell = new Cell(jobs)
  const submitting = cell.submit(arrivals, loadCase.maxWaitingJobs)
  await cell.pass(WARM_UP_MS)
  const before = await cell.snapshot()
  cell.urgentStartsMs.length = 0
  const samples: Array<{ runs: number, waiting: number }> = []
  for (let passedMs = 0; passedMs < MEASURED_MS; passedMs += 200) {
    await cell.pass(200)
    samples.push({ runs: cell.fleet.running, waiting: cell.owner.readySteps.size })
  }
  const after = await cell.snapshot()
  cell.close()
  await submitting
  return summarize(loadCase.name, before, after, samples, cell.urgentStartsMs)
}

/** An owner with its fakes. */
class Cell {
  readonly fleet: LoadFleet
  readonly owner: Owner
  private readonly wheel = new Wheel()
  private readonly metrics = new Metrics()
  private readonly log = new CountingLog()
  private readonly clock = new SystemClock()
  private closed = false
  /** Time from the submission of urgent jobs to the starts of the tasks of their first steps. */
  readonly urgentStartsMs: number[] = []
  private readonly submittedMs = new Map<string, number>()

  constructor (private readonly jobs: ReadonlyMap<string, Job>) {
    this.fleet = new LoadFleet(this.wheel, (job, step) => this.begin(job, step))
    const advisor = new LoadAdvisor(this.wheel)
    const adviceByJob = new Map(CONFIGURATION.queues.map(({ name, advice }) => [name, advice]))
    const journalState = new JournalState()
    this.owner = new Owner({
      epoch: epochAfter(0),
      sequence: 1,
      claimedAt: this.clock.stamp(),
      journalReadAt: () => this.clock.stamp(),
      journalState,
      store: new LoadStore(this.wheel, createWorkers()),
      fleet: this.fleet,
      machines: new LoadMachines(),
      formats: new LoadFormats(),
      clock: this.clock,
      configuration: () => CONFIGURATION,
      zones: { evacuated: () => [], isEvacuated: () => false, maxStartValidityMs: () => Infinity },
      askAdvisor: async (node, step, workers) => {
        const advice = adviceByJob.get(journalState.jobs.get(step.slice(0, step.indexOf('.')))!.job.queue)!
        return await advisor.ask(node, step, workers, advice.callMs + advice.workerMs * workers.length)
      },
      nodes: () => NODES,
      settings: { leaseMs: 6000, farFactor: 1.5, keptMs: 120_000, stopMs: 200 },
      log: this.log,
      metrics: this.metrics
    })
    this.owner.run().catch((error: unknown) => { throw error })
  }

  /** Submits jobs at their times, or later while too many jobs wait. */
  async submit (arrivals: readonly Arrival[], maxWaitingJobs: number): Promise<void> {
    const startedMs = performance.now()
    for (const { atMs, job } of arrivals) {
      while (performance.now() - startedMs < atMs && !this.closed) await this.pass(Math.min(atMs, 10))
      while (this.isFull(maxWaitingJobs) && !this.closed) await this.pass(10)
      if (this.closed) return
      this.submittedMs.set(job.id, performance.now())
      const record = encodeJob({ ...job, acceptedMs: Date.now() })
      if (maxWaitingJobs > 0) detach(this.owner.append([record], COMMIT_TIMEOUT_MS))
      else detach(this.owner.admit(record, COMMIT_TIMEOUT_MS))
    }
  }

  private begin (id: string, index: number): number {
    const { queue, steps } = this.jobs.get(id)!
    if (queue === URGENT_QUEUE && index === 0) this.urgentStartsMs.push(performance.now() - this.submittedMs.get(id)!)
    const step = steps[index]!
    return step.lasting ? Infinity : step.estimateMs
  }

  private isFull (maxWaitingJobs: number): boolean {
    return maxWaitingJobs > 0 && this.owner.readySteps.size >= maxWaitingJobs
  }

  /** Resolves after a time. */
  pass (ms: number): Promise<void> {
    return new Promise((resolve) => { this.wheel.after(ms, resolve) })
  }

  async snapshot (): Promise<Snapshot> {
    const { values } = await this.metrics.roundSeconds.get()
    const valueOf = (suffix: string): number => values.find(({ metricName }) => metricName?.endsWith(suffix) === true)?.value ?? 0
    const { user, system } = process.cpuUsage()
    return {
      atMs: performance.now(),
      processorMs: (user + system) / 1000,
      starts: this.fleet.starts,
      rounds: valueOf('_count'),
      roundsMs: valueOf('_sum') * 1000,
      lines: this.log.lines
    }
  }

  close (): void {
    this.closed = true
    this.owner.close()
    setTimeout(() => { this.wheel.close() }, 1000)
  }
}

function summarize (
  name: string,
  before: Snapshot,
  after: Snapshot,
  samples: ReadonlyArray<{ runs: number, waiting: number }>,
  urgentStartsMs: readonly number[]
): LoadResult {
  const elapsedS = (after.atMs - before.atMs) / 1000
  const processorMs = after.processorMs - before.processorMs
  const starts = after.starts - before.starts
  const rounds = after.rounds - before.rounds
  const roundsMs = after.roundsMs - before.roundsMs
  const sortedMs = [...urgentStartsMs].sort((left, right) => left - right)
  const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length
  return {
    name,
    startsPerS: starts / elapsedS,
    runs: mean(samples.map(({ runs }) => runs)),
    waitingJobs: mean(samples.map(({ waiting }) => waiting)),
    urgentStartP50Ms: quantile(sortedMs, 0.5),
    urgentStartP95Ms: quantile(sortedMs, 0.95),
    processorShare: processorMs / 1000 / elapsedS,
    usPerStart: processorMs * 1000 / starts,
    roundsPerS: rounds / elapsedS,
    msPerRound: roundsMs / rounds,
    roundShare: roundsMs / 1000 / elapsedS,
    logLinesPerS: (after.lines - before.lines) / elapsedS
  }
}
