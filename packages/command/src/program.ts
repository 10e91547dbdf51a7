/**
 * The command line: names, arguments, options and help.
 */
import { Argument, Command, CommanderError, InvalidArgumentError, Option } from 'commander'
import { Section } from '@fireflymount/manifest/manifest'
import { printOutcome, runAction, type Outcome, type Session } from './action.js'
import { apply, get, plan, validate } from './configuration.js'
import { Exit } from './exit.js'
import { grantKey, withdrawKey } from './keys.js'
import { drainWorker, reportBurn, showStatus } from './operations.js'
import { Format, formatFailure, formatJson, type Terminal } from './terminal.js'
import { cancel, explain, showJob, submit, type Submission } from './work.js'
import type { Result } from 'neverthrow'
import type { Failure } from './failure.js'
import type { Options } from './options.js'

const FOOTER = `
Environment:
  FIREFLYMOUNT_SERVER  base URLs of servers, separated by commas
  FIREFLYMOUNT_KEY     the key, for operators an administration key

Exit codes:
  0 done  1 refused  2 wrong use or manifest not valid  3 no server reached
  4 conflict  5 outcome unknown  6 the work failed or was cancelled`

/**
 * Runs the tool.
 *
 * @param argv the arguments after the program's name
 * @param terminal where it reads and prints
 * @returns the exit code
 *
 * @example
 * process.exitCode = await runProgram(process.argv.slice(2), terminal)
 */
export async function runProgram (argv: readonly string[], terminal: Terminal): Promise<Exit> {
  const run = new Run(terminal)
  try {
    await createProgram(run, terminal).parseAsync(argv, { from: 'user' })
    return run.exit
  } catch (error) {
    if (error instanceof CommanderError) return error.exitCode === 0 ? Exit.Ok : Exit.Usage
    throw error
  }
}

/** Runs the action that the arguments chose and keeps its exit code. */
class Run {
  exit = Exit.Ok

  constructor (private readonly terminal: Terminal) {}

  /** Runs an action that needs a server. */
  async remote (command: Command, action: (session: Session) => Promise<Result<Outcome, Failure>>): Promise<void> {
    const options = command.optsWithGlobals<Options>()
    this.finish(await runAction(options, this.terminal, action), options.output)
  }

  /** Runs an action that needs none. */
  async local (command: Command, action: () => Promise<Result<Outcome, Failure>>): Promise<void> {
    const { output } = command.optsWithGlobals<Options>()
    const outcome = await action()
    this.finish(outcome.andThen((printed) => printOutcome(printed, output, this.terminal)), output)
  }

  private finish (result: Result<void, Failure>, format: Format): void {
    if (result.isOk()) return
    this.terminal.warn(format === Format.Json ? formatJson(result.error) : formatFailure(result.error))
    this.exit = result.error.exit
  }
}

function createProgram (run: Run, terminal: Terminal): Command {
  const program = new Command('fireflymount')
  program.description('Drives a fireflymount cell: its configuration, its work and its reports.')
  program.option('--server <url>', 'base URL of a server; give it several times to have them tried in order', collect)
  program.option('--key-file <file>', 'file with the key, "-" for the standard input; else FIREFLYMOUNT_KEY')
  program.addOption(new Option('--output <format>', 'form of the output').choices(Object.values(Format)).default(Format.Table))
  program.exitOverride().configureOutput({ writeOut: (text) => terminal.write(text), writeErr: (text) => terminal.warn(text) })
  program.showHelpAfterError('Run it with --help for arguments and examples.')
  program.addHelpText('after', FOOTER)
  addConfiguration(program, run, terminal)
  addWork(program, run)
  addKeys(program, run)
  addOperations(program, run)
  return program
}

function addConfiguration (program: Command, run: Run, terminal: Terminal): void {
  addCommand(program, 'apply', 'brings a manifest file into effect', 'apply hakata.json')
    .argument('<file>', 'manifest file, "-" for the standard input; sections that it does not mention are left as they are')
    .action((file: string, _, command: Command) => run.remote(command, (session) => apply(session, file)))
  addCommand(program, 'plan', 'shows what apply would change', 'plan hakata.json --output json')
    .alias('diff')
    .argument('<file>', 'manifest file, "-" for the standard input')
    .action((file: string, _, command: Command) => run.remote(command, (session) => plan(session, file)))
  addCommand(program, 'validate', 'checks a manifest file without a server', 'validate hakata.json')
    .argument('<file>', 'manifest file, "-" for the standard input')
    .action((file: string, _, command: Command) => run.local(command, () => validate(file, terminal)))
  addCommand(program, 'get', 'shows a section of the configuration or one object', 'get queues preview')
    .addArgument(new Argument('<section>', 'section of the manifest').choices(Object.values(Section)))
    .argument('[name]', 'name of one object')
    .action((section: Section, name: string | undefined, _, command: Command) => {
      return run.remote(command, (session) => get(session, section, name))
    })
}

