/**
 * Settings of a shard's stream.
 */

/** Number of records after which the owner writes a snapshot. */
export const SNAPSHOT_INTERVAL_RECORDS = 2000
/** Time after which the owner writes a snapshot; it must be well below the retention of the log, which is a setting of the log service. */
export const SNAPSHOT_INTERVAL_MS = 300_000
/** Time after which a claim fails and the log counts as unavailable. */
export const CLAIM_TIMEOUT_MS = 500
