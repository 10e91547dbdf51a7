/**
 * The steps that start and stop processes and inject faults into processes, links, the log and the list of VMs.
 */
import { err, ok, type Result } from 'neverthrow'
import { VmState } from '@fireflymount/service-clients/vm-list'
import {
  VmDeparture, Role, Signal,
  type FaultStep, type LeaveStep, type LinkStep, type ListStep, type LogStep, type Option, type SignalStep, type StartStep
} from '../language/syntax-tree.js'
import { callJson } from '../cell/http.js'
import { ADMINISTRATION_SECRET } from '../cell/settings.js'
import { readMonotonicMs } from './caller.js'
import type { ScenarioContext } from './context.js'
import { resolveOne, resolveTarget } from './targets.js'

const DEFAULT_SLOTS = 8
const DEFAULT_CPU_MILLI = 16_000
const DEFAULT_MEMORY_MB = 32_000

type StepResult = Result<void, string>

/** Builds the request body that injects a fault. */
type FaultBody = (amount: number) => object

/** Starts the platform, workers or a node. */
export async function runStart (context: ScenarioContext, start: StartStep): Promise<StepResult> {
  if (start.role === Role.Platform) return context.cell.startPlatform(platformArguments(start.options))
  if (start.role === Role.Node) {
    context.markStarted(start.name)
    return context.cell.startNode(start.name, start.zone)
  }
  for (let index = 0; index < start.count; index++) {
    const started = await context.cell.startWorker({
      upstream: start.name,
      zone: start.zone,
      rack: start.rack,
      slots: optionOf(start.options, 'slots', DEFAULT_SLOTS),
      resources: {
        cpuMilli: optionOf(start.options, 'cpu', DEFAULT_CPU_MILLI),
        memoryMb: optionOf(start.options, 'memory', DEFAULT_MEMORY_MB),
        accelerators: optionOf(start.options, 'accelerators', 0)
      }
    })
    if (started.isErr()) return started
  }
  return ok()
}

/**
 * Sends a signal to nodes. Workers get the equivalent fault instead, because their event histories must survive for the checks.
 * With an alias, only the first process gets the signal or fault.
 */
export async function runSignal (context: ScenarioContext, step: SignalStep): Promise<StepResult> {
  const names = await resolveTarget(context, step.target)
  if (names.isErr()) return err(names.error)
  const first = names.value[0]!
  if (step.alias !== undefined) context.aliases.set(step.alias, first)
  const all = step.alias === undefined ? names.value : [first]
  for (const name of all) {
    const isWorker = context.cell.workers.has(name)
    const sent = isWorker
      ? await injectWorkerFault(context, name, WORKER_SIGNALS[step.signal], 0)
      : signalNode(context, name, step.signal)
    if (sent.isErr()) return sent
  }
  return ok()
}

/** Changes the links between two targets. */
export async function runLink (context: ScenarioContext, { link, left, right }: LinkStep): Promise<StepResult> {
  const lefts = await resolveTarget(context, left)
  if (lefts.isErr()) return err(lefts.error)
  const rights = await resolveTarget(context, right)
  if (rights.isErr()) return err(rights.error)
  for (const one of lefts.value) {
    for (const other of rights.value) {
      if (one !== other) await context.cell.setLink(link, one, other)
    }
  }
  return ok()
}

/** Injects a fault into the log, removes all its faults, or sets one of its limits. */
export async function runLog (context: ScenarioContext, { fault, amount, target }: LogStep): Promise<StepResult> {
  if (fault === 'well') return discardValue(await context.cell.callPlatform('DELETE', 'log/faults'))
  if (fault === 'retention') return discardValue(await context.cell.callPlatform('POST', 'log/limits', { retention: amount }))
  if (fault === 'budget') return discardValue(await context.cell.callPlatform('POST', 'log/limits', { appendsPerSecond: amount }))
  const body = LOG_FAULTS.get(fault)?.(amount)
  if (body === undefined) {
    return err(`The log has no fault "${fault}". Use one of ${[...LOG_FAULTS.keys()].join(', ')}, retention, budget, well.`)
  }
  if (target === undefined) return discardValue(await context.cell.callPlatform('POST', 'log/faults', body))
  const node = await resolveOne(context, target)
  if (node.isErr()) return err(node.error)
  return discardValue(await context.cell.callPlatform('POST', 'log/faults', { ...body, node: node.value }))
}

/** Sets the lag of the list of VMs. */
export async function runList (context: ScenarioContext, { lagMs }: ListStep): Promise<StepResult> {
  return discardValue(await context.cell.callPlatform('POST', 'list/lag', { lagMs }))
}

/** Marks VMs as leaving or gone, removes them from the list, or drains workers. */
export async function runLeave (context: ScenarioContext, { state, target }: LeaveStep): Promise<StepResult> {
  const names = await resolveTarget(context, target)
  if (names.isErr()) return err(names.error)
  for (const name of names.value) {
    const result = state === VmDeparture.Drained ? await drainWorker(context, name) : await applyVmDeparture(context, name, state)
    if (result.isErr()) return result
  }
  return ok()
}

