import { createServer } from 'node:net'
import { once } from 'node:events'
import { err, ok } from 'neverthrow'
import { afterEach, beforeEach, describe, expect, test } from 'vitest'
import { hashSecret } from '@fireflymount/manifest/hash'
import { Section } from '@fireflymount/manifest/manifest'
import { OrderFactor, WorkerVerdict, type DryRunReport } from '@fireflymount/protocol/dry-run'
import { JobState, MessageKind, type Job, type Submit } from '@fireflymount/protocol/message'
import { Execution, Reason, refuse } from '@fireflymount/protocol/refusal'
import { Cell, Fault, OPERATOR_SECRET } from './cell.js'
import type { Failure } from '../src/failure.js'

const TEAM = { name: 'guild', workspace: 'hakata', share: 1, upperLimit: {} }
const QUEUE = {
  name: 'yardage',
  upstream: 'bee-planner',
  workload: 'batch',
  open: false,
  teams: ['guild'],
  idempotent: true,
  urgency: 'normal',
  size: { cpuMilli: 100, memoryMb: 100, accelerators: 0 },
  runtimeMs: 10,
  deadlineMs: 0,
  capacity: 10,
  attempts: 1,
  checkpoint: false
}
const FILE = {
  workspaces: [{ name: 'hakata' }],
  upstreams: [{ name: 'bee-planner', zones: ['fukuoka'], weights: { waiting: 1, share: 1, packing: 1 } }],
  teams: [TEAM],
  queues: [QUEUE, { ...QUEUE, name: 'preview', workload: 'request', deadlineMs: 500 }]
}
const TEXT = JSON.stringify(FILE)

const REPORT: DryRunReport = {
  queue: 'yardage',
  upstream: 'bee-planner',
  team: 'guild',
  owner: 'node-1',
  accepted: false,
  refusal: refuse(Reason.QueueFull, 'The queue is full.', 70),
  obstacle: 'room',
  detail: 'No worker has 2 cores free.',
  remedy: 'Wait.',
  order: { before: 3, detail: '3 waiting tasks.', reasons: [{ factor: OrderFactor.PastUse, value: 40, detail: 'Moved back.' }] },
  startsInMs: 900,
  workers: [{
    verdict: WorkerVerdict.Busy,
    zone: 'fukuoka',
    capacity: { cpuMilli: 4000, memoryMb: 64, accelerators: 0 },
    workers: 2,
    startable: 0,
    examples: ['w-1', 'w-2']
  }]
}
const REPORT_TEXT = `Work of "guild" on the queue "yardage" goes to the upstream "bee-planner", which node-1 owns.
It would be refused (queue-full): The queue is full. Retry in 70 ms.
If it were accepted, it would wait (room): No worker has 2 cores free. It would start in about 900 ms.
What helps: Wait.
Before it in the order: 3. 3 waiting tasks.

FACTOR    VALUE  DETAIL
past-use  40 ms  Moved back.

VERDICT  WORKERS  STARTABLE  ZONE     CAPACITY                EXAMPLES
busy     2        0          fukuoka  4 cores, 64 MB, 0 acc.  w-1 w-2
`

let cell: Cell

beforeEach(async () => {
  cell = new Cell()
  await cell.start()
})

afterEach(async () => await cell.stop())

function createJob (state: JobState): Job {
  const fields = { job: 'bee-planner.01', queue: 'yardage', team: 'guild', tasks: 1, attempts: 1, acceptedMs: 1 }
  return { ...fields, state, endedMs: undefined, result: undefined, detail: undefined }
}

