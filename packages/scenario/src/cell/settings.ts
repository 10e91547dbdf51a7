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

/** Shorter than the defaults, so that leases expire and configuration becomes stale within the time of a scenario. */
export const SCENARIO_TIMING: Timing = { ...DEFAULT_TIMING, leaseMs: 2500, renewMs: 300, confirmationMs: 1200, staleMs: 5000 }

/** Name and zone of a daemon, the ports on which it listens and the addresses that it calls. */
export interface DaemonEndpoints {
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
 * @param endpoints the ports on which the daemon listens and the addresses that it calls
 * @param timing the daemon's timing settings
 *
 * @example
 * writeSettings(`${directory}/f1.json`, endpoints, SCENARIO_TIMING)
 */
export function writeSettings (file: string, endpoints: DaemonEndpoints, timing: Timing): void {
  const settings: Settings = {
    node: endpoints.node,
    zone: endpoints.zone,
    region: 'scenario',
    api: { host: LOOPBACK, port: endpoints.apiPort },
    peer: { host: LOOPBACK, port: endpoints.peerPort },
    platform: { log: `http://${endpoints.log}`, machines: `http://${endpoints.machines}` },
    administrators: [hashSecret(ADMINISTRATION_SECRET)],
    limits: DEFAULT_LIMITS,
    timing,
    log: { level: 'info' }
  }
  writeFileSync(file, JSON.stringify(settings, undefined, 2))
}
