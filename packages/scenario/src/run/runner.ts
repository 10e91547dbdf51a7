/**
 * Reads and runs one scenario file.
 */
import { mkdtempSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { basename, dirname, join } from 'node:path'
import { Cell } from '../cell/cell.js'
import { parseScenario } from '../language/parser.js'
import { Subject, type Scenario, type Step } from '../language/syntax-tree.js'
import { checkCondition } from './condition-checks.js'
import { ScenarioContext } from './context.js'
import { runStep } from './steps.js'

/** The result of one run of a scenario. */
export interface ScenarioResult {
  readonly name: string
  readonly title: string
  readonly seed: number
  readonly passed: boolean
  /** Why the run failed, with the line number; empty if it passed. */
  readonly detail: string
  readonly durationMs: number
  readonly proves: readonly string[]
  /** Directory with the logs of a failed run; absent if the run passed. */
  readonly logs?: string
}

/**
 * Reads a scenario.
 *
 * @param file path of the file
 * @returns the scenario; throws an error with line and column if the text is invalid
 *
 * @example
 * const scenario = readScenario('scenarios/owner-killed.scenario')
 */
export function readScenario (file: string): Scenario {
  const scenario = parseScenario(readFileSync(file, 'utf8'))
  if (scenario.isOk()) return scenario.value
  const errors = scenario.error.map((error) => `${basename(file)}:${error.line}:${error.column}: ${error.detail}`)
  throw new Error(errors.join('\n'))
}

/**
 * Runs a scenario, checks every invariant after its steps and kills all its processes.
 *
 * @param file path of the file
 * @param seed seed to use instead of the scenario's own
 * @returns the result
 *
 * @example
 * const result = await runScenario(file, 7)
 */
export async function runScenario (file: string, seed?: number): Promise<ScenarioResult> {
  const scenario = readScenario(file)
  const directory = mkdtempSync(join(tmpdir(), 'fireflymount-scenario-'))
  const cell = new Cell(directory)
  const context = new ScenarioContext(cell, dirname(file), seed ?? scenario.seed)
  const startedMs = performance.now()
  const revisionWatch = context.watchRevisions()
  const detail = await runWithTimeout(scenario, context)
  const durationMs = Math.round(performance.now() - startedMs)
  context.finished = true
  for (const load of context.loads.values()) load.abandon()
  await cell.close()
  await revisionWatch
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

async function runWithTimeout (scenario: Scenario, context: ScenarioContext): Promise<string> {
  let timer: NodeJS.Timeout | undefined
  const timeout = new Promise<string>((resolve) => {
    timer = setTimeout(() => resolve(`The scenario took longer than its limit of ${scenario.timeoutMs} ms.`), scenario.timeoutMs)
  })
  const detail = await Promise.race([runSteps(scenario.steps, context), timeout])
  clearTimeout(timer)
  return detail
}

async function runSteps (steps: readonly Step[], context: ScenarioContext): Promise<string> {
  for (const step of steps) {
    if (context.finished) return 'abandoned'
    const result = await runStep(context, step.action)
    const crash = context.cell.findCrash()
    if (result.isErr()) return `line ${step.line}: ${[result.error, crash].filter(Boolean).join(' ')}`
    if (crash !== undefined) return `line ${step.line}: ${crash}`
  }
  for (const load of context.loads.values()) await load.stop()
  await Promise.all(context.backgroundSends)
  const held = await checkCondition(context, { subject: Subject.Invariants, name: '', states: [] })
  return held.isOk() ? '' : held.error
}
