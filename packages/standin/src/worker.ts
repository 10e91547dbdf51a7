/**
 * The stand-in of workers: `node worker.js --port 0 --id bee-1`, or many in one process with `--count`.
 */
import { Command } from 'commander'
import { Hono } from 'hono'
import { Host } from './host.js'
import { parseNumber } from './number.js'
import { Record } from './record.js'
import { Connections, endWithInput, listen, type Env } from './server.js'
import { WorkerFaults } from './worker-faults.js'
import { addWorkerRoutes } from './worker-routes.js'

/** Options of the command line. */
interface Options {
  readonly port: number
  readonly host: string
  readonly id: string
  readonly count?: number
  readonly slots: number
  readonly cpuMilli: number
  readonly memoryMb: number
  readonly accelerators: number
  readonly leaseCheckMs: number
  readonly usageLagMs: number
  readonly endWithInput: boolean
}

/** One worker that listens. */
interface Listener {
  readonly id: string
  readonly address: string
}

const command = new Command('standin-worker')
  .description('Stands in for the workers of one upstream. With --count the ids are ID-1 to ID-N, each on a port of its own.')
  .requiredOption('--port <port>', 'port to listen on, the first one with --count; 0 for any', parseNumber)
  .requiredOption('--id <id>', 'id of the worker, or the first part of the ids with --count')
  .option('--host <address>', 'address to listen on', '127.0.0.1')
  .option('--count <workers>', 'number of workers in this process', parseNumber)
  .option('--slots <count>', 'tasks and requests that run at once', parseNumber, 8)
  .option('--cpu-milli <milli>', 'processors, in thousandths of a core', parseNumber, 16_000)
  .option('--memory-mb <mb>', 'memory', parseNumber, 32_000)
  .option('--accelerators <count>', 'accelerators', parseNumber, 0)
  .option('--lease-check-ms <ms>', 'interval of the check for lapsed leases', parseNumber, 20)
  .option('--usage-lag-ms <ms>', 'time after which a change of usage is reported', parseNumber, 1_000)
  .option('--end-with-input', 'end when standard input ends', false)

await run(command.parse().opts<Options>())

async function run (options: Options): Promise<void> {
  const listening: Listener[] = []
  const ids = createIds(options)
  for (const [index, id] of ids.entries()) {
    const port = options.port === 0 ? 0 : options.port + index
    listening.push({ id, address: await startWorker(options, id, port) })
  }
  if (options.endWithInput) endWithInput()
  process.stdout.write(`${JSON.stringify({ listening })}\n`)
}

function createIds (options: Options): string[] {
  if (options.count === undefined) return [options.id]
  return Array.from({ length: options.count }, (_, index) => `${options.id}-${index + 1}`)
}

function startWorker (options: Options, id: string, port: number): Promise<string> {
  const { cpuMilli, memoryMb, accelerators, slots, leaseCheckMs, usageLagMs } = options
  const record = new Record(id)
  const capacity = { cpuMilli, memoryMb, accelerators }
  const host = new Host({ id, capacity, slots, leaseCheckMs, usageLagMs }, record)
  const connections = new Connections()
  const app = new Hono<Env>()
  addWorkerRoutes(app, { host, record, faults: new WorkerFaults(), connections })
  return listen(app, options.host, port, connections)
}
