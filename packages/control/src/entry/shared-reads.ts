/**
 * Reads for callers. Each answer may hold a page of the journal, so many reads at once would take much memory.
 */

/** Reads at once. One that hangs does not hold up the others. */
const MAX_READS = 4

/** Bounds the reads in progress. */
export class SharedReads {
  private readonly inProgress = new Set<Promise<void>>()
  /** The read that begins once one in progress has ended. */
  private next: Promise<void> | undefined

  constructor (private readonly read: () => Promise<void>) {}

  /** Resolves after a read that began after the call. */
  async run (): Promise<void> {
    if (this.inProgress.size < MAX_READS) {
      await this.start()
      return
    }
    this.next ??= Promise.race(this.inProgress).finally(() => { this.next = undefined }).then(async () => { await this.start() })
    await this.next
  }

  private start (): Promise<void> {
    const started = this.read().finally(() => { this.inProgress.delete(started) })
    this.inProgress.add(started)
    return started
  }
}
