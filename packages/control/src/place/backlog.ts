/**
 * Bounds what accepted jobs hold in the memory of the nodes. Answers the load of clients that submit jobs faster than these end:
 * every node holds all jobs, so one client could exhaust the memory of all of them.
 *
 * Each workspace has a guaranteed part. The rest is shared with dynamic thresholds, as in the buffers of switches: a workspace may
 * hold up to a multiple of what is still free of it. Alone it gets most of the bound, and several leave room for others.
 */
import { occurrencesOf, type Job } from '../model/job.js'
import { ReleaseRate } from './release-rate.js'

const BYTES_PER_MB = 1024 * 1024
/**
 * Memory of a node that is not available to its jobs. It covers the process outside the old generation of its heap, see `run` in
 * deploy/system.toml, and what the heap holds without jobs.
 */
export const RESERVED_MB = 128
/**
 * Part of the remaining memory that jobs may hold. A former owner holds all jobs twice while it reads the journal from scratch, and the
 * heap needs room for garbage.
 */
export const JOBS_SHARE = 0.4
const MIN_BOUND_MB = 8
/** Memory of the smallest node if no node of the cell reports its own. */
const DEFAULT_MEMORY_MB = 256
/** Part of the bound that is divided into the guaranteed parts of the workspaces. */
const GUARANTEED_SHARE = 0.2
/** Beyond its guaranteed part, a workspace may hold up to this multiple of the shared room that is free. */
const FREE_ROOM_FACTOR = 4
/** Minimum and maximum time after which a caller is told to retry. */
const MIN_RETRY_AFTER_MS = 1000
const MAX_RETRY_AFTER_MS = 20_000

/** Bytes that a job, one of its steps and one of its tasks hold in the heap of the owner, without their texts. */
const JOB_BYTES = 2300
const STEP_BYTES = 250
const TASK_BYTES = 260
/** Bytes of a job that has ended and of which only a summary is left. */
const SUMMARY_BYTES = 600
/** Bytes that the cancellation of a job that is not known holds. */
export const EARLY_CANCELLATION_BYTES = 600

/**
 * Computes the bound on what all jobs hold.
 *
 * @param smallestMemoryMb memory of the smallest node in MB; undefined if no node reports its memory
 * @returns the bound in bytes, so that the smallest node can follow the journal and own the cell
 */
export function backlogBoundOf (smallestMemoryMb: number | undefined): number {
  const freeMb = (smallestMemoryMb ?? DEFAULT_MEMORY_MB) - RESERVED_MB
  return Math.max(MIN_BOUND_MB, freeMb * JOBS_SHARE) * BYTES_PER_MB
}

/**
 * Estimates what a job holds once all of its tasks have been used.
 *
 * @returns the estimate in bytes
 */
export function heldBytesOf (job: Job): number {
  if (job.steps.length === 0) return SUMMARY_BYTES
  let bytes = JOB_BYTES + textBytesOf(job.payload)
  let tasks = 0
  for (const { count, after, label, rack, image } of job.steps) {
    bytes += STEP_BYTES + 8 * after.length + textBytesOf(label) + textBytesOf(rack) + textBytesOf(image)
    tasks += count
  }
  return bytes + tasks * occurrencesOf(job) * TASK_BYTES
}

/** A string takes one byte a character, or two if one of its characters is not in Latin-1. */
function textBytesOf (text: string): number {
  // eslint-disable-next-line no-control-regex
  return /^[\x00-\xff]*$/.test(text) ? text.length : 2 * text.length
}

interface Reservation {
  readonly workspace: string
  readonly bytes: number
}

/** Why a job is not admitted. */
export enum Shortage {
  /** The workspace holds its part. There will be room when jobs have ended. */
  Full,
  /** The job alone exceeds the part of a workspace in an empty backlog. */
  NeverFits
}

/** Bytes that jobs hold, by workspace. Jobs without a workspace share one part. */
export class Backlog {
  private readonly heldBytes = new Map<string, number>()
  private readonly reservations = new Map<string, Reservation>()
  private total = 0
  private readonly releaseRate = new ReleaseRate()
  /** Steady time from which the next refused caller may return, by workspace. */
  private readonly nextReturnMs = new Map<string, number>()

  /**
   * @param bound returns the bound on the bytes that all jobs hold, which may change
   * @param countWorkspaces returns the number of workspaces that may submit jobs
   */
  constructor (private readonly bound: () => number, private readonly countWorkspaces: () => number) {}

  /** Bytes that are held and reserved. */
  get totalBytes (): number {
    return this.total
  }

  get boundBytes (): number {
    return this.bound()
  }

