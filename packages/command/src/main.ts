#!/usr/bin/env node
/**
 * Entry point of the command-line tool `fireflymount`.
 */
import { text } from 'node:stream/consumers'
import { runProgram } from './program.js'
import { Terminal } from './terminal.js'

/** The standard streams and the environment of the process. */
class ProcessTerminal extends Terminal {
  write (output: string): void {
    process.stdout.write(output)
  }

  warn (output: string): void {
    process.stderr.write(output)
  }

  getVariable (name: string): string | undefined {
    return process.env[name]
  }

  readInput (): Promise<string> {
    return text(process.stdin)
  }
}

process.exitCode = await runProgram(process.argv.slice(2), new ProcessTerminal())
