import { defineConfig } from 'vitest/config'

/** Tests that press on a running node. They run one at a time, and apart from the other tests. */
export default defineConfig({
  resolve: { conditions: ['source'] },
  ssr: { resolve: { conditions: ['source'] } },
  test: {
    include: ['platform/test/crowd/**/*.spec.ts', 'packages/*/test/crowd/**/*.spec.ts'],
    testTimeout: 120_000,
    fileParallelism: false,
    server: { deps: { inline: [/@fireflymount/] } }
  }
})