describe('apply', () => {
  test('brings a file into effect, and has nothing to change when it runs again', async () => {
    const plan = await cell.run(['plan', '-'], TEXT)
    expect([plan.exit, cell.configuration.published.length]).toEqual([0, 0])
    expect(plan.out).toMatch(/add +queues\/yardage[^]*Based on revision -1/)
    expect(await cell.run(['apply', '-'], TEXT)).toMatchObject({ exit: 0, out: expect.stringContaining('In effect at revision 0.') })
    expect(cell.configuration.current().manifest).toMatchObject(FILE)
    expect(await cell.run(['apply', '-'], TEXT)).toMatchObject({ exit: 0, out: 'Nothing to change at revision 0.\n' })
    const changed = { ...FILE, teams: [{ ...TEAM, share: 2 }], queues: [QUEUE] }
    const diff = await cell.run(['diff', '-', '--output', 'json'], JSON.stringify(changed))
    expect(JSON.parse(diff.out)).toEqual({
      base: 0,
      changes: [{ action: 'change', object: 'teams/guild', fields: 'share' }, { action: 'remove', object: 'queues/preview' }]
    })
  })

  test('does not change sections that the file does not contain', async () => {
    await cell.run(['apply', '-'], TEXT)
    await cell.run(['key', 'grant', 'guild', 'shop'])
    expect((await cell.run(['apply', '-'], TEXT)).out).toBe('Nothing to change at revision 1.\n')
    expect((await cell.run(['apply', '-'], JSON.stringify({ ...FILE, keys: [] }))).out).toMatch(/remove +keys\/shop/)
  })

  test.each([
    { says: 'the answer is lost', faults: [Fault.LoseAnswer], publications: 1, settled: true },
    { says: 'the call is lost', faults: [Fault.LoseCall], publications: 1, settled: false },
    { says: 'first a call and then an answer is lost', faults: [Fault.LoseCall, Fault.LoseAnswer], publications: 1, settled: true }
  ])('takes effect once if $says', async ({ faults, publications, settled }) => {
    cell.faults = faults
    const applied = await cell.run(['apply', '-', '--output', 'json'], TEXT)
    expect([applied.exit, JSON.parse(applied.out).settled]).toEqual([0, settled])
    expect(cell.configuration.published).toHaveLength(publications)
    expect(cell.configuration.current().revision).toBe(0)
  })

  test('reports that the outcome is unknown if every call is lost', async () => {
    cell.faults = new Array(9).fill(Fault.LoseCall)
    expect(await cell.run(['apply', '-'], TEXT)).toMatchObject({ exit: 5, err: expect.stringContaining('is unknown') })
  })

  test.each([
    { says: 'another operator who changed the same object first', value: { ...TEAM, share: 7 }, faults: [], exit: 4 },
    { says: 'another operator, after a lost call', value: { ...TEAM, share: 7 }, faults: [Fault.LoseCall], exit: 4 },
    { says: 'another operator who changed a different object', value: { ...TEAM, name: 'circle' }, faults: [], exit: 0 }
  ])('exits with $exit in a race with $says', async ({ value, faults, exit }) => {
    await cell.run(['apply', '-'], TEXT)
    cell.faults = [...faults]
    cell.configuration.beforePublish = () => cell.configuration.publishAsOther(Section.Teams, value)
    const applied = await cell.run(['apply', '-'], JSON.stringify({ ...FILE, teams: [{ ...TEAM, share: 3 }] }))
    expect(applied.exit).toBe(exit)
    if (exit === 4) expect(applied.err).toContain('teams/guild: has changed at revision 1.')
    expect(cell.configuration.current().manifest.teams[0]!.share).toBe(exit === 4 ? 7 : 3)
  })
})

describe('keys', () => {
  test.each([
    { says: 'the answer arrives', faults: [] },
    { says: 'the answer is lost', faults: [Fault.LoseAnswer] }
  ])('a key is printed once, only its hash is published, and the key works until it is withdrawn, if $says', async ({ faults }) => {
    await cell.run(['apply', '-'], TEXT)
    cell.faults = [...faults]
    const granted = await cell.run(['key', 'grant', 'guild', 'shop'])
    const secret = /^shop\.([\w-]{43})\n$/.exec(granted.out)![1]!
    expect(cell.configuration.current().manifest.keys).toEqual([{ name: 'shop', team: 'guild', hash: hashSecret(secret) }])
    expect(JSON.stringify(cell.configuration.published) + granted.err).not.toContain(secret)
    cell.router.answer = () => ok('answer')
    const request = ['submit', 'preview', '--request']
    expect(await cell.run(request, '', { FIREFLYMOUNT_KEY: `shop.${secret}` })).toMatchObject({ exit: 0, out: '"answer"\n' })
    expect((await cell.run(['key', 'withdraw', 'shop'])).exit).toBe(0)
    const refused = await cell.run(request, '', { FIREFLYMOUNT_KEY: `shop.${secret}` })
    expect([refused.exit, refused.out, (refused.err).includes(secret)]).toEqual([1, '', false])
    expect((await cell.run(['key', 'withdraw', 'shop'])).out).toContain('nothing to withdraw')
  })
})

test.each([
  { team: 'guild', name: /^guild-[0-9a-f]{6}$/ },
  { team: 'g'.repeat(63), name: /^g{56}-[0-9a-f]{6}$/ }
])('a key of $team that is granted without a name gets a generated one', async ({ team, name }) => {
  await cell.run(['apply', '-'], JSON.stringify({ ...FILE, teams: [TEAM, { ...TEAM, name: 'g'.repeat(63) }] }))
  expect((await cell.run(['key', 'grant', team])).exit).toBe(0)
  expect(cell.configuration.current().manifest.keys[0]!.name).toMatch(name)
})

