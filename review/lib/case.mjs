/**
 * Frame of a case: prepares the cell, plays the case, and exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
 */
import { rmSync } from 'node:fs'
import { Cell } from './cell.mjs'

const MAX_DURATION_MS = 100_000

/** True unless the case is to run without its disruption. */
export const TROUBLE = process.env.TROUBLE !== '0'

/**
 * @param play plays the case in a cell; returns the breaches found, or undefined if the case could not run
 */
export async function runCase (play) {
  const [folder, recordFile] = process.argv.slice(2)
  rmSync(recordFile, { force: true })
  const cell = new Cell(folder, recordFile)
  setTimeout(() => {
    cell.record('the case took too long')
    process.exit(2)
  }, MAX_DURATION_MS).unref()
  let code = 2
  try {
    const breaches = await play(cell)
    if (breaches !== undefined) {
      for (const breach of breaches.slice(0, 20)) cell.record('RULE BROKEN', breach)
      cell.record('result', { trouble: TROUBLE, breaches: breaches.length })
      process.stdout.write(`${breaches.length} breaches; see ${recordFile}\n`)
      code = breaches.length > 0 ? 1 : 0
    }
  } catch (error) {
    cell.record('the case failed', { error: String(error?.stack ?? error) })
  }
  await cell.close()
  process.exit(code)
}

/** Finds tasks that were started after one of their runs had ended done, if that end is taken note of then or later. */
export function findStartsAfterDone (events) {
  const noted = new Set()
  for (const each of events) {
    if (each.event === 'end taken note of' && each.how === 'done') noted.add(`${each.task} ${each.run}`)
  }
  const doneRuns = new Map()
  const breaches = []
  for (const each of events) {
    if (each.event === 'run ended' && each.how === 'done') doneRuns.set(each.task, each)
    const done = doneRuns.get(each.task)
    if (each.event !== 'run started' || done === undefined || !noted.has(`${done.task} ${done.run}`)) continue
    breaches.push({ task: each.task, doneRun: done.run, doneAtMs: done.atMs, startedRun: each.run, startedAtMs: each.atMs })
  }
  return breaches
}

/** Finds tasks with two runs at the same time on workers that are up. */
export function findParallelRuns (events) {
  const running = new Map()
  const breaches = []
  for (const each of events) {
    if (each.event === 'worker down') {
      for (const runs of running.values()) {
        for (const [key, run] of runs) {
          if (run.worker === each.worker) runs.delete(key)
        }
      }
    }
    if (each.event !== 'run started' && each.event !== 'run ended') continue
    if (!running.has(each.task)) running.set(each.task, new Map())
    const runs = running.get(each.task)
    const key = `${each.worker} ${each.run}`
    if (each.event === 'run ended') runs.delete(key)
    else {
      for (const other of runs.values()) {
        breaches.push({
          task: each.task,
          run: other.run,
          on: other.worker,
          sinceMs: other.atMs,
          startedRun: each.run,
          startedOn: each.worker,
          startedAtMs: each.atMs
        })
      }
      runs.set(key, each)
    }
  }
  return breaches
}
