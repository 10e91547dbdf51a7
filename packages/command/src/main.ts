#!/usr/bin/env node
/**
 * Entry point of the command-line tool `fireflymount`.
 */
import { text } from 'node:stream/consumers'
import { runProgram } from './program.js'
import { Terminal } from './terminal.js'

/** The terminal or pipe that the tool was started from. */
class Console extends Terminal {
  write (output: string): void {
    process.stdout.write(output)
  }

  warn (output: string): void {
    process.stderr.write(output)
  }

  variable (name: string): string | undefined {
    return process.env[name]
  }

  read (): Promise<string> {
    return text(process.stdin)
  }
}

process.exitCode = await runProgram(process.argv.slice(2), new Console())
