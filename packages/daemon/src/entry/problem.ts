/**
 * Refusals as HTTP answers of type application/problem+json.
 */
import { Execution, Reason, refuse, type Refusal } from '@fireflymount/protocol/refusal'
import type { ManifestError } from '@fireflymount/manifest/mistake'

/** The body of an answer that is no success. */
export interface Problem {
  readonly type: string
  readonly title: string
  readonly status: number
  readonly detail: string
  readonly execution: Execution
  readonly retryAfterMs?: number
  /** All mistakes in the request, each with its path. */
  readonly errors?: readonly ManifestError[]
  /** With a conflict: the objects that have changed since. */
  readonly changed?: readonly ChangedObject[]
}

/** An object that another publication has changed. */
export interface ChangedObject {
  readonly path: string
  /** Revision of the change; absent if the object was removed. */
  readonly revision?: number
  /** The object as it is now; absent if it was removed. */
  readonly value?: unknown
}

/** How a reason appears over HTTP. */
interface Appearance {
  readonly status: number
  readonly title: string
  /** Used when the refusal names no time and the work did not run. */
  readonly retryAfterMs?: number
}

const PROBLEM_TYPE_PREFIX = 'urn:fireflymount:problem:'
const MS_PER_SECOND = 1000

const APPEARANCES: Readonly<Record<Reason, Appearance>> = {
  [Reason.BadRequest]: { status: 400, title: 'Bad request' },
  [Reason.BadKey]: { status: 401, title: 'Key missing or not valid' },
  [Reason.NoSuchQueue]: { status: 404, title: 'No such queue' },
  [Reason.NoSuchJob]: { status: 404, title: 'No such job' },
  [Reason.WrongTeam]: { status: 403, title: 'Not for this team' },
  [Reason.TooLarge]: { status: 413, title: 'Body too large' },
  [Reason.Infeasible]: { status: 422, title: 'Can never run' },
  [Reason.QueueFull]: { status: 429, title: 'Queue full', retryAfterMs: 1000 },
  [Reason.DeadlineUnreachable]: { status: 503, title: 'Deadline cannot be met', retryAfterMs: 1000 },
  [Reason.DeadlinePassed]: { status: 504, title: 'Deadline passed' },
  [Reason.LimitReached]: { status: 429, title: 'Limit reached', retryAfterMs: 1000 },
  [Reason.NoOwner]: { status: 503, title: 'No owner', retryAfterMs: 1000 },
  [Reason.NotOwner]: { status: 503, title: 'Owner has changed', retryAfterMs: 1000 },
  [Reason.LogUnavailable]: { status: 503, title: 'Log unavailable', retryAfterMs: 5000 },
  [Reason.ConfigurationStale]: { status: 503, title: 'Configuration too old', retryAfterMs: 2000 },
  [Reason.ConnectionLost]: { status: 502, title: 'Connection lost', retryAfterMs: 1000 },
  [Reason.WorkerFailed]: { status: 502, title: 'Worker failed', retryAfterMs: 1000 },
  [Reason.TaskFailed]: { status: 502, title: 'Work failed' },
  [Reason.Cancelled]: { status: 409, title: 'Cancelled' },
  [Reason.Conflict]: { status: 409, title: 'Conflict' },
  [Reason.Leaving]: { status: 503, title: 'Node is stopping', retryAfterMs: 1000 },
  [Reason.KeyReused]: { status: 422, title: 'Idempotency key reused' },
  [Reason.Malformed]: { status: 502, title: 'Malformed message' },
  [Reason.Overloaded]: { status: 503, title: 'Node is full', retryAfterMs: 1000 }
}

/** Mistakes that concern HTTP alone. */
export enum Misuse {
  UnknownRoute = 'unknown-route',
  WrongMethod = 'wrong-method',
  WrongContentType = 'wrong-content-type',
  HeadersTooLarge = 'headers-too-large',
  ReceiveTimeout = 'receive-timeout',
  PreconditionMissing = 'precondition-missing',
  PreconditionFailed = 'precondition-failed',
  Invalid = 'invalid',
  Internal = 'internal'
}

