/**
 * Grammar of the steps that send work, cancel it or publish configuration.
 */
import { ProcessRules } from './process-rules.js'
import { keyword } from './lexer.js'
import {
  Verb, type ApplyStep, type CancelStep, type KeyStep, type LoadStep, type RequestStep, type SubmitStep, type Work
} from './syntax-tree.js'

/** Rules for steps on work and configuration. */
export class WorkRules extends ProcessRules {
  readonly apply = this.RULE('apply', (): ApplyStep => {
    this.CONSUME(keyword('apply'))
    const file = this.SUBRULE(this.text)
    const name = this.OPTION3(() => {
      this.CONSUME(keyword('as'))
      return this.SUBRULE(this.name)
    })
    const at = this.OPTION(() => this.SUBRULE(this.place))
    const expected = this.OPTION2(() => this.SUBRULE(this.outcome)) ?? ['accepted']
    return { verb: Verb.Apply, file, name, at, expected }
  })

  readonly key = this.RULE('key', (): KeyStep => {
    const granted = this.OR<boolean>([
      { ALT: () => this.CONSUME(keyword('grant')) && true },
      { ALT: () => this.CONSUME(keyword('withdraw')) && false }
    ])
    this.CONSUME(keyword('key'))
    const key = this.SUBRULE(this.name)
    const team = this.OPTION(() => {
      this.CONSUME(keyword('to'))
      return this.SUBRULE2(this.name)
    }) ?? ''
    const at = this.OPTION2(() => this.SUBRULE(this.place))
    return { verb: Verb.Key, granted, key, team, at }
  })

  readonly work = this.RULE('work', (): Work => {
    const name = this.SUBRULE(this.name)
    this.CONSUME(keyword('to'))
    const queue = this.SUBRULE2(this.name)
    let work: Work = { count: 1, name, queue, fails: false, expected: [] }
    this.MANY(() => {
      const fields = this.SUBRULE(this.workField)
      work = { ...work, ...fields }
    })
    return work
  })

  readonly workField = this.RULE('workField', (): Partial<Work> => this.OR<Partial<Work>>([
    {
      ALT: () => {
        this.CONSUME(keyword('as'))
        return { team: this.SUBRULE(this.name) }
      }
    },
    {
      ALT: () => {
        this.CONSUME(keyword('with'))
        this.CONSUME(keyword('key'))
        return { key: this.SUBRULE2(this.name) }
      }
    },
    {
      ALT: () => {
        this.CONSUME(keyword('once'))
        return { idempotencyKey: this.SUBRULE3(this.name) }
      }
    },
    {
      ALT: () => {
        this.CONSUME(keyword('tasks'))
        return { tasks: this.SUBRULE(this.amount) }
      }
    },
    {
      ALT: () => {
        this.CONSUME(keyword('runs'))
        return { runMs: this.SUBRULE(this.duration) }
      }
    },
    {
      ALT: () => {
        this.CONSUME(keyword('cpu'))
        return { cpuMilli: this.SUBRULE2(this.amount) }
      }
    },
    { ALT: () => this.CONSUME(keyword('fails')) && { fails: true } },
    { ALT: () => ({ at: this.SUBRULE(this.place) }) },
    { ALT: () => ({ expected: this.SUBRULE(this.outcome) }) }
  ]))

  readonly submit = this.RULE('submit', (): SubmitStep => {
    this.CONSUME(keyword('submit'))
    const count = this.OPTION(() => this.SUBRULE(this.amount)) ?? 1
    this.OR([{ ALT: () => this.CONSUME(keyword('jobs')) }, { ALT: () => this.CONSUME(keyword('job')) }])
    const work = this.SUBRULE(this.work)
    return { ...work, verb: Verb.Submit, count }
  })

  readonly request = this.RULE('request', (): RequestStep => {
    const background = this.OPTION(() => this.CONSUME(keyword('background'))) !== undefined
    this.CONSUME(keyword('request'))
    const count = this.OPTION2(() => this.SUBRULE(this.amount)) ?? 1
    const work = this.SUBRULE(this.work)
    return { ...work, verb: Verb.Request, count, background }
  })

  readonly cancel = this.RULE('cancel', (): CancelStep => {
    this.CONSUME(keyword('cancel'))
    this.OR([{ ALT: () => this.CONSUME(keyword('jobs')) }, { ALT: () => this.CONSUME(keyword('job')) }])
    return { verb: Verb.Cancel, name: this.SUBRULE(this.name) }
  })

  readonly load = this.RULE('load', (): LoadStep => {
    this.CONSUME(keyword('load'))
    const name = this.SUBRULE(this.name)
    this.CONSUME(keyword('of'))
    const perSecond = this.SUBRULE(this.amount)
    this.CONSUME(keyword('per'))
    this.CONSUME(keyword('second'))
    this.CONSUME(keyword('to'))
    const queue = this.SUBRULE2(this.name)
    this.CONSUME(keyword('as'))
    const team = this.SUBRULE3(this.name)
    const runMs = this.OPTION(() => {
      this.CONSUME(keyword('runs'))
      return this.SUBRULE(this.duration)
    }) ?? 0
    return { verb: Verb.Load, name, perSecond, queue, team, runMs }
  })
}
