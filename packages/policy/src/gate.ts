/**
 * What keeps the head of a lane although there is room.
 */
import { Workload } from '@fireflymount/protocol/workload'
import type { Headroom } from './headroom.js'
import type { Lane } from './lane.js'
import type { Occupancy } from './occupancy.js'
import type { Reservation } from './reservation.js'
import { members, sumSizes } from './gang.js'
import { Block } from './lane.js'

/** Checks allotments, and the room kept back for requests. */
export class Gate {
  constructor (
    private readonly occupancy: Occupancy,
    private readonly headroom: Headroom,
    private readonly reservation: Reservation
  ) {}

  /**
   * Checks the head of a lane.
   *
   * @param lane the lane, not empty
   * @returns Block.None if the head may start where there is room
   */
  check (lane: Lane): Block {
    if (lane.workload === Workload.Gang) return this.checkGang(lane)
    if (!lane.team.admits(lane.size, 1)) return Block.Limit
    if (lane.workload !== Workload.Batch || this.reservation.lane === lane) return Block.None
    return this.headroom.allows(lane.size, 1, this.occupancy.nowMs) ? Block.None : Block.Headroom
  }

  private checkGang (lane: Lane): Block {
    const slots = members(this.occupancy, lane.head)
    const size = sumSizes(this.occupancy.table, slots)
    if (!lane.team.admits(size, slots.length)) return Block.Limit
    if (this.reservation.lane === lane) return Block.None
    return this.headroom.allows(size, slots.length, this.occupancy.nowMs) ? Block.None : Block.Headroom
  }
}
