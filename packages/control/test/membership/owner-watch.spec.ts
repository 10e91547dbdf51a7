import { beforeEach, describe, expect, it } from 'vitest'
import { JournalState } from '../../src/journal/journal-state.js'
import { Subject, encodeRecord, type NodeAddress, type OwnerClaim } from '../../src/journal/record.js'
import { OwnerWatch } from '../../src/membership/owner-watch.js'
import { FakeClock } from '../fakes.js'

/** Connections whose state the tests set. */
class FakeLinks {
  linked = false
  refused = false
  accepted = false
  has (): boolean { return this.linked }
  refusesConnections (): boolean { return this.refused }
  acceptsConnections (): boolean { return this.accepted }
  forgetDial (): void { this.refused = false }
}

let clock: FakeClock
let links: FakeLinks
let journalState: JournalState
let watch: OwnerWatch
beforeEach(() => {
  clock = new FakeClock()
  links = new FakeLinks()
  journalState = new JournalState()
  watch = new OwnerWatch('a', links, clock)
})

function read (subject: Subject, name: string, value: unknown): void {
  journalState.apply({ ...encodeRecord(subject, name, value), offset: 0 })
  watch.update(journalState, false)
}

function readClaim (epoch: number, node: string, incarnation: string, fields: Partial<OwnerClaim> = {}): void {
  read(Subject.Owner, 'cell', { epoch, node, incarnation, ...fields })
}

function readAddress (node: string, incarnation: string, fields: Partial<NodeAddress> = {}): void {
  read(Subject.Node, node, { node, incarnation, host: 'h', port: 1, zone: 'z', ...fields })
}

describe('the watch of the owner', () => {
  it('knows no owner before a claim was read', () => {
    watch.update(journalState, true)
    expect(watch.view(0)).toMatchObject({ unclaimed: true, vacant: false, left: false, linked: false, recentTakeovers: 0 })
  })

  it('does not take the first claim that it reads for a recent takeover', () => {
    readClaim(7, 'b', '1')
    expect(watch.view(0)).toMatchObject({ unclaimed: false, claimReadMs: -Infinity, recentTakeovers: 0, heardMs: clock.now() })
  })

  it('counts the silence of the owner from its last record', () => {
    readClaim(1, 'b', '1')
    clock.advance(300)
    read(Subject.Heartbeat, 'owner', 1)
    clock.advance(300)
    readAddress('c', '1')
    expect(watch.view(0).heardMs).toBe(clock.now() - 300)
  })

  // Guards against the incident of the saturated owner: 14 owners superseded each other, about one a second.
  it.each<[string, () => void, number]>([
    ['owners that may have been alive', () => {}, 2],
    ['owners whose processes had ended', () => { links.refused = true }, 0],
    ['owners that had announced a planned stop', () => { watch.onLeaving(journalState.ownerClaim!.epoch) }, 0]
  ])('counts recent takeovers from %s', (_, before, count) => {
    readClaim(1, 'b', '1')
    before()
    readClaim(2, 'c', '1')
    before()
    clock.advance(1000)
    readClaim(3, 'b', '1')
    expect(watch.view(0)).toMatchObject({ recentTakeovers: count, claimReadMs: clock.now(), unlinkedMs: clock.now() })
    clock.advance(60_000)
    expect(watch.view(0).recentTakeovers).toBe(0)
  })

  it('forgets that a node refused connections once the node claims', () => {
    readClaim(1, 'b', '1')
    links.refused = true
    readClaim(2, 'c', '1')
    expect(watch.view(0).refused).toBe(false)
  })

  it.each([
    ['the process that claimed', '1', false],
    ['another process', '2', true]
  ])('knows whether the registered process of the owner is %s', (_, incarnation, returned) => {
    readAddress('b', '1')
    readClaim(1, 'b', '1')
    links.linked = true
    readAddress('b', incarnation)
    expect([watch.view(0).vacant, watch.hasOwnerReturned()]).toEqual([returned, returned])
    readClaim(2, 'b', incarnation)
    expect([watch.view(0).vacant, watch.hasOwnerReturned()]).toEqual([false, false])
  })

  // Guards against a takeover from an owner that works: the address of a former process of its node, whose append the store carried
  // out late, was taken for that of a process which had replaced the owner.
  it.each([
    { says: 'a former one', startedMs: 1000, leaving: false, returned: false },
    { says: 'a former one, which announced its stop', startedMs: 1000, leaving: true, returned: false },
    { says: 'a later one', startedMs: 3000, leaving: false, returned: true },
    { says: 'one of an earlier build', startedMs: undefined, leaving: false, returned: true }
  ])('counts the cell as vacant only if the other process of the owner\'s node is not a former one: it is $says', (row) => {
    readAddress('b', '2', { startedMs: 2000 })
    readClaim(1, 'b', '2', { startedMs: 2000 })
    links.linked = true
    readAddress('b', '1', { startedMs: row.startedMs, leaving: row.leaving })
    expect(watch.view(0)).toMatchObject({ vacant: row.returned, left: false })
    expect(watch.hasOwnerReturned()).toBe(row.returned)
  })

  // Guards against a cell without an owner for as long as a node waits for the end of a connection to another process than the owner's:
  // the clock of the machine was set back before the process started.
  it('counts no connection to another process as one to the owner', () => {
    readAddress('b', '2', { startedMs: 2000 })
    readClaim(1, 'b', '2', { startedMs: 2000 })
    links.linked = true
    expect(watch.view(0).linked).toBe(true)
    readAddress('b', '3', { startedMs: 1000 })
    expect(watch.view(0).linked).toBe(false)
  })

  it('knows that the last owner was this node', () => {
    readClaim(1, 'a', '1')
    expect(watch.view(0).vacant).toBe(true)
  })

  // Guards against a stopping owner that a node connected to after the announcement: it had no successor until its process ended.
  it('knows from the journal that the owner is about to stop', () => {
    readClaim(1, 'b', '1')
    read(Subject.Node, 'b', { node: 'b', incarnation: '1', host: 'h', port: 1, zone: 'z', leaving: true })
    expect(watch.view(0)).toMatchObject({ left: true, vacant: false })
  })

  it('ignores the announcement of an earlier owner', () => {
    readClaim(1, 'b', '1')
    watch.onLeaving(1)
    expect(watch.view(0).left).toBe(true)
    readClaim(2, 'c', '1')
    expect(watch.view(0).left).toBe(false)
  })

  // Guards against an owner that takes back the cell which it has handed over: a node that was suspended handled the announcement of
  // a former owner last, forgot that of the present one, and waited for the end of their connection.
  it.each([['a former owner', 1], ['the owner once more', 2]])('keeps the announcement of the owner after that of %s', (_, epoch) => {
    readClaim(1, 'b', '1')
    readClaim(2, 'c', '1')
    watch.onLeaving(2)
    const announcedMs = clock.now()
    clock.advance(300)
    watch.onLeaving(epoch)
    expect(watch.view(0)).toMatchObject({ left: true, unlinkedMs: announcedMs })
  })

  it('knows the announcement of an owner whose claim it has not read yet', () => {
    readClaim(1, 'b', '1')
    watch.onLeaving(2)
    expect(watch.view(0).left).toBe(false)
    readClaim(2, 'c', '1')
    expect(watch.view(0).left).toBe(true)
  })
})
