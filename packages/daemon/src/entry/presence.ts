/**
 * Whether this node takes work from callers.
 */

/** States of a node towards callers and the balancer. */
export enum Phase {
  /** No configuration yet. */
  Starting = 'starting',
  Serving = 'serving',
  /** A planned stop is under way: the balancer sends no more, requests in progress are finished. */
  Draining = 'draining'
}

/** The phase of one node. It only moves forward. */
export class Presence {
  private phase = Phase.Starting

  /** @returns the current phase */
  current (): Phase {
    return this.phase
  }

  /** Reports that the node has a configuration and can serve. */
  serve (): void {
    if (this.phase === Phase.Starting) this.phase = Phase.Serving
  }

  /** Reports that a planned stop has begun. */
  drain (): void {
    this.phase = Phase.Draining
  }
}
