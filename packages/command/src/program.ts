/**
 * Command-line interface: commands, arguments, options and help texts.
 */
import { Argument, Command, CommanderError, InvalidArgumentError, Option } from 'commander'
import { Section } from '@fireflymount/manifest/manifest'
import { printOutput, runAction, type ActionContext, type ActionOutput } from './action.js'
import { apply, get, plan, validate } from './configuration.js'
import { ExitCode } from './exit-code.js'
import { grantKey, withdrawKey } from './keys.js'
import { drainWorker, evacuateZone, reportBurn, showStatus } from './operations.js'
import { Format, formatFailure, formatJson, type Terminal } from './terminal.js'
import { cancel, explain, explainNew, showJob, submit, type DryRunOptions, type SubmitOptions } from './work.js'
import type { Result } from 'neverthrow'
import type { Resources } from '@fireflymount/protocol/resources'
import type { Failure } from './failure.js'
import type { GlobalOptions } from './options.js'

const FOOTER = `
Environment:
  FIREFLYMOUNT_SERVER  base URLs of servers, separated by commas
  FIREFLYMOUNT_KEY     the key; operators use an administration key

Exit codes:
  0 success  1 refused  2 usage error or invalid manifest  3 no server reachable
  4 conflict  5 outcome unknown  6 the work failed or was cancelled`

/**
 * Runs the tool.
 *
 * @param argv the command-line arguments after the program's name
 * @param terminal input and output of the tool
 * @returns the exit code
 *
 * @example
 * process.exitCode = await runProgram(process.argv.slice(2), terminal)
 */
export async function runProgram (argv: readonly string[], terminal: Terminal): Promise<ExitCode> {
  const runner = new CommandRunner(terminal)
  try {
    await createProgram(runner, terminal).parseAsync(argv, { from: 'user' })
    return runner.exitCode
  } catch (error) {
    if (error instanceof CommanderError) return error.exitCode === 0 ? ExitCode.Ok : ExitCode.Usage
    throw error
  }
}

/** Runs the action of the command that was given, and stores its exit code. */
class CommandRunner {
  exitCode = ExitCode.Ok

  constructor (private readonly terminal: Terminal) {}

  /** Runs an action that needs a server. */
  async callServer (command: Command, action: (context: ActionContext) => Promise<Result<ActionOutput, Failure>>): Promise<void> {
    const options = command.optsWithGlobals<GlobalOptions>()
    this.finish(await runAction(options, this.terminal, action), options.output)
  }

  /** Runs an action that needs no server. */
  async runLocally (command: Command, action: () => Promise<Result<ActionOutput, Failure>>): Promise<void> {
    const { output } = command.optsWithGlobals<GlobalOptions>()
    const outcome = await action()
    this.finish(outcome.andThen((printed) => printOutput(printed, output, this.terminal)), output)
  }

  private finish (result: Result<void, Failure>, format: Format): void {
    if (result.isOk()) return
    this.terminal.warn(format === Format.Json ? formatJson(result.error) : formatFailure(result.error))
    this.exitCode = result.error.exit
  }
}

function createProgram (runner: CommandRunner, terminal: Terminal): Command {
  const program = new Command('fireflymount')
  program.description('Manages a fireflymount cell: its configuration, its work and its reports.')
  program.option('--server <url>', 'base URL of a server; repeat it to name several, which are tried in this order', collect)
  program.option('--key-file <file>', 'file with the key, "-" for the standard input (default: the variable FIREFLYMOUNT_KEY)')
  program.addOption(new Option('--output <format>', 'output format').choices(Object.values(Format)).default(Format.Table))
  program.exitOverride().configureOutput({ writeOut: (text) => terminal.write(text), writeErr: (text) => terminal.warn(text) })
  program.showHelpAfterError('Use --help to show arguments and examples.')
  program.addHelpText('after', FOOTER)
  addConfiguration(program, runner, terminal)
  addWork(program, runner)
  addKeys(program, runner)
  addOperations(program, runner)
  return program
}

