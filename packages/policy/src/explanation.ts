/**
 * Says why a task waits and what would let it run.
 */
import type { Admission } from './admission.js'
import type { Group } from './group.js'
import type { Lane } from './lane.js'
import type { Explanation, Task } from './task.js'
import type { Occupancy } from './occupancy.js'
import type { Team } from './team.js'
import { Workload } from '@fireflymount/protocol/workload'
import { describe } from './admission.js'
import { Block } from './lane.js'
import { Obstacle } from './task.js'
import { NONE, Phase } from './table.js'

/**
 * Explains a waiting task.
 *
 * @param occupancy the state of the shard
 * @param admission the checks of new tasks
 * @param slot the task's slot, or NONE if it is not known
 * @returns the explanation
 */
export function explainSlot (occupancy: Occupancy, admission: Admission, slot: number): Explanation {
  const { table, fleet } = occupancy
  if (slot === NONE) return because(Obstacle.None, 'The task neither waits nor runs in this shard.', 'Nothing: it ended, or was never accepted here.')
  const task = table.at(slot)
  if (table.phase[slot] !== Phase.Waiting) return because(Obstacle.None, 'The task runs.', 'Nothing.')
  const shape = admission.shapeObstacle(task)
  if (shape !== undefined) return because(Obstacle.Shape, shape, 'Cancel it and send it smaller, or add larger workers.')
  if (fleet.ready === 0) return because(Obstacle.Workers, 'No worker of the shard is ready.', 'Open a drained worker, or mend the quarantined ones.')
  const gang = explainGang(task, table.groups[slot])
  if (gang !== undefined) return gang
  const team = occupancy.team(task.team)
  if (!team.admits(task.size, 1)) return explainLimit(team, task)
  return explainBlock(occupancy, admission, slot)
}

function explainGang (task: Task, group: Group | undefined): Explanation | undefined {
  if (task.workload !== Workload.Gang) return undefined
  if (group === undefined || group.complete()) return undefined
  const known = group.waiting.size + group.running.size
  return because(Obstacle.Gang, `Only ${known} of ${group.size} tasks of the gang have arrived.`, 'Send the missing tasks, or cancel the gang.')
}

function explainLimit (team: Team, task: Task): Explanation {
  const running = `${team.tasks} tasks with ${describe(team)} run`
  const detail = `Team "${team.name}" is at its upper limit: ${running}, and the task needs ${describe(task.size)}.`
  return because(Obstacle.Limit, detail, 'Raise the team\'s upper limit, or wait until work of the team ends.')
}

function explainBlock (occupancy: Occupancy, admission: Admission, slot: number): Explanation {
  const { table } = occupancy
  const task = table.at(slot)
  const kind = occupancy.kind(task.kind)
  const waitMs = Math.ceil(admission.waitMs(task, kind))
  const lane = table.lanes[slot] ?? leaderLane(occupancy, slot)
  const block = lane?.block ?? Block.None
  if (block === Block.None) {
    const detail = `Work of teams further below their share, or work sent earlier, comes first (${lane?.length ?? 0} like it wait).`
    return because(Obstacle.Share, detail, `Wait about ${waitMs} ms, raise the team's share, or mark the queue urgent.`)
  }
  if (task.workload === Workload.Gang) {
    const size = table.groups[slot]?.size ?? 1
    const detail = `No ${size} places for ${describe(task.size)} are free at once.`
    return because(Obstacle.Gang, detail, 'Wait for the reservation of workers, ask for fewer tasks, or add workers.')
  }
  if (block === Block.Headroom) {
    const detail = 'The free room is kept back for requests, as many as ran at once recently.'
    return because(Obstacle.Room, detail, 'Wait, add workers, or lower the weights "waiting" and "share" of the upstream.')
  }
  const detail = `No ready worker has ${describe(task.size)} free; ${kind.waiting} of the kind wait.`
  return because(Obstacle.Room, detail, `Wait about ${waitMs} ms, add workers, or ask for less.`)
}

function leaderLane (occupancy: Occupancy, slot: number): Lane | undefined {
  const leader = occupancy.table.groups[slot]?.leader ?? NONE
  return leader === NONE ? undefined : occupancy.table.lanes[leader]
}

/**
 * Builds an explanation.
 *
 * @param obstacle what is in the way
 * @param detail one sentence on it
 * @param remedy what would let the task run
 * @returns the explanation
 */
export function because (obstacle: Obstacle, detail: string, remedy: string): Explanation {
  return { obstacle, detail, remedy }
}
