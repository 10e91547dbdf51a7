/**
 * Drives the stand-ins from tests and scenarios, through the endpoints that only stand-ins have.
 */
import type { LogPage, LogRecord } from '@fireflymount/platform/log'
import type { Vm } from '@fireflymount/platform/machines'
import { request, type Dispatcher } from 'undici'
import type { CounterTable } from './counters.js'
import type { Fault } from './faults.js'
import type { RecordEntry, RecordPage } from './record.js'
import type { WorkerFault } from './worker-faults.js'

export type { Count, CounterTable } from './counters.js'
export type { Fault } from './faults.js'
export { Event, type RecordEntry } from './record.js'
export { Command, type WorkerFault } from './worker-faults.js'

const TIMEOUT_MS = 5_000

/** Limits of the stand-in's log. Absent fields stay as they are. */
export interface LogLimits {
  /** Records that a stream retains. */
  readonly retention?: number
  readonly appendsPerSecond?: number
}

/** The line that `platform.js` prints when it listens. */
export interface PlatformListening {
  readonly listening: string
}

/** The line that `worker.js` prints when all its workers listen. */
export interface WorkersListening {
  readonly listening: readonly { readonly id: string, readonly address: string }[]
}

/** Controls a stand-in of the platform's services. */
export class PlatformControl {
  /** @param address IP address and port */
  constructor (private readonly address: string) {}

  /** Switches faults of the log. */
  async faultLog (fault: Fault): Promise<void> {
    await call(this.address, 'POST', '/standin/log/faults', fault)
  }

  /** Switches the faults of the log off. */
  async mendLog (): Promise<void> {
    await call(this.address, 'DELETE', '/standin/log/faults')
  }

  /** Changes the retention and the budget of the log. */
  async limitLog (limits: LogLimits): Promise<void> {
    await call(this.address, 'POST', '/standin/log/limits', limits)
  }

  /** Expires the records of a stream before an offset. */
  async expire (stream: string, before: number): Promise<void> {
    await call(this.address, 'POST', `/standin/log/streams/${encodeURIComponent(stream)}/expiry`, { before })
  }

  /** @returns the names of all streams */
  async streams (): Promise<readonly string[]> {
    const answer = await call<{ streams: string[] }>(this.address, 'GET', '/standin/log/streams')
    return answer.streams
  }

  /** @returns every record ever appended to a stream, expired ones too */
  async dump (stream: string): Promise<LogRecord[]> {
    const records: LogRecord[] = []
    while (true) {
      const path = `/standin/log/streams/${encodeURIComponent(stream)}?from=${records.length}`
      const page = await call<LogPage>(this.address, 'GET', path)
      if (page.records.length === 0) return records
      records.push(...page.records)
    }
  }

  /** Adds or replaces VMs of the list. */
  async putVms (vms: readonly Vm[]): Promise<void> {
    await call(this.address, 'POST', '/standin/vms', { vms })
  }

  /** Changes fields of a VM, for instance its state. */
  async patchVm (id: string, fields: Partial<Vm>): Promise<void> {
    await call(this.address, 'PATCH', `/standin/vms/${encodeURIComponent(id)}`, fields)
  }

  /** Takes a VM off the list. */
  async removeVm (id: string): Promise<void> {
    await call(this.address, 'DELETE', `/standin/vms/${encodeURIComponent(id)}`)
  }

  /** @returns the VMs as they are, whatever the list shows */
  async vms (): Promise<readonly Vm[]> {
    const answer = await call<{ vms: Vm[] }>(this.address, 'GET', '/standin/vms')
    return answer.vms
  }

  /** Sets the time after which changes of VMs become visible. */
  async lagList (lagMs: number): Promise<void> {
    await call(this.address, 'POST', '/standin/list/lag', { lagMs })
  }

  /** Switches faults of the list. */
  async faultList (fault: Fault): Promise<void> {
    await call(this.address, 'POST', '/standin/list/faults', fault)
  }

  /** Switches the faults of the list off. */
  async mendList (): Promise<void> {
    await call(this.address, 'DELETE', '/standin/list/faults')
  }

  /** Makes the open connections carry nothing from now on; new ones work. */
  async silence (): Promise<void> {
    await call(this.address, 'POST', '/standin/connections/silence', {})
  }

  /** @returns the counters of all calls */
  async counters (): Promise<CounterTable> {
    return await call(this.address, 'GET', '/standin/counters')
  }
}

/** Controls a stand-in worker. */
export class WorkerControl {
  /** @param address IP address and port */
  constructor (private readonly address: string) {}

  /** Switches faults. */
  async fault (fault: WorkerFault): Promise<void> {
    await call(this.address, 'POST', '/standin/faults', fault)
  }

  /** Switches all faults off. */
  async mend (): Promise<void> {
    await call(this.address, 'DELETE', '/standin/faults')
  }

  /** Makes the open connections carry nothing from now on; new ones work. */
  async silence (): Promise<void> {
    await call(this.address, 'POST', '/standin/connections/silence', {})
  }

  /** Loses everything that runs, and starts again with a new boot id. */
  async restart (): Promise<void> {
    await call(this.address, 'POST', '/standin/restart', {})
  }

  /**
   * Reads the record of everything that ran.
   *
   * @param from sequence number of the first entry wanted
   * @returns all entries from there on
   */
  async record (from = 0): Promise<RecordEntry[]> {
    const entries: RecordEntry[] = []
    while (true) {
      const page = await call<RecordPage>(this.address, 'GET', `/standin/record?from=${from + entries.length}`)
      if (page.dropped > 0) throw new Error(`The record of ${this.address} is incomplete: ${page.dropped} entries dropped.`)
      if (page.entries.length === 0) return entries
      entries.push(...page.entries)
    }
  }
}

async function call<T> (address: string, method: Dispatcher.HttpMethod, path: string, message?: object): Promise<T> {
  const answer = await request(`http://${address}${path}`, {
    method,
    body: message === undefined ? undefined : JSON.stringify(message),
    headers: message === undefined ? {} : { 'content-type': 'application/json' },
    reset: true,
    headersTimeout: TIMEOUT_MS,
    bodyTimeout: TIMEOUT_MS
  })
  const body = await answer.body.text()
  if (answer.statusCode !== 200) throw new Error(`${method} ${path} at ${address} answered ${answer.statusCode}: ${body}`)
  return JSON.parse(body) as T
}
