/**
 * Errors of clients on their connections, such as malformed HTTP.
 */
import { STATUS_CODES } from 'node:http'
import type { Duplex } from 'node:stream'
import { Cutoff } from './gate.js'
import { HttpProblem, createBadRequest, createHttpProblem, createProblemHeaders, type Problem } from './problem.js'

/** True if a request did not arrive in time. */
export function isTimeout ({ code }: NodeJS.ErrnoException): boolean {
  return code === 'ERR_HTTP_REQUEST_TIMEOUT'
}

/** Returns why a client is cut off after an error on its connection; undefined if the connection was lost. */
export function cutoffOf (error: NodeJS.ErrnoException, receiving: boolean): Cutoff | undefined {
  if (isTimeout(error)) return receiving ? Cutoff.SlowBody : Cutoff.SlowHead
  if (error.code === 'HPE_HEADER_OVERFLOW') return Cutoff.HeadTooLarge
  return error.code?.startsWith('HPE_') === true ? Cutoff.Malformed : undefined
}

/** Describes why a client is cut off after an error on its connection. */
export function describeCutoff (cutoff: Cutoff): Problem {
  switch (cutoff) {
    case Cutoff.HeadTooLarge:
      return createHttpProblem(HttpProblem.HeadersTooLarge, 'The headers are larger than this node accepts. Send smaller headers.')
    case Cutoff.SlowHead:
    case Cutoff.SlowBody:
      return createHttpProblem(HttpProblem.ReceiveTimeout, 'The request was not received in time. Send it without pauses.')
    default:
      return createBadRequest('This is not a valid HTTP request.')
  }
}

/** Ends a connection with an answer. */
export function endWith (socket: Duplex, problem: Problem): void {
  if (!socket.writable) {
    socket.destroy()
    return
  }
  const body = JSON.stringify(problem)
  const headers = { connection: 'close', 'content-length': String(Buffer.byteLength(body)), ...createProblemHeaders(problem) }
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('')
  socket.end(`HTTP/1.1 ${problem.status} ${STATUS_CODES[problem.status]}\r\n${lines}\r\n${body}`, () => { socket.destroy() })
}
