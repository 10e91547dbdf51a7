import { basename } from 'node:path'
import { expect, test } from 'vitest'
import { listScenarios } from '@fireflymount/scenario/run/batch'
import { readScenario, runScenario } from '@fireflymount/scenario/run/runner'

const CLEANUP_TIMEOUT_MS = 10_000

/** Slow scenarios are skipped here. `npm run scenarios` runs them; with `-- --slow` it runs only them. */
const quick = listScenarios().filter((file) => !readScenario(file).slow)

test.concurrent.each(quick.map((file) => [basename(file, '.scenario'), readScenario(file).title, file]))('%s: %s', async (_, __, file) => {
  const result = await runScenario(file)
  expect(result.detail).toBe('')
}, Math.max(...quick.map((file) => readScenario(file).timeoutMs)) + CLEANUP_TIMEOUT_MS)
