/**
 * Chooses among the answers of several peers.
 */
import type { RecordsPage } from '@fireflymount/protocol/message'

/** Peers that are asked at the same time. */
const PEER_COUNT = 4

/**
 * Asks some peers at random and returns the answer that leads furthest; of equal ones the one of the peer that
 * was in touch with the log most recently. Asking always the same peer first would leave two nodes that are cut off
 * from the log with each other.
 *
 * @param nodes the peers
 * @param ask asks one peer; undefined if it did not answer
 * @returns the answer, or undefined if none answered
 *
 * @example
 * const page = await askFreshest(members.nodes(), (node) => askRecords(node, from))
 */
export async function askFreshest (
  nodes: readonly string[], ask: (node: string) => Promise<RecordsPage | undefined>
): Promise<RecordsPage | undefined> {
  const pages = await Promise.all(chooseNodes(nodes).map(ask))
  let best: RecordsPage | undefined
  for (const page of pages) {
    if (page !== undefined && (best === undefined || leadsFurther(page, best))) best = page
  }
  return best
}

function leadsFurther (page: RecordsPage, best: RecordsPage): boolean {
  if (page.next !== best.next) return page.next > best.next
  return (page.ageMs ?? Infinity) < (best.ageMs ?? Infinity)
}

function chooseNodes (nodes: readonly string[]): string[] {
  const left = [...nodes]
  const chosen: string[] = []
  while (left.length > 0 && chosen.length < PEER_COUNT) {
    chosen.push(...left.splice(Math.floor(Math.random() * left.length), 1))
  }
  return chosen
}
