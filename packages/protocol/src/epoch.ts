/**
 * Ownership epochs of a shard. A worker rejects a command whose epoch is older than the newest one that it has seen.
 */

/** One period of ownership of a shard. Epochs are ordered by counter, then by node name. */
export interface Epoch {
  readonly counter: number
  readonly node: string
}

/** The epoch of a shard that has never had an owner. It is older than all others. */
export const NO_EPOCH: Epoch = { counter: 0, node: '' }

/**
 * Orders two epochs.
 *
 * @param left the first epoch
 * @param right the second epoch
 * @returns a negative number if left is older, zero if they are equal, a positive number if left is newer
 *
 * @example
 * if (compareEpochs(command.epoch, worker.epoch) < 0) return refuse()
 */
export function compareEpochs (left: Epoch, right: Epoch): number {
  if (left.counter !== right.counter) return left.counter - right.counter
  if (left.node === right.node) return 0
  return left.node < right.node ? -1 : 1
}