/** Injects a fault into workers, or removes their faults. */
export async function runFault (context: ScenarioContext, { target, fault, amount }: FaultStep): Promise<StepResult> {
  const names = await resolveTarget(context, target)
  if (names.isErr()) return err(names.error)
  for (const name of names.value) {
    const result = await injectWorkerFault(context, name, fault, amount)
    if (result.isErr()) return result
  }
  return ok()
}

const LOG_FAULTS: ReadonlyMap<string, FaultBody> = new Map<string, FaultBody>([
  ['outage', () => ({ outage: true })],
  ['hang', () => ({ hang: true })],
  ['slow', (slowMs: number) => ({ slowMs })],
  ['lost', (lostAnswers: number) => ({ lostAnswers })],
  ['refuse', (refuse: number) => ({ refuse })]
])

const WORKER_FAULTS: ReadonlyMap<string, FaultBody> = new Map<string, FaultBody>([
  ['failing', () => ({ failAll: true })],
  ['frozen', () => ({ freeze: true })],
  ['dead', () => ({ dead: true })],
  ['slow', (slowMs: number) => ({ slowMs })],
  ['slow-starts', (slowMs: number) => ({ command: 'start', slowMs })],
  ['late', (lateMs: number) => ({ command: 'request', lateMs })],
  ['lost', (lostAnswers: number) => ({ command: 'request', lostAnswers })],
  ['lost-starts', (lostAnswers: number) => ({ command: 'start', lostAnswers })],
  ['half', (halfAnswers: number) => ({ command: 'request', halfAnswers })],
  ['half-starts', (halfAnswers: number) => ({ command: 'start', halfAnswers })],
  ['crossed', (crossedAnswers: number) => ({ command: 'request', crossedAnswers })]
])

const WORKER_SIGNALS: Record<Signal, string> = {
  [Signal.Stop]: 'dead', [Signal.Kill]: 'dead', [Signal.Freeze]: 'frozen', [Signal.Thaw]: 'well'
}

function signalNode (context: ScenarioContext, name: string, signal: Signal): StepResult {
  if (signal === Signal.Freeze) context.unresponsiveNodes.add(name)
  if (signal === Signal.Thaw) context.unresponsiveNodes.delete(name)
  if (signal === Signal.Stop) context.markStopping(name)
  if (signal === Signal.Kill) context.unresponsiveNodes.add(name)
  context.cell.child(name)!.signal(signal)
  return ok()
}

async function injectWorkerFault (context: ScenarioContext, name: string, fault: string, amount: number): Promise<StepResult> {
  if (fault === 'well') return discardValue(await context.cell.callWorker(name, 'DELETE', 'faults'))
  if (fault === 'restart') return discardValue(await context.cell.callWorker(name, 'POST', 'restart'))
  if (fault === 'silent') return discardValue(await context.cell.callWorker(name, 'POST', 'connections/silence'))
  const body = WORKER_FAULTS.get(fault)?.(amount)
  if (body === undefined) {
    return err(`A worker has no fault "${fault}". Use one of ${[...WORKER_FAULTS.keys()].join(', ')}, restart, silent, well.`)
  }
  return discardValue(await context.cell.callWorker(name, 'POST', 'faults', body))
}

async function applyVmDeparture (context: ScenarioContext, name: string, state: VmDeparture): Promise<StepResult> {
  if (state === VmDeparture.Forgotten) return discardValue(await context.cell.callPlatform('DELETE', `vms/${name}`))
  const vmState = state === VmDeparture.Leaving ? VmState.Leaving : VmState.Gone
  if (vmState === VmState.Leaving && context.cell.workers.has(name)) context.leaving.push({ name, atMs: readMonotonicMs() })
  if (vmState === VmState.Gone && context.cell.workers.has(name)) {
    const dead = await injectWorkerFault(context, name, 'dead', 0)
    if (dead.isErr()) return dead
  }
  return discardValue(await context.cell.callPlatform('PATCH', `vms/${name}`, { state: vmState }))
}

async function drainWorker (context: ScenarioContext, name: string): Promise<StepResult> {
  const upstream = context.cell.workers.get(name)?.vm.upstream ?? ''
  const response = await callJson(`${context.pickApi()}/v1/admin/workers/${upstream}/${name}/drain`, {
    method: 'POST', headers: { authorization: `Bearer ${ADMINISTRATION_SECRET}` }, body: { drained: true }
  })
  if (response.isErr()) return err(`The request to drain ${name} got no complete response: ${response.error}`)
  if (response.value.status !== 200) {
    return err(`The request to drain ${name} was refused: ${JSON.stringify(response.value.body)}`)
  }
  context.leaving.push({ name, atMs: readMonotonicMs() })
  return ok()
}

function platformArguments (options: readonly Option[]): string[] {
  const retention = optionOf(options, 'retention', 100_000)
  const budget = optionOf(options, 'budget', 300)
  const lag = optionOf(options, 'lag', 0)
  return ['--retention', String(retention), '--appends-per-second', String(budget), '--lag-ms', String(lag)]
}

function optionOf (options: readonly Option[], name: string, defaultValue: number): number {
  return options.find((option) => option.name === name)?.value ?? defaultValue
}

function discardValue (result: Result<unknown, string>): StepResult {
  return result.map(() => undefined)
}
