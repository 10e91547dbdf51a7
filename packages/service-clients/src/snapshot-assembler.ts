/**
 * Assembles snapshots from their parts while a stream is read.
 */

/** The fields of a snapshot part that assembling needs. */
export interface SnapshotPart {
  readonly snapshot: string
  readonly part: number
  /** Number of parts of the snapshot. An empty state is written as one record with `parts` 0. */
  readonly parts: number
  /** Offset of the last record that the state includes. */
  readonly asOf: number
  readonly value: unknown
}

/** A snapshot all of whose parts were read. */
export interface CompleteSnapshot<P extends SnapshotPart> {
  readonly id: string
  /** Offset of the last record that the state includes. */
  readonly asOf: number
  readonly first: P
  readonly values: readonly unknown[]
}

/**
 * Maximum number of snapshots that are assembled at the same time. Beyond it, the one to which no part was added for longest
 * is dropped.
 */
const MAX_INCOMPLETE_SNAPSHOTS = 4

/** Collects parts until a snapshot is complete. A part may occur twice, and the parts of several snapshots may be interleaved. */
export class SnapshotAssembler<P extends SnapshotPart> {
  private readonly incomplete = new Map<string, Map<number, P>>()

  /**
   * Adds a part.
   *
   * @param part the part
   * @returns the snapshot if this part completed it
   */
  add (part: P): CompleteSnapshot<P> | undefined {
    const collected = this.incomplete.get(part.snapshot) ?? new Map<number, P>()
    collected.set(part.part, part)
    this.incomplete.delete(part.snapshot)
    if (collected.size >= part.parts) return joinParts(collected)
    this.incomplete.set(part.snapshot, collected)
    this.evictLeastRecent()
    return undefined
  }

  private evictLeastRecent (): void {
    if (this.incomplete.size <= MAX_INCOMPLETE_SNAPSHOTS) return
    const leastRecent = this.incomplete.keys().next().value
    if (leastRecent !== undefined) this.incomplete.delete(leastRecent)
  }
}

function joinParts<P extends SnapshotPart> (collected: ReadonlyMap<number, P>): CompleteSnapshot<P> | undefined {
  const parts = [...collected.values()].sort((left, right) => left.part - right.part)
  const [first] = parts
  if (first === undefined) return undefined
  const values = parts.slice(0, first.parts).map((part) => part.value)
  return { id: first.snapshot, asOf: first.asOf, first, values }
}
