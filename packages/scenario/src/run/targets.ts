/**
 * Finds the processes that a step acts on.
 */
import { err, ok, type Result } from 'neverthrow'
import { TargetKind, type Target } from '../language/syntax-tree.js'
import type { ScenarioContext } from './context.js'

/**
 * Finds the processes of a target.
 *
 * @param context the scenario's state
 * @param target the target
 * @returns the names of the processes, at least one, or an error if there is none
 *
 * @example
 * const names = await resolveTarget(context, step.target)
 */
export async function resolveTarget (context: ScenarioContext, target: Target): Promise<Result<readonly string[], string>> {
  const names = await findNames(context, target)
  return names.length > 0 ? ok(names) : err(`There is no process for "${target.kind} ${target.name}".`)
}

/**
 * Finds the first process of a target.
 *
 * @param context the scenario's state
 * @param target the target
 * @returns the name of the first process, or an error if there is none
 */
export async function resolveOne (context: ScenarioContext, target: Target): Promise<Result<string, string>> {
  const names = await resolveTarget(context, target)
  return names.map((some) => some[0]!)
}

/**
 * Finds the owner of an upstream's shard: the node under whose epoch its workers were adopted.
 *
 * @param context the scenario's state
 * @param upstream the upstream
 * @returns the node's name; an empty string if there is none
 */
export async function findOwner (context: ScenarioContext, upstream: string): Promise<string> {
  await context.refresh()
  return context.eventHistories.epoch(workersOf(context, upstream)).node
}

/**
 * Lists the workers of an upstream.
 *
 * @param context the scenario's state
 * @param upstream the upstream
 * @returns the names of its workers
 */
export function workersOf (context: ScenarioContext, upstream: string): string[] {
  const names: string[] = []
  for (const worker of context.cell.workers.values()) {
    if (worker.vm.upstream === upstream) names.push(worker.name)
  }
  return names
}

async function findNames (context: ScenarioContext, target: Target): Promise<readonly string[]> {
  switch (target.kind) {
    case TargetKind.Named: {
      const name = context.aliases.get(target.name) ?? target.name
      return context.cell.child(name) === undefined ? [] : [name]
    }
    case TargetKind.Owner: {
      const owner = await findOwner(context, target.name)
      return context.cell.nodes.has(owner) ? [owner] : []
    }
    case TargetKind.Standby:
      return findStandbys(context, target.name)
    case TargetKind.Host:
      return findHosts(context, target.name)
    case TargetKind.Workers:
      return workersOf(context, target.name)
    case TargetKind.Nodes:
      return context.cell.runningNodes()
  }
}

async function findStandbys (context: ScenarioContext, upstream: string): Promise<string[]> {
  const owner = await findOwner(context, upstream)
  const zones = new Set(context.operator.manifest.upstreams.find((each) => each.name === upstream)?.zones)
  return context.cell.runningNodes().filter((name) => name !== owner && zones.has(context.cell.nodes.get(name)!.zone))
}

async function findHosts (context: ScenarioContext, name: string): Promise<string[]> {
  await context.refresh()
  const nonces = context.sentWork.nonces(name)
  const hosts: string[] = []
  for (const run of context.eventHistories.runs()) {
    if (run.endedMs !== undefined) continue
    if (run.kind === name || nonces.has(run.nonce ?? '')) hosts.push(run.worker)
  }
  return hosts
}
