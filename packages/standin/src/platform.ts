/**
 * The stand-in for the platform's services. Start it with `node platform.js --port 0`.
 */
import { Command } from 'commander'
import { Hono } from 'hono'
import { TokenBucket } from './token-bucket.js'
import { Counters } from './counters.js'
import { Faults } from './faults.js'
import { Inventory } from './inventory.js'
import { addListRoutes } from './list-routes.js'
import { addLogRoutes } from './log-routes.js'
import { parseNumber } from './number.js'
import { STANDIN_PREFIX, Connections, exitWhenInputCloses, hang, listen, socketOf, type Env } from './server.js'
import { Streams } from './streams.js'

/** Options of the command line. */
interface PlatformOptions {
  readonly port: number
  readonly host: string
  readonly appendsPerSecond: number
  readonly retention: number
  readonly lagMs: number
  readonly endWithInput: boolean
}

const command = new Command('standin-platform')
  .description('Stands in for the platform: the append-only log service and the list of VMs.')
  .requiredOption('--port <port>', 'port to listen on; 0 for any free port', parseNumber)
  .option('--host <address>', 'address to listen on', '127.0.0.1')
  .option('--appends-per-second <count>', 'appends per second that the log accepts', parseNumber, 300)
  .option('--retention <records>', 'maximum number of records that a stream retains', parseNumber, 100_000)
  .option('--lag-ms <ms>', 'delay after which a change of a VM becomes visible', parseNumber, 0)
  .option('--end-with-input', 'exit when standard input is closed', false)

await run(command.parse().opts<PlatformOptions>())

async function run (options: PlatformOptions): Promise<void> {
  const connections = new Connections()
  const app = createPlatform(options, connections)
  const listening = await listen(app, options.host, options.port, connections)
  if (options.endWithInput) exitWhenInputCloses()
  process.stdout.write(`${JSON.stringify({ listening })}\n`)
}

function createPlatform (options: PlatformOptions, connections: Connections): Hono<Env> {
  const app = new Hono<Env>()
  const counters = new Counters()
  app.use(async (context, next) => {
    const exempt = context.req.path.startsWith(STANDIN_PREFIX)
    if (!exempt && connections.isStalled(socketOf(context))) return hang()
    await next()
    if (!exempt && connections.isStalled(socketOf(context))) return hang()
  })
  addLogRoutes(app, {
    streams: new Streams(options.retention),
    appendLimit: new TokenBucket(options.appendsPerSecond),
    faults: new Faults(),
    counters
  })
  addListRoutes(app, { inventory: new Inventory(options.lagMs), faults: new Faults(), counters })
  app.get('/standin/counters', (context) => context.json(counters.table()))
  app.post('/standin/connections/silence', (context) => {
    connections.stall()
    return context.json({})
  })
  return app
}