describe('work', () => {
  beforeEach(async () => {
    await cell.run(['apply', '-'], TEXT)
    const { out } = await cell.run(['key', 'grant', 'guild', 'shop'])
    cell.run = cell.run.bind(cell)
    const run = cell.run
    cell.run = (args, input, variables) => run(args, input, { FIREFLYMOUNT_KEY: out.trim(), ...variables })
  })

  test.each([
    { args: ['submit', 'yardage', '--body', '{"quilt":7}'], state: JobState.Waiting, exit: 0, kinds: [MessageKind.Submit] },
    { args: ['submit', 'yardage', '--wait', '5'], state: JobState.Failed, exit: 6, kinds: [MessageKind.Submit] },
    { args: ['job', 'bee-planner.01'], state: JobState.Succeeded, exit: 0, kinds: [MessageKind.Status] },
    { args: ['job', 'bee-planner.01'], state: JobState.Unknown, exit: 5, kinds: [MessageKind.Status] },
    { args: ['cancel', 'bee-planner.01'], state: JobState.Cancelled, exit: 0, kinds: [MessageKind.Status, MessageKind.Cancel] },
    { args: ['explain', 'bee-planner.01'], state: JobState.Waiting, exit: 0, kinds: [MessageKind.Status, MessageKind.Explain] }
  ])('$args.0 of a job that is $state exits with $exit', async ({ args, state, exit, kinds }) => {
    cell.router.answer = () => ok(createJob(state))
    const printed = await cell.run([...args, '--output', 'json'])
    expect([printed.exit, JSON.parse(printed.out).state]).toEqual([exit, state])
    expect(cell.router.asked.map(({ kind }) => kind)).toEqual(kinds)
  })

  test('a job submission whose answer is lost is retried with the same idempotency key on the next server', async () => {
    cell.router.answer = () => ok(createJob(JobState.Waiting))
    cell.faults = [Fault.LoseAnswer]
    expect((await cell.run(['--server', cell.url, '--server', cell.url, 'submit', 'yardage'])).exit).toBe(0)
    const [first, second] = cell.router.asked as Submit[]
    expect(first!.job).toBe(second!.job)
  })

  test.each([
    { says: 'submissions with the same idempotency key return the same job', keys: ['k', 'k'], same: true },
    { says: 'submissions without an idempotency key create a new job each time', keys: [], same: false }
  ])('$says', async ({ keys, same }) => {
    cell.router.answer = () => ok(createJob(JobState.Waiting))
    for (const index of [0, 1]) {
      const key = keys[index]
      await cell.run(['submit', 'yardage', ...key === undefined ? [] : ['--idempotency-key', key]])
    }
    const [first, second] = cell.router.asked as Submit[]
    expect(first!.job === second!.job).toBe(same)
  })

  test('a refusal after a lost answer is reported as an unknown outcome', async () => {
    cell.router.answer = () => err(refuse(Reason.QueueFull, 'Full.'))
    cell.faults = [Fault.LoseAnswer]
    const sent = await cell.run(['--server', cell.url, '--server', cell.url, 'submit', 'yardage'])
    expect([sent.exit, cell.router.asked.length]).toEqual([5, 2])
  })

  test('a request whose answer is lost is not retried', async () => {
    cell.faults = [Fault.LoseAnswer]
    const sent = await cell.run(['--server', cell.url, '--server', cell.url, 'submit', 'preview', '--request', '--deadline', '90'])
    expect([sent.exit, cell.router.asked.length]).toEqual([5, 1])
    expect(cell.router.asked[0]).toMatchObject({ kind: MessageKind.Call })
  })

  test.each([
    { refusal: refuse(Reason.QueueFull, 'Full.', 700), exit: 1, says: 'Retry in 700 ms.' },
    { refusal: refuse(Reason.Infeasible, 'Too large for any worker.'), exit: 1, says: 'Too large for any worker.' },
    { refusal: { reason: Reason.ConnectionLost, detail: 'Lost.', execution: Execution.Unknown }, exit: 5, says: '--idempotency-key' },
    { refusal: { reason: Reason.TaskFailed, detail: 'Failed.', execution: Execution.Run }, exit: 6, says: 'Failed.' }
  ])('a job that is refused with $refusal.reason exits with $exit', async ({ refusal, exit, says }) => {
    cell.router.answer = () => err(refusal)
    expect(await cell.run(['submit', 'yardage'])).toMatchObject({ exit, out: '', err: expect.stringContaining(says) })
  })
})

