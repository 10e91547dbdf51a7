/**
 * JSON over HTTP, with failures returned as values.
 */
import { Agent, request } from 'undici'
import { err, ok, type Result } from 'neverthrow'

const RESPONSE_TIMEOUT_MS = 30_000

/** Keeps no idle connections, so that a call never uses a connection to a process that has been replaced. */
const agent = new Agent({
  keepAliveTimeout: 1, keepAliveMaxTimeout: 1, headersTimeout: RESPONSE_TIMEOUT_MS, bodyTimeout: RESPONSE_TIMEOUT_MS
})

/** Method, headers and body of a call. */
export interface HttpCall {
  readonly method?: 'GET' | 'POST' | 'PUT' | 'PATCH' | 'DELETE'
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: unknown
}

/** A response that was received completely. */
export interface HttpResponse {
  readonly status: number
  readonly headers: Readonly<Record<string, unknown>>
  readonly body: unknown
}

/** Why there is no complete response. */
export enum CallFailure {
  /** The connection was refused. */
  Unreachable = 'unreachable',
  /** The connection was lost or timed out before the response started. */
  NoResponse = 'lost',
  /** The response started, but its body was cut off, timed out or was not valid JSON. */
  Truncated = 'half'
}

/**
 * Makes one call.
 *
 * @param url URL to call
 * @param call method, headers and body
 * @returns the complete response, or why there is none
 *
 * @example
 * const response = await callJson(`http://${address}/v1/jobs/${id}`)
 */
export async function callJson (url: string, call: HttpCall = {}): Promise<Result<HttpResponse, CallFailure>> {
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
    if (started) return err(CallFailure.Truncated)
    return err((error as { code?: string }).code === 'ECONNREFUSED' ? CallFailure.Unreachable : CallFailure.NoResponse)
  }
}
