/**
 * Turns in which connections hand on what they have received.
 *
 * A request is parsed before it can be counted or refused, so what is parsed in an iteration of the event loop is bounded. Answers the
 * load of clients that send much on many connections: between two iterations, other events such as answers of the store are handled.
 * Connections take turns of one part each, as in deficit round robin. Those that had nothing waiting alternate with the others, so that a
 * request does not queue behind all that was sent ahead. The event loop accepts one connection in an iteration, so a round in which one
 * is accepted is smaller: a new caller would otherwise wait for a whole round for each connection that is to be accepted before its own.
 */

/** Maximum size of the part that is handed on in a turn. An ordinary request has one part, or a few. */
export const PART_BYTES = 2048
/** Size of the parts that are handed on in one iteration of the event loop. */
const ROUND_BYTES = 32_768
/** What an accepted connection takes of a round. The rest has room for an ordinary request. */
const ACCEPT_BYTES = 24_576
/** Minimum size that a turn is counted with. */
const MIN_TURN_BYTES = 256

/** Hands on one part, and returns its size. */
export type Turn = () => number

/** Turns of the connections of one server. */
export class Turns {
  /** Turns of connections that had nothing waiting. */
  private readonly fresh = new Set<Turn>()
  private readonly backlogged = new Set<Turn>()
  /** Bytes that may be handed on until the next iteration of the event loop. What exceeds a round is taken from the next one. */
  private leftBytes = ROUND_BYTES
  private freshNext = true
  private scheduled = false
  /** True while a connection has its turn. */
  private running = false

  /** Counts a connection that was accepted. */
  accept (): void {
    this.leftBytes -= ACCEPT_BYTES
    this.schedule()
  }

  /** Lets a connection take a turn that had nothing waiting: at once if the round has room, else in one of the next rounds. */
  take (turn: Turn): void {
    if (this.fresh.has(turn) || this.backlogged.has(turn)) return
    if (this.leftBytes <= 0) this.fresh.add(turn)
    else this.runWhileAlone(turn)
    this.schedule()
  }

  /** Lets a connection take a further turn after the others that wait. */
  wait (turn: Turn): void {
    if (!this.fresh.has(turn)) this.backlogged.add(turn)
    if (!this.running) this.schedule()
  }

  /** Takes a turn back that is waiting. */
  remove (turn: Turn): void {
    this.fresh.delete(turn)
    this.backlogged.delete(turn)
  }

  private runWhileAlone (turn: Turn): void {
    this.run(turn)
    while (this.leftBytes > 0 && this.backlogged.size === 1 && this.backlogged.delete(turn)) this.run(turn)
  }

  private run (turn: Turn): void {
    this.running = true
    this.leftBytes -= Math.max(MIN_TURN_BYTES, turn())
    this.running = false
  }

  private schedule (): void {
    if (this.scheduled || (this.leftBytes > 0 && this.fresh.size + this.backlogged.size === 0)) return
    this.scheduled = true
    setImmediate(() => { this.startRound() })
  }

  private startRound (): void {
    this.scheduled = false
    this.leftBytes = ROUND_BYTES + Math.min(0, this.leftBytes)
    while (this.leftBytes > 0) {
      const turn = this.takeNext()
      if (turn === undefined) break
      this.run(turn)
    }
    this.schedule()
  }

  private takeNext (): Turn | undefined {
    const [preferred, other] = this.freshNext ? [this.fresh, this.backlogged] : [this.backlogged, this.fresh]
    this.freshNext = !this.freshNext
    const [turn] = preferred.size > 0 ? preferred : other
    if (turn !== undefined) this.remove(turn)
    return turn
  }
}
