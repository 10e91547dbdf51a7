/**
 * Starts and stops the stand-ins as child processes of tests.
 */
import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { fileURLToPath } from 'node:url'
import type { PlatformListening, WorkersListening } from '@fireflymount/standin/test-control'

/** A running stand-in and the address or addresses that it listens on. */
export interface Standin<T> {
  readonly child: ChildProcess
  readonly listening: T
}

export async function startPlatform (...options: string[]): Promise<Standin<string>> {
  const { child, line } = await start('platform.js', options)
  return { child, listening: (JSON.parse(line) as PlatformListening).listening }
}

export async function startWorkers (...options: string[]): Promise<Standin<WorkersListening['listening']>> {
  const { child, line } = await start('worker.js', options)
  return { child, listening: (JSON.parse(line) as WorkersListening).listening }
}

export async function stop (child: ChildProcess | undefined): Promise<void> {
  if (child === undefined) return
  const exited = once(child, 'exit')
  child.stdin?.end()
  await exited
}

async function start (program: string, options: string[]): Promise<{ child: ChildProcess, line: string }> {
  const path = fileURLToPath(new URL(`../dist/${program}`, import.meta.url))
  const child = spawn(process.execPath, [path, '--port', '0', '--end-with-input', ...options], { stdio: ['pipe', 'pipe', 'inherit'] })
  const [line] = await once(child.stdout, 'data') as [Buffer]
  return { child, line: line.toString() }
}
