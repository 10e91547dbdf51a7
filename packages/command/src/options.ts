/**
 * Options that all commands share.
 */
import { readFile } from 'node:fs/promises'
import { err, ok, type Result } from 'neverthrow'
import { Client } from './client.js'
import { createMisuse, type Failure } from './failure.js'
import { Format, type Terminal } from './terminal.js'

const KEY = /^[\x21-\x7e]{1,500}$/

/** Options of the whole tool, as commander parses them. */
export interface Options {
  readonly server?: readonly string[]
  readonly keyFile?: string
  readonly output: Format
}

/**
 * Makes the client that the options describe.
 *
 * @param options the options
 * @param terminal where the environment is read
 * @returns the client, or the mistake in the options
 */
export async function createClient (options: Options, terminal: Terminal): Promise<Result<Client, Failure>> {
  const servers = options.server ?? splitServers(terminal.variable('FIREFLYMOUNT_SERVER'))
  if (servers.length === 0) return err(createMisuse('No server is given. Use --server URL or set FIREFLYMOUNT_SERVER.'))
  for (const server of servers) {
    if (!isServer(server)) return err(createMisuse(`"${server}" is no server. Give a URL such as http://10.0.0.1:8080.`))
  }
  const key = await readKey(options.keyFile, terminal)
  return key.map((secret) => new Client(servers, secret))
}

/**
 * Reads a text file.
 *
 * @param path the file, or "-" for the standard input
 * @param terminal where the standard input is read
 * @returns the text, or the mistake
 */
export async function readText (path: string, terminal: Terminal): Promise<Result<string, Failure>> {
  if (path === '-') return ok(await terminal.read())
  try {
    return ok(await readFile(path, 'utf8'))
  } catch (error) {
    return err(createMisuse(`The file "${path}" cannot be read (${(error as NodeJS.ErrnoException).code}). Check its name and rights.`))
  }
}

async function readKey (path: string | undefined, terminal: Terminal): Promise<Result<string | undefined, Failure>> {
  if (path === undefined) return checkKey(terminal.variable('FIREFLYMOUNT_KEY'))
  const text = await readText(path, terminal)
  if (text.isErr()) return err(text.error)
  if (text.value.trim() === '') return err(createMisuse(`The key file "${path}" is empty.`))
  return checkKey(text.value)
}

function checkKey (text: string | undefined): Result<string | undefined, Failure> {
  const key = text?.trim()
  if (key === undefined || key === '') return ok(undefined)
  return KEY.test(key) ? ok(key) : err(createMisuse('The key must be one line of visible ASCII characters.'))
}

function splitServers (text: string | undefined): string[] {
  return (text ?? '').split(',').map((server) => server.trim()).filter((server) => server !== '')
}

function isServer (text: string): boolean {
  return URL.canParse(text) && /^https?:$/.test(new URL(text).protocol)
}
