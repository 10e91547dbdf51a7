import { once } from 'node:events'
import { createServer, type Server } from 'node:http'
import { expect, test } from 'vitest'
import { CutoffReport } from '../src/entry/cutoff-report.js'
import { Gate } from '../src/entry/gate.js'
import { GatedServer } from '../src/entry/gated-server.js'
import { limitsOfApi } from '../src/entry/limits.js'
import { Visitors } from '../src/peer/visitors.js'
import { FakeMetrics } from './entry-fakes.js'

const MACHINE = { memoryBytes: 2 ** 28, descriptors: 1000 }
const SETTINGS = { connections: 10, requests: 10, bodyBytes: 1000, headerBytes: 1000 }
const LOGGER = { warn: () => {} }

test.each<{ name: string, attach: (server: Server, metrics: FakeMetrics) => void }>([
  {
    name: 'entry',
    attach: (server, metrics) => {
      const cutoffs = new CutoffReport('entry', metrics, LOGGER)
      const gate = new Gate(limitsOfApi(SETTINGS, MACHINE), (cutoff) => { cutoffs.count(cutoff) })
      new GatedServer(gate, () => SETTINGS.bodyBytes, async () => {}).attach(server)
    }
  },
  { name: 'peer', attach: (server, metrics) => { new Visitors(metrics, LOGGER).attach(server) } }
])('a connection to the $name listener that cannot be accepted is counted', async ({ name, attach }) => {
  const server = createServer()
  const metrics = new FakeMetrics()
  attach(server, metrics)
  await once(server.listen(0, '127.0.0.1'), 'listening')
  server.emit('error', Object.assign(new Error('accept ENOBUFS'), { code: 'ENOBUFS' }))
  server.close()
  expect(metrics.names).toEqual([`${name}.cutoff.accept-failed`])
})
