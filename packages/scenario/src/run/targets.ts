/**
 * Finds the processes that a step is about.
 */
import { err, ok, type Result } from 'neverthrow'
import { TargetKind, type Target } from '../language/script.js'
import type { Stage } from './stage.js'

/**
 * Finds the processes of a target.
 *
 * @param stage the scenario's state
 * @param target the target
 * @returns the names of the processes, at least one, or why there is none
 *
 * @example
 * const names = await resolveTarget(stage, step.target)
 */
export async function resolveTarget (stage: Stage, target: Target): Promise<Result<readonly string[], string>> {
  const names = await findNames(stage, target)
  return names.length > 0 ? ok(names) : err(`There is no process for "${target.kind} ${target.name}".`)
}

/**
 * Finds the only process of a target.
 *
 * @param stage the scenario's state
 * @param target the target
 * @returns the name of the first process, or why there is none
 */
export async function resolveOne (stage: Stage, target: Target): Promise<Result<string, string>> {
  const names = await resolveTarget(stage, target)
  return names.map((some) => some[0]!)
}

/**
 * Finds the node whose epoch the workers of an upstream hold.
 *
 * @param stage the scenario's state
 * @param upstream the upstream
 * @returns the node's name; empty if there is none
 */
export async function findOwner (stage: Stage, upstream: string): Promise<string> {
  await stage.refresh()
  return stage.recorder.epoch(workersOf(stage, upstream)).node
}

/**
 * Lists the workers of an upstream.
 *
 * @param stage the scenario's state
 * @param upstream the upstream
 * @returns the names of its workers
 */
export function workersOf (stage: Stage, upstream: string): string[] {
  const names: string[] = []
  for (const worker of stage.cell.workers.values()) {
    if (worker.vm.upstream === upstream) names.push(worker.name)
  }
  return names
}

async function findNames (stage: Stage, target: Target): Promise<readonly string[]> {
  switch (target.kind) {
    case TargetKind.Named: {
      const name = stage.aliases.get(target.name) ?? target.name
      return stage.cell.child(name) === undefined ? [] : [name]
    }
    case TargetKind.Owner: {
      const owner = await findOwner(stage, target.name)
      return stage.cell.nodes.has(owner) ? [owner] : []
    }
    case TargetKind.Standby:
      return findStandbys(stage, target.name)
    case TargetKind.Host:
      return findHosts(stage, target.name)
    case TargetKind.Workers:
      return workersOf(stage, target.name)
    case TargetKind.Nodes:
      return stage.cell.runningNodes()
  }
}

async function findStandbys (stage: Stage, upstream: string): Promise<string[]> {
  const owner = await findOwner(stage, upstream)
  const zones = new Set(stage.operator.manifest.upstreams.find((each) => each.name === upstream)?.zones)
  return stage.cell.runningNodes().filter((name) => name !== owner && zones.has(stage.cell.nodes.get(name)!.zone))
}

async function findHosts (stage: Stage, name: string): Promise<string[]> {
  await stage.refresh()
  const nonces = stage.ledger.nonces(name)
  const hosts: string[] = []
  for (const run of stage.recorder.runs()) {
    if (run.endedMs !== undefined) continue
    if (run.kind === name || nonces.has(run.nonce ?? '')) hosts.push(run.worker)
  }
  return hosts
}
