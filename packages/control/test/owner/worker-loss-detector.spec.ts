import { ok } from 'neverthrow'
import { describe, expect, it } from 'vitest'
import { JobEntry } from '../../src/journal/journal-state.js'
import { Ledger, chargeOf } from '../../src/owner/ledger.js'
import { Run, RunState } from '../../src/owner/run.js'
import { Session } from '../../src/owner/session.js'
import { WorkerLossDetector } from '../../src/owner/worker-loss-detector.js'
import { MachineState, type Machine } from '../../src/ports/machines.js'
import { FakeClock, FakeFleet, ListedMachines, NoMachines, createJob, createMachine, createSessionHost, createWorker } from '../fakes.js'

function machine (name: string, state: MachineState, worker: string): Machine {
  return createMachine({ name, state, worker })
}

const { Up, Down, Moving, Unknown } = MachineState

/**
 * Returns whether the run of a silent worker is lost after some time without a registry entry.
 *
 * @param isUnanswered whether its start was sent and not answered
 */
async function isLost (machineOfWorker: string, machines: Machine[], missingMs: number, isUnanswered = false): Promise<boolean> {
  const clock = new FakeClock()
  const ledger = new Ledger()
  let lost = false
  const host = createSessionHost({ fleet: new FakeFleet(), clock, onRunsLost: () => { lost = true } })
  const session = new Session(createWorker({ id: 'w1', machine: machineOfWorker }), host)
  const entry = new JobEntry(createJob())
  const run = new Run(entry, entry.task(0, 0, 0), 1, session, chargeOf(entry.job.steps[0]!), '', clock.now())
  if (isUnanswered) run.starts.onSent(clock.now())
  ledger.add(run)
  const detector = new WorkerLossDetector(new ListedMachines(machines), clock, () => missingMs)
  clock.advance(1300)
  await detector.tick([session])
  return lost
}

const MISSING_MS = 2500

describe('a silent worker', () => {
  it.each<[string, string, Machine[], number, boolean]>([
    ['runs on a machine that is down', 'm1', [machine('m1', Down, 'w1')], 0, true],
    ['runs on a machine that has another worker', 'm1', [machine('m1', Up, 'w2')], 0, true],
    ['runs on a machine that is up', 'm1', [machine('m1', Up, 'w1')], MISSING_MS, false],
    ['runs on a machine that is not listed', 'm1', [machine('m2', Up, 'w2')], 0, false],
    // Guards against the same wait if the worker left the registry only after the takeover, and its machine left the list.
    ['runs on a machine that is not listed, and has no registry entry any more', 'm1', [machine('m2', Up, 'w2')], MISSING_MS, true],
    ['is listed on another machine, and has no registry entry any more', 'm1', [machine('m2', Up, 'w1')], MISSING_MS, false]
  ])('whose machine is known counts as lost, or not, if it %s', async (_, name, machines, missingMs, lost) => {
    expect(await isLost(name, machines, missingMs)).toBe(lost)
  })

  // Guards against tasks that wait for the longest lease of an earlier owner because their workers had no registry entry any more when
  // this owner took over, so that it never learned on which machines they ran.
  it.each<[string, Machine[], number, boolean]>([
    ['a machine that is down lists it', [machine('m1', Down, 'w1'), machine('m2', Up, 'w2')], 0, true],
    ['no machine lists it', [machine('m1', Up, 'w3'), machine('m2', Up, 'w2')], MISSING_MS, true],
    ['no machine lists it yet after the store was away', [machine('m1', Up, 'w3')], 1500, false],
    ['a machine that is up lists it', [machine('m1', Up, 'w1')], MISSING_MS, false],
    ['a machine that is up lists no worker', [machine('m1', Up, ''), machine('m2', Up, 'w2')], MISSING_MS, false],
    ['a machine that is moving lists no worker', [machine('m1', Moving, ''), machine('m2', Up, 'w2')], MISSING_MS, false],
    // Guards against a live worker that counts as lost because the entry of its machine cannot be decoded.
    ['the entry of a machine cannot be decoded', [machine('', Unknown, ''), machine('m2', Up, 'w2')], MISSING_MS, false],
    ['a machine that is down lists it, beside one that cannot be decoded', [machine('', Unknown, ''), machine('m1', Down, 'w1')], 0, true],
    ['no machine is listed', [], MISSING_MS, false]
  ])('that had no registry entry counts as lost, or not, if %s', async (_, machines, missingMs, lost) => {
    expect(await isLost('', machines, missingMs)).toBe(lost)
  })

  // Guards against a task that runs twice because its worker starts again under its id and carries out a start to its former incarnation.
  it.each<[string, string, Machine[], number, boolean]>([
    ['its machine is down', 'm1', [machine('m1', Down, 'w1')], 0, false],
    ['its machine has another worker', 'm1', [machine('m1', Up, 'w2')], 0, true],
    ['no machine lists it', '', [machine('m1', Up, 'w3'), machine('m2', Up, 'w2')], MISSING_MS, true],
    ['no machine lists it, and one is down', '', [machine('m1', Up, 'w3'), machine('m2', Down, '')], MISSING_MS, false]
  ])('loses a run whose start was not answered only if it cannot start again: %s', async (_, name, machines, missingMs, lost) => {
    expect(await isLost(name, machines, missingMs, true)).toBe(lost)
  })
})

/** Answers a request for the list when a test lets it. */
class SlowMachines extends NoMachines {
  answer: (machines: Machine[]) => void = () => {}
  override async list (): ReturnType<NoMachines['list']> {
    return await new Promise((resolve) => { this.answer = (machines) => { resolve(ok(machines)) } })
  }
}

describe('a list of machines that arrives late', () => {
  // Guards against running work that is started again elsewhere: a list that was requested before a worker restarted, or answered
  // again, shows the end of an earlier incarnation, and its present runs were declared lost.
  it.each<[string, (session: Session, clock: FakeClock) => void, boolean]>([
    ['has been silent all the while', () => {}, true],
    ['has restarted', (session) => { session.update(createWorker({ born: 20 })) }, false],
    ['has answered', (session, clock) => { session.lastAnswerMs = clock.now() }, false]
  ])('declares the runs of a worker lost only if it %s', async (_, meanwhile, expected) => {
    const clock = new FakeClock()
    let lost = false
    const host = createSessionHost({ fleet: new FakeFleet(), clock, onRunsLost: () => { lost = true } })
    const session = new Session(createWorker(), host)
    const entry = new JobEntry(createJob())
    const run = new Run(entry, entry.task(0, 0, 0), 1, session, chargeOf(entry.job.steps[0]!), '', clock.now())
    run.state = RunState.Starting
    new Ledger().add(run)
    const machines = new SlowMachines()
    const detector = new WorkerLossDetector(machines, clock, () => 0)
    clock.advance(1300)
    const ticking = detector.tick([session])
    meanwhile(session, clock)
    clock.advance(1300)
    machines.answer([createMachine({ state: Down })])
    await ticking
    expect(lost).toBe(expected)
  })
})
