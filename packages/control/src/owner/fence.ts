/**
 * Fencing tokens. A worker ignores a command with a lower token than the highest one that its incarnation has seen, so a command
 * with a higher token ends the effect of those before it that have not been carried out.
 */

/**
 * Difference between the epochs of consecutive claims. Each owner has half as many tokens, up to its epoch, so its first token is above the
 * epochs of all earlier claims. Earlier builds claim the next whole number instead, which is above all tokens of this build's owners.
 */
const EPOCH_STEP = 2 ** 24
const TOKENS_PER_OWNER = EPOCH_STEP / 2

/**
 * Returns the epoch for a new claim of the cell.
 *
 * @param epoch epoch of the newest known claim; 0 if there is none
 */
export function epochAfter (epoch: number): number {
  return epoch + EPOCH_STEP
}

/** The fencing tokens of one owner. */
export class Fences {
  private first: number

  /** @param epoch epoch of the owner's claim, and its last token */
  constructor (private readonly epoch: number) {
    this.first = epoch - TOKENS_PER_OWNER
  }

  /** Creates the fence for a new session with a worker, which may have had a session with this owner before. */
  create (): Fence {
    return new Fence(this.first, this.epoch)
  }

  /** Notes that the session of a fence has ended. Later sessions have higher tokens, since its last requests may be carried out late. */
  retire (fence: Fence): void {
    fence.raise()
    this.first = Math.max(this.first, fence.current)
  }
}

/** The fencing token of an owner's commands to one worker. */
export class Fence {
  constructor (private token: number, private readonly last: number) {}

  /** The token for the next command. */
  get current (): number {
    return this.token
  }

  /**
   * Raises the token for all commands that follow.
   *
   * @returns false if the owner has no higher token left
   */
  raise (): boolean {
    if (this.token >= this.last) return false
    this.token++
    return true
  }
}
