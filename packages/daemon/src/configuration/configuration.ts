/**
 * The operators' configuration, as known to this node.
 */
import type { Delta } from '@fireflymount/manifest/delta'
import type { Manifest } from '@fireflymount/manifest/manifest'
import type { RecordsPage } from '@fireflymount/protocol/message'
import type { Refusal } from '@fireflymount/protocol/refusal'
import type { Result } from 'neverthrow'

/** A revision of the configuration and its content. */
export interface Revision {
  readonly revision: number
  readonly manifest: Manifest
}

/** Gives access to the configuration in effect on this node and publishes changes to it. */
export abstract class Configuration {
  /** Returns the revision in effect. */
  abstract current (): Revision
  /** Returns the revision in which an object last changed, or undefined if the object does not exist. */
  abstract changedAt (section: string, name: string): number | undefined
  /** Milliseconds since the configuration was last confirmed to be up to date, by the log or by peers. */
  abstract ageMs (): number
  /** Calls the listener after each new revision. */
  abstract onRevision (listener: (revision: Revision) => void): void
  /**
   * Publishes a delta and waits for its outcome, which the order of the log decides. Conflicting or invalid deltas are
   * refused.
   */
  abstract publish (delta: Delta): Promise<Result<Revision, Refusal>>
  /** Returns records for a peer whose configuration is behind. */
  abstract recordsFrom (offset: number): RecordsPage
  /** Keeps the configuration up to date until the signal is aborted. */
  abstract run (signal: AbortSignal): Promise<void>
}
