import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { err, ok, type Result } from 'neverthrow'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { Log } from '../../src/report/log.js'
import { SettingsFile } from '../../src/settings/settings-file.js'

/** Keeps the events with their mistakes. */
class EventLog extends Log {
  readonly events: string[] = []
  override decision (): void {}
  override event (name: string, fields: Record<string, unknown>): void {
    this.events.push(fields.mistake === undefined ? name : `${name}: ${String(fields.mistake)}`)
  }
}

let folder: string
let path: string
let log: EventLog
let seen: number[]
beforeEach(() => {
  folder = mkdtempSync(join(tmpdir(), 'settings-'))
  path = join(folder, 'boot.toml')
  log = new EventLog()
  seen = []
})
afterEach(() => { rmSync(folder, { recursive: true }) })

function parse (text: string): Result<number, string> {
  return Number.isNaN(Number(text)) ? err(`line 1: "${text}" is not a number`) : ok(Number(text))
}

function createFile (text: string): SettingsFile<number> {
  writeFileSync(path, text)
  return new SettingsFile(path, parse)
}

describe('a settings file', () => {
  it('that cannot be read is an error that names the file', () => {
    expect(new SettingsFile(path, parse).read()._unsafeUnwrapErr()).toContain(path)
  })

  it('with a mistake is an error that names the file and the mistake', () => {
    const error = createFile('x').read()._unsafeUnwrapErr()
    expect([error.includes(path), error.includes('line 1')]).toEqual([true, true])
  })

  it.each<[string, string[], number[], string[]]>([
    ['uses a new version', ['2'], [2], []],
    ['keeps the version before one with a mistake', ['x'], [], ['settings rejected']],
    ['uses a version after one with a mistake', ['x', '3'], [3], ['settings rejected']],
    ['returns to the version before', ['2', '1'], [2, 1], []],
    ['does not use the same version again', ['1'], [], ['settings unchanged']]
  ])('%s when it is checked after a signal', (_, versions, expected, events) => {
    const file = createFile('1')
    file.read()
    for (const version of versions) {
      writeFileSync(path, version)
      file.check((settings) => { seen.push(settings) }, log)
    }
    expect([seen, log.events.map((event) => event.split(':')[0])]).toEqual([expected, events])
  })

  it('is checked without a signal', async () => {
    const file = createFile('1')
    file.read()
    file.watch((settings) => { seen.push(settings) }, log)
    writeFileSync(path, '22')
    await expect.poll(() => seen, { timeout: 10_000 }).toEqual([22])
    file.close()
  })
})
