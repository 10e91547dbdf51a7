/**
 * The part "decisions": table and chart of the cost of scheduling decisions.
 */
import type { DecisionCost } from './decisions.js'
import type { Report } from './report.js'
import { measureDecisions } from './decisions.js'
import { Part } from './report.js'

const CHARTED_WAITING_TASKS = 10_000
const CHARTED_SLOTS = 8

/** Reports the cost of scheduling decisions in one process. */
export class DecisionsPart extends Part {
  readonly name = 'decisions'
  readonly title = 'Cost of decisions'

  async measure (seed: number): Promise<Report> {
    const costs = measureDecisions(seed)
    const byWorkers = costs.filter(({ waiting, slots }) => waiting === CHARTED_WAITING_TASKS && slots === CHARTED_SLOTS)
    return {
      results: costs,
      tables: [{
        title: 'Cost of decide() on a full shard, by number of workers, running and waiting tasks',
        columns: ['scheduler', 'workers', 'running', 'waiting', 'placements/s in decide()', 'placements/s, whole cycles', 'p50 µs', 'p99 µs', 'p99.9 µs', 'linear best-fit scan µs'],
        rows: costs.map(createRow)
      }],
      charts: [{
        name: 'decisions',
        title: 'Placements a second in decide() by workers, 10,000 waiting',
        rows: byWorkers.map(({ scheduler, workers, decisionsPerS }) => ({ scheduler, workers, decisionsPerS })),
        x: { field: 'workers', title: 'workers', scale: 'log' },
        y: { field: 'decisionsPerS', title: 'placements a second', scale: 'log' },
        series: 'scheduler',
        mark: 'line'
      }]
    }
  }
}

function createRow (cost: DecisionCost): Array<string | number> {
  const { scheduler, workers, running, waiting, decisionsPerS, cyclesPerS, p50Us, p99Us, p999Us, scanUs } = cost
  return [scheduler, workers, running, waiting, decisionsPerS, cyclesPerS, p50Us, p99Us, p999Us, scanUs]
}
