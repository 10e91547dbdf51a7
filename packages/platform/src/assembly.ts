/**
 * Joins the parts of snapshots while a stream is read.
 */

/** One part of a snapshot, as far as joining needs it. */
export interface SnapshotPart {
  readonly snapshot: string
  readonly part: number
  /** Number of parts; an empty state is one record with 0. */
  readonly parts: number
  readonly asOf: number
  readonly value: unknown
}

/** A snapshot of which all parts were read. */
export interface WholeSnapshot<P extends SnapshotPart> {
  readonly id: string
  readonly asOf: number
  readonly first: P
  readonly values: readonly unknown[]
}

/** Snapshots whose parts are collected at the same time. */
const OPEN_COUNT = 4

/** Collects parts until a snapshot is whole. Parts may come twice and those of several snapshots interleaved. */
export class Assembly<P extends SnapshotPart> {
  private readonly open = new Map<string, Map<number, P>>()

  /**
   * Adds a part.
   *
   * @param part the part
   * @returns the snapshot if this was its last missing part
   */
  add (part: P): WholeSnapshot<P> | undefined {
    const collected = this.open.get(part.snapshot) ?? new Map<number, P>()
    collected.set(part.part, part)
    this.open.delete(part.snapshot)
    if (collected.size >= part.parts) return joinParts(collected)
    this.open.set(part.snapshot, collected)
    this.dropOldest()
    return undefined
  }

  private dropOldest (): void {
    if (this.open.size <= OPEN_COUNT) return
    const oldest = this.open.keys().next().value
    if (oldest !== undefined) this.open.delete(oldest)
  }
}

function joinParts<P extends SnapshotPart> (collected: ReadonlyMap<number, P>): WholeSnapshot<P> | undefined {
  const parts = [...collected.values()].sort((left, right) => left.part - right.part)
  const [first] = parts
  if (first === undefined) return undefined
  const values = parts.slice(0, first.parts).map((part) => part.value)
  return { id: first.snapshot, asOf: first.asOf, first, values }
}
