/**
 * Connections that are ended after an error of their client.
 */
import type { Duplex } from 'node:stream'
import { Cutoff } from './cutoff.js'
import type { Line } from './line.js'

const STATUS_LINES: Partial<Record<Cutoff, string>> = {
  [Cutoff.Connections]: '503 Service Unavailable',
  [Cutoff.HeadTooLarge]: '431 Request Header Fields Too Large',
  [Cutoff.SlowHead]: '408 Request Timeout',
  [Cutoff.SlowBody]: '408 Request Timeout',
  [Cutoff.Malformed]: '400 Bad Request'
}

/** Returns why a client is cut off after an error on its connection; undefined if the connection was lost. */
export function cutoffOf (error: NodeJS.ErrnoException, line: Line): Cutoff | undefined {
  const { code = '' } = error
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') return line.receiving === undefined ? Cutoff.SlowHead : Cutoff.SlowBody
  if (code === 'HPE_HEADER_OVERFLOW') return Cutoff.HeadTooLarge
  return code.startsWith('HPE_') ? Cutoff.Malformed : undefined
}

/** Ends a connection with an answer that has no body. */
export function endWith (socket: Duplex, cutoff: Cutoff, headers = ''): void {
  if (!socket.writable) {
    socket.destroy()
    return
  }
  const statusLine = STATUS_LINES[cutoff] ?? '400 Bad Request'
  socket.end(`HTTP/1.1 ${statusLine}\r\n${headers}Connection: close\r\nContent-Length: 0\r\n\r\n`, () => { socket.destroy() })
}
