/**
 * The stand-in of the platform's services: `node platform.js --port 0`.
 */
import { Command } from 'commander'
import { Hono } from 'hono'
import { Budget } from './budget.js'
import { Counters } from './counters.js'
import { Faults } from './faults.js'
import { Inventory } from './inventory.js'
import { addListRoutes } from './list-routes.js'
import { addLogRoutes } from './log-routes.js'
import { parseNumber } from './number.js'
import { ADMIN_PREFIX, Connections, endWithInput, hang, listen, socketOf, type Env } from './server.js'
import { Streams } from './streams.js'

/** Options of the command line. */
interface Options {
  readonly port: number
  readonly host: string
  readonly appendsPerSecond: number
  readonly retention: number
  readonly lagMs: number
  readonly endWithInput: boolean
}

const command = new Command('standin-platform')
  .description('Stands in for the platform: the append-only log service and the list of VMs.')
  .requiredOption('--port <port>', 'port to listen on; 0 for any', parseNumber)
  .option('--host <address>', 'address to listen on', '127.0.0.1')
  .option('--appends-per-second <count>', 'appends a second that the log takes', parseNumber, 300)
  .option('--retention <records>', 'records that a stream retains', parseNumber, 100_000)
  .option('--lag-ms <ms>', 'time after which a change of a VM becomes visible', parseNumber, 0)
  .option('--end-with-input', 'end when standard input ends', false)

await run(command.parse().opts<Options>())

async function run (options: Options): Promise<void> {
  const connections = new Connections()
  const app = createPlatform(options, connections)
  const listening = await listen(app, options.host, options.port, connections)
  if (options.endWithInput) endWithInput()
  process.stdout.write(`${JSON.stringify({ listening })}\n`)
}

function createPlatform (options: Options, connections: Connections): Hono<Env> {
  const app = new Hono<Env>()
  const counters = new Counters()
  app.use(async (context, next) => {
    const exempt = context.req.path.startsWith(ADMIN_PREFIX)
    if (!exempt && connections.isSilent(socketOf(context))) return hang()
    await next()
    if (!exempt && connections.isSilent(socketOf(context))) return hang()
  })
  addLogRoutes(app, {
    streams: new Streams(options.retention),
    budget: new Budget(options.appendsPerSecond),
    faults: new Faults(),
    counters,
    connections
  })
  addListRoutes(app, { inventory: new Inventory(options.lagMs), faults: new Faults(), counters })
  app.get('/standin/counters', (context) => context.json(counters.table()))
  app.post('/standin/connections/silence', (context) => {
    connections.silence()
    return context.json({})
  })
  return app
}
