/**
 * The lifecycle phase of this node, which `/readyz` reports to the load balancer.
 */

/** Lifecycle phases of a node, as seen by callers and the load balancer. */
export enum Phase {
  /** The API is not served yet. */
  Starting = 'starting',
  Serving = 'serving',
  /** A graceful shutdown has started: the load balancer stops sending requests, and requests in progress are finished. */
  Draining = 'draining'
}

/** The phase of one node. It never returns to an earlier phase. */
export class Lifecycle {
  private phase = Phase.Starting

  /** @returns the current phase */
  current (): Phase {
    return this.phase
  }

  /** Records that the API is served. The configuration may still be missing. */
  serve (): void {
    if (this.phase === Phase.Starting) this.phase = Phase.Serving
  }

  /** Records that a graceful shutdown has started. */
  drain (): void {
    this.phase = Phase.Draining
  }
}
