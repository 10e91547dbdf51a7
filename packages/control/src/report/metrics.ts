/**
 * Counters and latency histograms of a node.
 */
import { Counter, Gauge, Histogram, Registry } from 'prom-client'

/** Upper bounds of the latency buckets in seconds, from a fast call to the longest objective. */
const LATENCY_BUCKETS = [0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30]

/** Upper bounds in seconds of the buckets for delays that only matter once they are long. */
const DELAY_BUCKETS = [0.02, 0.1, 0.5, 1, 4]

/**
 * All metrics of a node. Their names start with `fireflymount_`. They are served in the order of their declaration; the ones that
 * show whether the node and the owner keep up come first, since scrapers may truncate a long answer.
 */
export class Metrics {
  readonly registry = new Registry()
  readonly eventLoopSeconds = this.histogram('event_loop_delay_seconds', 'Delay of timers in this process', [], DELAY_BUCKETS)
  readonly journalAgeSeconds = this.gauge('journal_age_seconds', 'Time since the journal was last read to its end')
  readonly backlogBytes = this.gauge('backlog_bytes', 'Estimated memory that the jobs of the cell hold in this node')
  readonly backlogBoundBytes = this.gauge('backlog_bound_bytes', 'Bound on the memory that the jobs of the cell may hold')
  readonly cancellationSeconds = this.histogram(
    'cancellation_seconds', 'Time from a caller\'s cancellation of a job until the owner has read it', [], DELAY_BUCKETS)

  readonly stopSeconds = this.histogram(
    'stop_seconds', 'Time from the decision to stop a run until its worker has confirmed the stop', [], DELAY_BUCKETS)

  readonly workerCalls = this.counter('worker_calls_total', 'Calls to workers, by call and outcome', ['call', 'outcome'])
  readonly workerSeconds = this.histogram('worker_seconds', 'Time of calls to workers, by call', ['call'], DELAY_BUCKETS)
  readonly gatewayCalls = this.counter(
    'gateway_calls_total', 'Attempts of the owner to call workers through other nodes, or directly, by outcome', ['outcome'])

  readonly requests = this.counter('requests_total', 'Requests of callers, by call and status', ['call', 'status'])
  readonly requestSeconds = this.histogram('request_seconds', 'Time to answer callers, by call', ['call'])
  readonly refusals = this.counter('refusals_total', 'Refused requests, by reason', ['reason'])
  readonly cutoffs = this.counter(
    'entry_cutoffs_total', 'Connections and requests that were refused or closed, by endpoint and reason', ['endpoint', 'reason'])

  readonly entryConnections = this.gauge('entry_connections', 'Open connections, by endpoint', ['endpoint'])
  readonly entryBytes = this.gauge('entry_bytes', 'Estimated memory of requests in progress, by endpoint', ['endpoint'])
  readonly storeCalls = this.counter('store_calls_total', 'Calls to the store, by call and outcome', ['call', 'outcome'])
  readonly storeSeconds = this.histogram('store_seconds', 'Time of calls to the store, by call', ['call'])
  readonly appends = this.counter('appends_total', 'Appends of the owner', [])
  readonly appendBytes = this.counter('append_bytes_total', 'Bytes that the owner appended', [])
  readonly appendSeconds = this.histogram('append_seconds', 'Time of the owner\'s appends', [])
  readonly starts = this.counter('starts_total', 'Runs that began', [])
  readonly startSeconds = this.histogram('start_seconds', 'Time from the assignment of a run to its start', [])
  readonly runEnds = this.counter('ends_total', 'Runs that ended, by ending', ['ending'])
  readonly runEndWriteSeconds = this.histogram(
    'end_write_seconds', 'Time from the report of ended runs until their changes are in the journal', [], DELAY_BUCKETS)

  readonly missingRuns = this.counter('missing_runs_total', 'Runs that a worker listed no more although no end of them was reported', [])
  readonly delayedReleases = this.counter(
    'delayed_releases_total', 'Runs that were not running and were kept because a start of them could still be carried out', [])

  readonly evacuatedZone = this.gauge('evacuated_zone', '1 while an availability zone is being evacuated, by zone', ['zone'])
  readonly evacuationWaits = this.counter('evacuation_waits_total', 'Tasks whose permitted workers were all in evacuated zones', [])
  readonly heldStarts = this.counter('held_starts_total', 'Assignments that were not started because of an evacuation, by reason', ['reason'])
  readonly reportRequests = this.counter('looks_total', 'Renewals of leases on workers', [])
  readonly roundSeconds = this.histogram('round_seconds', 'Time of one round of decisions', [])
  readonly ticketRenewals = this.counter('ticket_renewals_total', 'Requests for new tickets of steps that could not start yet', [])
  readonly jobsEnded = this.counter('jobs_ended_total', 'Jobs that ended, by queue and phase', ['queue', 'phase'])
  readonly jobSeconds = this.histogram('job_seconds', 'Time from the acceptance of a job to its end, by queue', ['queue'])
  readonly yieldingWorkspaces = this.gauge(
    'yielding_workspaces', 'Workspaces whose waiting steps yield to those of others because of what they have used')

  readonly claims = this.counter('claims_total', 'Claims of ownership by this node, by outcome', ['outcome'])

  /** Returns the metrics in the Prometheus text format. */
  async text (): Promise<string> {
    return await this.registry.metrics()
  }

  private counter<T extends string> (name: string, help: string, labelNames: T[]): Counter<T> {
    return new Counter({ name: `fireflymount_${name}`, help, labelNames, registers: [this.registry] })
  }

  private gauge<T extends string> (name: string, help: string, labelNames: T[] = []): Gauge<T> {
    return new Gauge({ name: `fireflymount_${name}`, help, labelNames, registers: [this.registry] })
  }

  private histogram<T extends string> (
    name: string, help: string, labelNames: T[], buckets: readonly number[] = LATENCY_BUCKETS
  ): Histogram<T> {
    return new Histogram({ name: `fireflymount_${name}`, help, labelNames, buckets: [...buckets], registers: [this.registry] })
  }
}
