/**
 * Requests configuration records from several peers and selects the freshest response.
 */
import type { RecordsPage } from '@fireflymount/protocol/message'

/** Number of peers that are asked in parallel. */
const MAX_PEERS_ASKED = 4

/**
 * Asks randomly chosen peers and returns the response with the highest next offset. Among equal ones, it returns that of
 * the peer whose configuration was confirmed most recently. The choice is random because, with a fixed order, two nodes that
 * cannot reach the log could keep asking only each other.
 *
 * @param nodes the peers
 * @param ask asks one peer; returns undefined if it did not respond
 * @returns the freshest response, or undefined if no peer responded
 *
 * @example
 * const page = await askFreshest(members.nodes(), (node) => requestRecords(node, from))
 */
export async function askFreshest (
  nodes: readonly string[], ask: (node: string) => Promise<RecordsPage | undefined>
): Promise<RecordsPage | undefined> {
  const pages = await Promise.all(pickRandomNodes(nodes).map(ask))
  let best: RecordsPage | undefined
  for (const page of pages) {
    if (page !== undefined && (best === undefined || isFresher(page, best))) best = page
  }
  return best
}

function isFresher (page: RecordsPage, best: RecordsPage): boolean {
  if (page.next !== best.next) return page.next > best.next
  return (page.ageMs ?? Infinity) < (best.ageMs ?? Infinity)
}

function pickRandomNodes (nodes: readonly string[]): string[] {
  const remaining = [...nodes]
  const chosen: string[] = []
  while (remaining.length > 0 && chosen.length < MAX_PEERS_ASKED) {
    chosen.push(...remaining.splice(Math.floor(Math.random() * remaining.length), 1))
  }
  return chosen
}
