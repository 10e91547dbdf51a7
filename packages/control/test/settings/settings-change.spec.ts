import { describe, expect, it } from 'vitest'
import { applySettings } from '../../src/settings/settings-change.js'

interface Example {
  stopMs: number
  port: number
  share?: number
}

describe('a change of settings', () => {
  it.each<[string, Example, Example, string[], string[]]>([
    ['applies what can change', { stopMs: 900, port: 1 }, { stopMs: 900, port: 1 }, ['stopMs'], []],
    ['keeps what needs a restart', { stopMs: 200, port: 2 }, { stopMs: 200, port: 1 }, [], ['port']],
    ['does both at once', { stopMs: 900, port: 2 }, { stopMs: 900, port: 1 }, ['stopMs'], ['port']],
    ['names a setting that was absent', { stopMs: 200, port: 1, share: 1 }, { stopMs: 200, port: 1 }, [], ['share']],
    ['names nothing if nothing differs', { stopMs: 200, port: 1 }, { stopMs: 200, port: 1 }, [], []]
  ])('%s', (_, next, expected, applied, restartRequired) => {
    const current: Example = { stopMs: 200, port: 1 }
    expect(applySettings(current, next, ['stopMs'])).toEqual({ applied, restartRequired })
    expect(current).toEqual(expected)
  })
})
