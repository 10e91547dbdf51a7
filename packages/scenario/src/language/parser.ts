/**
 * Grammar of the scenario language.
 */
import { err, ok, type Result } from 'neverthrow'
import { ScenarioLexer, LineEnd, keyword } from './lexer.js'
import { Conditions } from './conditions.js'
import {
  Departing, Link, Role, Signal, Verb, type Action, type Apply, type Cancel, type Expect, type Fault, type KeyStep,
  type Leave, type LinkStep, type ListStep, type Load, type LogStep, type Mistake, type Race, type RequestStep,
  type Scenario, type SignalStep, type Start, type Step, type Submit, type Timing, type Work
} from './script.js'

const LIMIT_MS = 60_000

class ScenarioParser extends Conditions {
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
      { ALT: () => this.CONSUME(keyword('drain')) && Departing.Drained }
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

  readonly apply = this.RULE('apply', (): Apply => {
    this.CONSUME(keyword('apply'))
    const file = this.SUBRULE(this.text)
    const at = this.OPTION(() => this.SUBRULE(this.place))
    const expected = this.OPTION2(() => this.SUBRULE(this.outcome)) ?? ['accepted']
    return { verb: Verb.Apply, file, at, expected }
  })

  readonly key = this.RULE('key', (): KeyStep => {
    const granted = this.OR<boolean>([
      { ALT: () => this.CONSUME(keyword('grant')) && true },
      { ALT: () => this.CONSUME(keyword('withdraw')) && false }
    ])
    this.CONSUME(keyword('key'))
    const key = this.SUBRULE(this.word)
    const team = this.OPTION(() => {
      this.CONSUME(keyword('to'))
      return this.SUBRULE2(this.word)
    }) ?? ''
    const at = this.OPTION2(() => this.SUBRULE(this.place))
    return { verb: Verb.Key, granted, key, team, at }
  })

  readonly work = this.RULE('work', (): Work => {
    const name = this.SUBRULE(this.word)
    this.CONSUME(keyword('to'))
    const queue = this.SUBRULE2(this.word)
    let work: Work = { count: 1, name, queue, fails: false, expected: [] }
    this.MANY(() => {
      const part = this.SUBRULE(this.detail)
      work = { ...work, ...part }
    })
    return work
  })

