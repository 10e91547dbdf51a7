/**
 * Grammar of the steps that start and disturb processes, links, the log and the list of VMs.
 */
import { Conditions } from './conditions.js'
import { keyword } from './lexer.js'
import {
  Departing, Link, Role, Signal, Verb, type Fault, type Leave, type LinkStep, type ListStep, type LogStep,
  type SignalStep, type Start, type Timing
} from './script.js'

/** Rules for processes and their faults. */
export class Disturbances extends Conditions {
  readonly start = this.RULE('start', (): Start => {
    this.CONSUME(keyword('start'))
    const start = this.OR<Start>([
      { ALT: () => this.SUBRULE(this.startedPlatform) },
      { ALT: () => this.SUBRULE(this.startedWorkers) },
      { ALT: () => this.SUBRULE(this.startedNode) }
    ])
    const options = this.OPTION(() => this.SUBRULE(this.options)) ?? []
    return { ...start, options }
  })

  readonly startedPlatform = this.RULE('startedPlatform', (): Start => {
    this.CONSUME(keyword('platform'))
    return { verb: Verb.Start, role: Role.Platform, count: 1, name: 'platform', zone: '', rack: '', options: [] }
  })

  readonly startedWorkers = this.RULE('startedWorkers', (): Start => {
    const count = this.SUBRULE(this.amount)
    this.CONSUME(keyword('workers'))
    this.CONSUME(keyword('of'))
    const name = this.SUBRULE(this.word)
    this.CONSUME(keyword('in'))
    const zone = this.SUBRULE2(this.word)
    this.CONSUME(keyword('rack'))
    const rack = this.SUBRULE3(this.word)
    return { verb: Verb.Start, role: Role.Worker, count, name, zone, rack, options: [] }
  })

  readonly startedNode = this.RULE('startedNode', (): Start => {
    this.CONSUME(keyword('node'))
    const name = this.SUBRULE(this.word)
    this.CONSUME(keyword('in'))
    const zone = this.SUBRULE2(this.word)
    return { verb: Verb.Start, role: Role.Node, count: 1, name, zone, rack: '', options: [] }
  })

  readonly timing = this.RULE('timing', (): Timing => {
    this.CONSUME(keyword('timing'))
    const name = this.SUBRULE(this.word)
    const ms = this.SUBRULE(this.duration)
    return { verb: Verb.Timing, name, ms }
  })

  readonly signal = this.RULE('signal', (): SignalStep => {
    const signal = this.OR<Signal>([
      { ALT: () => this.CONSUME(keyword('stop')) && Signal.Stop },
      { ALT: () => this.CONSUME(keyword('kill')) && Signal.Kill },
      { ALT: () => this.CONSUME(keyword('freeze')) && Signal.Freeze },
      { ALT: () => this.CONSUME(keyword('thaw')) && Signal.Thaw }
    ])
    const target = this.SUBRULE(this.target)
    const alias = this.OPTION(() => {
      this.CONSUME(keyword('as'))
      return this.SUBRULE(this.word)
    })
    return { verb: Verb.Signal, signal, target, alias }
  })

  readonly link = this.RULE('link', (): LinkStep => {
    const link = this.OR<Link>([
      { ALT: () => this.CONSUME(keyword('cut')) && Link.Cut },
      { ALT: () => this.CONSUME(keyword('silence')) && Link.Silence },
      { ALT: () => this.CONSUME(keyword('stall')) && Link.Stall },
      { ALT: () => this.CONSUME(keyword('heal')) && Link.Heal }
    ])
    const left = this.SUBRULE(this.target)
    this.CONSUME(keyword('and'))
    const right = this.SUBRULE2(this.target)
    return { verb: Verb.Link, link, left, right }
  })

  readonly log = this.RULE('log', (): LogStep => {
    this.CONSUME(keyword('log'))
    const fault = this.SUBRULE(this.word)
    const amount = this.OPTION(() => this.SUBRULE(this.amount)) ?? 0
    this.OPTION2(() => this.CONSUME(keyword('ms')))
    const target = this.OPTION3(() => {
      this.CONSUME(keyword('for'))
      return this.SUBRULE(this.target)
    })
    return { verb: Verb.Log, fault, amount, target }
  })

  readonly list = this.RULE('list', (): ListStep => {
    this.CONSUME(keyword('list'))
    this.CONSUME(keyword('lag'))
    return { verb: Verb.List, lagMs: this.SUBRULE(this.duration) }
  })

  readonly leave = this.RULE('leave', (): Leave => {
    const state = this.OR<Departing>([
      { ALT: () => this.CONSUME(keyword('leave')) && Departing.Leaving },
      { ALT: () => this.CONSUME(keyword('gone')) && Departing.Gone },
      { ALT: () => this.CONSUME(keyword('drain')) && Departing.Drained },
      { ALT: () => this.CONSUME(keyword('forget')) && Departing.Forgotten }
    ])
    return { verb: Verb.Leave, state, target: this.SUBRULE(this.target) }
  })

  readonly fault = this.RULE('fault', (): Fault => {
    this.CONSUME(keyword('fault'))
    const target = this.SUBRULE(this.target)
    const fault = this.SUBRULE(this.word)
    const amount = this.OPTION(() => this.SUBRULE(this.amount)) ?? 0
    this.OPTION2(() => this.CONSUME(keyword('ms')))
    return { verb: Verb.Fault, fault, amount, target }
  })
}