describe('operations', () => {
  test('status shows the shards that answered and reports the missing ones, and drain --undo makes a worker schedulable again', async () => {
    await cell.run(['apply', '-'], JSON.stringify({ ...FILE, upstreams: [...FILE.upstreams, { ...FILE.upstreams[0], name: 'cloth-studio' }] }))
    cell.router.answer = (_, shard) => shard === 'cloth-studio' ? err(refuse(Reason.NoOwner, 'None.')) : ok({ node: 'node-1', waiting: 4 })
    const status = await cell.run(['status'])
    expect(status).toMatchObject({ exit: 0, out: expect.stringMatching(/bee-planner +node-1 [^]*cloth-studio +no-owner/) })
    expect(status.err).toBe('Missing: shard cloth-studio (no-owner): None.\n')
    expect(await cell.run(['drain', 'bee-planner', 'w-1', '--undo'])).toMatchObject({ exit: 0 })
    expect(cell.router.asked.at(-1)).toEqual({ kind: MessageKind.Drain, shard: 'bee-planner', worker: 'w-1', drained: false })
  })

  test('evacuate --undo takes a zone back', async () => {
    await cell.run(['apply', '-'], TEXT)
    cell.router.answer = () => ok({ node: 'node-1', workers: [], evacuatedZones: ['fukuoka'] })
    expect(await cell.run(['evacuate', 'fukuoka', '--undo'])).toMatchObject({ exit: 0, out: expect.stringContaining('bee-planner') })
    expect(cell.router.asked.at(-1)).toEqual({ kind: MessageKind.Evacuate, shard: 'bee-planner', zone: 'fukuoka', evacuated: false })
    expect((await cell.run(['status', 'bee-planner'])).out).toContain('Evacuated zones: fukuoka.')
    expect(await cell.run(['evacuate', 'kobe'])).toMatchObject({ err: expect.stringContaining('The zones are fukuoka.') })
  })

  test.each([
    { args: ['--queue', 'yardage'], body: { team: 'guild', tasks: 1 } },
    {
      args: ['--queue', 'yardage', '--team', 'guild', '--tasks', '1', '--runtime', '5', '--size', '1,2,0'],
      body: { team: 'guild', tasks: 1, runtimeMs: 5, size: { cpuMilli: 1, memoryMb: 2, accelerators: 0 } }
    },
    { args: ['--queue', 'preview', '--deadline', '90'], body: { team: 'guild', tasks: 1, deadlineMs: 90 } }
  ])('explain $args makes a dry run', async ({ args, body }) => {
    await cell.run(['apply', '-'], TEXT)
    cell.router.answer = () => ok(REPORT)
    const { exit, out } = await cell.run(['explain', ...args])
    expect([exit, out]).toEqual([0, REPORT_TEXT])
    expect(cell.router.asked).toEqual([{ kind: MessageKind.DryRun, queue: args[1], ...body }])
    expect(JSON.parse((await cell.run(['explain', ...args, '--output', 'json'])).out)).toEqual(REPORT)
  })

  test('explain of a waiting job prints a report as text', async () => {
    await cell.run(['apply', '-'], TEXT)
    const report: DryRunReport = { ...REPORT, job: 'bee-planner.01', accepted: true }
    cell.router.answer = ({ kind }) => ok(kind === MessageKind.Status ? createJob(JobState.Waiting) : report)
    const { exit, out } = await cell.run(['explain', 'bee-planner.01'])
    expect([exit, out]).toEqual([0, expect.stringMatching(/^The job bee-planner\.01 of "guild"[^]*It is accepted and waits\.\nIt would wait/)])
  })

  test.each([
    { args: ['get', 'teams'], out: /NAME +WORKSPACE[^]*guild +hakata/ },
    { args: ['get', 'teams', 'guild'], out: /share +1/ }
  ])('$args.0 $args.1 shows the configuration in effect', async ({ args, out }) => {
    await cell.run(['apply', '-'], TEXT)
    expect((await cell.run(args)).out).toMatch(out)
  })
})

