import { readFile } from 'node:fs/promises'
import { expect, test } from 'vitest'
import { createApi } from '../src/entry/api.js'
import { HttpProblem } from '../src/entry/problem.js'
import { Reason } from '@fireflymount/protocol/refusal'
import { createHarness } from './entry-fakes.js'

const DOCS = new URL('../../../docs/', import.meta.url)

test('openapi.json describes exactly the endpoints that the API serves', async () => {
  const document = JSON.parse(await readFile(new URL('openapi.json', DOCS), 'utf8')) as { paths: Record<string, object> }
  const described = Object.entries(document.paths).flatMap(([path, calls]) => Object.keys(calls).map((method) => `${method} ${path}`))
  const routes = createApi(createHarness().options).routes.filter(({ method }) => method !== 'ALL')
  const served = routes.map(({ method, path }) => `${method.toLowerCase()} ${path.replaceAll(/:(\w+)/g, '{$1}')}`)
  expect(described.sort()).toEqual(served.sort())
})

test('API.md lists every type of problem', async () => {
  const text = await readFile(new URL('API.md', DOCS), 'utf8')
  const table = text.slice(text.indexOf('| Type |'), text.indexOf('## Limits'))
  const missing = [...Object.values(Reason), ...Object.values(HttpProblem)].filter((type) => !table.includes(`\`${type}\``))
  expect(missing).toEqual([])
})
