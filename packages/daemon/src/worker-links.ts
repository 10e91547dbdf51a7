/**
 * The connections of a node to workers, with totals over those that are closed.
 */
import { addTraffic, NO_TRAFFIC, type Traffic } from '@fireflymount/platform/traffic'
import { RemoteWorker } from '@fireflymount/platform/worker-client'

/** Connects to workers and sums what was sent and received. */
export class WorkerLinks {
  private readonly open = new Set<RemoteWorker>()
  private control = NO_TRAFFIC
  private requests = NO_TRAFFIC

  /**
   * Connects to a worker.
   *
   * @param address IP address and port
   * @returns the client
   */
  connect (address: string): RemoteWorker {
    const link: RemoteWorker = new WorkerLink(address, () => { this.settle(link) })
    this.open.add(link)
    return link
  }

  /** @returns the bytes of control so far */
  traffic (): Traffic {
    let total = this.control
    for (const link of this.open) total = addTraffic(total, link.traffic())
    return total
  }

  /** @returns the bytes of requests so far */
  requestTraffic (): Traffic {
    let total = this.requests
    for (const link of this.open) total = addTraffic(total, link.requestTraffic())
    return total
  }

  private settle (link: RemoteWorker): void {
    if (!this.open.delete(link)) return
    this.control = addTraffic(this.control, link.traffic())
    this.requests = addTraffic(this.requests, link.requestTraffic())
  }
}

/** A client that tells when it is closed. */
class WorkerLink extends RemoteWorker {
  constructor (address: string, private readonly onClose: () => void) {
    super({ address })
  }

  override async close (): Promise<void> {
    await super.close()
    this.onClose()
  }
}
