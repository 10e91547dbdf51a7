/**
 * The part "owner-load": the owner's processor time under the load of a large cell.
 */
import { measureLoad, type LoadCase, type LoadResult } from './owner-load/load.js'
import { Part, type Report } from './report.js'

const CASES: readonly LoadCase[] = [
  { name: 'usual load', factor: 1, maxWaitingJobs: 0 },
  { name: 'burst, jobs refused', factor: 2, maxWaitingJobs: 0 },
  { name: 'full cell, 100 jobs wait', factor: 3, maxWaitingJobs: 100 },
  { name: 'full cell, 300 jobs wait', factor: 3, maxWaitingJobs: 300 }
]

/** Reports the processor time of the owner, with workers, store and advisor simulated in the same process. */
export class OwnerLoadPart extends Part {
  readonly name = 'owner-load'
  readonly title = 'Processor time of the owner'

  async measure (seed: number): Promise<Report> {
    const results: LoadResult[] = []
    for (const loadCase of CASES) results.push(await measureLoad(loadCase, seed))
    return {
      results,
      tables: [{
        title: 'One owner, 245 workers in two upstreams; the processor time includes the simulated workers, store and advisor',
        columns: [
          'case', 'starts/s', 'runs', 'waiting jobs', 'urgent start p50 ms', 'p95 ms', 'processor share', 'µs/start',
          'rounds/s', 'ms/round', 'share in rounds', 'decision lines/s'
        ],
        rows: results.map((result) => [
          result.name, result.startsPerS, result.runs, result.waitingJobs, result.urgentStartP50Ms, result.urgentStartP95Ms,
          result.processorShare, result.usPerStart, result.roundsPerS, result.msPerRound, result.roundShare, result.logLinesPerS
        ])
      }],
      charts: []
    }
  }
}
