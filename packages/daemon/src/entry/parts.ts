/**
 * What the HTTP API is made of.
 */
import type { Clock } from '@fireflymount/platform/clock'
import type { Settings } from '@fireflymount/manifest/settings'
import type { Configuration } from '../configuration/configuration.js'
import type { Metrics } from '../counters.js'
import type { Router } from '../peer/router.js'
import type { Access } from './access.js'
import type { Admission } from './admission.js'
import type { Directory } from './directory.js'
import type { Presence } from './presence.js'
import type { RetryBudget } from './retries.js'
import type { Usage } from './usage.js'

/** What the daemon hands to the API. */
export interface Parts {
  readonly configuration: Configuration
  readonly router: Router
  readonly metrics: Metrics
  readonly settings: Settings
  readonly clock: Clock
  readonly presence: Presence
  /** What the node has spent since its start. */
  readonly usage: () => Usage
}

/** The parts with what the API keeps for itself. */
export interface Entry extends Parts {
  readonly directory: Directory
  readonly access: Access
  readonly admission: Admission
  readonly retries: RetryBudget
}
