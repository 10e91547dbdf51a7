/**
 * Options that all commands share.
 */
import { readFile } from 'node:fs/promises'
import { err, ok, type Result } from 'neverthrow'
import { Client } from './client.js'
import { createUsageError, type Failure } from './failure.js'
import { Format, type Terminal } from './terminal.js'

const KEY_PATTERN = /^[\x21-\x7e]{1,500}$/

/** Options of all commands, as commander parses them. */
export interface GlobalOptions {
  readonly server?: readonly string[]
  readonly keyFile?: string
  readonly output: Format
}

/**
 * Creates the client that the options describe.
 *
 * @param options the options
 * @param terminal from which environment variables are read
 * @returns the client, or the error in the options
 */
export async function createClient (options: GlobalOptions, terminal: Terminal): Promise<Result<Client, Failure>> {
  const servers = options.server ?? splitServers(terminal.getVariable('FIREFLYMOUNT_SERVER'))
  if (servers.length === 0) return err(createUsageError('No server is given. Use --server URL or set FIREFLYMOUNT_SERVER.'))
  for (const server of servers) {
    if (!isServerUrl(server)) return err(createUsageError(`"${server}" is not a server URL such as http://10.0.0.1:8080.`))
  }
  const key = await readKey(options.keyFile, terminal)
  return key.map((secret) => new Client(servers, secret))
}

/**
 * Reads a text file.
 *
 * @param path the path of the file, or "-" for the standard input
 * @param terminal from which the standard input is read
 * @returns the text, or the error
 */
export async function readText (path: string, terminal: Terminal): Promise<Result<string, Failure>> {
  if (path === '-') return ok(await terminal.readInput())
  try {
    return ok(await readFile(path, 'utf8'))
  } catch (error) {
    return err(createUsageError(
      `The file "${path}" cannot be read (${(error as NodeJS.ErrnoException).code}). Check its path and permissions.`
    ))
  }
}

async function readKey (path: string | undefined, terminal: Terminal): Promise<Result<string | undefined, Failure>> {
  if (path === undefined) return validateKey(terminal.getVariable('FIREFLYMOUNT_KEY'))
  const text = await readText(path, terminal)
  if (text.isErr()) return err(text.error)
  if (text.value.trim() === '') return err(createUsageError(`The key file "${path}" is empty.`))
  return validateKey(text.value)
}

function validateKey (text: string | undefined): Result<string | undefined, Failure> {
  const key = text?.trim()
  if (key === undefined || key === '') return ok(undefined)
  return KEY_PATTERN.test(key) ? ok(key) : err(createUsageError('The key must be one line of visible ASCII characters.'))
}

function splitServers (text: string | undefined): string[] {
  return (text ?? '').split(',').map((server) => server.trim()).filter((server) => server !== '')
}

function isServerUrl (text: string): boolean {
  return URL.canParse(text) && /^https?:$/.test(new URL(text).protocol)
}
