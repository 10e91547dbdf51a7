/**
 * Calls the HTTP API of any node.
 */
import { Agent, request } from 'undici'
import { err, ok, type Result } from 'neverthrow'
import { Execution } from '@fireflymount/protocol/refusal'
import { Exit } from './exit.js'
import type { Detail, Failure } from './failure.js'

const CONNECT_TIMEOUT_MS = 2000
/** Longer than any wait that the API offers. */
const ANSWER_TIMEOUT_MS = 90_000
const MS_PER_SECOND = 1000
/** Errors of connections that were never made. */
const NEVER_SENT: ReadonlySet<string> = new Set([
  'ECONNREFUSED', 'ENOTFOUND', 'EAI_AGAIN', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'
])

/** Whether a call may be sent again after its answer was lost. */
export enum Repeat {
  /** Sending it twice has the effect of sending it once. */
  Safe = 'safe',
  Never = 'never'
}

/** One call. */
export interface Call {
  readonly method: 'GET' | 'POST' | 'PUT' | 'PATCH' | 'DELETE'
  readonly path: string
  readonly repeat: Repeat
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: unknown
}

/** A successful answer. */
export interface Reply {
  readonly status: number
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
  readonly body: unknown
}

/** The fields of application/problem+json that the tool shows. */
interface Problem {
  readonly title?: string
  readonly detail?: string
  readonly execution?: Execution
  readonly retryAfterMs?: number
  readonly errors?: readonly Detail[]
  readonly changed?: ReadonlyArray<{ readonly path: string, readonly revision?: number }>
}

/** Tries the servers in their order. */
export class Client {
  private readonly agent = new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS }, pipelining: 1 })

  /**
   * @param servers base URLs, in the order in which they are tried
   * @param key the key, if there is one
   */
  constructor (private readonly servers: readonly string[], private readonly key: string | undefined) {}

  /**
   * Makes a call. Another server is tried only if the call provably did not take effect or may be repeated. Once an
   * answer to a change was lost, a refusal by another server does not show that nothing was run.
   *
   * @param call the call
   * @returns the answer, or why there is none
   */
  async call (call: Call): Promise<Result<Reply, Failure>> {
    let failure: Failure = { exit: Exit.Unreachable, message: 'No server is known. Give --server URL or set FIREFLYMOUNT_SERVER.' }
    for (const server of this.servers) {
      const reply = await this.send(server, call)
      if (reply.isOk()) return reply
      failure = call.method === 'GET' ? reply.error : worse(failure, reply.error)
      if (!mayGoOn(reply.error, call.repeat)) break
    }
    return err(failure)
  }

  /** Closes all connections. */
  async close (): Promise<void> {
    await this.agent.close()
  }

  private async send (server: string, call: Call): Promise<Result<Reply, Failure>> {
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
      return err(describeLoss(server, error))
    }
  }
}

function mayGoOn (failure: Failure, repeat: Repeat): boolean {
  if (failure.exit === Exit.Unreachable) return true
  if (failure.exit === Exit.Unknown) return repeat === Repeat.Safe
  return failure.exit === Exit.Refused && failure.status === 503
}

/** A refusal tells more than a connection that could not be made, and a lost answer must not be hidden by either. */
function worse (left: Failure, right: Failure): Failure {
  if (left.exit === Exit.Unknown) return { ...left, message: `${left.message} Then: ${right.message}` }
  return right.exit === Exit.Unreachable && left.exit === Exit.Refused ? left : right
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
  const changed = (problem.changed ?? []).map(describeChanged)
  const seconds = Number(retryAfter)
  return {
    exit: findExit(status, problem.execution),
    status,
    message: `${problem.title ?? 'The server answered'} (${status}): ${problem.detail ?? 'no more is known.'}`,
    retryAfterMs: problem.retryAfterMs ?? (seconds > 0 ? seconds * MS_PER_SECOND : undefined),
    details: [...problem.errors ?? [], ...changed]
  }
}

function describeChanged ({ path, revision }: { readonly path: string, readonly revision?: number }): Detail {
  const mistake = revision === undefined ? 'has been removed' : `has changed at revision ${revision}`
  return { path, mistake, mend: 'Read the configuration again and repeat the change.' }
}

function findExit (status: number, execution: Execution | undefined): Exit {
  if (execution === Execution.Unknown) return Exit.Unknown
  if (execution === Execution.Run) return Exit.Failed
  if (status === 409 || status === 412) return Exit.Conflict
  if (execution === undefined && status >= 500) return Exit.Unknown
  return Exit.Refused
}

/** Only the code is shown: the message of an error can hold what was sent. */
function describeLoss (server: string, error: unknown): Failure {
  const code = (error as { code?: string }).code ?? 'no code'
  const host = new URL(server).host
  if (NEVER_SENT.has(code)) return { exit: Exit.Unreachable, message: `${host} cannot be reached (${code}). Check --server and that the node runs.` }
  return { exit: Exit.Unknown, message: `The connection to ${host} broke before the answer (${code}). Whether the call took effect is not known.` }
}
