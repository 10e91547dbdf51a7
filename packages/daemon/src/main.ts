#!/usr/bin/env node
/**
 * Entry point of fireflymountd.
 */
import { readFile } from 'node:fs/promises'
import { parseSettings } from '@fireflymount/manifest/settings-codec'
import { Command } from 'commander'
import { pino, destination } from 'pino'
import { Node } from './node.js'
import { stopProcess } from './stop-process.js'

/** Exit codes of the daemon. */
enum Exit {
  Stopped = 0,
  StartFailed = 1,
  InvalidSettings = 2
}

/** Standard error, because standard output is reserved for the line that reports that the node is ready. */
const LOG_FILE_DESCRIPTOR = 2

const program = new Command('fireflymountd')
  .description('A node of the fireflymount cluster scheduler.')
  .requiredOption('-s, --settings <file>', 'settings file in JSON')
  .option('--check', 'check the settings file and exit')
  .action(run)

await program.parseAsync()

async function run (options: { settings: string, check?: boolean }): Promise<void> {
  if (process.env.UV_USE_IO_URING === '1') {
    process.stderr.write('UV_USE_IO_URING must not be 1: io_uring is not supported. Set it to 0.\n')
    process.exit(Exit.InvalidSettings)
  }
  const settings = parseSettings(await readJson(options.settings))
  if (settings.isErr()) {
    for (const error of settings.error) process.stderr.write(`${error.path}: ${error.mistake}. ${error.mend}\n`)
    process.exit(Exit.InvalidSettings)
  }
  if (options.check) return
  const logger = pino(
    { level: settings.value.log.level, base: { node: settings.value.node } },
    destination({ fd: LOG_FILE_DESCRIPTOR, sync: true })
  )
  const node = new Node(settings.value, logger)
  const started = await node.start()
  if (started.isErr()) {
    logger.fatal({ detail: started.error }, 'node failed to start')
    process.exit(Exit.StartFailed)
  }
  process.stdout.write(`${JSON.stringify({ ready: settings.value.node, api: started.value.address })}\n`)
  process.once('SIGTERM', () => { stop(node) })
  process.once('SIGINT', () => { stop(node) })
}

function stop (node: Node): void {
  node.shutDown().then(() => { process.exit(Exit.Stopped) }, stopProcess)
}

async function readJson (file: string): Promise<unknown> {
  try {
    return JSON.parse(await readFile(file, 'utf8'))
  } catch (error) {
    process.stderr.write(`${file}: ${String(error)}. The file must contain the settings as JSON.\n`)
    process.exit(Exit.InvalidSettings)
  }
}
