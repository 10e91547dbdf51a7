/**
 * What a task or request on a stand-in worker does, as its body says.
 */
import { createHash } from 'node:crypto'
import { ResourcesCodec } from '@fireflymount/protocol/message'
import { Codec, boolean, number, oneOf, optional, unknown, type GetType } from 'purify-ts/Codec'

const BehaviourCodec = Codec.interface({
  /** How long a task runs; absent: until it is stopped. */
  runMs: optional(number),
  /** How long a request takes. */
  workMs: optional(number),
  /** The task's result. */
  result: optional(unknown),
  /** Returned together with the worker's id. */
  echo: optional(unknown),
  /** True: fails. A number: the probability of failure, fixed for each id and attempt. */
  fail: optional(oneOf([boolean, number])),
  /** True use; absent: the declared size. */
  usage: optional(ResourcesCodec),
  /** How long a checkpoint takes. */
  checkpointMs: optional(number),
  /** The checkpoint to continue from. */
  checkpoint: optional(Codec.interface({ ranMs: number }))
})

/** What a task or request does. */
export type Behaviour = Partial<GetType<typeof BehaviourCodec>>

/** Parses a body; one that is no behaviour behaves as if it were empty. */
export function parseBehaviour (body: unknown): Behaviour {
  if (typeof body !== 'object' || body === null) return {}
  const decoded = BehaviourCodec.decode(body)
  return decoded.isRight() ? decoded.extract() : {}
}

/**
 * Decides whether a run fails.
 *
 * @param behaviour what the body says
 * @param run names the run: the same run always has the same outcome
 * @returns true if it fails
 */
export function isFailing (behaviour: Behaviour, run: string): boolean {
  if (behaviour.fail === undefined) return false
  if (typeof behaviour.fail === 'boolean') return behaviour.fail
  const draw = createHash('sha256').update(run).digest().readUInt32BE(0) / 2 ** 32
  return draw < behaviour.fail
}
