/**
 * Clients of the endpoints that only stand-ins have. Tests use them to inject faults and to read what happened.
 */
import type { LogPage, LogRecord } from '@fireflymount/service-clients/log'
import type { Vm } from '@fireflymount/service-clients/vm-list'
import { request, type Dispatcher } from 'undici'
import type { CounterTable } from './counters.js'
import type { Fault } from './faults.js'
import type { EventEntry, EventPage } from './event-history.js'
import type { WorkerFault } from './worker-faults.js'

export type { CallCounts, CounterTable } from './counters.js'
export type { Fault } from './faults.js'
export { Event, type EventEntry } from './event-history.js'
export { Call, type WorkerFault } from './worker-faults.js'

const CALL_TIMEOUT_MS = 5_000

/** Limits of the stand-in's log. Fields that are absent do not change. */
export interface LogLimits {
  /** Maximum number of records that a stream retains. */
  readonly retention?: number
  readonly appendsPerSecond?: number
}

/** The line that `platform.js` prints once it listens. */
export interface PlatformListening {
  /** IP address and port. */
  readonly listening: string
}

/** The line that `worker.js` prints once all its workers listen. */
export interface WorkersListening {
  readonly listening: readonly { readonly id: string, readonly address: string }[]
}

/** Controls a stand-in for the platform's services. */
export class PlatformControl {
  /** @param address IP address and port */
  constructor (private readonly address: string) {}

  /** Changes the injected faults of the log. */
  async injectLogFault (fault: Fault): Promise<void> {
    await call(this.address, 'POST', '/standin/log/faults', fault)
  }

  /** Removes all injected faults of the log. */
  async clearLogFaults (): Promise<void> {
    await call(this.address, 'DELETE', '/standin/log/faults')
  }

  /** Changes the retention and the append limit of the log. */
  async setLogLimits (limits: LogLimits): Promise<void> {
    await call(this.address, 'POST', '/standin/log/limits', limits)
  }

  /** Expires the records of a stream with offsets below `before`. */
  async expireRecords (stream: string, before: number): Promise<void> {
    await call(this.address, 'POST', `/standin/log/streams/${encodeURIComponent(stream)}/expiry`, { before })
  }

  /** @returns the names of all streams */
  async streams (): Promise<readonly string[]> {
    const response = await call<{ streams: string[] }>(this.address, 'GET', '/standin/log/streams')
    return response.streams
  }

  /** @returns every record ever appended to a stream, including expired ones */
  async dump (stream: string): Promise<LogRecord[]> {
    const records: LogRecord[] = []
    while (true) {
      const path = `/standin/log/streams/${encodeURIComponent(stream)}?from=${records.length}`
      const page = await call<LogPage>(this.address, 'GET', path)
      if (page.records.length === 0) return records
      records.push(...page.records)
    }
  }

  /** Adds VMs to the list, or replaces them. */
  async putVms (vms: readonly Vm[]): Promise<void> {
    await call(this.address, 'POST', '/standin/vms', { vms })
  }

  /** Changes fields of a VM, for example its state. */
  async patchVm (id: string, fields: Partial<Vm>): Promise<void> {
    await call(this.address, 'PATCH', `/standin/vms/${encodeURIComponent(id)}`, fields)
  }

  /** Removes a VM from the list. */
  async removeVm (id: string): Promise<void> {
    await call(this.address, 'DELETE', `/standin/vms/${encodeURIComponent(id)}`)
  }

  /** @returns the actual VMs, regardless of the lag of the list */
  async vms (): Promise<readonly Vm[]> {
    const response = await call<{ vms: Vm[] }>(this.address, 'GET', '/standin/vms')
    return response.vms
  }

  /** Sets the delay after which changes of VMs become visible in the list. */
  async setListLag (lagMs: number): Promise<void> {
    await call(this.address, 'POST', '/standin/list/lag', { lagMs })
  }

  /** Changes the injected faults of the list. */
  async injectListFault (fault: Fault): Promise<void> {
    await call(this.address, 'POST', '/standin/list/faults', fault)
  }

  /** Removes all injected faults of the list. */
  async clearListFaults (): Promise<void> {
    await call(this.address, 'DELETE', '/standin/list/faults')
  }

  /**
   * Stops all responses on the connections that are open now, without closing them. A call that arrives on them later has no
   * effect and no response. New connections work.
   */
  async stallConnections (): Promise<void> {
    await call(this.address, 'POST', '/standin/connections/silence', {})
  }

  /** @returns the counters of the appends that were stored or throttled, and of the reads and lists that succeeded */
  async counters (): Promise<CounterTable> {
    return await call(this.address, 'GET', '/standin/counters')
  }
}

/** Controls a stand-in worker. */
export class WorkerControl {
  /** @param address IP address and port */
  constructor (private readonly address: string) {}

  /** Changes the injected faults. */
  async injectFault (fault: WorkerFault): Promise<void> {
    await call(this.address, 'POST', '/standin/faults', fault)
  }

  /** Removes all injected faults. */
  async clearFaults (): Promise<void> {
    await call(this.address, 'DELETE', '/standin/faults')
  }

  /**
   * Stops all responses on the connections that are open now, without closing them. A call that arrives on them later has no
   * effect and no response. New connections work.
   */
  async stallConnections (): Promise<void> {
    await call(this.address, 'POST', '/standin/connections/silence', {})
  }

  /** Restarts the worker: everything that runs is lost, and the boot id changes. */
  async restart (): Promise<void> {
    await call(this.address, 'POST', '/standin/restart', {})
  }

  /**
   * Reads the worker's event history.
   *
   * @param from sequence number of the first entry to read
   * @returns all entries from that number on
   */
  async readEvents (from = 0): Promise<EventEntry[]> {
    const entries: EventEntry[] = []
    while (true) {
      const page = await call<EventPage>(this.address, 'GET', `/standin/record?from=${from + entries.length}`)
      if (page.dropped > 0) throw new Error(`The event history of ${this.address} is incomplete: ${page.dropped} entries were dropped.`)
      if (page.entries.length === 0) return entries
      entries.push(...page.entries)
    }
  }
}

async function call<T> (address: string, method: Dispatcher.HttpMethod, path: string, message?: object): Promise<T> {
  const response = await request(`http://${address}${path}`, {
    method,
    body: message === undefined ? undefined : JSON.stringify(message),
    headers: message === undefined ? {} : { 'content-type': 'application/json' },
    reset: true,
    headersTimeout: CALL_TIMEOUT_MS,
    bodyTimeout: CALL_TIMEOUT_MS
  })
  const body = await response.body.text()
  if (response.statusCode !== 200) throw new Error(`${method} ${path} at ${address} returned ${response.statusCode}: ${body}`)
  return JSON.parse(body) as T
}
