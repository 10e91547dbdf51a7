/**
 * Settings files of the daemons that the runner starts.
 */
import { writeFileSync } from 'node:fs'
import { hashSecret } from '@fireflymount/manifest/hash'
import { DEFAULT_LIMITS, DEFAULT_TIMING } from '@fireflymount/manifest/settings-codec'
import type { Settings, Timing } from '@fireflymount/manifest/settings'

const LOOPBACK = '127.0.0.1'

/** Secret of the administration key of every daemon that the runner starts. */
export const ADMINISTRATION_SECRET = 'administration-of-scenarios'

/** Times that let failures of a lease be seen within a scenario. */
export const SCENARIO_TIMING: Timing = { ...DEFAULT_TIMING, leaseMs: 2500, renewMs: 300, confirmationMs: 1200, staleMs: 5000 }

/** Where a daemon listens and whom it asks. */
export interface Place {
  readonly node: string
  readonly zone: string
  readonly apiPort: number
  readonly peerPort: number
  /** Address under which this node reaches the log. */
  readonly log: string
  /** Address under which this node reaches the list of VMs. */
  readonly machines: string
}

/**
 * Writes a daemon's settings.
 *
 * @param file path of the file
 * @param place where the daemon listens and whom it asks
 * @param timing the times
 *
 * @example
 * writeSettings(`${directory}/f1.json`, place, SCENARIO_TIMING)
 */
export function writeSettings (file: string, place: Place, timing: Timing): void {
  const settings: Settings = {
    node: place.node,
    zone: place.zone,
    region: 'scenario',
    api: { host: LOOPBACK, port: place.apiPort },
    peer: { host: LOOPBACK, port: place.peerPort },
    platform: { log: `http://${place.log}`, machines: `http://${place.machines}` },
    administrators: [hashSecret(ADMINISTRATION_SECRET)],
    limits: DEFAULT_LIMITS,
    timing,
    log: { level: 'info' }
  }
  writeFileSync(file, JSON.stringify(settings, undefined, 2))
}
