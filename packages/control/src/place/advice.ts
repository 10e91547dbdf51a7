/**
 * Chooses the workers about which the advisor is asked first, on an upstream with more workers than are needed for a step. A call
 * takes longer the more workers it names, and a worker that is full cannot take the step although it is permitted.
 */
import { fitsResources, type Resources } from '@fireflymount/protocol/resources'
import type { Candidate } from './fit.js'
import { headroomOf } from './limit.js'

/**
 * A call names workers with free capacity for this many times the tasks that wait, because the advisor permits only some of them,
 * and other steps take capacity until it has answered.
 */
const CAPACITY_FACTOR = 6
/** Minimum number of workers in a call, if there are as many. */
const MIN_NAMED_WORKERS = 30

const NOTHING_USED: Resources = { cpuMilli: 0, memoryMb: 0, accelerators: 0 }

/**
 * Chooses workers: those with free capacity for the tasks first, in the given order, until they have enough of it. If they do not,
 * all others follow.
 *
 * @param charge resources that a task is charged on a worker
 * @param count number of tasks that wait
 * @param unknown workers that the advisor has not been asked about
 */
export function chooseWorkersToAsk<C extends Candidate> (charge: Resources, count: number, unknown: readonly C[]): C[] {
  const fitting: C[] = []
  const others: C[] = []
  let missing = CAPACITY_FACTOR * count
  for (const candidate of unknown) {
    if (!fitsResources(charge, candidate.free)) {
      others.push(candidate)
      continue
    }
    fitting.push(candidate)
    missing -= headroomOf(candidate.free, NOTHING_USED, charge)
    if (fitting.length >= MIN_NAMED_WORKERS && missing <= 0) return fitting
  }
  return [...fitting, ...others]
}