  readonly detail = this.RULE('detail', (): Partial<Work> => this.OR<Partial<Work>>([
    {
      ALT: () => {
        this.CONSUME(keyword('as'))
        return { team: this.SUBRULE(this.word) }
      }
    },
    {
      ALT: () => {
        this.CONSUME(keyword('with'))
        this.CONSUME(keyword('key'))
        return { key: this.SUBRULE2(this.word) }
      }
    },
    {
      ALT: () => {
        this.CONSUME(keyword('once'))
        return { idempotencyKey: this.SUBRULE3(this.word) }
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

  readonly submit = this.RULE('submit', (): Submit => {
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

  readonly cancel = this.RULE('cancel', (): Cancel => {
    this.CONSUME(keyword('cancel'))
    this.OR([{ ALT: () => this.CONSUME(keyword('jobs')) }, { ALT: () => this.CONSUME(keyword('job')) }])
    return { verb: Verb.Cancel, name: this.SUBRULE(this.word) }
  })

  readonly race = this.RULE('race', (): Race => {
    const steps: Step[] = []
    this.CONSUME(keyword('race'))
    this.AT_LEAST_ONE_SEP({
      SEP: keyword('and'),
      DEF: () => {
        steps.push(this.SUBRULE(this.step))
      }
    })
    return { verb: Verb.Race, steps }
  })

  readonly load = this.RULE('load', (): Load => {
    this.CONSUME(keyword('load'))
    const name = this.SUBRULE(this.word)
    this.CONSUME(keyword('of'))
    const perSecond = this.SUBRULE(this.amount)
    this.CONSUME(keyword('per'))
    this.CONSUME(keyword('second'))
    this.CONSUME(keyword('to'))
    const queue = this.SUBRULE2(this.word)
    this.CONSUME(keyword('as'))
    const team = this.SUBRULE3(this.word)
    const runMs = this.OPTION(() => {
      this.CONSUME(keyword('runs'))
      return this.SUBRULE(this.duration)
    }) ?? 0
    return { verb: Verb.Load, name, perSecond, queue, team, runMs }
  })

  readonly expectation = this.RULE('expectation', (): Expect => {
    let withinMs: number | undefined
    let forMs: number | undefined
    this.OPTION(() => this.OR([
      {
        ALT: () => {
          this.CONSUME(keyword('within'))
          withinMs = this.SUBRULE(this.duration)
        }
      },
      {
        ALT: () => {
          this.CONSUME(keyword('for'))
          forMs = this.SUBRULE2(this.duration)
        }
      }
    ]))
    this.CONSUME(keyword('expect'))
    const condition = this.SUBRULE(this.condition)
    return { verb: Verb.Expect, condition, withinMs, forMs }
  })

  readonly step = this.RULE('step', (): Step => {
    const line = this.LA(1).startLine ?? 0
    const action = this.OR<Action>([
      { ALT: () => this.SUBRULE(this.start) },
      { ALT: () => this.SUBRULE(this.timing) },
      { ALT: () => this.SUBRULE(this.signal) },
      { ALT: () => this.SUBRULE(this.link) },
      { ALT: () => this.SUBRULE(this.log) },
      { ALT: () => this.SUBRULE(this.list) },
      { ALT: () => this.SUBRULE(this.leave) },
      { ALT: () => this.SUBRULE(this.fault) },
      { ALT: () => this.SUBRULE(this.apply) },
      { ALT: () => this.SUBRULE(this.key) },
      { ALT: () => this.SUBRULE(this.submit) },
      { ALT: () => this.SUBRULE(this.request) },
      { ALT: () => this.SUBRULE(this.cancel) },
      { ALT: () => this.SUBRULE(this.race) },
      { ALT: () => this.SUBRULE(this.load) },
      { ALT: () => this.SUBRULE(this.expectation) }
    ])
    return { line, action }
  })

  readonly scenario = this.RULE('scenario', (): Scenario => {
    let limitMs = LIMIT_MS
    let proves: string[] = []
    const steps: Step[] = []
    this.MANY(() => this.CONSUME(LineEnd))
    this.CONSUME(keyword('scenario'))
    const title = this.SUBRULE(this.text)
    this.AT_LEAST_ONE(() => this.CONSUME2(LineEnd))
    this.CONSUME(keyword('seed'))
    const seed = this.SUBRULE(this.amount)
    this.OPTION(() => {
      this.AT_LEAST_ONE2(() => this.CONSUME3(LineEnd))
      this.CONSUME(keyword('limit'))
      limitMs = this.SUBRULE(this.duration)
    })
    const slow = this.OPTION2(() => {
      this.AT_LEAST_ONE3(() => this.CONSUME4(LineEnd))
      return this.CONSUME(keyword('slow'))
    }) !== undefined
    this.OPTION3(() => {
      this.AT_LEAST_ONE4(() => this.CONSUME5(LineEnd))
      this.CONSUME(keyword('proves'))
      proves = this.SUBRULE(this.states)
    })
    this.MANY2(() => {
      this.AT_LEAST_ONE5(() => this.CONSUME6(LineEnd))
      this.OPTION4(() => steps.push(this.SUBRULE(this.step)))
    })
    return { title, seed, limitMs, slow, proves, steps }
  })

  constructor () {
    super()
    this.performSelfAnalysis()
  }
}

const parser = new ScenarioParser()

/**
 * Parses the text of a scenario.
 *
 * @param text the text of the file
 * @returns the scenario, or every mistake found with its line and column
 *
 * @example
 * const scenario = parseScenario(readFileSync(file, 'utf8'))
 */
export function parseScenario (text: string): Result<Scenario, readonly Mistake[]> {
  const lexed = ScenarioLexer.tokenize(text)
  const mistakes: Mistake[] = []
  for (const error of lexed.errors) {
    mistakes.push({ line: error.line ?? 0, column: error.column ?? 0, detail: error.message })
  }
  if (mistakes.length > 0) return err(mistakes)
  parser.input = lexed.tokens
  const scenario = parser.scenario()
  for (const error of parser.errors) {
    const last = lexed.tokens.at(-1)
    const place = Number.isNaN(error.token.startLine ?? NaN) ? last : error.token
    mistakes.push({ line: place?.startLine ?? 0, column: place?.startColumn ?? 0, detail: error.message })
  }
  return mistakes.length > 0 ? err(mistakes) : ok(scenario)
}
