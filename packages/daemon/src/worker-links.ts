/**
 * The connections of a node to workers, with the traffic totals of open and closed connections.
 */
import { addTraffic, NO_TRAFFIC, type Traffic } from '@fireflymount/platform/traffic'
import { RemoteWorker } from '@fireflymount/platform/worker-client'

/** Connects to workers and sums the bytes sent and received. */
export class WorkerLinks {
  private readonly openLinks = new Set<RemoteWorker>()
  private closedControl = NO_TRAFFIC
  private closedRequests = NO_TRAFFIC

  /**
   * Connects to a worker.
   *
   * @param address IP address and port
   * @returns the client
   */
  connect (address: string): RemoteWorker {
    const link: RemoteWorker = new WorkerLink(address, () => { this.addToClosedTotals(link) })
    this.openLinks.add(link)
    return link
  }

  /** @returns the bytes of control traffic since start */
  traffic (): Traffic {
    let total = this.closedControl
    for (const link of this.openLinks) total = addTraffic(total, link.traffic())
    return total
  }

  /** @returns the bytes of callers' requests and their responses since start */
  requestTraffic (): Traffic {
    let total = this.closedRequests
    for (const link of this.openLinks) total = addTraffic(total, link.requestTraffic())
    return total
  }

  private addToClosedTotals (link: RemoteWorker): void {
    if (!this.openLinks.delete(link)) return
    this.closedControl = addTraffic(this.closedControl, link.traffic())
    this.closedRequests = addTraffic(this.closedRequests, link.requestTraffic())
  }
}

/** A client that calls a listener when it is closed. */
class WorkerLink extends RemoteWorker {
  constructor (address: string, private readonly onClose: () => void) {
    super({ address })
  }

  override async close (): Promise<void> {
    await super.close()
    this.onClose()
  }
}
