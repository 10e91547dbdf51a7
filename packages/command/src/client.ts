/**
 * Client of the HTTP API, which tries several nodes.
 */
import { Agent, request } from 'undici'
import { err, ok, type Result } from 'neverthrow'
import { Execution } from '@fireflymount/protocol/refusal'
import { ExitCode } from './exit-code.js'
import type { Failure, FailureDetail } from './failure.js'

const CONNECT_TIMEOUT_MS = 2000
/** Longer than the longest wait that a call can ask the API for (60 s). */
const ANSWER_TIMEOUT_MS = 90_000
const MS_PER_SECOND = 1000
/** Error codes of connections that were never established: the call was not sent. */
const NOT_CONNECTED_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED', 'ENOTFOUND', 'EAI_AGAIN', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'
])

/** Whether a call may be sent again after its answer was lost. */
export enum RetryPolicy {
  /** The call is idempotent and may be sent again. */
  Safe = 'safe',
  /** If the answer is lost, Client.call() returns the failure. The caller decides whether to repeat the call. */
  Never = 'never'
}

/** One call of the API. */
export interface ApiCall {
  readonly method: 'GET' | 'POST' | 'PUT' | 'PATCH' | 'DELETE'
  readonly path: string
  readonly retry: RetryPolicy
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: unknown
}

/** A successful answer. */
export interface Answer {
  readonly status: number
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
  readonly body: unknown
}

/** The fields of an application/problem+json answer that the tool uses. */
interface Problem {
  readonly title?: string
  readonly detail?: string
  readonly execution?: Execution
  readonly retryAfterMs?: number
  readonly errors?: readonly FailureDetail[]
  readonly changed?: ReadonlyArray<{ readonly path: string, readonly revision?: number }>
}

/** Calls the API at the first server of a list that answers. */
export class Client {
  private readonly agent = new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS }, pipelining: 1 })

  /**
   * @param servers base URLs, in the order in which they are tried
   * @param key the key to send, if there is one
   */
  constructor (private readonly servers: readonly string[], private readonly key: string | undefined) {}

  /**
   * Makes a call. The next server is tried only if the call provably did not take effect or may be retried. Once the answer to a
   * call other than GET was lost, a refusal by another server does not prove that nothing was executed, so the outcome stays
   * unknown.
   *
   * @param call the call
   * @returns the answer, or the failure
   */
  async call (call: ApiCall): Promise<Result<Answer, Failure>> {
    let failure: Failure = {
      exit: ExitCode.Unreachable, message: 'No server is given. Use --server URL or set FIREFLYMOUNT_SERVER.'
    }
    for (const server of this.servers) {
      const answer = await this.send(server, call)
      if (answer.isOk()) return answer
      failure = call.method === 'GET' ? answer.error : selectFailure(failure, answer.error)
      if (!mayTryNextServer(answer.error, call.retry)) break
    }
    return err(failure)
  }

  /** Closes all connections. */
  async close (): Promise<void> {
    await this.agent.close()
  }

  private async send (server: string, call: ApiCall): Promise<Result<Answer, Failure>> {
    const headers: Record<string, string> = { accept: 'application/json, application/problem+json', ...call.headers }
    if (this.key !== undefined) headers.authorization = `Bearer ${this.key}`
    if (call.body !== undefined) headers['content-type'] = 'application/json'
    try {
      const answer = await request(new URL(call.path, server), {
        dispatcher: this.agent,
        method: call.method,
        headers,
        body: call.body === undefined ? undefined : JSON.stringify(call.body),
        headersTimeout: ANSWER_TIMEOUT_MS,
        bodyTimeout: ANSWER_TIMEOUT_MS
      })
      const body = parseBody(await answer.body.text())
      if (answer.statusCode < 300) return ok({ status: answer.statusCode, headers: answer.headers, body })
      return err(describeProblem(answer.statusCode, body, answer.headers['retry-after']))
    } catch (error) {
      return err(describeConnectionError(server, error))
    }
  }
}

function mayTryNextServer (failure: Failure, retry: RetryPolicy): boolean {
  if (failure.exit === ExitCode.Unreachable) return true
  if (failure.exit === ExitCode.Unknown) return retry === RetryPolicy.Safe
  // 503: this node can't serve the call now; another one may.
  return failure.exit === ExitCode.Refused && failure.status === 503
}

/** Selects the failure to report: a lost answer takes precedence over a refusal, and a refusal over a failed connection. */
function selectFailure (left: Failure, right: Failure): Failure {
  if (left.exit === ExitCode.Unknown) return { ...left, message: `${left.message} Then: ${right.message}` }
  return right.exit === ExitCode.Unreachable && left.exit === ExitCode.Refused ? left : right
}

function parseBody (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

function describeProblem (status: number, body: unknown, retryAfter: string | string[] | undefined): Failure {
  const problem = (typeof body === 'object' && body !== null ? body : {}) as Problem
  const changed = (problem.changed ?? []).map(describeChangedObject)
  const seconds = Number(retryAfter)
  return {
    exit: findExitCode(status, problem.execution),
    status,
    message: `${problem.title ?? 'The server returned an error'} (${status}): ${problem.detail ?? 'It gave no details.'}`,
    retryAfterMs: problem.retryAfterMs ?? (seconds > 0 ? seconds * MS_PER_SECOND : undefined),
    details: [...problem.errors ?? [], ...changed]
  }
}

function describeChangedObject ({ path, revision }: { readonly path: string, readonly revision?: number }): FailureDetail {
  const error = revision === undefined ? 'has been removed' : `has changed at revision ${revision}`
  return { path, mistake: error, mend: 'Read the configuration again and retry the change.' }
}

function findExitCode (status: number, execution: Execution | undefined): ExitCode {
  if (execution === Execution.Unknown) return ExitCode.Unknown
  if (execution === Execution.Run) return ExitCode.Failed
  if (status === 409 || status === 412) return ExitCode.Conflict
  if (execution === undefined && status >= 500) return ExitCode.Unknown
  return ExitCode.Refused
}

/** Reports only the code of the error, because its message can contain the data that was sent. */
function describeConnectionError (server: string, error: unknown): Failure {
  const code = (error as { code?: string }).code ?? 'no code'
  const host = new URL(server).host
  if (NOT_CONNECTED_CODES.has(code)) {
    return {
      exit: ExitCode.Unreachable, message: `${host} cannot be reached (${code}). Check --server and whether the node runs.`
    }
  }
  return {
    exit: ExitCode.Unknown,
    message: `The connection to ${host} was lost before the answer arrived (${code}). Whether the call took effect is unknown.`
  }
}
