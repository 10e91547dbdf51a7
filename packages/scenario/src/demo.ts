/**
 * The demonstration: runs one cell with the deployments in Kyushu and Mauritius, uses the command line program and kills the
 * owner of a shard while work runs. Exits with code 0 only if every result is as expected.
 */
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { killChildren } from './cell/child.js'
import { startCell } from './demo/cell.js'
import {
  showBatch, showBooking, showInvariants, showKill, showLookup, showManifest, showPreview, showRender, showService, showStudy
} from './demo/steps.js'
import { DemoContext } from './demo/context.js'

const DEMO_TIMEOUT_MS = 90_000
const STEPS = [
  showManifest, showPreview, showLookup, showRender, showBooking, showBatch, showStudy, showService, showKill, showInvariants
]

const timer = setTimeout(() => {
  console.log(`The demonstration took longer than ${DEMO_TIMEOUT_MS} ms.`)
  killChildren()
  process.exit(1)
}, DEMO_TIMEOUT_MS)
const passed = await run()
clearTimeout(timer)
process.exit(passed ? 0 : 1)

async function run (): Promise<boolean> {
  const directory = mkdtempSync(join(tmpdir(), 'fireflymount-demo-'))
  const cell = await startCell(directory)
  if (cell.isErr()) {
    console.log(cell.error)
    return false
  }
  const demo = new DemoContext(cell.value)
  for (const step of STEPS) await step(demo)
  await cell.value.close()
  const { failures } = demo
  console.log(failures === 0 ? '\nEvery result is as expected.' : `\n${failures} results are not as expected. Logs: ${directory}`)
  if (failures === 0) rmSync(directory, { recursive: true, force: true })
  return failures === 0
}
