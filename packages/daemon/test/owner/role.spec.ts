import { err, ok, type Result } from 'neverthrow'
import { expect, test } from 'vitest'
import { SystemClock } from '@fireflymount/service-clients/clock'
import { JournalFailure, type Holder, type Journal, type JournalError } from '@fireflymount/service-clients/journal'
import { EMPTY_MANIFEST } from '@fireflymount/manifest/manifest'
import { DEFAULT_TIMING } from '@fireflymount/manifest/settings-codec'
import type { Epoch } from '@fireflymount/protocol/epoch'
import { MessageKind, type Grant, type Request } from '@fireflymount/protocol/message'
import { Reason, refuse } from '@fireflymount/protocol/refusal'
import { Role, type RoleOptions } from '../../src/owner/role.js'
import { ShardState } from '../../src/owner/state.js'
import { FakeMetrics } from '../entry-fakes.js'

const SHARD = 's'
/** The claim of the current owner, which the standby granted a pledge before it restarted. */
const CLAIM: Holder = { epoch: { counter: 5, node: 'n2' }, standbys: ['n1'], offset: 0 }

/** A journal whose only record is the claim. */
class ClaimJournal {
  confirmedMs = -Infinity
  private listener: (holder: Holder) => void = () => {}

  constructor (private readonly readable: boolean) {}

  onHolder (listener: (holder: Holder) => void): void { this.listener = listener }
  confirmedAtMs (): number { return this.confirmedMs }

  async catchUp (): Promise<Result<void, JournalError>> {
    await Promise.resolve()
    if (!this.readable) return err({ failure: JournalFailure.Unavailable, detail: '' })
    this.confirmedMs = 1
    this.listener(CLAIM)
    return ok(undefined)
  }
}

async function askPledge (role: Role, counter: number): Promise<boolean> {
  const answer = await role.handle({ kind: MessageKind.Pledge, shard: SHARD, epoch: { counter, node: 'n2' } })
  return (answer._unsafeUnwrap() as Grant).granted
}

// Guards against a task that runs twice: a former owner goes on renewing leases after its successor has counted them as expired, because
// a standby that had granted a pledge to the successor restarted and granted one to the former owner.
test.each([
  { title: 'no pledge to an epoch older than that in the log', readable: true, counters: [4], granted: [false] },
  { title: 'pledges to the epoch in the log and to newer ones', readable: true, counters: [5, 6, 5], granted: [true, true, false] },
  { title: 'no pledge before it can read the log', readable: false, counters: [4, 5, 6], granted: [false, false, false] }
])('a standby that has restarted grants $title', async ({ readable, counters, granted }) => {
  const role = new Role({
    shard: SHARD,
    settings: { node: 'n1' },
    journal: new ClaimJournal(readable) as unknown as Journal,
    state: new ShardState(),
    clock: new SystemClock()
  } as unknown as RoleOptions)
  const answers: boolean[] = []
  for (const counter of counters) answers.push(await askPledge(role, counter))
  expect(answers).toEqual(granted)
})

/** A journal that shows the earlier claims of a log only while this node claims, as after an outage. */
class UnreadJournal {
  private current: Holder | undefined
  private listener: (holder: Holder) => void = () => {}

  constructor (read: Holder | undefined, private readonly unread: readonly Holder[]) { this.current = read }

  onHolder (listener: (holder: Holder) => void): void {
    this.listener = listener
    if (this.current !== undefined) listener(this.current)
  }

  holder (): Holder | undefined { return this.current }
  confirmedAtMs (): number { return performance.now() }
  available (): boolean { return true }
  async catchUp (): Promise<Result<void, JournalError>> { return ok(undefined) }
  async commit (): Promise<Result<void, JournalError>> { return ok(undefined) }
  async writeSnapshotIfDue (): Promise<Result<boolean, JournalError>> { return ok(false) }
  async follow (): Promise<void> {}

  async claim (epoch: Epoch, standbys: readonly string[]): Promise<Result<Holder, JournalError>> {
    for (const holder of this.unread) this.read(holder)
    if (this.current?.epoch.counter !== epoch.counter) this.read({ epoch, standbys, offset: epoch.counter })
    return ok(this.current!)
  }

  private read (holder: Holder): void {
    this.current = holder
    this.listener(holder)
  }
}

function createRole (journal: UnreadJournal, onRequest: (node: string, request: Request) => void): Role {
  return new Role({
    shard: SHARD,
    settings: { node: 'n1', timing: DEFAULT_TIMING },
    journal: journal as unknown as Journal,
    state: new ShardState(),
    members: { candidates: () => ['n1', 'n2'], isTerminated: () => false, workers: () => [], poll: async () => {} },
    router: {
      askNode: async (node: string, request: Request) => {
        onRequest(node, request)
        return err(refuse(Reason.ConnectionLost, ''))
      }
    },
    manifest: () => EMPTY_MANIFEST,
    clock: new SystemClock(),
    metrics: new FakeMetrics(),
    logger: { info: () => {} }
  } as unknown as RoleOptions)
}

