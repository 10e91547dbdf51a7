/**
 * The stand-in of the log service as a process of its own.
 */
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'
import { request } from 'undici'

const APPENDS_PER_S = 100_000
const RETENTION = 10_000_000

/** A running service. */
export interface Service {
  /** IP address and port. */
  readonly address: string
  /** Expires the records of a stream before an offset. */
  readonly expire: (stream: string, before: number) => Promise<void>
  /** Ends the process. */
  readonly close: () => Promise<void>
}

/**
 * Starts the stand-in with limits that do not matter to a measurement.
 *
 * @returns the service
 *
 * @example
 * const service = await startService()
 */
export async function startService (): Promise<Service> {
  const program = fileURLToPath(import.meta.resolve('@fireflymount/standin/platform'))
  const limits = ['--appends-per-second', String(APPENDS_PER_S), '--retention', String(RETENTION)]
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
      if (statusCode !== 200) throw new Error(`The stand-in answered ${statusCode} to an expiry.`)
    },
    close: async () => {
      child.stdin.end()
      await once(child, 'exit')
    }
  }
}