function addWork (program: Command, run: Run): void {
  addCommand(program, 'submit', 'submits a durable job, or a request with --request', 'submit yardage --body \'{"quilt":7}\' --wait 30')
    .argument('<queue>', 'queue to send the work to')
    .option('--body <json>', 'body of the work (default: null)')
    .option('--body-file <file>', 'file with the body, "-" for the standard input')
    .option('--request', 'send a synchronous request and print its answer')
    .option('--deadline <ms>', 'with --request: milliseconds that it may take', parseWhole)
    .option('--idempotency-key <key>', 'key by which a repeat meets the first job (default: a new one)')
    .option('--tasks <count>', 'tasks of an all-at-once job', parseWhole)
    .option('--runtime <ms>', 'expected run time of one task in milliseconds', parseWhole)
    .option('--wait <seconds>', 'wait for the end of the job', parseWhole)
    .action((queue: string, options: Submission, command: Command) => {
      return run.remote(command, (session) => submit(session, queue, options))
    })
  addCommand(program, 'job', 'shows a job', 'job bee-planner.0f3a --wait 30')
    .argument('<job>', 'id of the job')
    .option('--wait <seconds>', 'wait for its end', parseWhole)
    .action((id: string, { wait }: Submission, command: Command) => run.remote(command, (session) => showJob(session, id, wait)))
  addCommand(program, 'cancel', 'cancels a job', 'cancel bee-planner.0f3a')
    .argument('<job>', 'id of the job')
    .action((id: string, _, command: Command) => run.remote(command, (session) => cancel(session, id)))
  addCommand(program, 'explain', 'tells why a job waits and what would let it run', 'explain bee-planner.0f3a')
    .argument('<job>', 'id of the job')
    .action((id: string, _, command: Command) => run.remote(command, (session) => explain(session, id)))
}

function addKeys (program: Command, run: Run): void {
  const key = addCommand(program, 'key', 'grants and withdraws keys', 'key grant guild shop-terminal')
  addCommand(key, 'grant', 'creates a key and prints it once', 'key grant guild shop-terminal')
    .argument('<team>', 'team for which it works')
    .argument('[name]', 'public name of the key (default: the team and six random digits)')
    .action((team: string, name: string | undefined, _, command: Command) => {
      return run.remote(command, (session) => grantKey(session, team, name))
    })
  addCommand(key, 'withdraw', 'withdraws a key', 'key withdraw shop-terminal')
    .argument('<name>', 'public name of the key')
    .action((name: string, _, command: Command) => run.remote(command, (session) => withdrawKey(session, name)))
}

function addOperations (program: Command, run: Run): void {
  addCommand(program, 'status', 'shows nodes and shards, or the workers of one upstream', 'status bee-planner')
    .argument('[upstream]', 'one upstream')
    .action((upstream: string | undefined, _, command: Command) => {
      return run.remote(command, (session) => showStatus(session, upstream))
    })
  addCommand(program, 'drain', 'closes a worker for new tasks', 'drain bee-planner bee-planner-07')
    .argument('<upstream>', 'upstream of the worker')
    .argument('<worker>', 'the worker')
    .option('--undo', 'open it again')
    .action((upstream: string, worker: string, { undo }: { undo?: boolean }, command: Command) => {
      return run.remote(command, (session) => drainWorker(session, upstream, worker, undo !== true))
    })
  const report = addCommand(program, 'report', 'reports', 'report burn --html burn.html')
  addCommand(report, 'burn', 'reports on service-level burn over 5 minutes, 1 hour and 6 hours', 'report burn --html burn.html')
    .option('--html <file>', 'also write a page with plots')
    .action(({ html }: { html?: string }, command: Command) => run.remote(command, (session) => reportBurn(session, html)))
}

function addCommand (parent: Command, name: string, description: string, example: string): Command {
  return parent.command(name).description(description).addHelpText('after', `\nExample:\n  $ fireflymount ${example}`)
}

function collect (value: string, before: readonly string[] = []): string[] {
  return [...before, value]
}

function parseWhole (text: string): number {
  const value = /^\d{1,12}$/.test(text) ? Number(text) : 0
  if (value < 1) throw new InvalidArgumentError('Give a whole number above zero.')
  return value
}
