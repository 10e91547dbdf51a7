/**
 * Problem details: errors as HTTP responses of type application/problem+json (RFC 9457).
 */
import { Execution, Reason, refuse, type Refusal } from '@fireflymount/protocol/refusal'
import type { ManifestError } from '@fireflymount/manifest/validation-error'

/** The body of an error response. */
export interface Problem {
  readonly type: string
  readonly title: string
  readonly status: number
  readonly detail: string
  readonly execution: Execution
  readonly retryAfterMs?: number
  /** All validation errors in the request, each with its path. */
  readonly errors?: readonly ManifestError[]
  /** For a conflict: the objects that changed after the base revision. */
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

/** The fixed members of a kind of problem. */
interface ProblemTemplate {
  readonly status: number
  readonly title: string
  /** Retry delay if the refusal has none and the work did not run. */
  readonly retryAfterMs?: number
}

const PROBLEM_TYPE_PREFIX = 'urn:fireflymount:problem:'
const MS_PER_SECOND = 1000

const REASON_PROBLEMS: Readonly<Record<Reason, ProblemTemplate>> = {
  [Reason.BadRequest]: { status: 400, title: 'Bad request' },
  [Reason.BadKey]: { status: 401, title: 'Key missing or invalid' },
  [Reason.NoSuchQueue]: { status: 404, title: 'No such queue' },
  [Reason.NoSuchJob]: { status: 404, title: 'No such job' },
  [Reason.WrongTeam]: { status: 403, title: 'Not allowed for this team' },
  [Reason.TooLarge]: { status: 413, title: 'Body too large' },
  [Reason.Infeasible]: { status: 422, title: 'Can never run' },
  [Reason.QueueFull]: { status: 429, title: 'Queue full', retryAfterMs: 1000 },
  [Reason.DeadlineUnreachable]: { status: 503, title: 'Deadline cannot be met', retryAfterMs: 1000 },
  [Reason.DeadlinePassed]: { status: 504, title: 'Deadline passed' },
  [Reason.LimitReached]: { status: 429, title: 'Limit reached', retryAfterMs: 1000 },
  [Reason.RateExceeded]: { status: 429, title: 'Rate exceeded', retryAfterMs: 1000 },
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
  [Reason.Overloaded]: { status: 503, title: 'Overloaded', retryAfterMs: 1000 },
  [Reason.Internal]: { status: 500, title: 'Unexpected error' }
}

/** Problems that only the HTTP API raises. */
export enum HttpProblem {
  UnknownResource = 'unknown-route',
  WrongMethod = 'wrong-method',
  WrongContentType = 'wrong-content-type',
  HeadersTooLarge = 'headers-too-large',
  ReceiveTimeout = 'receive-timeout',
  PreconditionMissing = 'precondition-missing',
  PreconditionFailed = 'precondition-failed',
  Invalid = 'invalid',
  Internal = 'internal'
}

const HTTP_PROBLEMS: Readonly<Record<HttpProblem, ProblemTemplate>> = {
  [HttpProblem.UnknownResource]: { status: 404, title: 'No such resource' },
  [HttpProblem.WrongMethod]: { status: 405, title: 'Method not allowed' },
  [HttpProblem.WrongContentType]: { status: 415, title: 'Content type not supported' },
  [HttpProblem.ReceiveTimeout]: { status: 408, title: 'Request not received in time' },
  [HttpProblem.HeadersTooLarge]: { status: 431, title: 'Headers too large' },
  [HttpProblem.PreconditionMissing]: { status: 428, title: 'Precondition required' },
  [HttpProblem.PreconditionFailed]: { status: 412, title: 'Precondition failed' },
  [HttpProblem.Invalid]: { status: 422, title: 'Invalid configuration' },
  [HttpProblem.Internal]: { status: 500, title: 'Internal error' }
}

/**
 * Converts a refusal into a problem.
 *
 * @param refusal why the work was refused or failed, and what is known about its execution
 * @returns the problem; it has a retry delay only if a retry can succeed
 *
 * @example
 * return createProblemResponse(createProblem(answer.error))
 */
export function createProblem (refusal: Refusal): Problem {
  const template = REASON_PROBLEMS[refusal.reason]
  const defaultRetryAfterMs = refusal.execution === Execution.NotRun ? template.retryAfterMs : undefined
  const retryAfterMs = refusal.retryAfterMs ?? defaultRetryAfterMs
  return {
    type: PROBLEM_TYPE_PREFIX + refusal.reason,
    title: template.title,
    status: template.status,
    detail: refusal.detail,
    execution: refusal.execution,
    ...(retryAfterMs === undefined ? {} : { retryAfterMs })
  }
}

/**
 * Creates a problem that only the HTTP API raises.
 *
 * @param kind the kind of problem
 * @param detail what is wrong and how to fix it
 * @param more validation errors by path, or changed objects
 * @returns the problem
 *
 * @example
 * createHttpProblem(HttpProblem.UnknownResource, 'There is no resource at this path.')
 */
export function createHttpProblem (kind: HttpProblem, detail: string, more: Pick<Problem, 'errors' | 'changed'> = {}): Problem {
  const { status, title } = HTTP_PROBLEMS[kind]
  const execution = kind === HttpProblem.Internal ? Execution.Unknown : Execution.NotRun
  return { type: PROBLEM_TYPE_PREFIX + kind, title, status, detail, execution, ...more }
}

/**
 * Creates a problem for a malformed request.
 *
 * @param detail what is wrong and how to fix it
 * @param errors the validation errors by path
 * @returns the problem, with status 400
 *
 * @example
 * createBadRequest('The body has 2 error(s).', errors)
 */
export function createBadRequest (detail: string, errors?: readonly ManifestError[]): Problem {
  const problem = createProblem(refuse(Reason.BadRequest, detail))
  return errors === undefined ? problem : { ...problem, errors }
}

/**
 * Converts a problem into a response.
 *
 * @param problem the problem
 * @param headers further headers
 * @returns the response, with `Retry-After` in whole seconds if the problem has a retry delay
 *
 * @example
 * return createProblemResponse(createProblem(refuse(Reason.NoSuchQueue, 'There is no queue "x".')))
 */
export function createProblemResponse (problem: Problem, headers: Readonly<Record<string, string>> = {}): Response {
  const all = { ...headers, ...createProblemHeaders(problem) }
  return new Response(JSON.stringify(problem), { status: problem.status, headers: all })
}

/**
 * Creates the headers of a problem's response.
 *
 * @param problem the problem
 * @returns the headers, with `Retry-After` in whole seconds if the problem has a retry delay
 */
export function createProblemHeaders (problem: Problem): Record<string, string> {
  const headers: Record<string, string> = { 'content-type': 'application/problem+json' }
  if (problem.retryAfterMs !== undefined) headers['retry-after'] = String(Math.ceil(problem.retryAfterMs / MS_PER_SECOND))
  if (problem.status === 401) headers['www-authenticate'] = 'Bearer'
  return headers
}
