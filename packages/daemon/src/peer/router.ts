/**
 * Sends requests to the owner of a shard, wherever it is.
 */
import type { Request } from '@fireflymount/protocol/message'
import type { Refusal } from '@fireflymount/protocol/refusal'
import type { Result } from 'neverthrow'

/** Finds the owner of a shard and asks it. */
export abstract class Router {
  /**
   * Asks the owner of a shard. Follows Reason.NotOwner and tries again after a connection failed, as long as the
   * request provably did not take effect or may be repeated (Submit, Status, Cancel, Explain, Survey).
   *
   * @param shard the upstream's name
   * @param request the request
   * @param timeoutMs longest time until the result
   * @param signal aborts when the caller has gone; what has not left for a worker need not be sent
   * @returns the owner's answer, not checked further, or a refusal that tells whether the work ran
   */
  abstract ask (shard: string, request: Request, timeoutMs: number, signal?: AbortSignal): Promise<Result<unknown, Refusal>>

  /** Asks one node by name. */
  abstract askNode (node: string, request: Request, timeoutMs: number): Promise<Result<unknown, Refusal>>

  /** Names of the live nodes that this node knows, itself included. */
  abstract nodes (): readonly string[]
}
