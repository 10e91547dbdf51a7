/**
 * Grammar of the scenario language.
 */
import { err, ok, type Result } from 'neverthrow'
import { ScenarioLexer, LineEnd, keyword } from './lexer.js'
import {
  Verb, type Action, type ExpectStep, type ParseError, type RaceStep, type Scenario, type Step
} from './syntax-tree.js'
import { WorkRules } from './work-rules.js'

const DEFAULT_TIMEOUT_MS = 60_000

class ScenarioParser extends WorkRules {
  readonly race = this.RULE('race', (): RaceStep => {
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

  readonly expectation = this.RULE('expectation', (): ExpectStep => {
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
    let timeoutMs = DEFAULT_TIMEOUT_MS
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
      timeoutMs = this.SUBRULE(this.duration)
    })
    const slow = this.OPTION2(() => {
      this.AT_LEAST_ONE3(() => this.CONSUME4(LineEnd))
      return this.CONSUME(keyword('slow'))
    }) !== undefined
    this.OPTION3(() => {
      this.AT_LEAST_ONE4(() => this.CONSUME5(LineEnd))
      this.CONSUME(keyword('proves'))
      proves = this.SUBRULE(this.alternatives)
    })
    this.MANY2(() => {
      this.AT_LEAST_ONE5(() => this.CONSUME6(LineEnd))
      this.OPTION4(() => steps.push(this.SUBRULE(this.step)))
    })
    return { title, seed, timeoutMs, slow, proves, steps }
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
 * @returns the scenario, or all errors found with their lines and columns
 *
 * @example
 * const scenario = parseScenario(readFileSync(file, 'utf8'))
 */
export function parseScenario (text: string): Result<Scenario, readonly ParseError[]> {
  const lexed = ScenarioLexer.tokenize(text)
  const errors: ParseError[] = []
  for (const error of lexed.errors) {
    errors.push({ line: error.line ?? 0, column: error.column ?? 0, detail: error.message })
  }
  if (errors.length > 0) return err(errors)
  parser.input = lexed.tokens
  const scenario = parser.scenario()
  for (const error of parser.errors) {
    const last = lexed.tokens.at(-1)
    const token = Number.isNaN(error.token.startLine ?? NaN) ? last : error.token
    errors.push({ line: token?.startLine ?? 0, column: token?.startColumn ?? 0, detail: error.message })
  }
  return errors.length > 0 ? err(errors) : ok(scenario)
}
