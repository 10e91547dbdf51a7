import { err, ok, type Result } from 'neverthrow'
import { describe, expect, it } from 'vitest'
import { TicketStatus, AdvisorClient } from '../../src/owner/advisor-client.js'
import { AdviceFailure, type Tickets } from '../../src/ports/advisor.js'
import { FakeClock } from '../fakes.js'

const SHORT = { callMs: 18.57, workerMs: 0.19, validMs: 2000 }
const LONG = { callMs: 614.29, workerMs: 6.1, validMs: 2000 }
const NODES = ['n1', 'n2', 'n3']

interface Call {
  readonly node: string
  readonly step: string
  readonly answer: (result: Result<Tickets, AdviceFailure>) => Promise<void>
}

function createHarness (): { client: AdvisorClient, clock: FakeClock, calls: Call[] } {
  const clock = new FakeClock()
  const calls: Call[] = []
  const client = new AdvisorClient((node, step) => new Promise((resolve) => {
    calls.push({ node, step, answer: async (result) => { resolve(result); await flushPromises() } })
  }), () => NODES, clock, () => {})
  return { client, clock, calls }
}

async function flushPromises (): Promise<void> {
  for (let turn = 0; turn < 5; turn++) await Promise.resolve()
}

const WORKERS = [{ id: 'w1', born: 1 }, { id: 'w2', born: 1 }]

