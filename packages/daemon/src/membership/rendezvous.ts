/**
 * Rendezvous hashing: every node orders the candidates of a shard alike, and a change of one node moves only its shards.
 */

const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

/**
 * Orders nodes for a shard.
 *
 * @param shard the shard's name
 * @param nodes names of nodes, in any order
 * @returns the names, first candidate first
 *
 * @example
 * const [owner, ...standbys] = rankNodes('bee-planner', nodes)
 */
export function rankNodes (shard: string, nodes: readonly string[]): string[] {
  const scored = nodes.map((node) => ({ node, score: hashOf(`${node}/${shard}`) }))
  scored.sort((left, right) => right.score - left.score || (left.node < right.node ? -1 : 1))
  return scored.map((entry) => entry.node)
}

function hashOf (text: string): number {
  let hash = FNV_OFFSET
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME)
  }
  // Names that differ only in the last characters would stay close together without this mixing.
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}
