/**
 * Bounds of a shard's stream.
 */

/** Records after which the owner writes a snapshot. */
export const SNAPSHOT_RECORDS = 2000
/** Time after which the owner writes a snapshot, well inside the retention of the log. */
export const SNAPSHOT_MS = 300_000
/** How long a claim is tried before the log counts as away. */
export const STREAM_PATIENCE_MS = 500
