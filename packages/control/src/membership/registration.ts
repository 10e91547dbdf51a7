/**
 * This node's address record in the journal, and the removal of records of nodes that are gone.
 */
import { detach } from '../detach.js'
import { sleep, type Clock } from '../clock.js'
import { Subject, encodeRecord, keyOf, type NodeAddress } from '../journal/record.js'
import type { JournalState } from '../journal/journal-state.js'
import type { Encoder } from '../journal/job-changes.js'
import { Topic, type Store } from '../ports/store.js'

const RETRY_DELAY_MS = 100
/** The owner removes the address of a node that has not been connected to it for this time. Live nodes reconnect within seconds. */
export const MAX_ABSENCE_MS = 30_000

/** The address record of one node. */
export class Registration {
  private leaving = false
  private writing = false
  /** Offset of the last record that this process wrote; undefined before the first one. */
  private offset: number | undefined

  constructor (private readonly store: Store, private readonly address: NodeAddress, private readonly signal: AbortSignal) {}

  /** True once the address is in the journal. A claim follows it there, so that others see which process claimed. */
  isWritten (): boolean {
    return this.offset !== undefined
  }

  /** Writes the address, again and again until the store has it. */
  async write (): Promise<void> {
    this.writing = true
    while (!this.signal.aborted) {
      const record = encodeRecord(Subject.Node, this.address.node, { ...this.address, leaving: this.leaving })
      const appended = await this.store.append(Topic.Journal, [record])
      if (appended.isOk()) this.offset = appended.value
      if (appended.isOk()) break
      await sleep(RETRY_DELAY_MS, this.signal)
    }
    this.writing = false
  }

  /** Writes that this node is about to stop, so that no candidate waits for it and no node takes it for a working owner. */
  async announceStop (): Promise<void> {
    this.leaving = true
    await this.write()
  }

  /**
   * Writes the address again if the journal has none or that of an earlier process, which may be written late. After the announcement
   * of the stop, does so only if an earlier record of this process was written late.
   *
   * @param readThrough offset up to which the journal state has been read
   */
  check (journalState: JournalState, readThrough: number): void {
    const { node, incarnation } = this.address
    if (this.writing || this.offset === undefined || readThrough <= this.offset) return
    const address = journalState.nodes.get(node)
    const isOwn = address?.incarnation === incarnation
    if (this.leaving ? isOwn && address.leaving !== true : !isOwn) detach(this.write())
  }
}

/** Finds the nodes whose addresses the owner removes. */
export class AddressCollector {
  private readonly seenMs = new Map<string, number>()

  constructor (private readonly clock: Clock) {}

  /**
   * Returns tombstones for the addresses of nodes that have not been connected for `MAX_ABSENCE_MS` of this ownership.
   *
   * @param nodes all nodes in the journal
   * @param connected the owner's own node and those connected to it
   */
  collect (nodes: Iterable<string>, connected: readonly string[]): ReadonlyMap<string, Encoder> {
    const nowMs = this.clock.now()
    for (const node of connected) this.seenMs.set(node, nowMs)
    const tombstones = new Map<string, Encoder>()
    for (const node of nodes) {
      const seenMs = this.seenMs.get(node)
      if (seenMs === undefined) this.seenMs.set(node, nowMs)
      if (seenMs === undefined || nowMs - seenMs < MAX_ABSENCE_MS) continue
      const key = keyOf(Subject.Node, node)
      tombstones.set(key, () => ({ key, value: undefined }))
      this.seenMs.delete(node)
    }
    return tombstones
  }
}
