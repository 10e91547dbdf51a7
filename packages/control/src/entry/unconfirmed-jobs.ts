/**
 * Jobs whose submission through this node has an unknown outcome. A refusal of the same job as not run could be untrue.
 */
import { randomInt } from 'node:crypto'

/** Time after which an append in progress has certainly ended, and its effect has been read. */
const MAX_AGE_MS = 60_000
/** Size of a filter. With 30,000 ids it takes 1 in 500 others for one of them. */
const FILTER_BITS = 2 ** 19
/** Number of bits that an id sets. */
const BITS_PER_ID = 4

/** A Bloom filter of ids: it has every id that was added, and few others. Ids are chosen by clients, hence the random seed. */
class Filter {
  /** Steady time at which an id was last added. */
  latestMs = -Infinity
  private readonly bits = new Uint8Array(FILTER_BITS / 8)
  private readonly seed = randomInt(2 ** 32)

  /** @param sinceMs steady time from which ids are added */
  constructor (readonly sinceMs: number) {}

  add (id: string, nowMs: number): void {
    this.latestMs = nowMs
    for (const bit of this.bitsOf(id)) this.bits[bit >> 3]! |= 1 << (bit & 7)
  }

  has (id: string): boolean {
    return this.bitsOf(id).every((bit) => (this.bits[bit >> 3]! & (1 << (bit & 7))) !== 0)
  }

  private bitsOf (id: string): number[] {
    const first = hashOf(id, this.seed)
    const step = hashOf(id, ~this.seed) | 1
    return Array.from({ length: BITS_PER_ID }, (_, index) => ((first + Math.imul(index, step)) >>> 0) % FILTER_BITS)
  }
}

/** Ids of jobs that may be stored although this node's copy of the journal does not have them. Takes at most 128 kB for any number. */
export class UnconfirmedJobs {
  /** At most two, each with the ids of up to `MAX_AGE_MS`, newest first. */
  private filters: Filter[] = []

  /** Notes a job. */
  add (id: string, nowMs: number): void {
    const [newest] = this.filters
    if (newest === undefined || nowMs - newest.sinceMs >= MAX_AGE_MS) {
      this.filters = [new Filter(nowMs), ...this.filters.filter((filter) => isCurrent(filter, nowMs))]
    }
    this.filters[0]!.add(id, nowMs)
  }

  /** Returns true if the job may have been stored, and for few other jobs. */
  has (id: string, nowMs: number): boolean {
    return this.filters.some((filter) => isCurrent(filter, nowMs) && filter.has(id))
  }
}

function isCurrent ({ latestMs }: Filter, nowMs: number): boolean {
  return nowMs - latestMs < MAX_AGE_MS
}

/** FNV-1a with a final mix, so that ids that differ little set unrelated bits. */
function hashOf (text: string, seed: number): number {
  let hash = seed
  for (let index = 0; index < text.length; index++) hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193)
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return hash ^ (hash >>> 16)
}
