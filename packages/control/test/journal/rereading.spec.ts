import { err, ok, type Result } from 'neverthrow'
import { describe, expect, it } from 'vitest'
import { Follower } from '../../src/journal/follower.js'
import { Store, StoreFailure, Topic, type NewestPage, type RecordPage, type StoredRecord } from '../../src/ports/store.js'
import { FakeClock } from '../fakes.js'

const PAGE_RECORDS = 2
/** Time for which the store retains records that are not the newest of their key. */
const RETENTION_MS = 20_000
const KEYS = ['b', 'd', 'f', 'h', 'j', 'l', 'n', 'p']
/** A failing call between two pages: the third page, and with it the rest of the reading, fails. */
const SECOND_PAGE_END = 'h'

/** A keyed topic with short pages in the order of the keys, and with retention. */
class PagedTopic extends Store {
  /** What was asked for: a key to continue after, or the offset of new records. */
  readonly asked: Array<string | number | undefined> = []
  /** Time that each page takes. */
  pageMs = 0
  /** Called before each page is answered. */
  onPage: (after: string | undefined) => void = () => {}
  /** Makes calls fail. */
  fault: (asked: string | number | undefined) => boolean = () => false
  private readonly records: StoredRecord[] = []
  private readonly appendedMs: number[] = []

  constructor (private readonly clock: FakeClock) {
    super()
  }

  put (key: string, value: string | undefined): void {
    this.records.push({ key, value: value === undefined ? undefined : Buffer.from(value), offset: this.records.length })
    this.appendedMs.push(this.clock.now())
  }

  /** The newest value of each key. */
  content (): Record<string, string> {
    const content: Record<string, string> = {}
    for (const { key, value } of this.newestRecords()) content[key] = value!.toString()
    return content
  }

  override async append (): Promise<Result<number, StoreFailure>> {
    return err(StoreFailure.Invalid)
  }

  override async read (_: Topic, from: number): Promise<Result<RecordPage, StoreFailure>> {
    this.asked.push(from)
    if (this.fault(from)) return err(StoreFailure.NoAnswer)
    const appendedMs = this.appendedMs[from]
    if (appendedMs !== undefined && appendedMs < this.clock.now() - RETENTION_MS) return err(StoreFailure.Expired)
    return ok({ records: this.records.slice(from), end: this.records.length })
  }

  override async newest (_: Topic, after: string | undefined): Promise<Result<NewestPage, StoreFailure>> {
    this.asked.push(after)
    if (this.fault(after)) return err(StoreFailure.NoAnswer)
    this.onPage(after)
    const left = this.newestRecords().filter(({ key }) => after === undefined || key > after)
    const records = left.slice(0, PAGE_RECORDS)
    const end = this.records.length
    this.clock.advance(this.pageMs)
    return ok({ records, end, next: left.length > PAGE_RECORDS ? records.at(-1)!.key : undefined })
  }

  private newestRecords (): StoredRecord[] {
    const newest = new Map<string, StoredRecord>()
    for (const record of this.records) newest.set(record.key, record)
    return [...newest.values()].filter(({ value }) => value !== undefined).sort((left, right) => left.key < right.key ? -1 : 1)
  }
}

interface Fixture {
  readonly clock: FakeClock
  readonly topic: PagedTopic
  readonly follower: Follower
  /** What the listener knows, as of the last time at which it had everything. */
  readonly complete: () => Record<string, string> | undefined
  readonly resets: () => number
}

function createFixture (): Fixture {
  const clock = new FakeClock()
  const topic = new PagedTopic(clock)
  for (const key of KEYS) topic.put(key, '0')
  let content: Record<string, string> = {}
  let complete: Record<string, string> | undefined
  let resets = 0
  const follower = new Follower(topic, Topic.Journal, {
    onReset: () => {
      content = {}
      resets++
    },
    onRecord: ({ key, value }) => {
      if (value === undefined) Reflect.deleteProperty(content, key)
      else content[key] = value.toString()
    },
    onRejected: (_, error) => { throw error },
    onCaughtUp: () => { complete = { ...content } }
  }, clock, 100)
  return { clock, topic, follower, complete: () => complete, resets: () => resets }
}

/** Reads until the third page, which fails. */
async function readHalf ({ topic, follower }: Fixture): Promise<void> {
  topic.fault = (asked) => asked === SECOND_PAGE_END
  expect((await follower.catchUp()).isErr()).toBe(true)
  topic.fault = () => false
  topic.asked.length = 0
}

