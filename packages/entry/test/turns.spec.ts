import { setImmediate as nextIteration } from 'node:timers/promises'
import { beforeEach, describe, expect, it } from 'vitest'
import { PART_BYTES, Turns, type Turn } from '../src/turns.js'

/** Parts that have a turn in one iteration of the event loop. */
const PARTS_PER_ROUND = 16

let turns: Turns
let log: string[]
beforeEach(() => {
  turns = new Turns()
  log = []
})

/** A connection that has received a number of parts. */
function connection (name: string, parts: number, bytes = PART_BYTES): Turn {
  const scene = { turns, log }
  let left = parts
  const turn = (): number => {
    if (left === 0) return 0
    left--
    scene.log.push(name)
    if (left > 0) scene.turns.wait(turn)
    return bytes
  }
  return turn
}

/** Lets connections have turns. */
function useUp (parts: number): void {
  for (let part = 0; part < parts; part++) turns.take(connection('other', 1))
}

describe('the turns of connections', () => {
  it.each([
    ['the only part', 1, 1],
    ['all parts', 10, 10],
    ['as many parts as an iteration has room for', 100, PARTS_PER_ROUND]
  ])('give %s of a connection their turns at once while no other waits', (_, parts, handedOn) => {
    turns.take(connection('a', parts))
    expect(log.length).toBe(handedOn)
  })

  it.each([
    ['large parts', PART_BYTES, PARTS_PER_ROUND],
    ['parts of a byte', 1, 128]
  ])('bound the number of %s in an iteration of the event loop, for many connections', async (_, bytes, parts) => {
    for (let index = 0; index < 200; index++) turns.take(connection('a', 100, bytes))
    expect(log.length).toBe(parts)
    await nextIteration()
    expect(log.length).toBe(2 * parts)
  })

  it('let connections that had nothing waiting alternate with those that have sent ahead', async () => {
    useUp(PARTS_PER_ROUND - 1)
    turns.take(connection('a', 100))
    for (let index = 0; index < 3; index++) turns.take(connection('new', 1))
    log.length = 0
    await nextIteration()
    expect(log.slice(0, 7)).toEqual(['new', 'a', 'new', 'a', 'new', 'a', 'a'])
  })

  it('give each connection that has sent ahead one part in turn', async () => {
    for (let index = 0; index < PARTS_PER_ROUND; index++) turns.take(connection(`connection ${index}`, 100))
    for (let round = 0; round < 3; round++) await nextIteration()
    log.length = 0
    await nextIteration()
    expect(new Set(log).size).toBe(PARTS_PER_ROUND)
  })

  it('skip a connection that was removed', async () => {
    useUp(PARTS_PER_ROUND)
    const removed = connection('a', 100)
    turns.take(removed)
    turns.remove(removed)
    await nextIteration()
    expect(log).not.toContain('a')
  })

  it('let fewer parts through in an iteration in which a connection is accepted, the first of the new connection among them', async () => {
    useUp(PARTS_PER_ROUND - 1)
    turns.take(connection('a', 100))
    turns.accept()
    turns.take(connection('new', 1))
    log.length = 0
    await nextIteration()
    expect(log).toEqual(['new', 'a', 'a', 'a'])
    await nextIteration()
    expect(log.length).toBe(4 + PARTS_PER_ROUND)
  })
})
