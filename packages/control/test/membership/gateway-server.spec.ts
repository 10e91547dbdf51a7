import { decodeFrame, decodeRequest, encodeFrame } from '@fireflymount/protocol/frame'
import { MessageKind, type Command } from '@fireflymount/protocol/message'
import { Execution, Reason, type Refusal } from '@fireflymount/protocol/refusal'
import { err, ok, type Result } from 'neverthrow'
import { describe, expect, it } from 'vitest'
import { GatewayServer, compactReport, expandReport, type Commanded, type CompactReport } from '../../src/membership/gateway-server.js'
import { RunOutcome, type Report } from '../../src/model/worker.js'
import { WorkerFailure } from '../../src/ports/fleet.js'
import { FakeFleet } from '../fakes.js'

const WORKER = { id: 'w1', address: '10.0.0.1:80', zone: 'fukuoka', born: 10 }
const RUN = { task: 'aa.0.0.0', run: 2, fence: 3 }
const START = { ...RUN, payload: 'text', deadlineMs: 7000, checkpoint: 'c', ticket: 't' }
const REPORT: Report = {
  born: 10,
  clockMs: 6000,
  running: [{ task: 'aa.0.0.0', run: 2, checkpoint: 'c', progress: 40, load: 2700 }],
  ended: [{ position: 4, task: 'aa.0.0.1', run: 1, ending: RunOutcome.Done, checkpoint: '' }]
}

/** Sends a command as a link does, and returns the answer as the link delivers it. */
async function send (server: GatewayServer, command: Omit<Command, 'kind' | 'worker'>): Promise<Result<Commanded, Refusal>> {
  const request = { kind: MessageKind.Command as const, worker: WORKER, ...command }
  const frame = decodeFrame(encodeFrame({ frame: 'ask', id: 1, request }))._unsafeUnwrap() as { request: unknown }
  const answer = await server.command(decodeRequest(frame.request)._unsafeUnwrap() as Command)
  if (answer.isErr()) return err(answer.error)
  return ok((decodeFrame(encodeFrame({ frame: 'answer', id: 1, value: answer.value }))._unsafeUnwrap() as { value: Commanded }).value)
}

describe('a gateway', () => {
  it('passes each command to the worker as it is, and returns the worker\'s answer', async () => {
    const fleet = new FakeFleet()
    fleet.onReportRequest = async () => ok(REPORT)
    const server = new GatewayServer(fleet, () => false)
    expect((await send(server, { start: START }))._unsafeUnwrap()).toBe(1)
    expect((await send(server, { stop: RUN }))._unsafeUnwrap()).toBe(1)
    expect((await send(server, { throttle: { ...RUN, percent: 40 } }))._unsafeUnwrap()).toBe(1)
    const command = { fence: 3, acknowledged: 3, deadlineMs: undefined, waitMs: 1900 }
    const report = (await send(server, { report: command }))._unsafeUnwrap() as CompactReport
    expect(expandReport(report)).toEqual(REPORT)
    expect([fleet.started, fleet.stopped, fleet.reportCommands]).toEqual([[START], [RUN], [command]])
    expect(fleet.throttled).toMatchObject([{ command: RUN, percent: 40 }])
  })

  it.each(Object.values(WorkerFailure))('returns the failure %s of a call', async (failure) => {
    const fleet = new FakeFleet()
    fleet.onStart = () => err(failure)
    expect((await send(new GatewayServer(fleet, () => false), { start: START }))._unsafeUnwrap()).toBe(failure)
  })

  it('refuses new commands as not run while it stops, and counts those in progress until they end', async () => {
    let leaving = false
    let finish: (report: Result<Report, WorkerFailure>) => void = () => {}
    const fleet = new FakeFleet()
    fleet.onReportRequest = async () => await new Promise((resolve) => { finish = resolve })
    const server = new GatewayServer(fleet, () => leaving)
    const polling = send(server, { report: { fence: 3, acknowledged: 0, deadlineMs: 7000, waitMs: 1900 } })
    leaving = true
    const refused = (await send(server, { start: START }))._unsafeUnwrapErr()
    expect([refused.reason, refused.execution]).toEqual([Reason.Leaving, Execution.NotRun])
    expect([fleet.started.length, server.open]).toEqual([0, 1])
    finish(ok(REPORT))
    expect((await polling)._unsafeUnwrap()).toEqual(compactReport(REPORT))
    expect(server.open).toBe(0)
  })

  it('refuses a message without a command as not run', async () => {
    const refused = (await send(new GatewayServer(new FakeFleet(), () => false), {}))._unsafeUnwrapErr()
    expect([refused.reason, refused.execution]).toEqual([Reason.Malformed, Execution.NotRun])
  })

  // Guards against calls to a worker that are broken off because another owner, or this one, has removed the worker that had its
  // address before.
  it.each([
    { says: 'the one that was called last', called: WORKER, closed: true },
    { says: 'one whose address another worker has now', called: { ...WORKER, id: 'w2' }, closed: false },
    { says: 'an incarnation that another one has replaced', called: { ...WORKER, born: 20 }, closed: false }
  ])('closes the connections to a worker only if it is $says', async ({ called, closed }) => {
    const fleet = new FakeFleet()
    const server = new GatewayServer(fleet, () => false)
    await send(server, { stop: RUN })
    await server.command({ kind: MessageKind.Command, worker: called, stop: RUN })
    server.disconnect({ kind: MessageKind.Disconnect, worker: WORKER })
    expect(fleet.closedAddresses).toEqual(closed ? [WORKER.address] : [])
  })
})
