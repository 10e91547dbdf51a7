/**
 * Reads the requests to evacuate zones again on the owner before they are too old for starts of full validity.
 */
import { detach } from '../detach.js'
import { START_VALIDITY_MS } from '../owner/session.js'
import type { ZoneStatus } from './evacuations.js'

/** Minimum interval between two reads. */
const MIN_READ_INTERVAL_MS = 250

/** Reads ahead of the follower's long poll, which may not notice for seconds that its read will not be answered. */
export class EvacuationRefresh {
  private reading = false
  private lastReadMs = -Infinity

  constructor (private readonly zones: ZoneStatus, private readonly read: () => Promise<void>) {}

  /**
   * Starts a read if one is due and none is in flight. The owner's node calls it continually.
   *
   * @param nowMs time on the steady clock
   */
  check (nowMs: number): void {
    if (this.reading || this.zones.maxStartValidityMs() >= START_VALIDITY_MS) return
    if (nowMs - this.lastReadMs < MIN_READ_INTERVAL_MS) return
    this.reading = true
    this.lastReadMs = nowMs
    detach(this.read().finally(() => { this.reading = false }))
  }
}
