/**
 * The gate's view of connections and requests.
 */

import { JsonShape } from '@fireflymount/entry/json-shape'

/** A connection. The gate keeps its state in the fields. */
export abstract class Line {
  /** Requests in progress: receiving, waiting and handled. */
  requests = 0
  /** Bytes that closing the connection sets free. */
  freeable = 0
  /** The request whose body is arriving. */
  receiving: Passage | undefined
  /** Complete requests that wait for those before them. */
  readonly waiting: Passage[] = []
  readonly handled = new Set<Passage>()
  /** Number of requests that are being handled, without those whose answer is being sent. */
  working = 0
  /** Received bytes that wait until the connection is read again, in the process and in the kernel. */
  waitingBytes = 0
  held = false
  closed = false
  /** True if the connection is in use without a request. */
  occupied = false
  /** Time at which the request that is arriving began, to the interval of the sweeps. */
  arrivingSinceMs = 0
  /** Bytes that the client had read, and since when the number has not changed while there was more to read. */
  readBytes = 0
  unreadSinceMs: number | undefined

  /** True if the client has read nothing of its answers since the last sweep, although there is something to read. */
  get stalled (): boolean {
    return this.unread() > 0 && this.sent() === this.readBytes
  }

  /** Stops reading from the client. */
  abstract hold (): void
  /** Reads from the client again. */
  abstract resume (): void
  /** Closes the connection at once. `Gate.leave` is called for it. */
  abstract close (): void
  /** Bytes of answers that the client has not read yet, and that are in the memory of the process. */
  abstract unread (): number
  /** Bytes of answers that left the memory of the process. */
  abstract sent (): number
}

/** A request, from its head until the end of its answer. */
export class Passage {
  bytes = 0
  bodyBytes = 0
  /** What the body consists of. */
  readonly shape = new JsonShape()
  /** Memory that is counted for the body while it arrives. */
  reservedBytes = 0
  /** True once the request was handled. */
  settled = false
  /** True once its answer was sent to the end. */
  answered = false

  /**
   * @param declaredBytes size of the body; undefined if the client does not tell it
   * @param handle starts the handling of the request
   */
  constructor (readonly line: Line, readonly declaredBytes: number | undefined, readonly handle: () => void) {}
}