const OWN: Holder = { epoch: { counter: 3, node: 'n1' }, standbys: ['n2'], offset: 0 }

// Guards against a task that runs twice: an owner counts the leases of its predecessor as expired while a standby that it does not know
// still confirms that predecessor.
test.each<{ title: string, read: Holder | undefined, unread: Holder[], asked: string[] }>([
  { title: 'the owner that it knew', read: OWN, unread: [], asked: ['n2'] },
  {
    title: 'an owner whose claim it reads only while it claims',
    read: OWN,
    unread: [{ epoch: { counter: 5, node: 'n3' }, standbys: ['n4'], offset: 1 }],
    asked: ['n2', 'n4']
  },
  {
    title: 'an owner whose claim it reads only while it claims, as the first one',
    read: undefined,
    unread: [{ epoch: { counter: 5, node: 'n3' }, standbys: ['n4'], offset: 1 }],
    asked: ['n4']
  }
])('a new owner asks for pledges from the standbys of its predecessor: $title', async ({ read, unread, asked }) => {
  const pledged = new Set<string>()
  const stop = new AbortController()
  const role = createRole(new UnreadJournal(read, unread), (node, request) => {
    if (request.kind === MessageKind.Pledge) pledged.add(node)
  })
  // A pledge to a provisional owner, whose claim is not in the log.
  await role.handle({ kind: MessageKind.Pledge, shard: SHARD, epoch: { counter: 6, node: 'n5' } })
  const running = role.run(stop.signal)
  await expect.poll(() => role.owns()).toBe(true)
  await new Promise((resolve) => setTimeout(resolve, 500))
  stop.abort()
  await running
  expect([...pledged].sort()).toEqual(asked)
})

// Guards against an owner that is confirmed by nodes which its successor does not wait for.
test('an owner whose earlier claim under the same epoch has reached the log late has the standbys of that claim', async () => {
  const asked: string[] = []
  const stop = new AbortController()
  const late: Holder = { epoch: { counter: 4, node: 'n1' }, standbys: ['n9'], offset: 1 }
  const role = createRole(new UnreadJournal(OWN, [late]), (node, request) => {
    if (request.kind === MessageKind.Handover) asked.push(node)
  })
  const running = role.run(stop.signal)
  await expect.poll(() => role.owns()).toBe(true)
  await role.handOver()
  stop.abort()
  await running
  expect(asked).toEqual(['n9'])
})

// Guards against a provisional owner that has granted a pledge to a newer epoch: the end of one claim made the node grant pledges while
// another one was in progress.
test('a standby that is asked to take over while it claims does not claim a second time', async () => {
  const journal = new UnreadJournal({ epoch: { counter: 5, node: 'n2' }, standbys: ['n1'], offset: 0 }, [])
  const claims: Array<() => void> = []
  journal.claim = async () => {
    await new Promise<void>((resolve) => { claims.push(resolve) })
    return err({ failure: JournalFailure.Unavailable, detail: '' })
  }
  const role = createRole(journal, () => {})
  const handover: Request = { kind: MessageKind.Handover, shard: SHARD, epoch: { counter: 5, node: 'n2' } }
  const pledge: Request = { kind: MessageKind.Pledge, shard: SHARD, epoch: { counter: 6, node: 'n2' } }
  const first = role.handle(handover)
  const second = role.handle(handover)
  await expect.poll(() => claims.length).toBe(1)
  expect((await role.handle(pledge))._unsafeUnwrap()).toMatchObject({ granted: false })
  claims[0]!()
  expect([(await first).isErr(), (await second).isErr(), claims.length]).toEqual([true, true, 1])
  expect((await role.handle(pledge))._unsafeUnwrap()).toMatchObject({ granted: true })
})

test.each([
  { title: 'the present owner', counter: 5, claims: 1 },
  { title: 'a former owner, which comes late', counter: 4, claims: 0 }
])('at the request of $title, a standby makes $claims claims', async ({ counter, claims }) => {
  const journal = new UnreadJournal({ epoch: { counter: 5, node: 'n2' }, standbys: ['n1'], offset: 0 }, [])
  let made = 0
  journal.claim = async () => {
    made++
    return err({ failure: JournalFailure.Unavailable, detail: '' })
  }
  const role = createRole(journal, () => {})
  await role.handle({ kind: MessageKind.Handover, shard: SHARD, epoch: { counter, node: 'n2' } })
  expect(made).toBe(claims)
})
