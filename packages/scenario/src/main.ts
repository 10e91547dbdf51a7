/**
 * Runs all scenarios, or those selected by name.
 */
import { writeFileSync } from 'node:fs'
import { basename } from 'node:path'
import { Command, InvalidArgumentError } from 'commander'
import { listScenarios, runBatch, type ScenarioRun } from './run/batch.js'
import { readScenario } from './run/runner.js'
import { formatSummary, formatTable } from './run/report.js'

/** Options of the command line. */
interface Options {
  readonly name?: string
  readonly seed?: number
  readonly repeat: number
  readonly atOnce: number
  readonly slow: boolean
  readonly summary?: string
}

const command = new Command('scenarios')
  .description('Runs the scenarios on real processes and checks every invariant after each scenario.')
  .option('--name <text>', 'run only scenarios whose file name contains this text')
  .option('--seed <number>', 'use this seed instead of the scenario\'s own', parseCount)
  .option('--repeat <times>', 'run each scenario this many times with the same seed', parseCount, 1)
  .option('--slow', 'run only the slow scenarios, which the tests skip', false)
  .option('--at-once <count>', 'number of scenarios to run in parallel', parseCount, 4)
  .option('--summary <file>', 'write the results to this file as JSON')

await run(command.parse().opts<Options>())

async function run (options: Options): Promise<void> {
  const named = listScenarios().filter((file) => basename(file).includes(options.name ?? ''))
  const files = options.slow ? named.filter((file) => readScenario(file).slow) : named
  if (files.length === 0) {
    const filter = options.name === undefined ? '' : ` whose name contains "${options.name}"`
    command.error(`There is no ${options.slow ? 'slow ' : ''}scenario${filter}.`)
  }
  const runs: ScenarioRun[] = files.flatMap(
    (file) => Array.from({ length: options.repeat }, () => ({ file, seed: options.seed }))
  )
  const results = await runBatch(runs, options.atOnce, (result) => {
    process.stderr.write(`${result.passed ? 'passed' : 'FAILED'} ${result.name} ${result.durationMs} ms\n`)
  })
  if (options.summary !== undefined) writeFileSync(options.summary, formatSummary(results))
  console.log(formatTable(results))
  console.log(formatSummary(results))
  process.exit(results.every((result) => result.passed) ? 0 : 1)
}

function parseCount (text: string): number {
  const count = Number(text)
  if (!Number.isSafeInteger(count) || count < 1) throw new InvalidArgumentError('Give an integer of at least 1.')
  return count
}
