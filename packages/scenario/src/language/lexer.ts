/**
 * Tokens of the scenario language.
 */
import { Lexer, createToken, type TokenType } from 'chevrotain'

/** Name of a process, upstream, queue, team, job or state. */
export const Name = createToken({ name: 'Name', label: 'a name', pattern: /[a-z][A-Za-z0-9.-]*/ })
/** A non-negative integer. */
export const Amount = createToken({ name: 'Amount', label: 'a number', pattern: /\d+/ })
/** A text in double quotes. */
export const Text = createToken({ name: 'Text', label: 'a text in quotes', pattern: /"[^"\n]*"/ })
/** The end of a step. */
export const LineEnd = createToken({ name: 'LineEnd', label: 'the end of the line', pattern: /(\r?\n)+/, line_breaks: true })

const Blank = createToken({ name: 'Blank', pattern: /[ \t]+/, group: Lexer.SKIPPED })
const Comment = createToken({ name: 'Comment', pattern: /#[^\n]*/, group: Lexer.SKIPPED })

const KEYWORDS = [
  'scenario', 'seed', 'limit', 'slow', 'proves',
  'start', 'platform', 'workers', 'node', 'nodes', 'of', 'in', 'rack', 'with', 'timing', 'stop', 'kill', 'freeze', 'thaw', 'as',
  'cut', 'silence', 'stall', 'heal', 'and', 'log', 'for', 'list', 'lag', 'leave', 'gone', 'drain', 'forget', 'fault', 'apply', 'at', 'grant',
  'withdraw', 'key', 'to', 'submit', 'jobs', 'job', 'request', 'requests', 'background', 'tasks', 'runs', 'cpu', 'fails',
  'once', 'cancel', 'race', 'load', 'per', 'second', 'within', 'expect', 'or', 'owner', 'standby', 'host', 'every', 'is', 'not',
  'service', 'has', 'running', 'gap', 'under', 'ready', 'exited', 'revision', 'one', 'most', 'least', 'starts', 'works',
  'quiet', 'adopted', 'stream', 'clean', 'invariant', 'any', 'ms'
] as const

/** A keyword of the language. It may also be used as a name. */
export type Keyword = typeof KEYWORDS[number]

const keywords = new Map<Keyword, TokenType>()
for (const word of KEYWORDS) {
  keywords.set(word, createToken({ name: `Word_${word}`, label: `"${word}"`, pattern: new RegExp(word), longer_alt: Name, categories: [Name] }))
}

/**
 * Returns the token of a keyword.
 *
 * @param word the keyword
 * @returns its token
 *
 * @example
 * this.CONSUME(keyword('start'))
 */
export function keyword (word: Keyword): TokenType {
  const token = keywords.get(word)
  if (token === undefined) throw new Error(`"${word}" is not a keyword.`)
  return token
}

/** All tokens. Longer keywords come first, because the lexer takes the first token that matches. */
export const TOKENS: readonly TokenType[] = [
  Blank, Comment, LineEnd, Text, Amount,
  ...[...keywords.values()].sort((left, right) => right.name.length - left.name.length),
  Name
]

/** The lexer of the scenario language. */
export const ScenarioLexer = new Lexer([...TOKENS], { positionTracking: 'full' })