const MISUSES: Readonly<Record<Misuse, Appearance>> = {
  [Misuse.UnknownRoute]: { status: 404, title: 'No such resource' },
  [Misuse.WrongMethod]: { status: 405, title: 'Method not allowed' },
  [Misuse.WrongContentType]: { status: 415, title: 'Content type not supported' },
  [Misuse.ReceiveTimeout]: { status: 408, title: 'Request not received in time' },
  [Misuse.HeadersTooLarge]: { status: 431, title: 'Headers too large' },
  [Misuse.PreconditionMissing]: { status: 428, title: 'Precondition required' },
  [Misuse.PreconditionFailed]: { status: 412, title: 'Precondition failed' },
  [Misuse.Invalid]: { status: 422, title: 'Not valid' },
  [Misuse.Internal]: { status: 500, title: 'Internal error' }
}

/**
 * Describes a refusal for the caller.
 *
 * @param refusal why the work was refused or failed, and what is known about its execution
 * @returns the problem; it says when to come back only where that helps
 *
 * @example
 * return answerProblem(createProblem(answer.error))
 */
export function createProblem (refusal: Refusal): Problem {
  const appearance = APPEARANCES[refusal.reason]
  const waiting = refusal.execution === Execution.NotRun ? appearance.retryAfterMs : undefined
  const retryAfterMs = refusal.retryAfterMs ?? waiting
  return {
    type: PROBLEM_TYPE_PREFIX + refusal.reason,
    title: appearance.title,
    status: appearance.status,
    detail: refusal.detail,
    execution: refusal.execution,
    ...(retryAfterMs === undefined ? {} : { retryAfterMs })
  }
}

/**
 * Describes a mistake in the use of HTTP.
 *
 * @param misuse the mistake
 * @param detail the mistake and how to mend it
 * @param more errors by path, or changed objects
 * @returns the problem
 *
 * @example
 * createMisuse(Misuse.UnknownRoute, 'There is no resource at this path.')
 */
export function createMisuse (misuse: Misuse, detail: string, more: Pick<Problem, 'errors' | 'changed'> = {}): Problem {
  const { status, title } = MISUSES[misuse]
  const execution = misuse === Misuse.Internal ? Execution.Unknown : Execution.NotRun
  return { type: PROBLEM_TYPE_PREFIX + misuse, title, status, detail, execution, ...more }
}

/**
 * Describes a malformed request.
 *
 * @param detail the mistake and how to mend it
 * @param errors the mistakes by path
 * @returns the problem, with status 400
 *
 * @example
 * createBadRequest('The body has 2 mistakes.', errors)
 */
export function createBadRequest (detail: string, errors?: readonly ManifestError[]): Problem {
  const problem = createProblem(refuse(Reason.BadRequest, detail))
  return errors === undefined ? problem : { ...problem, errors }
}

/**
 * Turns a problem into an answer.
 *
 * @param problem what to tell the caller
 * @param headers further headers
 * @returns the HTTP answer, with `Retry-After` in whole seconds where coming back helps
 *
 * @example
 * return answerProblem(createProblem(refuse(Reason.NoSuchQueue, 'There is no queue "x".')))
 */
export function answerProblem (problem: Problem, headers: Readonly<Record<string, string>> = {}): Response {
  const all: Record<string, string> = { ...headers, 'content-type': 'application/problem+json' }
  if (problem.retryAfterMs !== undefined) all['retry-after'] = String(Math.ceil(problem.retryAfterMs / MS_PER_SECOND))
  if (problem.status === 401) all['www-authenticate'] = 'Bearer'
  return new Response(JSON.stringify(problem), { status: problem.status, headers: all })
}
