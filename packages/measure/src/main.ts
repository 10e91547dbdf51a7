/**
 * Entry point of `npm run measure`: registers a subcommand for each part of the measurements.
 */
import { Command } from 'commander'
import type { Part } from './report.js'
import { writeCapacityTables } from './capacity.js'
import { ControlTrafficPart } from './control-traffic.js'
import { DecisionsPart } from './decisions-part.js'
import { RecoveryPart } from './recovery-part.js'
import { OwnerLoadPart } from './owner-load-part.js'
import { PolicyPart } from './policy-part.js'
import { runPart } from './report.js'
import { StandbyPart } from './standby.js'
import { TakeoverPart } from './takeover.js'
import { WirePart } from './wire.js'

const DEFAULT_SEED = '7'
/** Directory to which the daemons of the part "wire" write CPU profiles; no profiles if unset. */
const PROFILE_DIRECTORY = process.env.MEASURE_PROFILES

const parts: readonly Part[] = [
  new DecisionsPart(),
  new PolicyPart(),
  new RecoveryPart(),
  new StandbyPart(),
  new TakeoverPart(),
  new WirePart(PROFILE_DIRECTORY),
  new ControlTrafficPart(),
  new OwnerLoadPart()
]

const program = new Command('measure').description('Measures fireflymount and writes docs/MEASUREMENTS.md')

for (const part of parts) {
  program.command(part.name)
    .description(part.title)
    .option('--seed <number>', 'seed of the random number generators', DEFAULT_SEED)
    .action(({ seed }: { seed: string }) => runPart(part, Number(seed)))
}

program.command('capacity')
  .description('Computes the tables of docs/CAPACITY.md from the last results')
  .action(writeCapacityTables)

program.command('all', { isDefault: true })
  .description('Runs all parts')
  .option('--seed <number>', 'seed of the random number generators', DEFAULT_SEED)
  .action(async ({ seed }: { seed: string }) => {
    for (const part of parts) await runPart(part, Number(seed))
  })

await program.parseAsync()
