/**
 * Fleets of workers and teams for measurements.
 */
import type { Scheduler } from '@fireflymount/policy/scheduler'
import type { Allowance, Claim, Machine } from '@fireflymount/policy/task'
import { Shard } from '@fireflymount/policy/shard'
import { Condition } from '@fireflymount/policy/task'
import { BestOfTwo, FirstFit, RandomFit } from './baseline.js'
import { Random } from './random.js'

const ZONES = ['fukuoka', 'kumamoto', 'kagoshima']
const RACK_SIZE = 5
const SLOTS = 8

/** No bound on what runs. */
export const UNLIMITED: Allowance = { tasks: Infinity, cpuMilli: Infinity, memoryMb: Infinity, accelerators: Infinity }

/** A scheduler under measurement, by name. */
export interface Contender {
  readonly name: string
  readonly create: () => Scheduler
}

/**
 * The scheduler and the baselines.
 *
 * @param seed seed of the baselines' random choices
 * @param weights the upstream's weights
 * @returns fresh contenders
 */
export function createContenders (seed: number, weights = { waiting: 1, share: 1, packing: 1 }): Contender[] {
  return [
    { name: 'fireflymount', create: () => new Shard({ weights }) },
    { name: 'FIFO + first fit', create: () => new FirstFit() },
    { name: 'random fit', create: () => new RandomFit(new Random(seed)) },
    { name: 'best of two', create: () => new BestOfTwo(new Random(seed)) }
  ]
}

/**
 * Builds workers of 16 cores, five to a rack, in three availability zones.
 *
 * @param count how many
 * @param part what differs from 16 cores, 32 GB and 8 slots
 * @returns the workers
 */
export function createMachines (count: number, part: Partial<Machine> = {}): Machine[] {
  const machines: Machine[] = []
  for (let position = 0; position < count; position++) {
    const rack = Math.floor(position / RACK_SIZE)
    machines.push({
      id: `w${position}`,
      zone: ZONES[rack % ZONES.length]!,
      rack: `rack-${rack}`,
      capacity: { cpuMilli: 16_000, memoryMb: 32_768, accelerators: 0 },
      slots: SLOTS,
      ...part
    })
  }
  return machines
}

/**
 * Gives a scheduler its workers, ready, and its teams.
 *
 * @param scheduler the scheduler
 * @param machines the workers
 * @param claims the teams
 */
export function prepare (scheduler: Scheduler, machines: readonly Machine[], claims: readonly Claim[]): void {
  scheduler.setClaims(claims)
  for (const machine of machines) {
    scheduler.setMachine(machine)
    scheduler.setCondition(machine.id, Condition.Ready)
  }
}
