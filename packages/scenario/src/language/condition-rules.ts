/**
 * Grammar of the conditions that a scenario expects.
 */
import { keyword } from './lexer.js'
import { CommonRules } from './common-rules.js'
import { Comparison, Subject, type Condition } from './syntax-tree.js'

interface CountBound {
  readonly comparison: Comparison
  readonly count: number
}

/** Rules for conditions. */
export class ConditionRules extends CommonRules {
  readonly condition = this.RULE('condition', (): Condition => this.OR<Condition>([
    { ALT: () => this.SUBRULE(this.expectedCounted) },
    { ALT: () => this.SUBRULE(this.expectedJob) },
    { ALT: () => this.SUBRULE(this.expectedRequests) },
    { ALT: () => this.SUBRULE(this.expectedGap) },
    { ALT: () => this.SUBRULE(this.expectedOwner) },
    { ALT: () => this.SUBRULE(this.expectedNode) },
    { ALT: () => this.SUBRULE(this.expectedKey) },
    { ALT: () => this.SUBRULE(this.expectedLoad) },
    { ALT: () => this.SUBRULE(this.expectedOther) }
  ]))

  readonly bound = this.RULE('bound', (): CountBound => {
    const comparison = this.OPTION(() => {
      this.CONSUME(keyword('at'))
      return this.OR<Comparison>([
        { ALT: () => this.CONSUME(keyword('most')) && Comparison.AtMost },
        { ALT: () => this.CONSUME(keyword('least')) && Comparison.AtLeast }
      ])
    }) ?? Comparison.Exactly
    return { comparison, count: this.SUBRULE(this.amount) }
  })

  readonly expectedCounted = this.RULE('expectedCounted', (): Condition => {
    const bound = this.SUBRULE(this.bound)
    return this.OR<Condition>([
      {
        ALT: () => {
          this.CONSUME(keyword('jobs'))
          const name = this.SUBRULE(this.name)
          return { ...bound, subject: Subject.Job, name, states: this.SUBRULE(this.alternatives) }
        }
      },
      {
        ALT: () => {
          this.CONSUME(keyword('requests'))
          const name = this.SUBRULE2(this.name)
          return { ...bound, subject: Subject.Request, name, states: this.SUBRULE2(this.alternatives) }
        }
      },
      {
        ALT: () => {
          this.CONSUME(keyword('starts'))
          this.CONSUME(keyword('of'))
          return { ...bound, subject: Subject.Starts, name: this.SUBRULE3(this.name), states: [] }
        }
      },
      {
        ALT: () => {
          this.CONSUME2(keyword('of'))
          this.CONSUME(keyword('service'))
          const name = this.SUBRULE4(this.name)
          this.CONSUME(keyword('running'))
          return { ...bound, subject: Subject.Service, name, states: [] }
        }
      }
    ])
  })

  readonly expectedJob = this.RULE('expectedJob', (): Condition => {
    this.OR([{ ALT: () => this.CONSUME(keyword('jobs')) }, { ALT: () => this.CONSUME(keyword('job')) }])
    const name = this.SUBRULE(this.name)
    return { subject: Subject.Job, name, states: this.SUBRULE(this.alternatives) }
  })

  readonly expectedRequests = this.RULE('expectedRequests', (): Condition => {
    this.OR([{ ALT: () => this.CONSUME(keyword('requests')) }, { ALT: () => this.CONSUME(keyword('request')) }])
    const name = this.SUBRULE(this.name)
    return { subject: Subject.Request, name, states: this.SUBRULE(this.alternatives) }
  })

  readonly expectedGap = this.RULE('expectedGap', (): Condition => {
    this.CONSUME(keyword('service'))
    const name = this.SUBRULE(this.name)
    this.CONSUME(keyword('gap'))
    this.CONSUME(keyword('under'))
    return { subject: Subject.Gap, name, states: [], ms: this.SUBRULE(this.duration) }
  })

  readonly expectedOwner = this.RULE('expectedOwner', (): Condition => {
    this.CONSUME(keyword('owner'))
    this.CONSUME(keyword('of'))
    const name = this.SUBRULE(this.name)
    this.CONSUME(keyword('is'))
    const negated = this.OPTION(() => this.CONSUME(keyword('not'))) !== undefined
    return { subject: Subject.Owner, name, states: [], negated, target: this.SUBRULE(this.target) }
  })

  readonly expectedNode = this.RULE('expectedNode', (): Condition => this.OR<Condition>([
    {
      ALT: () => {
        this.CONSUME(keyword('node'))
        const name = this.SUBRULE(this.name)
        const negated = this.OPTION(() => this.CONSUME(keyword('not'))) !== undefined
        const subject = this.OR2<Subject>([
          { ALT: () => this.CONSUME(keyword('ready')) && Subject.Ready },
          { ALT: () => this.CONSUME(keyword('exited')) && Subject.Exited }
        ])
        return { subject, name, states: [], negated }
      }
    },
    {
      ALT: () => {
        this.CONSUME2(keyword('every'))
        this.CONSUME2(keyword('node'))
        return this.OR3<Condition>([
          { ALT: () => this.CONSUME2(keyword('ready')) && { subject: Subject.Ready, name: '', states: [] } },
          {
            ALT: () => {
              this.CONSUME(keyword('at'))
              this.CONSUME(keyword('one'))
              this.CONSUME(keyword('revision'))
              return { subject: Subject.Revision, name: '', states: [] }
            }
          }
        ])
      }
    }
  ]))

  readonly expectedKey = this.RULE('expectedKey', (): Condition => {
    this.CONSUME(keyword('key'))
    const name = this.SUBRULE(this.name)
    const negated = this.OPTION(() => this.CONSUME(keyword('not'))) !== undefined
    this.CONSUME(keyword('works'))
    const target = this.OPTION2(() => this.SUBRULE(this.place))
    return { subject: Subject.Key, name, states: [], negated, target }
  })

  readonly expectedLoad = this.RULE('expectedLoad', (): Condition => {
    this.CONSUME(keyword('load'))
    const name = this.SUBRULE(this.name)
    return { subject: Subject.Load, name, states: this.SUBRULE(this.alternatives) }
  })

  readonly expectedOther = this.RULE('expectedOther', (): Condition => this.OR<Condition>([
    {
      ALT: () => {
        this.CONSUME(keyword('workers'))
        this.CONSUME(keyword('of'))
        const name = this.SUBRULE(this.name)
        const subject = this.OR2<Subject>([
          { ALT: () => this.CONSUME(keyword('quiet')) && Subject.Quiet },
          { ALT: () => this.CONSUME(keyword('adopted')) && Subject.Adopted }
        ])
        return { subject, name, states: [] }
      }
    },
    {
      ALT: () => {
        this.CONSUME(keyword('log'))
        this.CONSUME(keyword('clean'))
        return { subject: Subject.Clean, name: '', states: [] }
      }
    },
    {
      ALT: () => {
        this.CONSUME(keyword('stream'))
        const name = this.SUBRULE2(this.name)
        this.CONSUME(keyword('has'))
        return { subject: Subject.Stream, name, states: [], count: this.SUBRULE(this.amount), comparison: Comparison.AtLeast }
      }
    },
    {
      ALT: () => {
        this.CONSUME(keyword('every'))
        this.CONSUME(keyword('invariant'))
        return { subject: Subject.Invariants, name: '', states: [] }
      }
    }
  ]))
}
