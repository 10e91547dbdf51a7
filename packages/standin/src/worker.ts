/**
 * The stand-in for workers. Start one with `node worker.js --port 0 --id bee-1`, or several in one process with `--count`.
 */
import { Command } from 'commander'
import { Hono } from 'hono'
import { StandinWorker } from './standin-worker.js'
import { parseNumber } from './number.js'
import { EventHistory } from './event-history.js'
import { Connections, exitWhenInputCloses, listen, type Env } from './server.js'
import { WorkerFaults } from './worker-faults.js'
import { addWorkerRoutes } from './worker-routes.js'

/** Options of the command line. */
interface WorkerOptions {
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

/** A worker and the address that it listens on. */
interface ListeningWorker {
  readonly id: string
  readonly address: string
}

const command = new Command('standin-worker')
  .description('Stands in for the workers of one upstream. With --count the ids are ID-1 to ID-N, each on its own port.')
  .requiredOption('--port <port>', 'port to listen on, with --count the first one; 0 for any free port', parseNumber)
  .requiredOption('--id <id>', 'id of the worker, or with --count the prefix of the ids')
  .option('--host <address>', 'address to listen on', '127.0.0.1')
  .option('--count <workers>', 'number of workers in this process', parseNumber)
  .option('--slots <count>', 'maximum number of concurrent tasks and requests', parseNumber, 8)
  .option('--cpu-milli <milli>', 'CPU, in thousandths of a core', parseNumber, 16_000)
  .option('--memory-mb <mb>', 'memory in MB', parseNumber, 32_000)
  .option('--accelerators <count>', 'number of accelerators', parseNumber, 0)
  .option('--lease-check-ms <ms>', 'interval of the check for expired leases', parseNumber, 20)
  .option('--usage-lag-ms <ms>', 'delay after which a change of usage is reported', parseNumber, 1_000)
  .option('--end-with-input', 'exit when standard input is closed', false)

await run(command.parse().opts<WorkerOptions>())

async function run (options: WorkerOptions): Promise<void> {
  const listening: ListeningWorker[] = []
  const ids = createIds(options)
  for (const [index, id] of ids.entries()) {
    const port = options.port === 0 ? 0 : options.port + index
    listening.push({ id, address: await startWorker(options, id, port) })
  }
  if (options.endWithInput) exitWhenInputCloses()
  process.stdout.write(`${JSON.stringify({ listening })}\n`)
}

function createIds (options: WorkerOptions): string[] {
  if (options.count === undefined) return [options.id]
  return Array.from({ length: options.count }, (_, index) => `${options.id}-${index + 1}`)
}

function startWorker (options: WorkerOptions, id: string, port: number): Promise<string> {
  const { cpuMilli, memoryMb, accelerators, slots, leaseCheckMs, usageLagMs } = options
  const history = new EventHistory(id)
  const capacity = { cpuMilli, memoryMb, accelerators }
  const worker = new StandinWorker({ id, capacity, slots, leaseCheckMs, usageLagMs }, history)
  const connections = new Connections()
  const app = new Hono<Env>()
  addWorkerRoutes(app, { worker, history, faults: new WorkerFaults(), connections })
  return listen(app, options.host, port, connections)
}
