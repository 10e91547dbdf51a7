/**
 * Grammar of the steps that start processes and inject faults into processes, links, the log and the list of VMs.
 */
import { ConditionRules } from './condition-rules.js'
import { keyword } from './lexer.js'
import {
  VmDeparture, LinkState, Role, Signal, Verb, type FaultStep, type LeaveStep, type LinkStep, type ListStep, type LogStep,
  type SignalStep, type StartStep, type TimingStep
} from './syntax-tree.js'

/** Rules for steps on processes and their faults. */
export class ProcessRules extends ConditionRules {
  readonly start = this.RULE('start', (): StartStep => {
    this.CONSUME(keyword('start'))
    const start = this.OR<StartStep>([
      { ALT: () => this.SUBRULE(this.startedPlatform) },
      { ALT: () => this.SUBRULE(this.startedWorkers) },
      { ALT: () => this.SUBRULE(this.startedNode) }
    ])
    const options = this.OPTION(() => this.SUBRULE(this.options)) ?? []
    return { ...start, options }
  })

  readonly startedPlatform = this.RULE('startedPlatform', (): StartStep => {
    this.CONSUME(keyword('platform'))
    return { verb: Verb.Start, role: Role.Platform, count: 1, name: 'platform', zone: '', rack: '', options: [] }
  })

  readonly startedWorkers = this.RULE('startedWorkers', (): StartStep => {
    const count = this.SUBRULE(this.amount)
    this.CONSUME(keyword('workers'))
    this.CONSUME(keyword('of'))
    const name = this.SUBRULE(this.name)
    this.CONSUME(keyword('in'))
    const zone = this.SUBRULE2(this.name)
    this.CONSUME(keyword('rack'))
    const rack = this.SUBRULE3(this.name)
    return { verb: Verb.Start, role: Role.Worker, count, name, zone, rack, options: [] }
  })

  readonly startedNode = this.RULE('startedNode', (): StartStep => {
    this.CONSUME(keyword('node'))
    const name = this.SUBRULE(this.name)
    this.CONSUME(keyword('in'))
    const zone = this.SUBRULE2(this.name)
    return { verb: Verb.Start, role: Role.Node, count: 1, name, zone, rack: '', options: [] }
  })

  readonly timing = this.RULE('timing', (): TimingStep => {
    this.CONSUME(keyword('timing'))
    const name = this.SUBRULE(this.name)
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
      return this.SUBRULE(this.name)
    })
    return { verb: Verb.Signal, signal, target, alias }
  })

  readonly link = this.RULE('link', (): LinkStep => {
    const link = this.OR<LinkState>([
      { ALT: () => this.CONSUME(keyword('cut')) && LinkState.Cut },
      { ALT: () => this.CONSUME(keyword('silence')) && LinkState.Silent },
      { ALT: () => this.CONSUME(keyword('stall')) && LinkState.Stalled },
      { ALT: () => this.CONSUME(keyword('heal')) && LinkState.Healthy }
    ])
    const left = this.SUBRULE(this.target)
    this.CONSUME(keyword('and'))
    const right = this.SUBRULE2(this.target)
    return { verb: Verb.Link, link, left, right }
  })

  readonly log = this.RULE('log', (): LogStep => {
    this.CONSUME(keyword('log'))
    const fault = this.SUBRULE(this.name)
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

  readonly leave = this.RULE('leave', (): LeaveStep => {
    const state = this.OR<VmDeparture>([
      { ALT: () => this.CONSUME(keyword('leave')) && VmDeparture.Leaving },
      { ALT: () => this.CONSUME(keyword('gone')) && VmDeparture.Gone },
      { ALT: () => this.CONSUME(keyword('drain')) && VmDeparture.Drained },
      { ALT: () => this.CONSUME(keyword('forget')) && VmDeparture.Forgotten }
    ])
    return { verb: Verb.Leave, state, target: this.SUBRULE(this.target) }
  })

  readonly fault = this.RULE('fault', (): FaultStep => {
    this.CONSUME(keyword('fault'))
    const target = this.SUBRULE(this.target)
    const fault = this.SUBRULE(this.name)
    const amount = this.OPTION(() => this.SUBRULE(this.amount)) ?? 0
    this.OPTION2(() => this.CONSUME(keyword('ms')))
    return { verb: Verb.Fault, fault, amount, target }
  })
}
