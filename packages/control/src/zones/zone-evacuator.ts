/**
 * What the owner does about evacuated zones beside placing and starting nothing there, and what it tells operators of it.
 */
import type { AdvisorClient } from '../owner/advisor-client.js'
import type { ReadyStep } from '../owner/ready-step.js'
import type { Session } from '../owner/session.js'
import { isEligible } from '../place/fit.js'
import type { Log } from '../report/log.js'
import type { Metrics } from '../report/metrics.js'
import { ZONE_EVACUATED, type ZoneStatus } from './evacuations.js'

/** Dependencies of the evacuator. */
export interface ZoneEvacuatorOptions {
  readonly zones: ZoneStatus
  readonly sessions: ReadonlyMap<string, Session>
  readonly advisorClient: AdvisorClient
  readonly metrics: Metrics
  readonly log: Log
}

/** Follows the evacuated zones for one owner. */
export class ZoneEvacuator {
  /** Steps that wait for an evacuated zone. Each is logged and counted once, until a zone is taken back. */
  private readonly waitingSteps = new Set<string>()
  private placing = true
  private workersKnown = false

  constructor (private readonly options: ZoneEvacuatorOptions) {}

  /** Handles the zones that were evacuated before the owner knew the workers. */
  onWorkersKnown (): void {
    if (this.workersKnown) return
    this.workersKnown = true
    for (const zone of this.options.zones.evacuated()) this.onEvacuated(zone)
  }

  /** Handles the request to evacuate a zone. What runs there is left to end. */
  onEvacuated (zone: string): void {
    if (!this.workersKnown) return
    const { sessions, advisorClient, log } = this.options
    const evacuated = [...sessions.values()].filter(({ worker }) => worker.zone === zone)
    const runs = evacuated.reduce((sum, session) => sum + session.runs.size, 0)
    log.decision('evacuate zone', { zone, workers: evacuated.length, runs })
    if (evacuated.length === 0) {
      const known = new Set([...sessions.values()].map(({ worker }) => worker.zone))
      log.event('evacuated zone has no workers', { zone, known: [...known].sort().join(' ') })
    }
    advisorClient.dropRequestsFor((worker) => sessions.get(worker)?.isEvacuated() === true)
  }

  /** Handles the end of the evacuation of a zone. */
  onTakenBack (zone: string): void {
    this.options.log.decision('use zone again', { zone })
    this.waitingSteps.clear()
  }

  /** Returns false if nothing may be started now, since the requests to evacuate zones were read too long ago. */
  mayStart (): boolean {
    const may = this.options.zones.maxStartValidityMs() > 0
    if (may === this.placing) return may
    this.placing = may
    if (may) this.options.log.event('placement resumed', {})
    else this.options.log.event('placement paused', { detail: 'The evacuations of zones were read too long ago.' })
    return may
  }

  /**
   * Tells operators of a step for which no worker was found, if all workers that may run it are in evacuated zones.
   *
   * @param advised the step needs the advisor's tickets
   */
  onNoWorker (readyStep: ReadyStep, advised: boolean): void {
    const { name, waiting } = readyStep
    const [anyZone] = this.options.zones.evacuated()
    if (anyZone === undefined || this.waitingSteps.has(name)) return
    const zones = this.findZones(readyStep, advised)
    if (zones.size === 0) return
    this.waitingSteps.add(name)
    this.options.metrics.evacuationWaits.inc(waiting.length)
    this.options.log.decision('step waits', { step: name, tasks: waiting.length, reason: ZONE_EVACUATED, zones: [...zones].join(' ') })
  }

  private findZones ({ name, step, entry }: ReadyStep, advised: boolean): Set<string> {
    const zones = new Set<string>()
    const { advisorClient, sessions } = this.options
    for (const session of sessions.values()) {
      const { zone, upstream, labels, capacity } = session.worker
      if (!session.isEvacuated() || zones.has(zone) || upstream !== entry.job.upstream) continue
      const forbidden = advised && advisorClient.wasAsked(name, session.id) && !advisorClient.hasTicket(name, session.id)
      if (!forbidden && isEligible(step, labels, capacity)) zones.add(zone)
    }
    return zones
  }
}
