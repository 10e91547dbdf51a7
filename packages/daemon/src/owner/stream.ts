/**
 * Constants of a shard's stream.
 */

/** Number of records after which the owner writes a snapshot. */
export const SNAPSHOT_INTERVAL_RECORDS = 2000
/**
 * Time after which the owner writes a snapshot. It must be well below the retention of the log, which is a setting of the log
 * service.
 */
export const SNAPSHOT_INTERVAL_MS = 300_000
/** Time for which a claim, or the write of one part of a snapshot, is retried. */
export const CLAIM_OR_SNAPSHOT_PART_TIMEOUT_MS = 500
