/**
 * The components that the HTTP API uses.
 */
import type { Logger } from 'pino'
import type { Clock } from '@fireflymount/service-clients/clock'
import type { Settings } from '@fireflymount/manifest/settings'
import type { Configuration } from '../configuration/configuration.js'
import type { Metrics } from '../metrics.js'
import type { Router } from '../peer/router.js'
import type { AccessControl } from './access.js'
import type { Admission } from './admission.js'
import type { ConfigurationIndex } from './configuration-index.js'
import type { Lifecycle } from './lifecycle.js'
import type { RetryBudget } from './retry-budget.js'
import type { Usage } from './usage.js'

/** Components that the daemon passes to the API. */
export interface ApiOptions {
  readonly configuration: Configuration
  readonly router: Router
  readonly metrics: Metrics
  readonly settings: Settings
  readonly clock: Clock
  readonly lifecycle: Lifecycle
  readonly logger: Pick<Logger, 'warn'>
  /** Returns the resources that the node has used since its start. */
  readonly usage: () => Usage
}

/** Dependencies of the request handlers: the components from the daemon and those that the API creates. */
export interface ApiContext extends ApiOptions {
  readonly configurationIndex: ConfigurationIndex
  readonly access: AccessControl
  readonly admission: Admission
  readonly retryBudget: RetryBudget
}
