/**
 * Explains why a task waits and what would let it start.
 */
import type { Admission } from './admission.js'
import type { Group } from './group.js'
import type { Lane } from './lane.js'
import type { Explanation, Task } from './task.js'
import type { ShardState } from './shard-state.js'
import type { Team } from './team.js'
import { Workload } from '@fireflymount/protocol/workload'
import { describeResources } from './admission.js'
import { Block } from './lane.js'
import { Obstacle } from './task.js'
import { NONE, Phase } from './table.js'

/**
 * Explains a waiting task.
 *
 * @param state the state of the shard
 * @param admission the admission checks of the shard
 * @param row the task's row, or NONE if the shard doesn't know the task
 * @returns the explanation
 */
export function explainTask (state: ShardState, admission: Admission, row: number): Explanation {
  const { table, fleet } = state
  if (row === NONE) {
    return createExplanation(
      Obstacle.None,
      'The task neither waits nor runs in this shard.',
      'Nothing to do: the task has ended, or was never accepted here.'
    )
  }
  const task = table.at(row)
  if (table.phase[row] !== Phase.Waiting) return createExplanation(Obstacle.None, 'The task is running.', 'Nothing to do.')
  const detail = admission.sizeObstacle(task)
  if (detail !== undefined) return createExplanation(Obstacle.Shape, detail, 'Cancel it and submit a smaller task, or add larger workers.')
  if (fleet.readyWorkers === 0) {
    return createExplanation(
      Obstacle.Workers,
      'No worker of the shard is ready.',
      'Undo the drain of a worker, or repair a quarantined worker.'
    )
  }
  const gang = explainGang(task, table.groups[row])
  if (gang !== undefined) return gang
  const team = state.team(task.team)
  if (!team.admits(task.size, 1)) return explainLimit(team, task)
  return explainLane(state, admission, row)
}

function explainGang (task: Task, group: Group | undefined): Explanation | undefined {
  if (task.workload !== Workload.Gang) return undefined
  if (group === undefined || group.isComplete()) return undefined
  const arrived = group.waiting.size + group.running.size
  return createExplanation(
    Obstacle.Gang,
    `Only ${arrived} of ${group.size} tasks of the gang have arrived.`,
    'Submit the missing tasks, or cancel the gang.'
  )
}

/**
 * Explains that the allotment of a team blocks a task.
 *
 * @param team the team
 * @param task one of its tasks
 * @returns the explanation
 */
export function explainLimit (team: Team, task: Task): Explanation {
  const running = `${team.tasks} tasks with ${describeResources(team)} are running`
  const detail = `Team "${team.name}" has used up its allotment in this shard: ${running}, and the task needs ${describeResources(task.size)}.`
  return createExplanation(
    Obstacle.Limit,
    detail,
    'Raise the team\'s upper limit, or wait until its running tasks end or allotment is borrowed from other shards.'
  )
}

function explainLane (state: ShardState, admission: Admission, row: number): Explanation {
  const { table } = state
  const task = table.at(row)
  const kind = state.kind(task.kind)
  const waitMs = Math.ceil(admission.estimateWaitMs(task, kind))
  const lane = table.lanes[row] ?? representativeLane(state, row)
  const block = lane?.block ?? Block.None
  if (block === Block.None) {
    const similar = `Including this one, ${lane?.length ?? 0} tasks or gangs of the same team, queue or service, urgency and similar size wait`
    const detail = `Other work starts first, because the other team is further below its share, or because the other work is urgent or was submitted earlier. ${similar}.`
    return createExplanation(Obstacle.Share, detail, `Wait about ${waitMs} ms, raise the team's share, or mark the queue urgent.`)
  }
  if (task.workload === Workload.Gang) {
    const size = table.groups[row]?.size ?? 1
    const detail = `The gang's ${size} tasks with ${describeResources(task.size)} each can't all start at the same time. Either not enough capacity is free, or the team's allotment or the headroom for requests blocks the gang.`
    return createExplanation(Obstacle.Gang, detail, 'Wait for a reservation of workers, request fewer tasks, or add workers.')
  }
  if (block === Block.Headroom) {
    const detail = 'The free capacity is kept as headroom for requests, sized by the recent peak of concurrent requests.'
    return createExplanation(
      Obstacle.Capacity,
      detail,
      'Wait, add workers, or lower the weights "waiting" and "share" of the upstream.'
    )
  }
  const detail = `No ready worker has ${describeResources(task.size)} free; ${kind.waiting} tasks of this queue or service wait.`
  return createExplanation(Obstacle.Capacity, detail, `Wait about ${waitMs} ms, add workers, or request less.`)
}

function representativeLane (state: ShardState, row: number): Lane | undefined {
  const representative = state.table.groups[row]?.representative ?? NONE
  return representative === NONE ? undefined : state.table.lanes[representative]
}

/**
 * Creates an explanation.
 *
 * @param obstacle what prevents the start
 * @param detail one sentence that describes it
 * @param remedy what would let the task start
 * @returns the explanation
 */
export function createExplanation (obstacle: Obstacle, detail: string, remedy: string): Explanation {
  return { obstacle, detail, remedy }
}
