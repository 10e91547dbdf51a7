import { err, ok, type Result } from 'neverthrow'
import { expect, test } from 'vitest'
import { SystemClock } from '@fireflymount/service-clients/clock'
import { JournalFailure, type Holder, type Journal, type JournalError } from '@fireflymount/service-clients/journal'
import { MessageKind, type Grant } from '@fireflymount/protocol/message'
import { Role, type RoleOptions } from '../../src/owner/role.js'
import { ShardState } from '../../src/owner/state.js'

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