describe('errors are reported', () => {
  const invalid = JSON.stringify({ ...FILE, teams: [{ ...TEAM, share: -1, colour: 'red' }] })
  test.each([
    { says: 'no command', args: [], exit: 2, err: 'Usage' },
    { says: 'an unknown command', args: ['aply'], exit: 2, err: 'Did you mean apply' },
    { says: 'a missing argument', args: ['apply'], exit: 2, err: "missing required argument 'file'" },
    { says: 'an unknown section', args: ['get', 'team'], exit: 2, err: 'Allowed choices are workspaces' },
    { says: 'an object that does not exist', args: ['get', 'teams', 'x'], exit: 2, err: 'There is no "x" in teams' },
    { says: 'a file that does not exist', args: ['apply', 'none.json'], exit: 2, err: '"none.json" cannot be read (ENOENT)' },
    { says: 'an invalid manifest', args: ['validate', '-'], input: invalid, exit: 2, err: /\$\.teams\[0\]\.share[^]*\$\.teams\[0\]\.colour|colour[^]*share/ },
    { says: 'applying an invalid manifest', args: ['apply', '-'], input: invalid, exit: 2, err: '$.teams[0].colour' },
    { says: 'JSON with a syntax error', args: ['validate', '-'], input: '{"teams":', exit: 2, err: 'fireflymount: -' },
    { says: 'a body that is not JSON', args: ['submit', 'yardage', '--body', '{'], exit: 2, err: 'not valid JSON' },
    { says: 'no job and no queue to explain', args: ['explain'], exit: 2, err: 'Give the id of a job, or --queue' },
    { says: 'a job and a queue to explain', args: ['explain', 'a.1', '--queue', 'yardage'], exit: 2, err: 'either the id of a job or --queue' },
    { says: 'a size that is not three numbers', args: ['explain', '--queue', 'yardage', '--size', '1,2'], exit: 2, err: 'three whole numbers' },
    { says: 'a wait time that is not a number', args: ['job', 'a.1', '--wait', 'x'], exit: 2, err: 'whole number' },
    { says: 'a server that is not a URL', args: ['--server', 'node-1', 'status'], exit: 2, err: 'not a server URL' },
    { says: 'no server', args: ['status'], variables: { FIREFLYMOUNT_SERVER: '' }, exit: 2, err: '--server' },
    { says: 'an empty key file', args: ['--key-file', '-', 'status'], exit: 2, err: 'is empty' },
    { says: 'a server that is unavailable', args: ['--server', 'http://127.0.0.1:1', 'status'], exit: 3, err: 'ECONNREFUSED' },
    { says: 'an invalid key', args: ['status'], variables: { FIREFLYMOUNT_KEY: 'wrong' }, exit: 1, err: '(401)' }
  ])('$says: exits with $exit', async ({ args, input, variables, exit, err }) => {
    const printed = await cell.run(args, input, variables)
    expect(printed.exit).toBe(exit)
    expect(printed.err).toMatch(err)
    expect(printed.out + printed.err).not.toContain(OPERATOR_SECRET)
    expect(cell.configuration.published).toEqual([])
  })

  test('validation errors are printed as JSON if the output format is JSON', async () => {
    const printed = await cell.run(['validate', '-', '--output', 'json'], invalid)
    const failure = JSON.parse(printed.err) as Failure
    expect([failure.exit, failure.details!.map(({ path }) => path).sort()]).toEqual([2, ['$.teams[0].colour', '$.teams[0].share']])
  })

  test('a server that is unavailable is skipped', async () => {
    expect((await cell.run(['--server', 'http://127.0.0.1:1', '--server', cell.url, 'status'])).exit).toBe(0)
  })

  test('if a server closes the connection, a request has an unknown outcome, and a read is retried at the next server', async () => {
    const server = createServer((socket) => socket.destroy()).listen(0, '127.0.0.1')
    await once(server, 'listening')
    const url = `http://127.0.0.1:${(server.address() as { port: number }).port}`
    expect((await cell.run(['--server', url, '--server', cell.url, 'submit', 'preview', '--request'])).exit).toBe(5)
    expect((await cell.run(['--server', url, '--server', cell.url, 'status'])).exit).toBe(0)
    server.close()
  })

  test.each([
    [[]], [['apply']], [['plan']], [['diff']], [['validate']], [['get']], [['status']], [['submit']], [['job']], [['cancel']], [['explain']],
    [['drain']], [['key']], [['key', 'grant']], [['key', 'withdraw']], [['report']], [['report', 'burn']]
  ])('the help of %j contains an example or the exit codes', async (args) => {
    const { exit, out } = await cell.run([...args, '--help'])
    expect([exit, out]).toEqual([0, expect.stringMatching(/Usage: fireflymount[^]*(Example:\n {2}\$ fireflymount|Exit codes:)/)])
  })
})