function addConfiguration (program: Command, runner: CommandRunner, terminal: Terminal): void {
  addCommand(program, 'apply', 'changes the configuration to that of a manifest file', 'apply hakata.json')
    .argument('<file>', 'manifest file, "-" for the standard input; sections that it does not contain stay as they are')
    .action((file: string, _, command: Command) => runner.callServer(command, (context) => apply(context, file)))
  addCommand(program, 'plan', 'shows the changes that apply would make', 'plan hakata.json --output json')
    .alias('diff')
    .argument('<file>', 'manifest file, "-" for the standard input')
    .action((file: string, _, command: Command) => runner.callServer(command, (context) => plan(context, file)))
  addCommand(program, 'validate', 'validates a manifest file without a server', 'validate hakata.json')
    .argument('<file>', 'manifest file, "-" for the standard input')
    .action((file: string, _, command: Command) => runner.runLocally(command, () => validate(file, terminal)))
  addCommand(program, 'get', 'shows a section of the configuration or one object', 'get queues preview')
    .addArgument(new Argument('<section>', 'section of the manifest').choices(Object.values(Section)))
    .argument('[name]', 'name of one object')
    .action((section: Section, name: string | undefined, _, command: Command) => {
      return runner.callServer(command, (context) => get(context, section, name))
    })
}

function addWork (program: Command, runner: CommandRunner): void {
  addCommand(program, 'submit', 'submits a durable job, or a request with --request', 'submit yardage --body \'{"quilt":7}\' --wait 30')
    .argument('<queue>', 'queue to send the work to')
    .option('--body <json>', 'body of the work (default: null)')
    .option('--body-file <file>', 'file with the body, "-" for the standard input')
    .option('--request', 'send a synchronous request and print its answer')
    .option('--deadline <ms>', 'with --request: deadline of the request in milliseconds', parsePositiveInteger)
    .option('--idempotency-key <key>', 'idempotency key, by which a retry returns the same job (default: a new key)')
    .option('--tasks <count>', 'number of tasks of a gang', parsePositiveInteger)
    .option('--runtime <ms>', 'expected run time of one task in milliseconds', parsePositiveInteger)
    .option('--wait <seconds>', 'seconds to wait for the job to complete', parsePositiveInteger)
    .action((queue: string, options: SubmitOptions, command: Command) => {
      return runner.callServer(command, (context) => submit(context, queue, options))
    })
  addCommand(program, 'job', 'shows a job', 'job bee-planner.0f3a --wait 30')
    .argument('<job>', 'id of the job')
    .option('--wait <seconds>', 'seconds to wait for the job to complete', parsePositiveInteger)
    .action((id: string, { wait }: SubmitOptions, command: Command) =>
      runner.callServer(command, (context) => showJob(context, id, wait)))
  addCommand(program, 'cancel', 'cancels a job', 'cancel bee-planner.0f3a')
    .argument('<job>', 'id of the job')
    .action((id: string, _, command: Command) => runner.callServer(command, (context) => cancel(context, id)))
  addExplain(program, runner)
}

function addExplain (program: Command, runner: CommandRunner): void {
  const description = 'explains why a job is waiting; with --queue, where new work would go now, without submitting it'
  addCommand(program, 'explain', description, 'explain bee-planner.0f3a\n  $ fireflymount explain --queue drift --team guild --tasks 8')
    .argument('[job]', 'id of the job')
    .option('--queue <queue>', 'explain work on this queue that is not submitted; needs an administration key')
    .option('--team <team>', 'team that would submit it (default: the first team of the queue)')
    .option('--tasks <count>', 'number of tasks of a gang', parsePositiveInteger)
    .option('--runtime <ms>', 'expected run time of one task in milliseconds', parsePositiveInteger)
    .option('--size <cpu,memory,accelerators>', 'size of one task in thousandths of a core, MB and accelerators, such as 500,1024,0', parseSize)
    .option('--deadline <ms>', 'deadline of a request in milliseconds', parsePositiveInteger)
    .option('--label <label>', 'label that a worker must have, in cells whose workers have labels')
    .option('--gang', 'the tasks start together, in cells where this does not depend on the queue')
    .action((id: string | undefined, options: DryRunOptions, command: Command) => {
      if (id !== undefined && Object.keys(options).length > 0) {
        command.error('error: give either the id of a job or --queue with its options')
      }
      return runner.callServer(command, (context) => id === undefined ? explainNew(context, options) : explain(context, id))
    })
}

