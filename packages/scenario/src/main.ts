/**
 * Runs scenarios: all, or those named.
 */
import { writeFileSync } from 'node:fs'
import { basename } from 'node:path'
import { Command, InvalidArgumentError } from 'commander'
import { listScenarios, runBatch, type Job } from './run/batch.js'
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
  .description('Runs the scenarios over real processes and checks every invariant after each.')
  .option('--name <text>', 'only scenarios whose file name contains this')
  .option('--seed <number>', 'replaces the seed of the scenario', parseCount)
  .option('--repeat <times>', 'runs each that often, with the same seed', parseCount, 1)
  .option('--slow', 'only those that the tests leave out', false)
  .option('--at-once <count>', 'scenarios that run side by side', parseCount, 4)
  .option('--summary <file>', 'writes the results as JSON')

await run(command.parse().opts<Options>())

async function run (options: Options): Promise<void> {
  const named = listScenarios().filter((file) => basename(file).includes(options.name ?? ''))
  const files = options.slow ? named.filter((file) => readScenario(file).slow) : named
  if (files.length === 0) command.error(`There is no scenario whose name contains "${options.name}".`)
  const jobs: Job[] = files.flatMap((file) => Array.from({ length: options.repeat }, () => ({ file, seed: options.seed })))
  const verdicts = await runBatch(jobs, options.atOnce, (verdict) => {
    process.stderr.write(`${verdict.passed ? 'passed' : 'FAILED'} ${verdict.name} ${verdict.durationMs} ms\n`)
  })
  if (options.summary !== undefined) writeFileSync(options.summary, formatSummary(verdicts))
  console.log(formatTable(verdicts))
  console.log(formatSummary(verdicts))
  process.exit(verdicts.every((verdict) => verdict.passed) ? 0 : 1)
}

function parseCount (text: string): number {
  const count = Number(text)
  if (!Number.isSafeInteger(count) || count < 1) throw new InvalidArgumentError('Give a whole number from 1.')
  return count
}
