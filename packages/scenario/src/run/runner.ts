/**
 * Runs one scenario from its file.
 */
import { mkdtempSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { basename, dirname, join } from 'node:path'
import { Cell } from '../cell/cell.js'
import { parseScenario } from '../language/parser.js'
import { Subject, type Scenario, type Step } from '../language/script.js'
import { meets } from './expectations.js'
import { Stage } from './stage.js'
import { runStep } from './steps.js'

/** How one run of a scenario ended. */
export interface Verdict {
  readonly name: string
  readonly title: string
  readonly seed: number
  readonly passed: boolean
  /** Why it failed, with the line. */
  readonly detail: string
  readonly durationMs: number
  readonly proves: readonly string[]
  /** Directory with the logs of a failed run. */
  readonly logs?: string
}

/**
 * Reads a scenario.
 *
 * @param file path of the file
 * @returns the scenario; throws if the text has a mistake, with its line and column
 *
 * @example
 * const scenario = readScenario('scenarios/owner-killed.scenario')
 */
export function readScenario (file: string): Scenario {
  const scenario = parseScenario(readFileSync(file, 'utf8'))
  if (scenario.isOk()) return scenario.value
  const mistakes = scenario.error.map((mistake) => `${basename(file)}:${mistake.line}:${mistake.column}: ${mistake.detail}`)
  throw new Error(mistakes.join('\n'))
}

/**
 * Runs a scenario and checks every invariant after it. Leaves no process behind.
 *
 * @param file path of the file
 * @param seed replaces the scenario's own seed
 * @returns how it ended
 *
 * @example
 * const verdict = await runScenario(file, 7)
 */
export async function runScenario (file: string, seed?: number): Promise<Verdict> {
  const scenario = readScenario(file)
  const directory = mkdtempSync(join(tmpdir(), 'fireflymount-scenario-'))
  const cell = new Cell(directory)
  const stage = new Stage(cell, dirname(file), seed ?? scenario.seed)
  const startedMs = performance.now()
  const watching = stage.watchRevisions()
  const detail = await runWithin(scenario, stage)
  const durationMs = Math.round(performance.now() - startedMs)
  stage.over = true
  for (const load of stage.loads.values()) load.abandon()
  await cell.close()
  await watching
  const passed = detail === ''
  if (passed) rmSync(directory, { recursive: true, force: true })
  return {
    name: basename(file, '.scenario'),
    title: scenario.title,
    seed: seed ?? scenario.seed,
    passed,
    detail,
    durationMs,
    proves: scenario.proves,
    logs: passed ? undefined : directory
  }
}

async function runWithin (scenario: Scenario, stage: Stage): Promise<string> {
  let timer: NodeJS.Timeout | undefined
  const limit = new Promise<string>((resolve) => {
    timer = setTimeout(() => resolve(`The scenario took longer than its limit of ${scenario.limitMs} ms.`), scenario.limitMs)
  })
  const detail = await Promise.race([runSteps(scenario.steps, stage), limit])
  clearTimeout(timer)
  return detail
}

async function runSteps (steps: readonly Step[], stage: Stage): Promise<string> {
  for (const step of steps) {
    if (stage.over) return 'abandoned'
    const outcome = await runStep(stage, step.action)
    const crash = stage.cell.findCrash()
    if (outcome.isErr()) return `line ${step.line}: ${[outcome.error, crash].filter(Boolean).join(' ')}`
    if (crash !== undefined) return `line ${step.line}: ${crash}`
  }
  for (const load of stage.loads.values()) await load.stop()
  await Promise.all(stage.pending)
  const held = await meets(stage, { subject: Subject.Invariants, name: '', states: [] })
  return held.isOk() ? '' : held.error
}
