/**
 * JSON over HTTP, with failures as values.
 */
import { Agent, request } from 'undici'
import { err, ok, type Result } from 'neverthrow'

const TIMEOUT_MS = 30_000

/** Keeps no connection, so that a process that was replaced is never reached by an old one. */
const agent = new Agent({ keepAliveTimeout: 1, keepAliveMaxTimeout: 1, headersTimeout: TIMEOUT_MS, bodyTimeout: TIMEOUT_MS })

/** A call. */
export interface Call {
  readonly method?: 'GET' | 'POST' | 'PUT' | 'PATCH' | 'DELETE'
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: unknown
}

/** An answer that came back whole. */
export interface Reply {
  readonly status: number
  readonly headers: Readonly<Record<string, unknown>>
  readonly body: unknown
}

/** Why there is no whole answer. */
export enum Loss {
  /** The connection was never opened. */
  Unreachable = 'unreachable',
  /** The connection broke, or nothing came in time. */
  Lost = 'lost',
  /** The answer's body broke off. */
  Half = 'half'
}

/**
 * Makes one call.
 *
 * @param url where to
 * @param call method, headers and body
 * @returns the whole answer, or how it was lost
 *
 * @example
 * const reply = await callJson(`http://${address}/v1/jobs/${id}`)
 */
export async function callJson (url: string, call: Call = {}): Promise<Result<Reply, Loss>> {
  let started = false
  try {
    const response = await request(url, {
      dispatcher: agent,
      method: call.method ?? 'GET',
      headers: call.body === undefined ? { ...call.headers } : { 'content-type': 'application/json', ...call.headers },
      body: call.body === undefined ? undefined : JSON.stringify(call.body)
    })
    started = true
    const text = await response.body.text()
    return ok({ status: response.statusCode, headers: response.headers, body: text === '' ? undefined : JSON.parse(text) as unknown })
  } catch (error) {
    if (started) return err(Loss.Half)
    return err((error as { code?: string }).code === 'ECONNREFUSED' ? Loss.Unreachable : Loss.Lost)
  }
}
