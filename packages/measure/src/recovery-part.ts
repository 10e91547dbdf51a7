/**
 * The part "recovery": tables of the measurements of the journal and the configuration.
 */
import { measureRecovery, type ConfigurationResult } from './recovery.js'
import { Part, type Report } from './report.js'

/** Reports group commits, recovery from the journal, and the configuration. */
export class RecoveryPart extends Part {
  readonly name = 'recovery'
  readonly title = 'Group commits, recovery and the configuration'

  async measure (seed: number): Promise<Report> {
    const results = await measureRecovery(seed)
    const { commits, recoveries, folding } = results
    return {
      results,
      tables: [{
        title: 'Group commits: 1,000 changes at each rate, at most one append per 20 ms on average',
        columns: ['changes/s', 'appends', 'bytes', 'p50 ms', 'p99 ms'],
        rows: commits.map(({ changesPerS, appends, bytes, p50Ms, p99Ms }) => [changesPerS, appends, bytes, p50Ms, p99Ms])
      }, {
        title: 'Recovery of a shard from its stream, with four completed tasks for each live one',
        columns: ['live tasks', 'from', 'records', 'kB read', 'ms'],
        rows: recoveries.map(({ liveTasks, snapshot, records, kilobytes, catchUpMs }) =>
          [liveTasks, snapshot ? 'snapshot' : 'first record', records, kilobytes, catchUpMs])
      }, createConfigurationTable(folding)],
      charts: []
    }
  }
}

function createConfigurationTable (folding: ConfigurationResult): Report['tables'][number] {
  const { objects, deltas, foldMs, perDeltaUs, manifestMs, snapshotKilobytes, restoreMs, heapMegabytes } = folding
  return {
    title: 'Applying deltas to the configuration in one process, with one change per delta',
    columns: ['objects', 'deltas', 'apply ms', 'µs a delta', 'manifest ms', 'snapshot kB', 'restore ms', 'heap MB'],
    rows: [[objects, deltas, foldMs, perDeltaUs, manifestMs, snapshotKilobytes, restoreMs, heapMegabytes]]
  }
}
