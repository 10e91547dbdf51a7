/**
 * Steps that start, stop and disturb processes and the links between them.
 */
import { err, ok, type Result } from 'neverthrow'
import { VmState } from '@fireflymount/platform/machines'
import {
  Departing, Role, Signal,
  type Fault, type Leave, type LinkStep, type ListStep, type LogStep, type Option, type SignalStep, type Start
} from '../language/script.js'
import { callJson } from '../cell/http.js'
import { ADMINISTRATION_SECRET } from '../cell/settings.js'
import { machineNow } from './caller.js'
import type { Stage } from './stage.js'
import { resolveOne, resolveTarget } from './targets.js'

const DEFAULT_SLOTS = 8
const DEFAULT_CPU_MILLI = 16_000
const DEFAULT_MEMORY_MB = 32_000

type Outcome = Result<void, string>

/** Builds the body that switches a fault. */
type Change = (amount: number) => object

/** Starts the platform, workers or a node. */
export async function runStart (stage: Stage, start: Start): Promise<Outcome> {
  if (start.role === Role.Platform) return stage.cell.startPlatform(platformArguments(start.options))
  if (start.role === Role.Node) {
    stage.markStarted(start.name)
    return stage.cell.startNode(start.name, start.zone)
  }
  for (let index = 0; index < start.count; index++) {
    const started = await stage.cell.startWorker({
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

/** Sends a signal to nodes; workers get the fault that stands for it, so that their record survives. */
export async function runSignal (stage: Stage, step: SignalStep): Promise<Outcome> {
  const names = await resolveTarget(stage, step.target)
  if (names.isErr()) return err(names.error)
  const first = names.value[0]!
  if (step.alias !== undefined) stage.aliases.set(step.alias, first)
  const all = step.alias === undefined ? names.value : [first]
  for (const name of all) {
    const isWorker = stage.cell.workers.has(name)
    const sent = isWorker ? await faultWorker(stage, name, WORKER_SIGNALS[step.signal], 0) : signalNode(stage, name, step.signal)
    if (sent.isErr()) return sent
  }
  return ok()
}

/** Changes the links between two targets. */
export async function runLink (stage: Stage, { link, left, right }: LinkStep): Promise<Outcome> {
  const lefts = await resolveTarget(stage, left)
  if (lefts.isErr()) return err(lefts.error)
  const rights = await resolveTarget(stage, right)
  if (rights.isErr()) return err(rights.error)
  for (const one of lefts.value) {
    for (const other of rights.value) {
      if (one !== other) await stage.cell.setLink(link, one, other)
    }
  }
  return ok()
}

/** Switches a fault of the log, or sets one of its limits. */
export async function runLog (stage: Stage, { fault, amount, target }: LogStep): Promise<Outcome> {
  if (fault === 'well') return discard(await stage.cell.askPlatform('DELETE', 'log/faults'))
  if (fault === 'retention') return discard(await stage.cell.askPlatform('POST', 'log/limits', { retention: amount }))
  if (fault === 'budget') return discard(await stage.cell.askPlatform('POST', 'log/limits', { appendsPerSecond: amount }))
  const change = LOG_FAULTS.get(fault)?.(amount)
  if (change === undefined) return err(`The log has no fault "${fault}". Use one of ${[...LOG_FAULTS.keys()].join(', ')}.`)
  if (target === undefined) return discard(await stage.cell.askPlatform('POST', 'log/faults', change))
  const node = await resolveOne(stage, target)
  if (node.isErr()) return err(node.error)
  return discard(await stage.cell.askPlatform('POST', 'log/faults', { ...change, node: node.value }))
}

/** Sets the lag of the list of VMs. */
export async function runList (stage: Stage, { lagMs }: ListStep): Promise<Outcome> {
  return discard(await stage.cell.askPlatform('POST', 'list/lag', { lagMs }))
}

/** Marks VMs as leaving or gone, or drains workers. */
export async function runDeparture (stage: Stage, { state, target }: Leave): Promise<Outcome> {
  const names = await resolveTarget(stage, target)
  if (names.isErr()) return err(names.error)
  for (const name of names.value) {
    const outcome = state === Departing.Drained ? await drain(stage, name) : await depart(stage, name, state)
    if (outcome.isErr()) return outcome
  }
  return ok()
}

/** Switches a fault of workers. */
export async function runFault (stage: Stage, { target, fault, amount }: Fault): Promise<Outcome> {
  const names = await resolveTarget(stage, target)
  if (names.isErr()) return err(names.error)
  for (const name of names.value) {
    const outcome = await faultWorker(stage, name, fault, amount)
    if (outcome.isErr()) return outcome
  }
  return ok()
}

const LOG_FAULTS: ReadonlyMap<string, Change> = new Map<string, Change>([
  ['outage', () => ({ outage: true })],
  ['hang', () => ({ hang: true })],
  ['slow', (slowMs: number) => ({ slowMs })],
  ['lost', (lostAnswers: number) => ({ lostAnswers })],
  ['refuse', (refuse: number) => ({ refuse })]
])

const WORKER_FAULTS: ReadonlyMap<string, Change> = new Map<string, Change>([
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

function signalNode (stage: Stage, name: string, signal: Signal): Outcome {
  if (signal === Signal.Freeze) stage.frozen.add(name)
  if (signal === Signal.Thaw) stage.frozen.delete(name)
  if (signal === Signal.Stop) stage.markStopping(name)
  if (signal === Signal.Kill) stage.frozen.add(name)
  stage.cell.child(name)!.signal(signal)
  return ok()
}

async function faultWorker (stage: Stage, name: string, fault: string, amount: number): Promise<Outcome> {
  if (fault === 'well') return discard(await stage.cell.askWorker(name, 'DELETE', 'faults'))
  if (fault === 'restart') return discard(await stage.cell.askWorker(name, 'POST', 'restart'))
  if (fault === 'silent') return discard(await stage.cell.askWorker(name, 'POST', 'connections/silence'))
  const change = WORKER_FAULTS.get(fault)?.(amount)
  if (change === undefined) return err(`A worker has no fault "${fault}". Use one of ${[...WORKER_FAULTS.keys()].join(', ')}.`)
  return discard(await stage.cell.askWorker(name, 'POST', 'faults', change))
}

async function depart (stage: Stage, name: string, state: Departing): Promise<Outcome> {
  if (state === Departing.Forgotten) return discard(await stage.cell.askPlatform('DELETE', `vms/${name}`))
  const vmState = state === Departing.Leaving ? VmState.Leaving : VmState.Gone
  if (vmState === VmState.Leaving && stage.cell.workers.has(name)) stage.leaving.push({ name, atMs: machineNow() })
  if (vmState === VmState.Gone && stage.cell.workers.has(name)) {
    const dead = await faultWorker(stage, name, 'dead', 0)
    if (dead.isErr()) return dead
  }
  return discard(await stage.cell.askPlatform('PATCH', `vms/${name}`, { state: vmState }))
}

async function drain (stage: Stage, name: string): Promise<Outcome> {
  const upstream = stage.cell.workers.get(name)?.vm.upstream ?? ''
  const reply = await callJson(`${stage.pickApi()}/v1/admin/workers/${upstream}/${name}/drain`, {
    method: 'POST', headers: { authorization: `Bearer ${ADMINISTRATION_SECRET}` }, body: { drained: true }
  })
  if (reply.isErr()) return err(`The drain of ${name} was not answered: ${reply.error}`)
  if (reply.value.status !== 200) return err(`The drain of ${name} was refused: ${JSON.stringify(reply.value.body)}`)
  stage.leaving.push({ name, atMs: machineNow() })
  return ok()
}

function platformArguments (options: readonly Option[]): string[] {
  const retention = optionOf(options, 'retention', 100_000)
  const budget = optionOf(options, 'budget', 300)
  const lag = optionOf(options, 'lag', 0)
  return ['--retention', String(retention), '--appends-per-second', String(budget), '--lag-ms', String(lag)]
}

function optionOf (options: readonly Option[], name: string, otherwise: number): number {
  return options.find((option) => option.name === name)?.value ?? otherwise
}

function discard (result: Result<unknown, string>): Outcome {
  return result.map(() => undefined)
}