  /** Bytes that a single job may hold in an empty backlog. */
  get maxJobBytes (): number {
    const { guaranteed, shared } = this.division()
    return guaranteed + shared * FREE_ROOM_FACTOR / (1 + FREE_ROOM_FACTOR)
  }

  /** Bytes that the jobs of a workspace hold and have reserved. */
  heldBy (workspace: string): number {
    return this.heldBytes.get(workspace) ?? 0
  }

  /** Counts bytes that are held from now on, also beyond the bound. */
  add (workspace: string, bytes: number): void {
    this.heldBytes.set(workspace, this.heldBy(workspace) + bytes)
    this.total += bytes
  }

  /** Ends the counting of bytes that are not held any more. */
  remove (workspace: string, bytes: number): void {
    this.subtract(workspace, bytes)
    this.releaseRate.add(bytes)
  }

  /** Holds bytes for a job until `release` is called. A second reservation for the same job has no effect. */
  reserve (id: string, workspace: string, bytes: number): void {
    if (this.reservations.has(id)) return
    this.reservations.set(id, { workspace, bytes })
    this.add(workspace, bytes)
  }

  /** Ends the reservation for a job, if there is one, because the job will hold nothing. */
  release (id: string): void {
    const reservation = this.takeReservation(id)
    if (reservation !== undefined) this.remove(reservation.workspace, reservation.bytes)
  }

  /** Ends the reservation for a job, if there is one, because the job itself is counted from now on. No room comes back. */
  fulfil (id: string): void {
    const reservation = this.takeReservation(id)
    if (reservation !== undefined) this.subtract(reservation.workspace, reservation.bytes)
  }

  /** Measures the rate of releases. To be called at regular intervals with the time on the steady clock. */
  measure (nowMs: number): void {
    this.releaseRate.measure(nowMs)
  }

  /**
   * Checks whether a job may be added. A guaranteed part is available also if more than the bound was added.
   *
   * @param parts number of nodes that admit jobs at the same time without knowing of each other's
   * @returns why it may not be added, or undefined
   */
  findShortage (workspace: string, bytes: number, parts = 1): Shortage | undefined {
    if (bytes > this.maxJobBytes) return Shortage.NeverFits
    const { guaranteed } = this.division()
    if (this.heldBy(workspace) + bytes * parts <= guaranteed) return undefined
    if (bytes * parts > this.bound() - this.total) return Shortage.Full
    return this.excessOf(workspace, bytes) > 0 ? Shortage.Full : undefined
  }

  /**
   * Estimates, from the rate at which jobs have lately ended, when there will be room for a job. Callers of one workspace are told to
   * return one after another as room comes back, so that they do not all return at once.
   *
   * @param nowMs time on the steady clock
   * @returns delay in milliseconds
   */
  retryAfterMs (workspace: string, bytes: number, nowMs: number): number {
    const rate = this.releaseRate.measure(nowMs) ?? 0
    if (rate <= 0) return MAX_RETRY_AFTER_MS
    const waitMs = Math.max(MIN_RETRY_AFTER_MS, this.excessOf(workspace, bytes) / (1 + FREE_ROOM_FACTOR) / rate)
    const returnMs = Math.max(nowMs + waitMs, this.nextReturnMs.get(workspace) ?? 0)
    if (returnMs - nowMs >= MAX_RETRY_AFTER_MS) return MAX_RETRY_AFTER_MS
    this.nextReturnMs.set(workspace, returnMs + bytes / rate)
    return returnMs - nowMs
  }

  /** Divides the bound into the guaranteed part of each workspace and the room that all share. */
  private division (): { readonly guaranteed: number, readonly shared: number } {
    const bound = this.bound()
    // Jobs without a workspace have a part too.
    const guaranteed = GUARANTEED_SHARE * bound / Math.max(this.countWorkspaces() + 1, this.heldBytes.size)
    return { guaranteed, shared: (1 - GUARANTEED_SHARE) * bound }
  }

  /** Returns by how many bytes a workspace would exceed its threshold for the shared room. */
  private excessOf (workspace: string, bytes: number): number {
    const { guaranteed, shared } = this.division()
    const own = Math.max(0, this.heldBy(workspace) + bytes - guaranteed)
    let used = own
    for (const [other, held] of this.heldBytes) {
      if (other !== workspace) used += Math.max(0, held - guaranteed)
    }
    return own - FREE_ROOM_FACTOR * (shared - used)
  }

  private takeReservation (id: string): Reservation | undefined {
    const reservation = this.reservations.get(id)
    this.reservations.delete(id)
    return reservation
  }

  private subtract (workspace: string, bytes: number): void {
    const remaining = this.heldBy(workspace) - bytes
    if (remaining > 0) this.heldBytes.set(workspace, remaining)
    else this.heldBytes.delete(workspace)
    this.total -= bytes
  }
}
