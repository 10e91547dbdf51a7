/**
 * Runs the stand-in for the log service in a separate process.
 */
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'
import { request } from 'undici'

const MAX_APPENDS_PER_S = 100_000
const RETENTION_RECORDS = 10_000_000

/** A running log service. */
export interface LogService {
  /** IP address and port. */
  readonly address: string
  /** Expires the records of a stream before an offset. */
  readonly expire: (stream: string, before: number) => Promise<void>
  /** Stops the process. */
  readonly close: () => Promise<void>
}

/**
 * Starts the stand-in, with limits so high that they do not affect a measurement.
 *
 * @returns the service
 *
 * @example
 * const service = await startLogService()
 */
export async function startLogService (): Promise<LogService> {
  const program = fileURLToPath(import.meta.resolve('@fireflymount/standin/platform'))
  const limits = ['--appends-per-second', String(MAX_APPENDS_PER_S), '--retention', String(RETENTION_RECORDS)]
  const child = spawn(process.execPath, [program, '--port', '0', '--end-with-input', ...limits], {
    stdio: ['pipe', 'pipe', 'inherit']
  })
  const [line] = await once(createInterface({ input: child.stdout }), 'line') as [string]
  const { listening } = JSON.parse(line) as { listening: string }
  return {
    address: listening,
    expire: async (stream, before) => {
      const path = `http://${listening}/standin/log/streams/${stream}/expiry`
      const { statusCode, body } = await request(path, { method: 'POST', body: JSON.stringify({ before }) })
      await body.dump()
      if (statusCode !== 200) throw new Error(`The log service stand-in answered a request to expire records with status ${statusCode}.`)
    },
    close: async () => {
      child.stdin.end()
      await once(child, 'exit')
    }
  }
}
