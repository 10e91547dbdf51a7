import neostandard from 'neostandard'

export default [
  ...neostandard({ ts: true, ignores: ['**/dist/**', '**/node_modules/**', 'docs/**', 'target/**', 'journal/**'] }),
  {
    rules: {
      'no-console': 'error',
      'no-restricted-imports': ['error', { paths: ['child_process', 'node:child_process', 'cluster', 'node:cluster', 'worker_threads', 'node:worker_threads'] }],
      '@stylistic/max-len': ['error', { code: 130, ignoreStrings: true, ignoreTemplateLiterals: true, ignoreRegExpLiterals: true, ignoreComments: true }]
    }
  },
  {
    files: ['packages/scenario/**', 'packages/measure/**', 'packages/*/test/**', 'platform/test/crowd/**'],
    rules: { 'no-restricted-imports': 'off', 'no-console': 'off' }
  }
]
