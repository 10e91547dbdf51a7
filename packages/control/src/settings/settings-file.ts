/**
 * The settings file of a process, which may change while the process runs, with or without a signal.
 */
import { readFileSync } from 'node:fs'
import { err, ok, type Result } from 'neverthrow'
import type { Log } from '../report/log.js'

/** Interval at which the file is checked for a change without a signal. */
const CHECK_INTERVAL_MS = 1000

/** A settings file. Each of its versions is used as a whole or not at all. */
export class SettingsFile<T> {
  /** Content of the version in use. */
  private usedText: string | undefined
  /** What was last read: the content of the file, or why it cannot be read. */
  private lastRead: Result<string, string> | undefined
  private timer: NodeJS.Timeout | undefined

  /**
   * @param path path of the file
   * @param parse decodes the content of the file, or describes the mistake in it
   */
  constructor (private readonly path: string, private readonly parse: (text: string) => Result<T, string>) {}

  /**
   * Reads the file.
   *
   * @returns the settings, or a sentence that says why they cannot be used
   */
  read (): Result<T, string> {
    this.lastRead = this.readText()
    return this.lastRead.andThen((text) => {
      const settings = this.parse(text)
      if (settings.isOk()) this.usedText = text
      return settings.mapErr((mistake) => `The settings file "${this.path}" is invalid: ${mistake}`)
    })
  }

  /**
   * Checks the file for changes until `close` is called.
   *
   * @param onChange called with the settings of each new version that can be used
   */
  watch (onChange: (settings: T) => void, log: Log): void {
    this.timer = setInterval(() => {
      if (!isSame(this.lastRead, this.readText())) this.check(onChange, log)
    }, CHECK_INTERVAL_MS)
    this.timer.unref()
  }

  /** Reads the file. A version that cannot be used is logged, and the settings before it stay in use. */
  check (onChange: (settings: T) => void, log: Log): void {
    const before = this.usedText
    const settings = this.read()
    if (settings.isErr()) log.event('settings rejected', { mistake: settings.error })
    else if (this.usedText === before) log.event('settings unchanged', {})
    else onChange(settings.value)
  }

  /** Stops the checks. */
  close (): void {
    clearInterval(this.timer)
  }

  private readText (): Result<string, string> {
    try {
      return ok(readFileSync(this.path, 'utf8'))
    } catch (error) {
      return err(`The settings file "${this.path}" cannot be read: ${String(error)}. Make it readable to this process.`)
    }
  }
}

function isSame (left: Result<string, string> | undefined, right: Result<string, string>): boolean {
  if (left === undefined || left.isOk() !== right.isOk()) return false
  return left.unwrapOr('') === right.unwrapOr('')
}