describe('a reading of the newest records that fails in the middle', () => {
  // Guards against the incident of the saturated owner: each failed page made the node start again with the first one.
  it('continues after the last page that it got', async () => {
    const fixture = createFixture()
    await readHalf(fixture)
    expect([fixture.follower.offset, fixture.complete()]).toEqual([undefined, undefined])
    expect((await fixture.follower.catchUp()).isOk()).toBe(true)
    expect(fixture.topic.asked).toEqual([SECOND_PAGE_END, 'l', KEYS.length])
    expect([fixture.complete(), fixture.resets()]).toEqual([fixture.topic.content(), 1])
  })

  it('does not read the pages again if only the later records are missing', async () => {
    const fixture = createFixture()
    fixture.topic.fault = (asked) => typeof asked === 'number'
    expect((await fixture.follower.catchUp()).isErr()).toBe(true)
    expect([fixture.follower.offset, fixture.complete()]).toEqual([undefined, undefined])
    fixture.topic.fault = () => false
    fixture.topic.asked.length = 0
    expect((await fixture.follower.catchUp()).isOk()).toBe(true)
    expect([fixture.topic.asked, fixture.complete()]).toEqual([[KEYS.length], fixture.topic.content()])
  })

  it.each([
    ['a key that was read is deleted', ['b', undefined]],
    ['a key that was not read is deleted', ['p', undefined]],
    ['the key after which it continues is deleted', [SECOND_PAGE_END, undefined]],
    ['a key that was read is changed', ['b', '1']],
    ['a key that was not read is changed', ['p', '1']],
    ['a key is added before the place where it continues', ['a', '1']],
    ['a key is added after the place where it continues', ['z', '1']]
  ])('is correct if %s meanwhile', async (_, [key, value]) => {
    const fixture = createFixture()
    await readHalf(fixture)
    fixture.topic.put(key!, value)
    expect((await fixture.follower.catchUp()).isOk()).toBe(true)
    expect([fixture.complete(), fixture.resets()]).toEqual([fixture.topic.content(), 1])
  })

  it('starts over if a deletion may have expired meanwhile', async () => {
    const fixture = createFixture()
    await readHalf(fixture)
    fixture.topic.put('b', undefined)
    fixture.clock.advance(RETENTION_MS + 1)
    expect((await fixture.follower.catchUp())._unsafeUnwrapErr()).toBe(StoreFailure.Expired)
    expect((await fixture.follower.catchUp()).isOk()).toBe(true)
    expect([fixture.complete(), fixture.resets()]).toEqual([fixture.topic.content(), 2])
  })

  it('starts over if the topic is to be read from scratch, also while a page is in flight', async () => {
    const fixture = createFixture()
    fixture.topic.onPage = (after) => { if (after === SECOND_PAGE_END && fixture.resets() === 1) fixture.follower.restart() }
    expect((await fixture.follower.catchUp())._unsafeUnwrapErr()).toBe(StoreFailure.Expired)
    expect([fixture.follower.offset, fixture.complete()]).toEqual([undefined, undefined])
    expect((await fixture.follower.catchUp()).isOk()).toBe(true)
    expect([fixture.complete(), fixture.resets()]).toEqual([fixture.topic.content(), 2])
  })
})

describe('a reading of the newest records that takes longer than the retention', () => {
  it('ends, and knows what was changed and deleted meanwhile', async () => {
    const fixture = createFixture()
    const { topic, follower } = fixture
    topic.pageMs = RETENTION_MS / 3
    topic.put('b', '1')
    topic.onPage = (after) => {
      if (after === 'd') topic.put('b', undefined)
      if (after !== undefined) topic.put('c', `after ${after}`)
    }
    expect((await follower.catchUp()).isOk()).toBe(true)
    expect([fixture.complete(), fixture.resets()]).toEqual([topic.content(), 1])
    expect(fixture.complete()).not.toHaveProperty('b')
  })

  it.each(Array.from({ length: 40 }, (_, seed) => seed + 1))('is correct after random changes and lost answers (seed %i)', async (seed) => {
    const fixture = createFixture()
    const { topic, follower, clock } = fixture
    let state = seed * 48_271
    const random = (bound: number): number => {
      state = (state * 1_103_515_245 + 12_345) % 2 ** 31
      return Math.floor(state / 2 ** 31 * bound)
    }
    topic.pageMs = random(2) * RETENTION_MS / 4
    topic.onPage = () => { topic.put(String.fromCharCode(97 + random(18)), random(3) === 0 ? undefined : `${random(100)}`) }
    topic.fault = () => random(3) === 0
    for (let attempt = 0; attempt < 200 && fixture.complete() === undefined; attempt++) {
      if ((await follower.catchUp()).isErr()) clock.advance(random(12) === 0 ? RETENTION_MS + 1 : 100)
    }
    topic.fault = () => false
    expect((await follower.catchUp()).isOk()).toBe(true)
    expect(fixture.complete()).toEqual(topic.content())
  })
})
