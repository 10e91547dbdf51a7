import fc from 'fast-check'
import { describe, expect, test } from 'vitest'
import type { Task } from '@fireflymount/policy/task'
import { Condition, Ending } from '@fireflymount/policy/task'
import { Shard } from '@fireflymount/policy/shard'
import { Urgency, Workload } from '@fireflymount/protocol/workload'
import { UNLIMITED, createWorkerSpec, createTask } from './fixture.js'
import { Model } from './model.js'

const TEAMS = ['guild', 'circle', 'village']
const WORKERS = 6

enum Action { Enqueue, Gang, Cancel, Decide, Finish, Quotas, Condition, Adopt }

interface Step {
  readonly action: Action
  /** Random number from which each action derives its choices. */
  readonly pick: number
  readonly team: string
  readonly cpuMilli: number
  readonly memoryMb: number
  readonly accelerators: number
  readonly urgent: boolean
}

const steps: fc.Arbitrary<Step[]> = fc.array(fc.record({
  action: fc.oneof(
    { weight: 6, arbitrary: fc.constant(Action.Enqueue) },
    { weight: 4, arbitrary: fc.constant(Action.Decide) },
    { weight: 4, arbitrary: fc.constant(Action.Finish) },
    fc.constantFrom(Action.Gang, Action.Cancel, Action.Quotas, Action.Condition, Action.Adopt)
  ),
  pick: fc.nat(10_000),
  team: fc.constantFrom(...TEAMS),
  cpuMilli: fc.constantFrom(0, 500, 1_000, 3_000, 9_000, 16_000),
  memoryMb: fc.constantFrom(128, 4_096, 20_000, 32_768),
  accelerators: fc.constantFrom(0, 0, 0, 1, 3),
  urgent: fc.boolean()
}), { minLength: 20, maxLength: 160 })

const WORKLOADS = [Workload.Request, Workload.Service, Workload.Batch]
const ENDINGS = [Ending.Succeeded, Ending.Succeeded, Ending.Failed, Ending.Released]

function createModel (): Model {
  const model = new Model(new Shard({ weights: { waiting: 1, share: 2, packing: 1 } }))
  for (let position = 0; position < WORKERS; position++) {
    const capacity = { cpuMilli: 16_000, memoryMb: 32_768, accelerators: position % 2 * 4 }
    model.setWorker(createWorkerSpec(position, { capacity }))
    model.setCondition(`w${position}`, Condition.Ready)
  }
  model.setQuotas(TEAMS.map((team, position) => ({ team, share: position + 1, allotment: UNLIMITED })))
  return model
}

function createTaskFor (id: string, step: Step, nowMs: number, overrides: Partial<Task> = {}): Task {
  const { cpuMilli, memoryMb, accelerators, team, urgent, pick } = step
  const workload = WORKLOADS[pick % 3]!
  return createTask(id, {
    team,
    kind: `${team}-${workload}`,
    workload,
    urgency: urgent ? Urgency.Urgent : Urgency.Normal,
    size: { cpuMilli, memoryMb, accelerators },
    submittedMs: nowMs,
    startByMs: pick % 5 === 0 ? nowMs + pick : undefined,
    checkpoint: pick % 2 === 0,
    group: workload === Workload.Service ? `${team}-service` : undefined,
    groupSize: workload === Workload.Service ? 3 : undefined,
    ...overrides
  })
}

function run (model: Model, step: Step, position: number): void {
  const { action, pick, team } = step
  const id = `t${position}`
  const waiting = [...model.waiting.keys()]
  const running = [...model.running.keys()]
  model.nowMs += pick % 400
  switch (action) {
    case Action.Enqueue: return model.enqueue(createTaskFor(id, step, model.nowMs))
    case Action.Gang: return enqueueGang(model, step, id)
    case Action.Cancel: return model.cancel(waiting[pick % (waiting.length + 1)] ?? 'none')
    case Action.Decide: return decide(model, pick)
    case Action.Finish:
      return running.length === 0 ? undefined : model.finish(running[pick % running.length]!, ENDINGS[pick % 4]!)
    case Action.Quotas: return lowerQuota(model, team, pick)
    case Action.Condition: return model.setCondition(`w${pick % WORKERS}`, pick % 3 === 0 ? Condition.Closed : Condition.Ready)
    case Action.Adopt: return model.adopt(createTaskFor(id, step, model.nowMs, { startByMs: undefined }), `w${pick % WORKERS}`)
  }
}

function enqueueGang (model: Model, step: Step, id: string): void {
  const groupSize = 1 + step.pick % 7
  const overrides = { workload: Workload.Gang, kind: 'gang', group: id, groupSize, startByMs: undefined }
  for (let member = 0; member < groupSize; member++) model.enqueue(createTaskFor(`${id}-${member}`, step, model.nowMs, overrides))
}

function decide (model: Model, pick: number): void {
  model.decide(1 + pick % 20)
}

function lowerQuota (model: Model, lowered: string, pick: number): void {
  const low = { tasks: pick % 6, cpuMilli: pick * 2, memoryMb: pick * 4, accelerators: pick % 3 }
  model.setQuotas(TEAMS.map(team => ({ team, share: 1 + pick % 3, allotment: team === lowered ? low : UNLIMITED })))
}

describe('for any sequence of actions', () => {
  test('decisions respect capacity and allotments, place each task once and start gangs as a whole', () => {
    fc.assert(fc.property(steps, sequence => {
      const model = createModel()
      for (const [position, step] of sequence.entries()) {
        run(model, step, position)
        model.checkTotals()
      }
    }), { numRuns: 300 })
  })

  test('every accepted task starts once workers are ready and running tasks complete', () => {
    fc.assert(fc.property(steps, sequence => {
      const model = createModel()
      for (const [position, step] of sequence.entries()) run(model, step, position)
      model.setQuotas(TEAMS.map(team => ({ team, share: 1, allotment: UNLIMITED })))
      for (let position = 0; position < WORKERS; position++) model.setCondition(`w${position}`, Condition.Ready)
      for (let round = 0; round < 400 && model.startable().length > 0; round++) {
        for (const id of [...model.running.keys()]) model.finish(id, Ending.Succeeded)
        model.nowMs += 1_000
        model.decide(1_000)
      }
      expect(model.startable()).toEqual([])
    }), { numRuns: 200 })
  })
})
