/**
 * Rendezvous hashing: every node computes the same order of candidates for a shard. When a node joins or leaves,
 * the first candidate changes only for the shards whose first candidate that node is or was.
 */

/** Parameters of the 32-bit FNV-1a hash. */
const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

/**
 * Orders the candidate nodes of a shard.
 *
 * @param shard the shard's name
 * @param nodes names of nodes, in any order
 * @returns the names, first candidate first
 *
 * @example
 * const [owner, ...standbys] = rankNodes('bee-planner', nodes)
 */
export function rankNodes (shard: string, nodes: readonly string[]): string[] {
  const scored = nodes.map((node) => ({ node, score: hashName(`${node}/${shard}`) }))
  scored.sort((left, right) => right.score - left.score || (left.node < right.node ? -1 : 1))
  return scored.map((candidate) => candidate.node)
}

function hashName (text: string): number {
  let hash = FNV_OFFSET
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME)
  }
  // The finalizer of MurmurHash3. Without it, names that differ only in their last characters would get similar scores.
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}
