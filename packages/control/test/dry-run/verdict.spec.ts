import { WorkerVerdict } from '@fireflymount/protocol/dry-run'
import { describe, expect, it } from 'vitest'
import { Permission, outlookOf, type WorkerState } from '../../src/dry-run/verdict.js'
import { createStep, createWorker } from '../fakes.js'

const SIZE = { cpuMilli: 1000, memoryMb: 1000, accelerators: 0 }
const IDLE: WorkerState = {
  worker: createWorker(),
  reachable: true,
  evacuated: false,
  paused: false,
  hasUnknownRuns: false,
  free: { cpuMilli: 2500, memoryMb: 9000, accelerators: 0 }
}
/** Every reason against a worker that is not permanent, at once. */
const CLOSED = { evacuated: true, reachable: false, paused: true }

describe('the verdict on a worker', () => {
  it.each([
    ['that is idle', {}, {}, Permission.NotNeeded, WorkerVerdict.Available, 2],
    ['that is idle, for one task', {}, { count: 1 }, Permission.NotNeeded, WorkerVerdict.Available, 1],
    ['that is idle, for a step with one task a worker', {}, { perWorker: 1 }, Permission.NotNeeded, WorkerVerdict.Available, 1],
    ['of which the advisor was not asked', {}, {}, Permission.Unknown, WorkerVerdict.AdviceUnknown, 2],
    ['without the label', CLOSED, { label: 'b' }, Permission.Unknown, WorkerVerdict.Label, 0],
    ['with the label', {}, { label: 'a' }, Permission.NotNeeded, WorkerVerdict.Available, 2],
    ['that is too small', CLOSED, { size: { ...SIZE, accelerators: 1 } }, Permission.Unknown, WorkerVerdict.TooSmall, 0],
    ['in an evacuated zone', CLOSED, {}, Permission.Unknown, WorkerVerdict.Evacuated, 0],
    ['that the advisor denies', CLOSED, {}, Permission.Denied, WorkerVerdict.NotPermitted, 0],
    ['that the advisor permits', {}, {}, Permission.Granted, WorkerVerdict.Available, 2],
    ['that drains', { worker: createWorker({ draining: true }) }, {}, Permission.Unknown, WorkerVerdict.Draining, 0],
    ['that does not answer', { reachable: false }, {}, Permission.Unknown, WorkerVerdict.Unreachable, 0],
    ['without a registry entry', { worker: createWorker({ address: '', labels: [] }) }, { label: 'a' }, Permission.Unknown, WorkerVerdict.Unreachable, 0],
    ['on which runs failed', { paused: true }, {}, Permission.Unknown, WorkerVerdict.Quarantined, 0],
    ['that is full', { free: { ...SIZE, memoryMb: 999 } }, {}, Permission.Unknown, WorkerVerdict.Busy, 0],
    ['with runs that the owner does not know', { hasUnknownRuns: true }, {}, Permission.Unknown, WorkerVerdict.Busy, 0]
  ])('%s', (_, state, step, permission, verdict, startable) => {
    const outlook = outlookOf({ ...IDLE, ...state }, createStep({ count: 3, ...step }), SIZE, permission)
    expect(outlook).toMatchObject({ verdict, startable })
  })
})
