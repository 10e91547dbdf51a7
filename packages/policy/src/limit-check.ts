/**
 * Limits other than free capacity that can block the head of a lane: the team's allotment and the headroom.
 */
import { scaleResources } from '@fireflymount/protocol/resources'
import { Workload } from '@fireflymount/protocol/workload'
import type { Headroom } from './headroom.js'
import type { Lane } from './lane.js'
import type { ShardState } from './shard-state.js'
import type { Reservation } from './reservation.js'
import type { Task } from './task.js'
import type { Team } from './team.js'
import { waitingMembers, sumSizes } from './gang.js'
import { Block } from './lane.js'

/** Checks the team's allotment and the headroom for requests. */
export class LimitCheck {
  constructor (
    private readonly state: ShardState,
    private readonly headroom: Headroom,
    private readonly reservation: Reservation
  ) {}

  /**
   * Checks the head of a lane.
   *
   * @param lane the lane, not empty
   * @returns Block.Allotment, Block.Headroom, or Block.None if the head may start on any worker with free capacity
   */
  check (lane: Lane): Block {
    if (lane.workload === Workload.Gang) return this.checkGang(lane)
    if (!lane.team.admits(lane.size, 1)) return Block.Allotment
    if (lane.workload !== Workload.Batch || this.reservation.lane === lane) return Block.None
    return this.headroom.allows(lane.size, 1, this.state.nowMs) ? Block.None : Block.Headroom
  }

  /**
   * Checks new tasks that are in no lane, without a change of state.
   *
   * @param team their team
   * @param task one of the tasks, which have the same size
   * @param count number of tasks that start together
   * @param nowMs the current time
   * @returns as for `check`
   */
  checkNew (team: Team, task: Task, count: number, nowMs: number): Block {
    const size = scaleResources(task.size, count)
    if (!team.admits(size, count)) return Block.Allotment
    if (task.workload !== Workload.Batch && task.workload !== Workload.Gang) return Block.None
    return this.headroom.wouldAllow(size, count, nowMs) ? Block.None : Block.Headroom
  }

  private checkGang (lane: Lane): Block {
    const rows = waitingMembers(this.state, lane.head)
    const size = sumSizes(this.state.table, rows)
    if (!lane.team.admits(size, rows.length)) return Block.Allotment
    if (this.reservation.lane === lane) return Block.None
    return this.headroom.allows(size, rows.length, this.state.nowMs) ? Block.None : Block.Headroom
  }
}
