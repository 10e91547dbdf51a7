/**
 * Grammar of the phrases that several steps of a scenario use: names, amounts, targets and outcomes.
 */
import { EmbeddedActionsParser } from 'chevrotain'
import { Amount, Name, TOKENS, Text, keyword } from './lexer.js'
import { TargetKind, type Option, type Target } from './syntax-tree.js'

/** Rules for phrases that steps share. */
export class CommonRules extends EmbeddedActionsParser {
  constructor () {
    super([...TOKENS], { maxLookahead: 3, recoveryEnabled: false })
  }

  readonly name = this.RULE('name', (): string => this.CONSUME(Name).image)

  readonly amount = this.RULE('amount', (): number => Number(this.CONSUME(Amount).image))

  readonly text = this.RULE('text', (): string => this.CONSUME(Text).image.slice(1, -1))

  readonly duration = this.RULE('duration', (): number => {
    const amount = this.SUBRULE(this.amount)
    this.CONSUME(keyword('ms'))
    return amount
  })

  readonly target = this.RULE('target', (): Target => this.OR<Target>([
    { ALT: () => this.related('owner', TargetKind.Owner, 1) },
    { ALT: () => this.related('standby', TargetKind.Standby, 2) },
    { ALT: () => this.related('host', TargetKind.Host, 3) },
    { ALT: () => this.related('workers', TargetKind.Workers, 4) },
    {
      ALT: () => {
        this.CONSUME(keyword('every'))
        this.CONSUME(keyword('node'))
        return { kind: TargetKind.Nodes, name: '' }
      }
    },
    { ALT: () => ({ kind: TargetKind.Named, name: this.SUBRULE9(this.name) }) }
  ]))

  readonly options = this.RULE('options', (): Option[] => {
    const options: Option[] = []
    this.CONSUME(keyword('with'))
    this.AT_LEAST_ONE_SEP({
      SEP: keyword('and'),
      DEF: () => {
        const name = this.SUBRULE(this.name)
        const value = this.SUBRULE(this.amount)
        this.OPTION(() => this.CONSUME(keyword('ms')))
        options.push({ name, value })
      }
    })
    return options
  })

  readonly alternatives = this.RULE('alternatives', (): string[] => {
    const names: string[] = []
    this.AT_LEAST_ONE_SEP({
      SEP: keyword('or'),
      DEF: () => {
        names.push(this.SUBRULE(this.name))
      }
    })
    return names
  })

  readonly place = this.RULE('place', (): Target => {
    this.CONSUME(keyword('at'))
    return this.SUBRULE(this.target)
  })

  readonly outcome = this.RULE('outcome', (): string[] => {
    this.CONSUME(keyword('expect'))
    return this.SUBRULE(this.alternatives)
  })

  private related (word: 'owner' | 'standby' | 'host' | 'workers', kind: TargetKind, index: 1 | 2 | 3 | 4): Target {
    this.consume(index, keyword(word))
    this.consume(index + 4, keyword('of'))
    return { kind, name: this.subrule(index, this.name) }
  }
}
