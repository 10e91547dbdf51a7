/**
 * The waiting tasks of a shard: queues them in lanes, holds back incomplete gangs and expires tasks.
 */
import { Reason, refuse } from '@fireflymount/protocol/refusal'
import { Workload } from '@fireflymount/protocol/workload'
import type { Admission } from './admission.js'
import type { Group } from './group.js'
import type { Lanes } from './lanes.js'
import type { ShardState } from './shard-state.js'
import type { Reservation } from './reservation.js'
import type { ExpiredTask } from './scheduler.js'
import type { Task } from './task.js'
import { NONE, Phase } from './table.js'

/** Adds waiting tasks to lanes and removes them. A gang enters its lane as one entry once it is complete. */
export class Waitlist {
  constructor (
    private readonly state: ShardState,
    private readonly lanes: Lanes,
    private readonly reservation: Reservation,
    private readonly admission: Admission
  ) {}

  /**
   * Adds a task.
   *
   * @param task the task, whose id is not in the table
   */
  add (task: Task): void {
    const row = this.state.add(task, Phase.Waiting)
    if (task.startByMs !== undefined) this.state.startByTimes.add(row, task.startByMs)
    const group = task.workload === Workload.Gang ? this.state.table.groups[row] : undefined
    if (group === undefined) this.lanes.add(row)
    else if (group.representative === NONE && group.isComplete()) this.linkGang(group)
  }

  /**
   * Removes a waiting task. Takes constant time unless the task or its gang holds the reservation. If more members of its gang have
   * arrived than needed, the gang stays complete without the task and is queued again.
   *
   * @param row its row
   */
  remove (row: number): void {
    const { table } = this.state
    const group = table.at(row).workload === Workload.Gang ? table.groups[row] : undefined
    if (group === undefined) this.unlink(row)
    else this.unlinkGang(group)
    this.state.remove(row)
    if (group?.isComplete()) this.linkGang(group)
  }

  /**
   * Removes the waiting tasks whose latest start time has passed.
   *
   * @param nowMs the current time
   * @returns the tasks, with the refusal for the caller
   */
  expire (nowMs: number): ExpiredTask[] {
    const { table, startByTimes } = this.state
    const expired: ExpiredTask[] = []
    for (let row = startByTimes.popExpired(nowMs); row !== NONE; row = startByTimes.popExpired(nowMs)) {
      const task = table.at(row)
      const retryAfterMs = Math.ceil(this.admission.estimateWaitMs(task, table.kinds[row]!))
      this.remove(row)
      const refusal = refuse(Reason.DeadlinePassed, 'The work could not start before its latest start time.', retryAfterMs)
      expired.push({ task, refusal })
    }
    return expired
  }

  private unlink (row: number): void {
    const lane = this.state.table.lanes[row]
    const reserved = lane !== undefined && this.reservation.lane === lane && lane.head === row
    this.lanes.remove(row)
    if (reserved) this.reservation.cancel()
  }

  /** Adds one waiting member to the lane as the representative of the whole gang. */
  private linkGang (group: Group): void {
    const [representative] = group.waiting
    group.representative = representative!
    this.lanes.add(representative!)
  }

  private unlinkGang (group: Group): void {
    if (group.representative !== NONE) this.unlink(group.representative)
    group.representative = NONE
  }
}
