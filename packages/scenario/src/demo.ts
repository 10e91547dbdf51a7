/**
 * The demonstration: one cell for both deployments, driven by the command line, with the owner of a shard killed
 * while work runs. Ends with exit code 0 only if every answer was right.
 */
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { endChildren } from './cell/child.js'
import { startCell } from './demo/cell.js'
import {
  showBatch, showBooking, showInvariants, showKill, showLookup, showManifest, showPreview, showRender, showService, showStudy
} from './demo/acts.js'
import { Show } from './demo/show.js'

const LIMIT_MS = 90_000
const ACTS = [
  showManifest, showPreview, showLookup, showRender, showBooking, showBatch, showStudy, showService, showKill, showInvariants
]

const timer = setTimeout(() => {
  console.log(`The demonstration took longer than ${LIMIT_MS} ms.`)
  endChildren()
  process.exit(1)
}, LIMIT_MS)
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
  const show = new Show(cell.value)
  for (const act of ACTS) await act(show)
  await cell.value.close()
  const { failures } = show
  console.log(failures === 0 ? '\nEvery answer was right.' : `\n${failures} results were wrong. Logs: ${directory}`)
  if (failures === 0) rmSync(directory, { recursive: true, force: true })
  return failures === 0
}
