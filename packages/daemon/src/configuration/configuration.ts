/**
 * The operators' configuration as this node knows it.
 */
import type { Delta } from '@fireflymount/manifest/delta'
import type { Manifest } from '@fireflymount/manifest/manifest'
import type { RecordsPage } from '@fireflymount/protocol/message'
import type { Refusal } from '@fireflymount/protocol/refusal'
import type { Result } from 'neverthrow'

/** A revision that came into effect on this node. */
export interface Revision {
  readonly revision: number
  readonly manifest: Manifest
}

/** The configuration in effect on this node, and its publication. */
export abstract class Configuration {
  abstract current (): Revision
  /** Revision at which an object last changed, by section and name; undefined if it does not exist. */
  abstract changedAt (section: string, name: string): number | undefined
  /** Milliseconds since this node last heard from the log, or from a peer that had, that it is up to date. */
  abstract ageMs (): number
  /** Calls the listener after each new revision. */
  abstract onRevision (listener: (revision: Revision) => void): void
  /** Publishes a delta and waits for its outcome in the log's order. Conflict and invalid deltas are refusals. */
  abstract publish (delta: Delta): Promise<Result<Revision, Refusal>>
  /** Records for a peer that lacks them. */
  abstract recordsFrom (offset: number): RecordsPage
  /** Runs until the signal. */
  abstract run (signal: AbortSignal): Promise<void>
}
