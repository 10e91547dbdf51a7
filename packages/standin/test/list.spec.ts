/**
 * Tests the stand-in's list of VMs through its client.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { VmRole, VmState, type Vm } from '@fireflymount/service-clients/vm-list'
import { RemoteVmList } from '@fireflymount/service-clients/vm-list-client'
import { PlatformControl, type Fault } from '@fireflymount/standin/test-control'
import { afterAll, beforeAll, beforeEach, expect, test } from 'vitest'
import { startPlatform, stop, type Standin } from './process.js'

const LAG_MS = 150

const WORKER: Vm = {
  id: 'bee-1',
  role: VmRole.Worker,
  state: VmState.Live,
  address: '127.0.0.1:1',
  zone: 'fukuoka',
  rack: 'r1',
  upstream: 'bee-planner',
  resources: { cpuMilli: 16_000, memoryMb: 32_000, accelerators: 0 },
  slots: 8
}

const DAEMON: Vm = { id: 'entry-1', role: VmRole.Entry, state: VmState.Live, address: '127.0.0.1:2', zone: 'fukuoka', rack: 'r2' }

let platform: Standin<string>
let control: PlatformControl
let vmList: RemoteVmList

beforeAll(async () => {
  platform = await startPlatform()
  control = new PlatformControl(platform.listening)
  vmList = new RemoteVmList({ address: platform.listening, node: 'node-a', timeoutMs: 200 })
})

beforeEach(async () => {
  await control.clearListFaults()
  await control.setListLag(0)
  await control.putVms([WORKER, DAEMON])
})

afterAll(async () => {
  await vmList.close()
  await stop(platform.child)
})

test('the list returns every field of a worker VM and of a daemon VM', async () => {
  expect((await vmList.list())._unsafeUnwrap()).toEqual([WORKER, DAEMON])
})

test.each([
  ['leaving', async () => await control.patchVm('bee-1', { state: VmState.Leaving }), [{ ...WORKER, state: VmState.Leaving }, DAEMON]],
  ['gone', async () => await control.patchVm('bee-1', { state: VmState.Gone }), [{ ...WORKER, state: VmState.Gone }, DAEMON]],
  ['removed', async () => await control.removeVm('bee-1'), [DAEMON]]
])('a VM is %s only after the lag', async (_case, change, expected) => {
  await control.setListLag(LAG_MS)
  await vmList.list()
  await change()
  expect((await vmList.list())._unsafeUnwrap()).toEqual([WORKER, DAEMON])
  await sleep(LAG_MS + 20)
  expect((await vmList.list())._unsafeUnwrap()).toEqual(expected)
})

test.each<[string, Fault, boolean]>([
  ['an outage makes the list fail', { outage: true }, false],
  ['a service that hangs makes the list fail', { hang: true }, false],
  ['an outage for this node makes the list fail', { node: 'node-a', outage: true }, false],
  ['an outage for another node does not affect the list', { node: 'node-b', outage: true }, true]
])('%s', async (_case, fault, isServed) => {
  await control.injectListFault(fault)
  expect((await vmList.list()).isOk()).toBe(isServed)
})

test('a call on a connection that does not respond fails, and the next call uses a new connection', async () => {
  await vmList.list()
  await control.stallConnections()
  expect((await vmList.list()).isErr()).toBe(true)
  expect((await vmList.list()).isOk()).toBe(true)
})

test('an unchanged list is not sent again, and a changed list is', async () => {
  const other = new RemoteVmList({ address: platform.listening, node: 'node-b', timeoutMs: 200 })
  const first = (await other.list())._unsafeUnwrap()
  const received = other.traffic().received
  expect((await other.list())._unsafeUnwrap()).toEqual(first)
  expect(other.traffic().received - received).toBeLessThan(250)
  await control.patchVm('bee-1', { state: VmState.Leaving })
  expect((await other.list())._unsafeUnwrap()).toContainEqual({ ...WORKER, state: VmState.Leaving })
  await other.close()
})
