/**
 * Routes requests to the node that owns a shard.
 */
import type { Request } from '@fireflymount/protocol/message'
import type { Refusal } from '@fireflymount/protocol/refusal'
import type { Result } from 'neverthrow'

/** Finds the owner of a shard and sends requests to it. */
export abstract class Router {
  /**
   * Sends a request to the owner of a shard. Follows the redirect of Reason.NotOwner. Retries after a lost connection if the
   * request certainly did not take effect or if it is idempotent (Submit, Status, Cancel, Explain, DryRun, Survey,
   * Drain, Evacuate).
   *
   * @param shard the upstream's name
   * @param request the request
   * @param timeoutMs longest wait for the result
   * @param signal aborted when the caller disconnects; no further attempts are made after that
   * @returns the owner's response, not validated, or a refusal whose `execution` says whether the work ran
   */
  abstract askOwner (shard: string, request: Request, timeoutMs: number, signal?: AbortSignal): Promise<Result<unknown, Refusal>>

  /** Sends a request to a node by its name. */
  abstract askNode (node: string, request: Request, timeoutMs: number): Promise<Result<unknown, Refusal>>

  /** Names of all nodes that this node knows, including itself, except terminated ones. */
  abstract nodes (): readonly string[]
}