function addKeys (program: Command, runner: CommandRunner): void {
  const key = addCommand(program, 'key', 'grants and withdraws keys', 'key grant guild shop-terminal')
  addCommand(key, 'grant', 'creates a key and prints it once', 'key grant guild shop-terminal')
    .argument('<team>', 'team that the key acts for')
    .argument('[name]', 'public name of the key (default: the team and six random hexadecimal digits)')
    .action((team: string, name: string | undefined, _, command: Command) => {
      return runner.callServer(command, (context) => grantKey(context, team, name))
    })
  addCommand(key, 'withdraw', 'withdraws a key', 'key withdraw shop-terminal')
    .argument('<name>', 'public name of the key')
    .action((name: string, _, command: Command) => runner.callServer(command, (context) => withdrawKey(context, name)))
}

function addOperations (program: Command, runner: CommandRunner): void {
  addCommand(program, 'status', 'shows nodes and shards, or the workers of one upstream', 'status bee-planner')
    .argument('[upstream]', 'one upstream')
    .action((upstream: string | undefined, _, command: Command) => {
      return runner.callServer(command, (context) => showStatus(context, upstream))
    })
  addCommand(program, 'drain', 'drains a worker, so that it gets no new tasks', 'drain bee-planner bee-planner-07')
    .argument('<upstream>', 'upstream of the worker')
    .argument('<worker>', 'the worker')
    .option('--undo', 'make the worker schedulable again')
    .action((upstream: string, worker: string, { undo }: { undo?: boolean }, command: Command) => {
      return runner.callServer(command, (context) => drainWorker(context, upstream, worker, undo !== true))
    })
  addCommand(program, 'evacuate', 'evacuates an availability zone, so that its workers get no new tasks', 'evacuate fukuoka')
    .argument('<zone>', 'the availability zone')
    .option('--undo', 'take the zone back')
    .action((zone: string, { undo }: { undo?: boolean }, command: Command) => {
      return runner.callServer(command, (context) => evacuateZone(context, zone, undo !== true))
    })
  const report = addCommand(program, 'report', 'prints reports on the cell', 'report burn --html burn.html')
  addCommand(report, 'burn', 'reports burn rates over 5 minutes, 1 hour and 6 hours', 'report burn --html burn.html')
    .option('--html <file>', 'also write an HTML page with plots')
    .action(({ html }: { html?: string }, command: Command) => runner.callServer(command, (context) => reportBurn(context, html)))
}

function addCommand (parent: Command, name: string, description: string, example: string): Command {
  return parent.command(name).description(description).addHelpText('after', `\nExample:\n  $ fireflymount ${example}`)
}

function collect (value: string, earlier: readonly string[] = []): string[] {
  return [...earlier, value]
}

function parseSize (text: string): Resources {
  const amounts = /^(\d{1,12}),(\d{1,12}),(\d{1,6})$/.exec(text)
  if (amounts === null) throw new InvalidArgumentError('It must be three whole numbers, such as 500,1024,0.')
  return { cpuMilli: Number(amounts[1]), memoryMb: Number(amounts[2]), accelerators: Number(amounts[3]) }
}

function parsePositiveInteger (text: string): number {
  const value = /^\d{1,12}$/.test(text) ? Number(text) : 0
  if (value < 1) throw new InvalidArgumentError('It must be a whole number above zero.')
  return value
}
