/**
 * Entry point of `npm run measure`: a registry of parts.
 */
import { Command } from 'commander'
import type { Part } from './report.js'
import { writeCapacity } from './capacity.js'
import { Control } from './control.js'
import { Decisions } from './costs.js'
import { Journals } from './journals.js'
import { Quality } from './quality.js'
import { runPart } from './report.js'
import { Standby } from './standby.js'
import { Takeovers } from './takeover.js'
import { Wire } from './wire.js'

const SEED = '7'
/** Directory for processor profiles of the daemons of the part "wire"; none if unset. */
const PROFILES = process.env.MEASURE_PROFILES

const parts: readonly Part[] = [
  new Decisions(),
  new Quality(),
  new Journals(),
  new Standby(),
  new Takeovers(),
  new Wire(PROFILES),
  new Control()
]

const program = new Command('measure').description('Measures fireflymount and writes docs/MEASUREMENTS.md')

for (const part of parts) {
  program.command(part.name)
    .description(part.title)
    .option('--seed <number>', 'seed of everything random', SEED)
    .action(({ seed }: { seed: string }) => runPart(part, Number(seed)))
}

program.command('capacity')
  .description('Tables of docs/CAPACITY.md, from what was measured before')
  .action(writeCapacity)

program.command('all', { isDefault: true })
  .description('All parts')
  .option('--seed <number>', 'seed of everything random', SEED)
  .action(async ({ seed }: { seed: string }) => {
    for (const part of parts) await runPart(part, Number(seed))
  })

await program.parseAsync()
