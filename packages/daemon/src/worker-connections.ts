/**
 * The connections of a node to workers, with the traffic totals of open and closed connections.
 */
import { addByteCounts, NO_BYTES, type ByteCounts } from '@fireflymount/service-clients/byte-counts'
import { RemoteWorker } from '@fireflymount/service-clients/worker-client'

/** Connects to workers and sums the bytes sent and received. */
export class WorkerConnections {
  private readonly openConnections = new Set<RemoteWorker>()
  private closedControl = NO_BYTES
  private closedRequests = NO_BYTES

  /**
   * Connects to a worker.
   *
   * @param address IP address and port
   * @returns the client
   */
  connect (address: string): RemoteWorker {
    const connection: RemoteWorker = new WorkerConnection(address, () => { this.addToClosedTotals(connection) })
    this.openConnections.add(connection)
    return connection
  }

  /** @returns the bytes of control traffic since start */
  traffic (): ByteCounts {
    let total = this.closedControl
    for (const connection of this.openConnections) total = addByteCounts(total, connection.traffic())
    return total
  }

  /** @returns the bytes of callers' requests and their responses since start */
  requestTraffic (): ByteCounts {
    let total = this.closedRequests
    for (const connection of this.openConnections) total = addByteCounts(total, connection.requestTraffic())
    return total
  }

  private addToClosedTotals (connection: RemoteWorker): void {
    if (!this.openConnections.delete(connection)) return
    this.closedControl = addByteCounts(this.closedControl, connection.traffic())
    this.closedRequests = addByteCounts(this.closedRequests, connection.requestTraffic())
  }
}

/** A client that calls a listener when it is closed. */
class WorkerConnection extends RemoteWorker {
  constructor (address: string, private readonly onClose: () => void) {
    super({ address })
  }

  override async close (): Promise<void> {
    await super.close()
    this.onClose()
  }
}
