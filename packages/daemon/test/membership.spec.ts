import { ok } from 'neverthrow'
import { expect, test } from 'vitest'
import { Clock } from '@fireflymount/service-clients/clock'
import { VmList, VmRole, VmState, type Vm } from '@fireflymount/service-clients/vm-list'
import { MISSING_VM_TIMEOUT_MS, Members } from '../src/membership/members.js'
import { rankNodes } from '../src/membership/rendezvous.js'

const NODES = Array.from({ length: 24 }, (_, index) => `node-${index}`)
const SHARDS = Array.from({ length: 400 }, (_, index) => `shard-${index}`)

test('the order of candidates does not depend on the order of the list', () => {
  for (const shard of SHARDS) expect(rankNodes(shard, [...NODES].reverse())).toEqual(rankNodes(shard, NODES))
})

test('the loss of a node changes the first candidate only of shards for which it was the first', () => {
  const remaining = NODES.slice(1)
  for (const shard of SHARDS) {
    const before = rankNodes(shard, NODES)
    if (before[0] === NODES[0]) continue
    expect(rankNodes(shard, remaining)[0]).toBe(before[0])
  }
})

test('of 24 nodes and 400 shards, no node is the first candidate for more than three times the average number', () => {
  const owned = new Map<string, number>()
  for (const shard of SHARDS) {
    const owner = rankNodes(shard, NODES)[0]!
    owned.set(owner, (owned.get(owner) ?? 0) + 1)
  }
  expect(Math.max(...owned.values())).toBeLessThan(3 * SHARDS.length / NODES.length)
})

class FakeClock extends Clock {
  ms = 0
  now (): number { return this.ms }
  wall (): number { return this.ms }
}

class FakeMachines extends VmList {
  vms: Vm[] = []
  list (): ReturnType<VmList['list']> { return Promise.resolve(ok(this.vms)) }
}

const NODE: Vm = { id: 'f1', role: VmRole.Entry, state: VmState.Live, address: '127.0.0.1:1', zone: 'fukuoka', rack: 'r1' }

test.each([
  { title: 'listed as live', lists: [[NODE]], everyMs: 1, gone: false },
  { title: 'listed as gone', lists: [[{ ...NODE, state: VmState.Gone }]], everyMs: 1, gone: true },
  { title: 'missing from one list', lists: [[NODE], []], everyMs: MISSING_VM_TIMEOUT_MS, gone: false },
  { title: 'missing from every list until the timeout', lists: [[], [], []], everyMs: MISSING_VM_TIMEOUT_MS / 2, gone: true },
  { title: 'missing, listed and missing again', lists: [[], [NODE], []], everyMs: MISSING_VM_TIMEOUT_MS / 2, gone: false }
])('isTerminated returns $gone for a VM that is $title', async ({ lists, everyMs, gone }) => {
  const machines = new FakeMachines()
  const clock = new FakeClock()
  const members = new Members(machines, clock)
  expect(members.isTerminated('f1')).toBe(false)
  let last = false
  for (const list of lists) {
    machines.vms = list
    await members.poll()
    last = members.isTerminated('f1')
    clock.ms += everyMs
  }
  expect(last).toBe(gone)
})

test('a node missing from a list may still be alive, a terminated node is not, and an old list proves nothing', async () => {
  const machines = new FakeMachines()
  const clock = new FakeClock()
  const members = new Members(machines, clock)
  expect(members.possiblyLiveNodes()).toBeUndefined()
  machines.vms = [NODE, { ...NODE, id: 'k1' }]
  await members.poll()
  machines.vms = [{ ...NODE, id: 'k1', state: VmState.Gone }]
  clock.ms = MISSING_VM_TIMEOUT_MS - 1
  await members.poll()
  expect(members.possiblyLiveNodes()).toEqual(['f1'])
  clock.ms = 2 * MISSING_VM_TIMEOUT_MS
  expect(members.possiblyLiveNodes()).toBeUndefined()
})