describe('the advisor client', () => {
  it('keeps a node free of long calls so that short calls do not wait behind them', () => {
    const { client, calls } = createHarness()
    for (const step of ['a', 'b', 'c', 'd']) client.request(step, WORKERS, LONG, 1, true)
    client.request('quick', WORKERS, SHORT, 2, true)
    expect(calls.map((call) => call.step)).toEqual(['a', 'b', 'quick'])
    expect(new Set(calls.map((call) => call.node)).size).toBe(3)
  })

  it('sends long calls after any number of short ones despite rounding errors in the load', async () => {
    const { client, calls } = createHarness()
    for (let round = 0; round < 50; round++) {
      for (let short = 0; short < 6; short++) {
        client.request(`q${round}.${short}`, WORKERS, { ...SHORT, workerMs: 0.19 + (round + short) / 11 }, 1, true)
      }
      client.request(`s${round}`, WORKERS, LONG, 1, true)
      while (calls.length > 0) await calls.shift()!.answer(ok([]))
      expect(client.isPending(`s${round}`)).toBe(false)
    }
  })

  it('sends the request with the smallest rank first', async () => {
    const { client, calls } = createHarness()
    for (const step of ['a', 'b']) client.request(step, WORKERS, LONG, 1, true)
    client.request('late', WORKERS, LONG, 9, true)
    client.request('early', WORKERS, LONG, 3, true)
    await calls[0]!.answer(ok([]))
    expect(calls.map((call) => call.step)).toEqual(['a', 'b', 'early'])
  })

  it.each([
    ['drops a queued request of whose workers none is of use', ['w1', 'w2'], ['new']],
    ['keeps a queued request of whose workers one is of use', ['w1'], ['queued']]
  ])('%s', async (_, unusable, expected) => {
    const { client, calls } = createHarness()
    for (const step of ['a', 'b', 'queued']) client.request(step, WORKERS, LONG, 1, true)
    client.request('new', [{ id: 'w3', born: 1 }], LONG, 2, true)
    client.dropRequestsFor((worker) => unusable.includes(worker))
    expect(client.isPending('queued')).toBe(unusable.length < WORKERS.length)
    await calls[0]!.answer(ok([]))
    expect(calls.slice(2).map(({ step }) => step)).toEqual(expected)
  })

  it.each<[string, ReadonlyArray<[string, number, boolean]>, string[]]>([
    ['a placeable step before one that is not placeable and has a smaller rank', [['none', 1, false], ['placeable', 5, true]], ['placeable']],
    ['the step with the smaller rank of two placeable ones', [['later', 5, true], ['sooner', 1, true]], ['sooner']],
    ['a step that became placeable while its request was queued', [['first', 1, false], ['second', 2, false], ['second', 2, true]], ['second']]
  ])('asks next about %s', async (_, requests, expected) => {
    const { client, calls } = createHarness()
    for (const step of ['a', 'b']) client.request(step, WORKERS, LONG, 0, true)
    for (const [step, rank, placeable] of requests) client.request(step, WORKERS, LONG, rank, placeable)
    await calls[0]!.answer(ok([]))
    expect(calls.slice(2).map((call) => call.step)).toEqual(expected)
  })

  it('leaves nodes to placeable steps while it asks about steps that are not placeable', () => {
    const { client, calls } = createHarness()
    for (const step of ['a', 'b', 'c']) client.request(step, WORKERS, LONG, 1, false)
    client.request('placeable', WORKERS, LONG, 9, true)
    expect(calls.map((call) => call.step)).toEqual(['a', 'placeable'])
  })

  it.each([
    ['a worker with a ticket', 'w1', 1, 0, TicketStatus.Valid],
    ['a worker with an expired ticket', 'w1', 1, 1800, TicketStatus.Expired],
    ['a worker that has restarted', 'w1', 2, 0, TicketStatus.Expired],
    ['a worker that was not granted a ticket', 'w2', 1, 0, TicketStatus.Forbidden],
    ['a worker that the advisor was not asked about', 'w3', 1, 0, TicketStatus.Unknown]
  ])('returns the ticket status of %s', async (_, id, born, passedMs, status) => {
    const { client, clock, calls } = createHarness()
    client.request('a', WORKERS, LONG, 1, true)
    await calls[0]!.answer(ok([['w1', 'ticket']]))
    clock.advance(passedMs)
    expect(client.ticketStatus('a', { id, born })).toBe(status)
  })

  // Guards against a valid ticket that is dropped because a worker has refused the one before it late.
  it.each([
    ['the ticket that it has', 'second', TicketStatus.Expired],
    ['an earlier ticket', 'first', TicketStatus.Valid]
  ])('counts a ticket as expired only if the worker has refused that one: it refused %s', async (_, refused, status) => {
    const { client, calls } = createHarness()
    for (const ticket of ['first', 'second']) {
      client.request('a', WORKERS, LONG, 1, true)
      await calls.at(-1)!.answer(ok([['w1', ticket]]))
    }
    client.expire('a', 'w1', refused)
    expect(client.ticketStatus('a', WORKERS[0]!)).toBe(status)
  })

  it('asks again after an unanswered call', async () => {
    const { client, calls } = createHarness()
    client.request('a', WORKERS, LONG, 1, true)
    await calls[0]!.answer(err(AdviceFailure.NoAnswer))
    client.request('a', WORKERS, LONG, 1, true)
    expect(calls).toHaveLength(2)
  })

  it.each([
    ['sends no queued request', 'queued', ['a', 'b', 'next']],
    ['keeps the requests of other jobs', 'other', ['a', 'b', 'queued']]
  ])('%s of a job that has ended', async (_, job, expected) => {
    const { client, calls } = createHarness()
    for (const step of ['a', 'b']) client.request(step, WORKERS, LONG, 0, true)
    client.request('queued.0.0', WORKERS, LONG, 1, true)
    client.request('next.0.0', WORKERS, LONG, 2, true)
    client.forget(job)
    await calls[0]!.answer(ok([]))
    expect(calls.map((call) => call.step.split('.')[0])).toEqual(expected)
  })

  it('requests tickets for the incarnations at the time of the request', async () => {
    const { client, calls } = createHarness()
    const worker = { id: 'w1', born: 1 }
    client.request('a', [worker], LONG, 1, true)
    worker.born = 2
    await calls[0]!.answer(ok([['w1', 'ticket']]))
    expect(client.ticketStatus('a', worker)).toBe(TicketStatus.Expired)
  })
})
