/**
 * The behaviour of a task or request on a stand-in worker, as specified by its body.
 */
import { createHash } from 'node:crypto'
import { ResourcesCodec } from '@fireflymount/protocol/message'
import { Codec, boolean, number, oneOf, optional, unknown, type GetType } from 'purify-ts/Codec'

const BehaviourCodec = Codec.interface({
  /** Run time of a task. Without it, the task runs until it is stopped. */
  runMs: optional(number),
  /** Run time of a request. */
  workMs: optional(number),
  /** The task's result. */
  result: optional(unknown),
  /** Returned in the result, together with the worker's id. */
  echo: optional(unknown),
  /** True: the run fails. A number: the probability of failure; the outcome is the same for the same id and attempt. */
  fail: optional(oneOf([boolean, number])),
  /** Actual resource usage. Without it, the declared size. */
  usage: optional(ResourcesCodec),
  /** Time that a checkpoint takes. */
  checkpointMs: optional(number),
  /** The checkpoint to resume from. */
  checkpoint: optional(Codec.interface({ ranMs: number }))
})

/** The behaviour of a task or request. */
export type Behaviour = Partial<GetType<typeof BehaviourCodec>>

/** Parses a body. An invalid body is treated as an empty one. */
export function parseBehaviour (body: unknown): Behaviour {
  if (typeof body !== 'object' || body === null) return {}
  const decoded = BehaviourCodec.decode(body)
  return decoded.isRight() ? decoded.extract() : {}
}

/**
 * Decides whether a run fails.
 *
 * @param behaviour the parsed body
 * @param runKey the key of the run; the same key always has the same outcome
 * @returns true if it fails
 */
export function isFailing (behaviour: Behaviour, runKey: string): boolean {
  if (behaviour.fail === undefined) return false
  if (typeof behaviour.fail === 'boolean') return behaviour.fail
  const draw = createHash('sha256').update(runKey).digest().readUInt32BE(0) / 2 ** 32
  return draw < behaviour.fail
}
